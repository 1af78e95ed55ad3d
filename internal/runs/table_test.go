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

// errNoAnswer is the error of a call that gets no answer.
var errNoAnswer = errors.New("no answer")

// fakeWorker implements the worker's side of the protocol in memory.
type fakeWorker struct {
	startedMillis   int64
	capacity        int64
	running         map[runs.Ref]int64 // milliCPU of each run
	highest         map[job.TaskID]uint32
	finished        []runs.Finished
	lastEnd         uint64
	began           map[job.TaskID]bool // tasks of which a run has started in any incarnation
	overcommitted   bool
	ranConcurrently bool
}

func newFakeWorker(startedMillis, capacity int64) *fakeWorker {
	return &fakeWorker{
		startedMillis: startedMillis, capacity: capacity, running: make(map[runs.Ref]int64), highest: make(map[job.TaskID]uint32),
		began: make(map[job.TaskID]bool),
	}
}

func (m *fakeWorker) start(ref runs.Ref, needs int64) error {
	if _, running := m.running[ref]; running {
		return nil
	}
	if ref.Attempt <= m.highest[ref.Task] {
		return runs.ErrStaleAttempt
	}
	used := needs
	for other, n := range m.running {
		used += n
		m.ranConcurrently = m.ranConcurrently || other.Task == ref.Task
	}
	m.overcommitted = m.overcommitted || used > m.capacity
	m.highest[ref.Task] = ref.Attempt
	m.running[ref] = needs
	m.began[ref.Task] = true
	return nil
}

func (m *fakeWorker) end(ref runs.Ref, how runs.End) {
	if _, running := m.running[ref]; !running {
		return
	}
	delete(m.running, ref)
	m.lastEnd++
	m.finished = append(m.finished, runs.Finished{Ref: ref, Number: m.lastEnd, End: how})
}

func (m *fakeWorker) stop(ref runs.Ref) {
	m.highest[ref.Task] = max(m.highest[ref.Task], ref.Attempt)
	m.end(ref, runs.EndStopped)
}

func (m *fakeWorker) snapshot(acknowledgedEnd uint64) runs.Snapshot {
	s := runs.Snapshot{StartedMillis: m.startedMillis, Clock: time.Second}
	for ref := range m.running {
		s.Running = append(s.Running, runs.Running{Ref: ref, Percent: 1})
	}
	for _, f := range m.finished {
		if f.Number > acknowledgedEnd {
			s.Finished = append(s.Finished, f)
		}
	}
	return s
}

// restart starts a new incarnation that has no runs and no record of earlier ones.
func (m *fakeWorker) restart() {
	m.startedMillis++
	m.running, m.finished, m.lastEnd = make(map[runs.Ref]int64), nil, 0
	m.highest = make(map[job.TaskID]uint32)
}

// simulation drives a table against a fakeWorker.
type simulation struct {
	t      *rapid.T
	now    time.Time
	table  *runs.Table
	worker *fakeWorker
	// lateCommands holds commands without an answer that the worker has not carried out yet.
	lateCommands []runs.Command
	// delayedSnapshots holds functions that deliver snapshots which were taken but have not arrived yet.
	delayedSnapshots []func()
	needs            map[job.TaskID]int64
	ends             map[uint64]wire.RunEnd
	offers           map[uint64]job.TaskID
	lastOffer        uint64
	lastAnnouncement uint64
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: time.Unix(1000, 0), table: runs.NewTable(runs.DefaultConfig()), worker: newFakeWorker(1, 16),
		needs: make(map[job.TaskID]int64), ends: make(map[uint64]wire.RunEnd), offers: make(map[uint64]job.TaskID),
	}
	w.announce()
	w.poll()
	return w
}

func (w *simulation) announce() {
	w.lastAnnouncement++
	w.table.SetWorker(w.now, runs.Announcement{
		ID: "w", StartedMillis: w.worker.startedMillis, Sequence: w.lastAnnouncement, Service: "bench",
		Capacity: job.Resources{MilliCPU: w.worker.capacity},
	})
}

func (w *simulation) addOffer() {
	w.lastOffer++
	task := job.TaskID{Job: "j", Index: int(w.lastOffer)}
	w.needs[task] = rapid.Int64Range(1, 8).Draw(w.t, "needs")
	w.offers[w.lastOffer] = task
	w.table.AddOffer(w.now, 1, wire.Offer{
		Number: w.lastOffer, Job: task.Job, Index: task.Index, Attempt: 1, Service: "bench", MilliCPU: w.needs[task],
		SlackMillis: 50, BudgetMillis: 100_000, EstimateMillis: 50, Priority: rapid.IntRange(0, 2).Draw(w.t, "priority"),
		MaxWaitMillis: rapid.SampledFrom([]int64{0, 40}).Draw(w.t, "wait"),
	})
}

// deliverOutput delivers the commands of the table with random results, and checks its events.
func (w *simulation) deliverOutput() {
	for {
		commands, events := w.table.TakeOutput()
		for _, event := range events {
			w.checkEvent(event)
		}
		if len(commands) == 0 {
			return
		}
		for _, command := range commands {
			w.deliverCommand(command)
		}
	}
}

func (w *simulation) deliverCommand(command runs.Command) {
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "late"}).Draw(w.t, "answer") {
	case "answered":
		err := w.execute(command)
		if command.Stop {
			w.table.HandleStopResult(w.now, command.Ref, nil)
		} else {
			w.table.HandleStartResult(w.now, command.Ref, err)
		}
		return
	case "lost":
		_ = w.execute(command) // the answer is lost
	default:
		w.lateCommands = append(w.lateCommands, command)
	}
	if command.Stop {
		w.table.HandleStopResult(w.now, command.Ref, errNoAnswer)
	} else if rapid.Bool().Draw(w.t, "times out") {
		w.table.HandleStartResult(w.now, command.Ref, errNoAnswer)
	}
}

func (w *simulation) execute(command runs.Command) error {
	if command.Stop {
		w.worker.stop(command.Ref)
		return nil
	}
	return w.worker.start(command.Ref, w.needs[command.Ref.Task])
}

func (w *simulation) checkEvent(event runs.RunEvent) {
	if event.End == nil {
		return
	}
	if _, ended := w.ends[event.End.Number]; ended {
		w.t.Fatalf("offer %d ended twice", event.End.Number)
	}
	w.ends[event.End.Number] = *event.End
	task := w.offers[event.End.Number]
	if event.End.Outcome == wire.RunNotStarted && w.worker.began[task] {
		w.t.Fatalf("task %v was started and is reported as not started: %s", task, event.End.Reason)
	}
	for ref := range w.worker.running {
		if ref.Task == task {
			w.t.Fatalf("task %v is reported as ended (%v) and is still running", task, event.End.Outcome)
		}
	}
}

// poll takes a snapshot; it may arrive after later ones.
func (w *simulation) poll() {
	sent, l := w.now, w.worker.snapshot(w.table.LastSeenEnd())
	if rapid.IntRange(0, 4).Draw(w.t, "delay") == 0 {
		w.delayedSnapshots = append(w.delayedSnapshots, func() { w.table.HandleSnapshot(w.now, sent, l) })
		return
	}
	w.table.HandleSnapshot(w.now, sent, l)
}

func (w *simulation) elapse(d time.Duration) {
	w.now = w.now.Add(d)
	w.table.Advance(w.now)
}

func (w *simulation) step() {
	switch rapid.SampledFrom([]string{
		"offer", "offer", "offer", "poll", "poll", "end", "end", "fail", "withdraw", "late", "elapse", "restart", "drop", "arrive",
	}).Draw(w.t, "step") {
	case "offer":
		w.addOffer()
	case "poll":
		w.elapse(time.Millisecond)
		w.poll()
	case "end":
		w.endOneRun(runs.EndDone)
	case "fail":
		w.endOneRun(runs.EndFailed)
	case "withdraw":
		w.table.WithdrawOffer(w.now, 1, rapid.Uint64Range(1, w.lastOffer+1).Draw(w.t, "offer"))
	case "late":
		if len(w.lateCommands) > 0 {
			_ = w.execute(w.lateCommands[0]) // the table does not get the answer
			w.lateCommands = w.lateCommands[1:]
		}
	case "elapse":
		w.elapse(rapid.SampledFrom([]time.Duration{5, 30, 70}).Draw(w.t, "ms") * time.Millisecond)
	case "restart":
		w.lateCommands = nil // the lease in the commands has expired for the new incarnation
		w.worker.restart()
		w.announce()
	case "drop":
		w.table.DropOwner(w.now, 1)
	case "arrive":
		if len(w.delayedSnapshots) > 0 {
			w.delayedSnapshots[0]()
			w.delayedSnapshots = w.delayedSnapshots[1:]
		}
	}
	w.deliverOutput()
}

func (w *simulation) endOneRun(how runs.End) {
	for ref := range w.worker.running {
		w.worker.end(ref, how)
		return
	}
}

// drain lets all offers end without further faults.
func (w *simulation) drain() {
	for range 60 {
		w.elapse(70 * time.Millisecond)
		for len(w.lateCommands) > 0 {
			_ = w.execute(w.lateCommands[0])
			w.lateCommands = w.lateCommands[1:]
		}
		for ref := range w.worker.running {
			w.worker.end(ref, runs.EndDone)
		}
		sent, l := w.now, w.worker.snapshot(w.table.LastSeenEnd())
		w.table.HandleSnapshot(w.now.Add(time.Millisecond), sent, l)
		w.deliverOutput()
	}
}

// Drives a table against a worker that loses answers, executes commands late and restarts. The worker must never be used
// beyond its capacity, no task may have two runs at once, and each offer must get exactly one end, which must be true.
func TestTableKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step()
			if w.worker.overcommitted {
				t.Fatal("the worker is used beyond its capacity")
			}
			if w.worker.ranConcurrently {
				t.Fatal("a task has two runs at once")
			}
		}
		w.drain()
		for number := range w.offers {
			if _, ended := w.ends[number]; !ended {
				t.Fatalf("offer %d has not ended", number)
			}
		}
		if !w.table.Idle() {
			t.Fatal("the table is not idle after all offers have ended")
		}
	})
}

func newTable(g *gomega.WithT, capacity int64) (*runs.Table, *fakeWorker, time.Time) {
	now := time.Unix(1000, 0)
	m := newFakeWorker(1, capacity)
	table := runs.NewTable(runs.DefaultConfig())
	g.Expect(table.SetWorker(now, runs.Announcement{
		ID: "w", StartedMillis: 1, Sequence: 1, Service: "bench", Capacity: job.Resources{MilliCPU: capacity},
	})).To(gomega.BeTrue())
	return table, m, now
}

// Guards against starts by a new agent process while runs of its predecessor still use the worker.
func TestRunsOfAFormerAgentEndFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	table, m, now := newTable(g, 10)
	previous := runs.Ref{Task: job.TaskID{Job: "old"}, Attempt: 3}
	g.Expect(m.start(previous, 8)).To(gomega.Succeed())
	table.HandleSnapshot(now, now, m.snapshot(0))
	g.Expect(table.Load(now).Open).To(gomega.BeFalse())
	commands, _ := table.TakeOutput()
	g.Expect(commands).To(gomega.HaveLen(1))
	g.Expect(commands[0].Stop).To(gomega.BeTrue())
	table.AddOffer(now, 1, wire.Offer{Number: 1, Job: "new", Service: "bench", MilliCPU: 8, BudgetMillis: 10_000})
	commands, _ = table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty(), "the worker is still in use")
	m.stop(previous)
	table.HandleSnapshot(now.Add(time.Millisecond), now.Add(time.Millisecond), m.snapshot(0))
	g.Expect(table.Load(now).Open).To(gomega.BeTrue())
	commands, _ = table.TakeOutput()
	g.Expect(commands).To(gomega.HaveLen(1))
}

// Guards against an announcement that is delayed and arrives after the worker has restarted.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	table, _, now := newTable(g, 10)
	g.Expect(table.SetWorker(now, runs.Announcement{ID: "w", StartedMillis: 2, Sequence: 1, Service: "bench"})).To(gomega.BeTrue())
	g.Expect(table.SetWorker(now, runs.Announcement{ID: "w", StartedMillis: 1, Sequence: 9, Service: "bench"})).To(gomega.BeFalse())
	g.Expect(table.SetWorker(now, runs.Announcement{ID: "w", StartedMillis: 2, Sequence: 0, Service: "bench"})).To(gomega.BeFalse())
	g.Expect(table.Info().StartedMillis).To(gomega.BeEquivalentTo(2))
}

// Guards against work for a worker whose runs make no progress.
func TestWorkerThatTakesNoWork(t *testing.T) {
	g := gomega.NewWithT(t)
	table, m, now := newTable(g, 10)
	table.HandleSnapshot(now, now, m.snapshot(0))
	table.AddOffer(now, 1, wire.Offer{Number: 1, Job: "a", Service: "bench", MilliCPU: 8, BudgetMillis: 10_000})
	table.AddOffer(now, 1, wire.Offer{Number: 2, Job: "b", Service: "bench", MilliCPU: 8, BudgetMillis: 10_000})
	commands, _ := table.TakeOutput()
	g.Expect(commands).To(gomega.HaveLen(1))
	g.Expect(m.start(commands[0].Ref, 8)).To(gomega.Succeed())
	table.HandleStartResult(now, commands[0].Ref, nil)
	table.HandleSnapshot(now, now.Add(time.Millisecond), m.snapshot(0))
	later := now.Add(500 * time.Millisecond)
	table.Advance(later)
	commands, _ = table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty(), "time without a snapshot does not count as a stall")
	table.HandleSnapshot(later, later, m.snapshot(0))
	table.Advance(later)
	commands, events := table.TakeOutput()
	g.Expect(commands).To(gomega.HaveLen(1))
	g.Expect(commands[0].Stop).To(gomega.BeTrue(), "the stalled run is stopped")
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(events[0].End.Outcome).To(gomega.Equal(wire.RunNotStarted), "the waiting task is returned")
	g.Expect(table.Load(later).Open).To(gomega.BeFalse())
}

// Guards against tasks that queue at a full worker while others are free, because entries with an outdated view send them
// there.
func TestTaskThatWouldWaitTooLongGoesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	table, m, now := newTable(g, 10)
	table.HandleSnapshot(now, now, m.snapshot(0))
	offer := wire.Offer{Service: "bench", MilliCPU: 8, EstimateMillis: 200, BudgetMillis: 10_000, MaxWaitMillis: 40}
	for number := range uint64(2) {
		offer.Number, offer.Job = number+1, fmt.Sprint(number)
		table.AddOffer(now, 1, offer)
	}
	commands, events := table.TakeOutput()
	g.Expect(commands).To(gomega.HaveLen(1))
	g.Expect(events).To(gomega.HaveLen(2), "the first has started")
	g.Expect(events[1].End.Number).To(gomega.BeEquivalentTo(2))
	g.Expect(events[1].End.Outcome).To(gomega.Equal(wire.RunNotStarted))
	offer.Number, offer.Job, offer.MaxWaitMillis = 3, "unlimited", 0
	table.AddOffer(now, 1, offer)
	_, events = table.TakeOutput()
	g.Expect(events).To(gomega.BeEmpty(), "a task without a limit waits")
}
