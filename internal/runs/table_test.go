package runs_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// errNoAnswer is the end of a call that got no answer.
var errNoAnswer = errors.New("no answer")

// model is a worker as its protocol describes it.
type model struct {
	born     int64
	capacity int64
	running  map[runs.Ref]int64 // needs
	highest  map[job.TaskID]uint32
	ends     []runs.Finished
	number   uint64
	began    map[job.TaskID]bool // tasks of which a run has begun in any life
	overUse  bool
	twice    bool
}

func newModel(born, capacity int64) *model {
	return &model{
		born: born, capacity: capacity, running: make(map[runs.Ref]int64), highest: make(map[job.TaskID]uint32),
		began: make(map[job.TaskID]bool),
	}
}

func (m *model) start(ref runs.Ref, needs int64) error {
	if _, there := m.running[ref]; there {
		return nil
	}
	if ref.Attempt <= m.highest[ref.Task] {
		return runs.ErrOldAttempt
	}
	used := needs
	for other, n := range m.running {
		used += n
		m.twice = m.twice || other.Task == ref.Task
	}
	m.overUse = m.overUse || used > m.capacity
	m.highest[ref.Task] = ref.Attempt
	m.running[ref] = needs
	m.began[ref.Task] = true
	return nil
}

func (m *model) end(ref runs.Ref, how runs.End) {
	if _, there := m.running[ref]; !there {
		return
	}
	delete(m.running, ref)
	m.number++
	m.ends = append(m.ends, runs.Finished{Ref: ref, Number: m.number, End: how})
}

func (m *model) stop(ref runs.Ref) {
	m.highest[ref.Task] = max(m.highest[ref.Task], ref.Attempt)
	m.end(ref, runs.EndStopped)
}

func (m *model) look(seen uint64) runs.Look {
	l := runs.Look{Born: m.born, Clock: time.Second}
	for ref := range m.running {
		l.Running = append(l.Running, runs.Running{Ref: ref, Percent: 1})
	}
	for _, f := range m.ends {
		if f.Number > seen {
			l.Finished = append(l.Finished, f)
		}
	}
	return l
}

// crash begins a new life.
func (m *model) crash() {
	m.born++
	m.running, m.ends, m.number = make(map[runs.Ref]int64), nil, 0
	m.highest = make(map[job.TaskID]uint32)
}

// world drives a table against the model.
type world struct {
	t     *rapid.T
	now   time.Time
	table *runs.Table
	model *model
	// late holds orders without an answer that the worker has not carried out yet.
	late []runs.Order
	// delayed holds a look that was answered but did not arrive yet.
	delayed []func()
	needs   map[job.TaskID]int64
	ends    map[uint64]wire.RunEnd
	offers  map[uint64]job.TaskID
	number  uint64
	seq     uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), table: runs.NewTable(runs.DefaultConfig()), model: newModel(1, 16),
		needs: make(map[job.TaskID]int64), ends: make(map[uint64]wire.RunEnd), offers: make(map[uint64]job.TaskID),
	}
	w.announce()
	w.look()
	return w
}

func (w *world) announce() {
	w.seq++
	w.table.SetWorker(w.now, runs.Info{
		ID: "w", Born: w.model.born, Sequence: w.seq, Service: "bench", Capacity: job.Resources{MilliCPU: w.model.capacity},
	})
}

func (w *world) offer() {
	w.number++
	task := job.TaskID{Job: "j", Index: int(w.number)}
	w.needs[task] = rapid.Int64Range(1, 8).Draw(w.t, "needs")
	w.offers[w.number] = task
	w.table.Offer(w.now, 1, wire.Offer{
		Number: w.number, Job: task.Job, Index: task.Index, Attempt: 1, Service: "bench", MilliCPU: w.needs[task],
		SlackMillis: 50, BudgetMillis: 100_000, EstimateMillis: 50, Priority: rapid.IntRange(0, 2).Draw(w.t, "priority"),
		WaitMillis: rapid.SampledFrom([]int64{0, 40}).Draw(w.t, "wait"),
	})
}

// carry carries out what the table ordered, with the answers that are drawn.
func (w *world) carry() {
	for {
		orders, messages := w.table.Take()
		for _, m := range messages {
			w.message(m)
		}
		if len(orders) == 0 {
			return
		}
		for _, o := range orders {
			w.order(o)
		}
	}
}

func (w *world) order(o runs.Order) {
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late"}).Draw(w.t, "answer") {
	case "answered":
		err := w.execute(o)
		if o.Stop {
			w.table.Stopped(w.now, o.Ref, nil)
		} else {
			w.table.Started(w.now, o.Ref, err)
		}
		return
	case "lost":
		_ = w.execute(o) // the answer does not arrive
	default:
		w.late = append(w.late, o)
	}
	if o.Stop {
		w.table.Stopped(w.now, o.Ref, errNoAnswer)
	} else if rapid.Bool().Draw(w.t, "times out") {
		w.table.Started(w.now, o.Ref, errNoAnswer)
	}
}

func (w *world) execute(o runs.Order) error {
	if o.Stop {
		w.model.stop(o.Ref)
		return nil
	}
	return w.model.start(o.Ref, w.needs[o.Ref.Task])
}

func (w *world) message(m runs.Message) {
	if m.End == nil {
		return
	}
	if _, twice := w.ends[m.End.Number]; twice {
		w.t.Fatalf("offer %d has two ends", m.End.Number)
	}
	w.ends[m.End.Number] = *m.End
	task := w.offers[m.End.Number]
	if m.End.Outcome == wire.RunNotStarted && w.model.began[task] {
		w.t.Fatalf("task %v has begun and is reported as not started: %s", task, m.End.Reason)
	}
	for ref := range w.model.running {
		if ref.Task == task {
			w.t.Fatalf("task %v is reported as ended (%v) and still runs", task, m.End.Outcome)
		}
	}
}

// look makes a look; its answer may arrive later than those that follow.
func (w *world) look() {
	sent, l := w.now, w.model.look(w.table.Seen())
	if rapid.IntRange(0, 4).Draw(w.t, "delay") == 0 {
		w.delayed = append(w.delayed, func() { w.table.Observe(w.now, sent, l) })
		return
	}
	w.table.Observe(w.now, sent, l)
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.table.Advance(w.now)
}

func (w *world) step() {
	switch rapid.SampledFrom([]string{
		"offer", "offer", "offer", "look", "look", "end", "end", "fail", "withdraw", "late", "pass", "crash", "drop", "arrive",
	}).Draw(w.t, "step") {
	case "offer":
		w.offer()
	case "look":
		w.pass(time.Millisecond)
		w.look()
	case "end":
		w.endOne(runs.EndDone)
	case "fail":
		w.endOne(runs.EndFailed)
	case "withdraw":
		w.table.Withdraw(w.now, 1, rapid.Uint64Range(1, w.number+1).Draw(w.t, "offer"))
	case "late":
		if len(w.late) > 0 {
			_ = w.execute(w.late[0]) // nobody waits for the answer any more
			w.late = w.late[1:]
		}
	case "pass":
		w.pass(rapid.SampledFrom([]time.Duration{5, 30, 70}).Draw(w.t, "ms") * time.Millisecond)
	case "crash":
		w.late = nil // the lease of the orders has ended in the new life
		w.model.crash()
		w.announce()
	case "drop":
		w.table.DropOwner(w.now, 1)
	case "arrive":
		if len(w.delayed) > 0 {
			w.delayed[0]()
			w.delayed = w.delayed[1:]
		}
	}
	w.carry()
}

func (w *world) endOne(how runs.End) {
	for ref := range w.model.running {
		w.model.end(ref, how)
		return
	}
}

// settle lets everything come to its end without faults.
func (w *world) settle() {
	for range 60 {
		w.pass(70 * time.Millisecond)
		for len(w.late) > 0 {
			_ = w.execute(w.late[0])
			w.late = w.late[1:]
		}
		for ref := range w.model.running {
			w.model.end(ref, runs.EndDone)
		}
		sent, l := w.now, w.model.look(w.table.Seen())
		w.table.Observe(w.now.Add(time.Millisecond), sent, l)
		w.carry()
	}
}

// Drives a table against a worker that loses answers, carries orders out late and crashes. A worker is never used beyond
// its capacity, no task runs twice at once, each offer gets one end, and an end tells the truth.
func TestTableKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step()
			if w.model.overUse {
				t.Fatal("the worker is used beyond its capacity")
			}
			if w.model.twice {
				t.Fatal("a task runs twice at once")
			}
		}
		w.settle()
		for number := range w.offers {
			if _, ended := w.ends[number]; !ended {
				t.Fatalf("offer %d has no end", number)
			}
		}
		if !w.table.Idle() {
			t.Fatal("the table is not idle after all offers have ended")
		}
	})
}

func newTable(g *gomega.WithT, capacity int64) (*runs.Table, *model, time.Time) {
	now := time.Unix(1000, 0)
	m := newModel(1, capacity)
	table := runs.NewTable(runs.DefaultConfig())
	g.Expect(table.SetWorker(now, runs.Info{
		ID: "w", Born: 1, Sequence: 1, Service: "bench", Capacity: job.Resources{MilliCPU: capacity},
	})).To(gomega.BeTrue())
	return table, m, now
}

// Guards against starts of an agent that has just begun while runs of its former process still use the worker.
func TestRunsOfAFormerAgentEndFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	table, m, now := newTable(g, 10)
	former := runs.Ref{Task: job.TaskID{Job: "old"}, Attempt: 3}
	g.Expect(m.start(former, 8)).To(gomega.Succeed())
	table.Observe(now, now, m.look(0))
	g.Expect(table.Load(now).Open).To(gomega.BeFalse())
	orders, _ := table.Take()
	g.Expect(orders).To(gomega.HaveLen(1))
	g.Expect(orders[0].Stop).To(gomega.BeTrue())
	table.Offer(now, 1, wire.Offer{Number: 1, Job: "new", Service: "bench", MilliCPU: 8, BudgetMillis: 10_000})
	orders, _ = table.Take()
	g.Expect(orders).To(gomega.BeEmpty(), "the room is not free yet")
	m.stop(former)
	table.Observe(now.Add(time.Millisecond), now.Add(time.Millisecond), m.look(0))
	g.Expect(table.Load(now).Open).To(gomega.BeTrue())
	orders, _ = table.Take()
	g.Expect(orders).To(gomega.HaveLen(1))
}

// Guards against an announcement that was held up and arrives after the worker has begun a new life.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	table, _, now := newTable(g, 10)
	g.Expect(table.SetWorker(now, runs.Info{ID: "w", Born: 2, Sequence: 1, Service: "bench"})).To(gomega.BeTrue())
	g.Expect(table.SetWorker(now, runs.Info{ID: "w", Born: 1, Sequence: 9, Service: "bench"})).To(gomega.BeFalse())
	g.Expect(table.SetWorker(now, runs.Info{ID: "w", Born: 2, Sequence: 0, Service: "bench"})).To(gomega.BeFalse())
	g.Expect(table.Info().Born).To(gomega.BeEquivalentTo(2))
}

// Guards against work for a worker that leaves or on which nothing gets further.
func TestWorkerThatTakesNoWork(t *testing.T) {
	g := gomega.NewWithT(t)
	table, m, now := newTable(g, 10)
	table.Observe(now, now, m.look(0))
	table.Offer(now, 1, wire.Offer{Number: 1, Job: "a", Service: "bench", MilliCPU: 8, BudgetMillis: 10_000})
	table.Offer(now, 1, wire.Offer{Number: 2, Job: "b", Service: "bench", MilliCPU: 8, BudgetMillis: 10_000})
	orders, _ := table.Take()
	g.Expect(orders).To(gomega.HaveLen(1))
	g.Expect(m.start(orders[0].Ref, 8)).To(gomega.Succeed())
	table.Started(now, orders[0].Ref, nil)
	table.Observe(now, now.Add(time.Millisecond), m.look(0))
	later := now.Add(500 * time.Millisecond)
	table.Advance(later)
	orders, _ = table.Take()
	g.Expect(orders).To(gomega.BeEmpty(), "time without a list says nothing about the run")
	table.Observe(later, later, m.look(0))
	table.Advance(later)
	orders, messages := table.Take()
	g.Expect(orders).To(gomega.HaveLen(1))
	g.Expect(orders[0].Stop).To(gomega.BeTrue(), "the run that stands still is stopped")
	g.Expect(messages).To(gomega.HaveLen(1))
	g.Expect(messages[0].End.Outcome).To(gomega.Equal(wire.RunNotStarted), "the task that waits goes back")
	g.Expect(table.Load(later).Open).To(gomega.BeFalse())
}

// Guards against tasks that queue at a full worker while others are free: entries whose view is old send them there.
func TestTaskThatWouldWaitTooLongGoesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	table, m, now := newTable(g, 10)
	table.Observe(now, now, m.look(0))
	offer := wire.Offer{Service: "bench", MilliCPU: 8, EstimateMillis: 200, BudgetMillis: 10_000, WaitMillis: 40}
	for number := range uint64(2) {
		offer.Number, offer.Job = number+1, fmt.Sprint(number)
		table.Offer(now, 1, offer)
	}
	orders, messages := table.Take()
	g.Expect(orders).To(gomega.HaveLen(1))
	g.Expect(messages).To(gomega.HaveLen(2), "the first has begun")
	g.Expect(messages[1].End.Number).To(gomega.BeEquivalentTo(2))
	g.Expect(messages[1].End.Outcome).To(gomega.Equal(wire.RunNotStarted))
	offer.Number, offer.Job, offer.WaitMillis = 3, "patient", 0
	table.Offer(now, 1, offer)
	_, messages = table.Take()
	g.Expect(messages).To(gomega.BeEmpty(), "a task without a limit waits")
}
