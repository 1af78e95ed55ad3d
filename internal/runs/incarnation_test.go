package runs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against starts on a worker that leaves after a restart under its id. Its announcements count from 1 again, and a
// snapshot can show the restart before any of them arrives.
func TestWorkerThatRestartsAndLeavesGetsNoStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	table, w, now := newTable(g, 10)
	table.SetWorker(now, w.announcementOf(9, false))
	table.HandleSnapshot(now, now, w.snapshot(0))
	w.restart()
	now = now.Add(time.Millisecond)
	table.HandleSnapshot(now, now, w.snapshot(0))
	table.SetWorker(now, w.announcementOf(1, false))
	table.SetWorker(now, w.announcementOf(2, true))
	table.AddOffer(now, 1, wire.Offer{Number: 1, Job: "a", Service: "bench", MilliCPU: 8, BudgetMillis: 10_000})
	commands, _ := table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty())
	g.Expect(table.Load(now).Open).To(gomega.BeFalse())
}

// Guards against a restarted worker that stays out of use because of what its previous incarnation has announced, or that is
// used with the capacity of that one.
func TestRestartedWorkerTakesWorkAfterItsOwnAnnouncement(t *testing.T) {
	for _, restart := range []struct {
		name  string
		start int64
	}{{"later start time", 2}, {"time of day jumped back", -5}} {
		t.Run(restart.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table, w, now := newTable(g, 10)
			table.HandleSnapshot(now, now, w.snapshot(0))
			table.SetWorker(now, w.announcementOf(9, true))
			g.Expect(table.Load(now).Closed).To(gomega.Equal("the worker is draining"))
			w.restart()
			w.startedMillis, w.capacity = restart.start, 6
			now = now.Add(time.Millisecond)
			table.HandleSnapshot(now, now, w.snapshot(0))
			g.Expect(table.Load(now).Closed).To(gomega.Equal("the worker has not announced itself"))
			g.Expect(table.SetWorker(now, w.announcementOf(1, false))).To(gomega.BeTrue())
			g.Expect(table.Load(now).Open).To(gomega.BeTrue())
			g.Expect(table.Load(now).FreeMilliCPU).To(gomega.BeEquivalentTo(6))
		})
	}
}

// Guards against the report of an end of a run that goes on: it was started on the incarnation that the agent learns of only
// from this snapshot.
func TestRunOnARestartedWorkerIsNotReportedAsEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	table, w, now := newTable(g, 10)
	table.HandleSnapshot(now, now, w.snapshot(0))
	offer := wire.Offer{Number: 1, Job: "lost", Service: "bench", MilliCPU: 4, BudgetMillis: 10_000}
	table.AddOffer(now, 1, offer)
	commands, _ := table.TakeOutput()
	table.HandleStartResult(now, commands[0].Ref, w.start(commands[0].Ref, 4))
	w.restart()
	offer.Number, offer.Job = 2, "goes on"
	table.AddOffer(now, 1, offer)
	commands, _ = table.TakeOutput()
	table.HandleStartResult(now, commands[0].Ref, w.start(commands[0].Ref, 4))
	now = now.Add(time.Millisecond)
	table.HandleSnapshot(now, now, w.snapshot(0))
	commands, events := table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty())
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(events[0].End.Number).To(gomega.BeEquivalentTo(1))
	g.Expect(events[0].End.Outcome).To(gomega.Equal(wire.RunStopped))
}

// Guards against work for a worker that has announced that it ends now and still answers a poll, and against the end of runs
// because of such a notice alone, which can be a delayed one of an earlier incarnation.
func TestWorkerThatLeftIsNotUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	table, w, now := newTable(g, 10)
	table.HandleSnapshot(now, now, w.snapshot(0))
	table.AddOffer(now, 1, wire.Offer{Number: 1, Job: "a", Service: "bench", MilliCPU: 4, BudgetMillis: 10_000})
	commands, _ := table.TakeOutput()
	table.HandleStartResult(now, commands[0].Ref, w.start(commands[0].Ref, 4))
	g.Expect(table.HandleWorkerLeft(now, "another")).To(gomega.BeFalse())
	g.Expect(table.HandleWorkerLeft(now, w.id)).To(gomega.BeTrue())
	now = now.Add(time.Millisecond)
	table.HandleSnapshot(now, now, w.snapshot(0))
	table.SetWorker(now, w.announcementOf(1, false)) // the one before the notice
	g.Expect(table.Load(now).Closed).To(gomega.Equal("the worker has left"))
	_, events := table.TakeOutput()
	g.Expect(events).To(gomega.BeEmpty(), "the run goes on")
	table.SetWorker(now, w.announcementOf(2, false))
	g.Expect(table.Load(now).Open).To(gomega.BeTrue(), "the notice was not that of this incarnation")
}

// Guards against a run that counts for ever: its end was forgotten by a restarted worker, because a poll that was meant for the
// previous incarnation acknowledged it.
func TestRunThatTheWorkerNoLongerListsEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	table, w, now := newTable(g, 10)
	table.HandleSnapshot(now, now, w.snapshot(0))
	w.restart()
	table.AddOffer(now, 1, wire.Offer{Number: 1, Job: "a", Service: "bench", MilliCPU: 4, BudgetMillis: 10_000})
	commands, _ := table.TakeOutput()
	table.HandleStartResult(now, commands[0].Ref, w.start(commands[0].Ref, 4))
	now = now.Add(time.Millisecond)
	table.HandleSnapshot(now, now, w.snapshot(0))
	w.end(commands[0].Ref, runs.EndDone)
	const previousEnds = 7
	w.snapshot(previousEnds) // for a poll that was made before the restart was known
	now = now.Add(time.Millisecond)
	table.HandleSnapshot(now, now, w.snapshot(0))
	_, events := table.TakeOutput()
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(events[0].End.Outcome).To(gomega.Equal(wire.RunStopped))
	g.Expect(table.Idle()).To(gomega.BeTrue())
}

// Guards against tasks that start by the capacity and labels of a worker whose process has ended: the next one can be of another kind,
// and the agent learned of it only from the next poll.
func TestNothingStartsAfterTheWorkerClosedAConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	table, w, now := newTable(g, 10)
	table.HandleSnapshot(now, now, w.snapshot(0))
	offer := func(number uint64) []runs.Command {
		table.AddOffer(now, 1, wire.Offer{Number: number, Job: fmt.Sprint(number), Service: "bench", MilliCPU: 4, BudgetMillis: 10_000})
		commands, _ := table.TakeOutput()
		return commands
	}
	before := now
	now = now.Add(time.Millisecond)
	table.HandleConnectionClosed(now)
	g.Expect(offer(1)).To(gomega.BeEmpty())
	now = now.Add(time.Millisecond)
	table.HandleSnapshot(now, before, w.snapshot(0)) // the answer to an earlier poll, on another connection
	g.Expect(offer(2)).To(gomega.BeEmpty())
	table.HandleSnapshot(now, now, w.snapshot(0))
	g.Expect(offer(3)).To(gomega.HaveLen(1), "the same process answers")
}

// Guards against a task that starts on a worker without its label: the worker restarts under its id as another kind while the task
// waits for capacity at the agent.
func TestWaitingTaskIsNotStartedOnAnotherKindOfWorker(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	w := newFakeWorker(1, 10)
	table := runs.NewTable(runs.DefaultConfig())
	announce := func(label string) {
		a := w.announcementOf(1, false)
		a.Labels = []string{label, "rack-1"}
		table.SetWorker(now, a)
	}
	announce("a")
	table.HandleSnapshot(now, now, w.snapshot(0))
	for number := range uint64(2) {
		table.AddOffer(now, 1, wire.Offer{Number: number + 1, Job: fmt.Sprint(number), Service: "bench", Label: "a", MilliCPU: 8, BudgetMillis: 10_000})
	}
	commands, _ := table.TakeOutput()
	g.Expect(commands).To(gomega.HaveLen(1), "the other task waits")
	g.Expect(w.start(commands[0].Ref, 8)).To(gomega.Succeed())
	table.HandleStartResult(now, commands[0].Ref, nil)
	w.restart()
	now = now.Add(20 * time.Millisecond)
	announce("b")
	table.HandleSnapshot(now.Add(time.Millisecond), now.Add(time.Millisecond), w.snapshot(0))
	commands, events := table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty())
	outcomes := make(map[uint64]wire.RunOutcome)
	for _, e := range events {
		if e.End != nil {
			outcomes[e.End.Number] = e.End.Outcome
		}
	}
	g.Expect(outcomes).To(gomega.Equal(map[uint64]wire.RunOutcome{1: wire.RunStopped, 2: wire.RunNotStarted}))
	table.AddOffer(now, 1, wire.Offer{Number: 3, Job: "c", Service: "bench", Label: "a", MilliCPU: 8, BudgetMillis: 10_000})
	commands, _ = table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty(), "the entry does not know of the restart yet")
}
