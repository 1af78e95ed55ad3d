package runs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// longRunTable is a table whose worker runs one task at a time.
type longRunTable struct {
	table *runs.Table
	now   time.Time
	offer uint64
	ends  uint64
}

func newLongRunTable() *longRunTable {
	config := runs.DefaultConfig()
	config.MoveLongRuns = true
	l := &longRunTable{table: runs.NewTable(config), now: time.Unix(1000, 0)}
	l.table.SetWorker(l.now, runs.Announcement{ID: "w", StartedMillis: 1, Sequence: 1, Service: "bench", Capacity: job.Resources{MilliCPU: 1000}})
	l.table.HandleSnapshot(l.now, l.now, runs.Snapshot{StartedMillis: 1, Clock: time.Second})
	return l
}

// isStopped runs a task of 200 ms that has done some percent of its work after 80 ms, and reports whether it is stopped.
func (l *longRunTable) isStopped(attempt uint32, percent int) bool {
	l.offer++
	l.table.AddOffer(l.now, 1, wire.Offer{
		Number: l.offer, Job: fmt.Sprint(l.offer), Attempt: attempt, Service: "bench", MilliCPU: 1000, EstimateMillis: 200, SlackMillis: 100, BudgetMillis: 5000,
	})
	commands, _ := l.table.TakeOutput()
	ref := commands[0].Ref
	l.table.HandleStartResult(l.now, ref, nil)
	l.now = l.now.Add(80 * time.Millisecond)
	l.table.HandleSnapshot(l.now, l.now, runs.Snapshot{StartedMillis: 1, Clock: time.Second, Running: []runs.Running{{Ref: ref, Percent: percent}}})
	commands, _ = l.table.TakeOutput()
	l.now = l.now.Add(120 * time.Millisecond)
	l.ends++
	end := runs.EndDone
	if len(commands) > 0 {
		end = runs.EndStopped
	}
	l.table.HandleSnapshot(l.now, l.now, runs.Snapshot{StartedMillis: 1, Clock: time.Second, Finished: []runs.Finished{{Ref: ref, Number: l.ends, End: end}}})
	l.table.TakeOutput()
	return len(commands) > 0
}

// Guards against a long run that holds its capacity to its end, against moving a run of ordinary length, and against moving a
// task from worker to worker.
func TestLongRunsAreMovedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLongRunTable()
	g.Expect(l.isStopped(1, 30)).To(gomega.BeFalse(), "a run that deviates by 0.4 from the estimate")
	g.Expect(l.isStopped(1, 6)).To(gomega.BeTrue())
	g.Expect(l.isStopped(2, 6)).To(gomega.BeFalse())
}

// Guards against moving the runs of a worker that was paused for a moment.
func TestRunsOfAPausedWorkerAreNotLong(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLongRunTable()
	l.table.AddOffer(l.now, 1, wire.Offer{
		Number: 1, Job: "j", Attempt: 1, Service: "bench", MilliCPU: 1000, EstimateMillis: 200, SlackMillis: 100, BudgetMillis: 5000,
	})
	commands, _ := l.table.TakeOutput()
	l.table.HandleStartResult(l.now, commands[0].Ref, nil)
	for _, step := range []struct {
		after   time.Duration
		percent int
	}{{110, 10}, {40, 25}, {40, 45}} {
		l.now = l.now.Add(step.after * time.Millisecond)
		l.table.HandleSnapshot(l.now, l.now, runs.Snapshot{
			StartedMillis: 1, Clock: time.Second, Running: []runs.Running{{Ref: commands[0].Ref, Percent: step.percent}},
		})
		stops, _ := l.table.TakeOutput()
		g.Expect(stops).To(gomega.BeEmpty())
	}
}

// Guards against wasting the work of tasks that take long on every worker.
func TestLongTasksAreNotMoved(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLongRunTable()
	for range 5 {
		g.Expect(l.isStopped(2, 6)).To(gomega.BeFalse())
		l.now = l.now.Add(time.Second) // the worker as a whole is not slow
	}
	g.Expect(l.isStopped(1, 6)).To(gomega.BeFalse(), "second attempts were long as well")
}
