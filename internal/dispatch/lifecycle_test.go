package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

var epoch = time.Unix(1_000_000, 0)

func policyNames() []string { return []string{ExpectedCompletion, Random, LeastConnections} }

func newPolicy(t gomega.Gomega, name string, seed uint64, c Config) Policy {
	p, err := New(name, Options{Now: epoch, Random: rand.New(rand.NewPCG(seed, 1)), DataCentre: "A", Config: c})
	t.Expect(err).NotTo(gomega.HaveOccurred())
	return p
}

type openEnd struct {
	ref      TaskRef
	upstream string
}

// model drives a policy with random events and checks its promises.
type model struct {
	t        *rapid.T
	p        Policy
	now      time.Time
	limit    int
	slots    map[string]int
	open     []openEnd
	perUp    map[string]int
	started  map[TaskRef]int
	ends     map[TaskRef]int
	tasks    map[TaskRef]bool
	deadline map[uint64]time.Time
	jobs     uint64
	log      []string
}

func (m *model) note(format string, args ...any) { m.log = append(m.log, fmt.Sprintf(format, args...)) }

func (m *model) end(ref TaskRef) {
	m.ends[ref]++
	if m.ends[ref] > 1 || !m.tasks[ref] {
		m.t.Fatalf("task %v ended %d times, submitted: %v", ref, m.ends[ref], m.tasks[ref])
	}
}

func (m *model) submit() {
	m.jobs++
	n := uint16(rapid.IntRange(1, 12).Draw(m.t, "tasks"))
	j := Job{
		ID: m.jobs, Team: "t", Kind: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "kind"),
		Urgent: rapid.Bool().Draw(m.t, "urgent"), Idempotent: rapid.Bool().Draw(m.t, "idempotent"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(m.t, "deadline")) * time.Millisecond), Tasks: n,
	}
	r := m.p.Submit(m.now, j)
	m.note("submit %d %v", j.ID, r)
	if r != nil {
		return
	}
	m.deadline[j.ID] = j.Deadline
	for i := range n {
		m.tasks[TaskRef{j.ID, i}] = true
	}
}

func (m *model) next() {
	assignments, refusals := m.p.Next(m.now)
	for _, a := range assignments {
		m.note("assign %v %s", a.Ref, a.Upstream)
		m.perUp[a.Upstream]++
		if m.perUp[a.Upstream] > m.slots[a.Upstream]+m.limit {
			m.t.Fatalf("%s has %d open attempts for %d slots", a.Upstream, m.perUp[a.Upstream], m.slots[a.Upstream])
		}
		if m.ends[a.Ref] > 0 || !m.tasks[a.Ref] {
			m.t.Fatalf("%v was assigned after its end", a.Ref)
		}
		if !a.Hedge && !a.Retry && m.started[a.Ref] > 0 {
			m.t.Fatalf("%v was assigned while or after it ran", a.Ref)
		}
		m.started[a.Ref]++
		m.open = append(m.open, openEnd{a.Ref, a.Upstream})
	}
	for _, r := range refusals {
		m.note("refuse %v %s", r.Ref, r.Reason)
		if r.Reason == wire.ReasonDeadline && m.now.Before(m.deadline[r.Ref.Job]) {
			m.t.Fatalf("%v was refused before its deadline", r.Ref)
		}
		m.end(r.Ref)
	}
}

func (m *model) finish(i int, r Result) {
	o := m.open[i]
	m.open = append(m.open[:i], m.open[i+1:]...)
	m.perUp[o.upstream]--
	if r.State == Refused {
		m.started[o.ref]--
	}
	v := m.p.Finished(m.now, o.ref, o.upstream, r)
	m.note("finish %v %s %v: %v", o.ref, o.upstream, r, v)
	if v == Final {
		m.end(o.ref)
	}
	m.p.Report(m.now, o.upstream, Load{Running: uint16(rapid.IntRange(0, 8).Draw(m.t, "running"))})
}

func (m *model) cancel() {
	if m.jobs == 0 {
		return
	}
	id := rapid.Uint64Range(1, m.jobs).Draw(m.t, "job")
	var refs []TaskRef
	for i := range uint16(12) {
		refs = append(refs, TaskRef{id, i})
	}
	for _, ref := range m.p.Cancel(m.now, refs) {
		m.note("cancelled %v", ref)
		m.end(ref)
	}
}

func (m *model) result() Result {
	state := rapid.SampledFrom([]ResultState{Succeeded, Succeeded, Failed, Lost, Refused}).Draw(m.t, "state")
	r := Result{State: state}
	if state == Refused {
		r.Reason = rapid.SampledFrom([]wire.RefusalReason{
			wire.RefusedBusy, wire.RefusedDown, wire.RefusedLeaving, wire.RefusedCancelled, wire.RefusedStaleList,
		}).Draw(m.t, "reason")
		return r
	}
	r.Service = time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "service")) * time.Millisecond
	return r
}

func (m *model) step() {
	switch rapid.IntRange(0, 9).Draw(m.t, "step") {
	case 0, 1:
		m.submit()
	case 2, 3, 4, 5:
		if len(m.open) > 0 {
			m.finish(rapid.IntRange(0, len(m.open)-1).Draw(m.t, "attempt"), m.result())
		}
	case 6:
		m.cancel()
	case 7:
		m.changeUpstream()
	case 8:
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "wait")) * time.Millisecond)
	}
	m.next()
}

func (m *model) changeUpstream() {
	id := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(m.t, "upstream")
	if rapid.Bool().Draw(m.t, "remove") {
		m.note("remove %s", id)
		m.p.RemoveUpstream(m.now, id)
		return
	}
	m.note("set %s", id)
	u := Upstream{ID: id, DataCentre: "A", Slots: m.slots[id]}
	if rapid.Bool().Draw(m.t, "named") {
		u.Kinds = []string{"a", "b"}
	}
	m.p.SetUpstream(m.now, u)
}

// drain lets the policy end everything: no task may stay without an end after the deadlines.
func (m *model) drain() {
	m.now = m.now.Add(30 * time.Second)
	m.next()
	for len(m.open) > 0 {
		m.finish(0, Result{State: Succeeded, Service: time.Millisecond})
		m.next()
	}
	for ref := range m.tasks {
		if m.ends[ref] != 1 {
			m.t.Fatalf("%v ended %d times\n%v", ref, m.ends[ref], m.log)
		}
	}
	if s := m.p.Stats(m.now); s.Waiting != 0 || s.OpenAttempts != 0 {
		m.t.Fatalf("something is left: %+v", s)
	}
}

// TestEveryTaskEndsOnce guards against lost tasks, tasks that end or start twice, and upstreams that get more from one
// entry than their slots and the queue, under any order of events and with every guard on.
func TestEveryTaskEndsOnce(t *testing.T) {
	for _, name := range policyNames() {
		t.Run(name, func(t *testing.T) { rapid.Check(t, func(rt *rapid.T) { checkLifecycle(rt, name) }) })
	}
}

func checkLifecycle(rt *rapid.T, name string) {
	c := Config{Connections: 3}
	if rapid.Bool().Draw(rt, "guards") {
		c.Retries = &Retries{Share: 0.5, MaxAttempts: 3}
		c.Hedging = &Hedging{Factor: 1, Share: 0.5}
		c.Ejection = &Ejection{MaxShare: 0.5, ErrorRate: 0.2, Rest: time.Second}
	}
	m := &model{
		t: rt, p: newPolicy(gomega.NewWithT(rt), name, rapid.Uint64().Draw(rt, "seed"), c), now: epoch, limit: DefaultQueue,
		slots: map[string]int{"u1": 2, "u2": 3, "u3": 4}, perUp: map[string]int{}, started: map[TaskRef]int{},
		ends: map[TaskRef]int{}, tasks: map[TaskRef]bool{}, deadline: map[uint64]time.Time{},
	}
	for range rapid.IntRange(1, 120).Draw(rt, "steps") {
		m.step()
	}
	m.drain()
}
