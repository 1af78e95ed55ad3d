package runs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Drives a table against a worker that loses answers, executes commands late, restarts and leaves, and whose announcements
// are late, repeated or not its own. The worker must never be used beyond its capacity nor after it has announced its end, no
// task may have two runs at once, a run of a lost entry or a withdrawn one must end in time, and each offer must get exactly one
// end, which must be true.
func TestTableKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.step()
			if s.worker.overcommitted {
				t.Fatal("the worker is used beyond its capacity")
			}
			if s.worker.ranConcurrently {
				t.Fatal("a task has two runs at once")
			}
		}
		s.drain()
		for number := range s.offers {
			if _, ended := s.ends[number]; !ended {
				t.Fatalf("offer %d has not ended", number)
			}
		}
		if !s.table.Idle() {
			t.Fatal("the table is not idle after all offers have ended")
		}
	})
}

// Drives a table for seconds while no stop has effect, at the pace at which an agent polls. Each run of a lost entry and each
// withdrawn run must end in time, by the lease, and the worker must take work again afterwards.
func TestRunsEndInTimeWhileStopsAreLost(t *testing.T) {
	const (
		tick         = 10 * time.Millisecond
		ticksPerPoll = 4
	)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for i := range 300 {
			s.elapse(tick)
			s.losesStops = s.losesStops || rapid.IntRange(0, 20).Draw(t, "stops are lost from now on") == 0
			if i%ticksPerPoll == 0 {
				s.poll()
			}
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				s.addOffer()
			case 5:
				s.withdraw(rapid.Uint64Range(1, s.lastOffer+1).Draw(t, "offer"))
			case 6:
				s.loseEntry()
			case 7:
				s.endOneRun(runs.EndDone)
			}
			s.deliverOutput()
		}
		s.losesStops = false
		s.drain()
		if !s.table.Idle() {
			t.Fatal("the table is not idle after all offers have ended")
		}
		if closed := s.table.Load(s.now).Closed; closed != "" && closed != "the worker is on trial" {
			t.Fatalf("the worker takes no work: %s", closed)
		}
	})
}

func newTable(g *gomega.WithT, capacity int64) (*runs.Table, *fakeWorker, time.Time) {
	now := time.Unix(1000, 0)
	w := newFakeWorker(1, capacity)
	table := runs.NewTable(runs.DefaultConfig())
	g.Expect(table.SetWorker(now, runs.Announcement{
		ID: "w", StartedMillis: 1, Sequence: 1, Service: "bench", Capacity: job.Resources{MilliCPU: capacity},
	})).To(gomega.BeTrue())
	return table, w, now
}

// Guards against starts by a new agent process while runs of its predecessor still use the worker.
func TestRunsOfAFormerAgentEndFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	table, w, now := newTable(g, 10)
	previous := runs.Ref{Task: job.TaskID{Job: "old"}, Attempt: 3}
	g.Expect(w.start(previous, 8)).To(gomega.Succeed())
	table.HandleSnapshot(now, now, w.snapshot(0))
	g.Expect(table.Load(now).Open).To(gomega.BeFalse())
	commands, _ := table.TakeOutput()
	g.Expect(commands).To(gomega.HaveLen(1))
	g.Expect(commands[0].Stop).To(gomega.BeTrue())
	table.AddOffer(now, 1, wire.Offer{Number: 1, Job: "new", Service: "bench", MilliCPU: 8, BudgetMillis: 10_000})
	commands, _ = table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty(), "the worker is still in use")
	w.stop(previous)
	table.HandleSnapshot(now.Add(time.Millisecond), now.Add(time.Millisecond), w.snapshot(0))
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
	g.Expect(table.Announcement().StartedMillis).To(gomega.BeEquivalentTo(2))
}

// Guards against the start of a task whose offer ended between the decision and the call, because events that arrived during a
// pause of the process are applied together.
func TestStartOfAnEndedOfferIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	table, w, now := newTable(g, 10)
	table.HandleSnapshot(now, now, w.snapshot(0))
	table.AddOffer(now, 1, wire.Offer{Number: 1, Job: "a", Service: "bench", MilliCPU: 8, BudgetMillis: 10_000})
	table.HandleWorkerLost(now, "the worker does not listen")
	commands, events := table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty())
	g.Expect(events[len(events)-1].End).NotTo(gomega.BeNil())
}

// Guards against work for a worker whose runs make no progress.
func TestWorkerThatTakesNoWork(t *testing.T) {
	g := gomega.NewWithT(t)
	table, w, now := newTable(g, 10)
	table.HandleSnapshot(now, now, w.snapshot(0))
	table.AddOffer(now, 1, wire.Offer{Number: 1, Job: "a", Service: "bench", MilliCPU: 8, BudgetMillis: 10_000})
	table.AddOffer(now, 1, wire.Offer{Number: 2, Job: "b", Service: "bench", MilliCPU: 8, BudgetMillis: 10_000})
	commands, _ := table.TakeOutput()
	g.Expect(commands).To(gomega.HaveLen(1))
	g.Expect(w.start(commands[0].Ref, 8)).To(gomega.Succeed())
	table.HandleStartResult(now, commands[0].Ref, nil)
	table.HandleSnapshot(now, now.Add(time.Millisecond), w.snapshot(0))
	later := now.Add(500 * time.Millisecond)
	table.Advance(later)
	commands, _ = table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty(), "time without a snapshot does not count as a stall")
	table.HandleSnapshot(later, later, w.snapshot(0))
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
	table, w, now := newTable(g, 10)
	table.HandleSnapshot(now, now, w.snapshot(0))
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
