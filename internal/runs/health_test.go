package runs_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against a worker that begins to fail all new runs and takes hundreds of tasks in the next half second: the runs that it
// had started before still succeeded, which ended its probation again and again, and it looked idle because failed runs end soon.
func TestWorkerThatFailsNewRunsStaysOnProbation(t *testing.T) {
	g := gomega.NewWithT(t)
	const longRuns = 8
	table, w, now := newTable(g, 100)
	table.HandleSnapshot(now, now, w.snapshot(0))
	number, failed := uint64(0), 0
	offer := func() {
		number++
		table.AddOffer(now, 1, wire.Offer{
			Number: number, Job: "j", Index: int(number), Service: "bench", MilliCPU: 5, BudgetMillis: 10_000,
		})
	}
	var healthy, faulty []runs.Ref
	startAll := func(started *[]runs.Ref) {
		commands, _ := table.TakeOutput()
		for _, c := range commands {
			g.Expect(w.start(c.Ref, 5)).To(gomega.Succeed())
			table.HandleStartResult(now, c.Ref, nil)
			*started = append(*started, c.Ref)
		}
	}
	snapshot := func() {
		table.HandleSnapshot(now, now, w.snapshot(table.LastProcessedEnd()))
	}
	for range longRuns {
		offer()
	}
	startAll(&healthy)
	for i := range 20 { // one long run succeeds for each three runs that fail
		now = now.Add(10 * time.Millisecond)
		for range 3 {
			offer()
		}
		startAll(&faulty)
		now = now.Add(time.Millisecond)
		for _, ref := range faulty {
			w.end(ref, runs.EndFailed)
			failed++
		}
		faulty = nil
		snapshot()
		if i < longRuns {
			w.end(healthy[i], runs.EndDone)
			snapshot()
		}
	}
	g.Expect(failed).To(gomega.BeNumerically("<=", 6), "runs that failed at the worker")
	g.Expect(table.Load(now).Trial).To(gomega.BeTrue())

	now = now.Add(runs.DefaultConfig().FailureBackoff)
	offer()
	startAll(&healthy)
	g.Expect(healthy).To(gomega.HaveLen(longRuns+1), "one task after the backoff")
	now = now.Add(time.Millisecond)
	w.end(healthy[longRuns], runs.EndDone)
	snapshot()
	g.Expect(table.Load(now).Trial).To(gomega.BeFalse())
}

// Guards against tasks that wait at a worker for its capacity when it is put on probation, and then fail there one after the other.
func TestWaitingTasksLeaveAWorkerOnProbation(t *testing.T) {
	g := gomega.NewWithT(t)
	table, w, now := newTable(g, 20)
	table.HandleSnapshot(now, now, w.snapshot(0))
	for number := range uint64(6) {
		table.AddOffer(now, 1, wire.Offer{
			Number: number + 1, Job: "j", Index: int(number), Service: "bench", MilliCPU: 5, EstimateMillis: 10, BudgetMillis: 10_000,
		})
	}
	commands, _ := table.TakeOutput()
	g.Expect(commands).To(gomega.HaveLen(4), "the others wait")
	now = now.Add(time.Millisecond)
	for _, c := range commands {
		g.Expect(w.start(c.Ref, 5)).To(gomega.Succeed())
		table.HandleStartResult(now, c.Ref, nil)
		w.end(c.Ref, runs.EndFailed)
	}
	table.HandleSnapshot(now, now, w.snapshot(0))
	commands, events := table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty())
	notStarted := 0
	for _, e := range events {
		if e.End != nil && e.End.Outcome == wire.RunNotStarted {
			notStarted++
		}
	}
	g.Expect(notStarted).To(gomega.Equal(2))
}
