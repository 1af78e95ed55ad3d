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

// attemptKey identifies an open attempt.
type attemptKey struct {
	ref      TaskRef
	upstream string
}

// model drives a policy with random events and checks the invariants of its assignments and refusals and of the ends of
// tasks.
type model struct {
	t               *rapid.T
	p               Policy
	now             time.Time
	queueLimit      int
	slots           map[string]int
	open            []attemptKey
	openPerUpstream map[string]int
	startCount      map[TaskRef]int
	endCount        map[TaskRef]int
	tasks           map[TaskRef]bool
	deadline        map[uint64]time.Time
	lastJobID       uint64
	log             []string
}

func (m *model) logf(format string, args ...any) { m.log = append(m.log, fmt.Sprintf(format, args...)) }

func (m *model) recordEnd(ref TaskRef) {
	m.endCount[ref]++
	if m.endCount[ref] > 1 || !m.tasks[ref] {
		m.t.Fatalf("task %v ended %d times, submitted: %v", ref, m.endCount[ref], m.tasks[ref])
	}
}

func (m *model) submit() {
	m.lastJobID++
	n := uint16(rapid.IntRange(1, 12).Draw(m.t, "tasks"))
	j := Job{
		ID: m.lastJobID, Team: "t", Kind: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "kind"),
		Urgent: rapid.Bool().Draw(m.t, "urgent"), Idempotent: rapid.Bool().Draw(m.t, "idempotent"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(m.t, "deadline")) * time.Millisecond), Tasks: n,
	}
	r := m.p.Submit(m.now, j)
	m.logf("submit %d %v", j.ID, r)
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
		m.logf("assign %v %s", a.Ref, a.Upstream)
		m.openPerUpstream[a.Upstream]++
		if m.openPerUpstream[a.Upstream] > m.slots[a.Upstream]+m.queueLimit {
			m.t.Fatalf("%s has %d open attempts for %d slots", a.Upstream, m.openPerUpstream[a.Upstream], m.slots[a.Upstream])
		}
		if m.endCount[a.Ref] > 0 || !m.tasks[a.Ref] {
			m.t.Fatalf("%v was assigned after its end or without a submission", a.Ref)
		}
		if !a.Hedge && !a.Retry && m.startCount[a.Ref] > 0 {
			m.t.Fatalf("%v was assigned again without a retry or a hedge", a.Ref)
		}
		m.startCount[a.Ref]++
		m.open = append(m.open, attemptKey{a.Ref, a.Upstream})
	}
	for _, r := range refusals {
		m.logf("refuse %v %s", r.Ref, r.Reason)
		if r.Reason == wire.ReasonDeadline && m.now.Before(m.deadline[r.Ref.Job]) {
			m.t.Fatalf("%v was refused before its deadline", r.Ref)
		}
		m.recordEnd(r.Ref)
	}
}

func (m *model) finish(i int, r Result) {
	o := m.open[i]
	m.open = append(m.open[:i], m.open[i+1:]...)
	m.openPerUpstream[o.upstream]--
	if r.State == Refused {
		m.startCount[o.ref]--
	}
	status := m.p.FinishAttempt(m.now, o.ref, o.upstream, r)
	m.logf("finish %v %s %v: %v", o.ref, o.upstream, r, status)
	if status == TaskEnded {
		m.recordEnd(o.ref)
	}
	m.p.ReportLoad(m.now, o.upstream, Load{Running: uint16(rapid.IntRange(0, 8).Draw(m.t, "running"))})
}

func (m *model) cancel() {
	if m.lastJobID == 0 {
		return
	}
	id := rapid.Uint64Range(1, m.lastJobID).Draw(m.t, "job")
	var refs []TaskRef
	for i := range uint16(12) {
		refs = append(refs, TaskRef{id, i})
	}
	for _, ref := range m.p.Cancel(m.now, refs) {
		m.logf("cancelled %v", ref)
		m.recordEnd(ref)
	}
}

func (m *model) drawResult() Result {
	state := rapid.SampledFrom([]ResultState{Succeeded, Succeeded, Failed, Lost, Refused}).Draw(m.t, "state")
	r := Result{State: state}
	if state == Refused {
		r.Reason = rapid.SampledFrom([]wire.RefusalReason{
			wire.RefusedBusy, wire.RefusedUpstreamDown, wire.RefusedLeaving, wire.RefusedCancelled, wire.RefusedStaleList,
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
			m.finish(rapid.IntRange(0, len(m.open)-1).Draw(m.t, "attempt"), m.drawResult())
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
		m.logf("remove %s", id)
		m.p.RemoveUpstream(m.now, id)
		return
	}
	m.logf("set %s", id)
	u := Upstream{ID: id, DataCentre: "A", Slots: m.slots[id]}
	if rapid.Bool().Draw(m.t, "named") {
		u.Kinds = []string{"a", "b"}
	}
	m.p.SetUpstream(m.now, u)
}

// finishAll finishes all open attempts after every deadline and checks that each task has ended exactly once.
func (m *model) finishAll() {
	m.now = m.now.Add(30 * time.Second)
	m.next()
	for len(m.open) > 0 {
		m.finish(0, Result{State: Succeeded, Service: time.Millisecond})
		m.next()
	}
	for ref := range m.tasks {
		if m.endCount[ref] != 1 {
			m.t.Fatalf("%v ended %d times\n%v", ref, m.endCount[ref], m.log)
		}
	}
	if s := m.p.Stats(m.now); s.Waiting != 0 || s.OpenAttempts != 0 {
		m.t.Fatalf("tasks or attempts are left: %+v", s)
	}
}

// TestEveryTaskEndsOnce guards against tasks that are lost or that end or start twice, and against entries that send
// more attempts to an upstream than its slots and the queue allow. It runs random events with and without retries,
// hedging and ejection.
func TestEveryTaskEndsOnce(t *testing.T) {
	for _, name := range policyNames() {
		t.Run(name, func(t *testing.T) { rapid.Check(t, func(rt *rapid.T) { checkLifecycle(rt, name) }) })
	}
}

func checkLifecycle(rt *rapid.T, name string) {
	c := Config{Connections: 3}
	if rapid.Bool().Draw(rt, "retries, hedging and ejection") {
		c.Retries = &Retries{Budget: 0.5, MaxAttempts: 3}
		c.Hedging = &Hedging{Factor: 1, Budget: 0.5}
		c.Ejection = &Ejection{MaxShare: 0.5, ErrorRate: 0.2, ProbeAfter: time.Second}
	}
	m := &model{
		t: rt, p: newPolicy(gomega.NewWithT(rt), name, rapid.Uint64().Draw(rt, "seed"), c), now: epoch,
		queueLimit: DefaultAgentQueue, slots: map[string]int{"u1": 2, "u2": 3, "u3": 4}, openPerUpstream: map[string]int{},
		startCount: map[TaskRef]int{}, endCount: map[TaskRef]int{}, tasks: map[TaskRef]bool{},
		deadline: map[uint64]time.Time{},
	}
	for range rapid.IntRange(1, 120).Draw(rt, "steps") {
		m.step()
	}
	m.finishAll()
}
