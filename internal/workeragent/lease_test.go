package workeragent

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// percentOfRun is the time in which a run completes one percent of its work.
const percentOfRun = 50 * time.Millisecond

var errNoAnswer = errors.New("no answer")

// leasedWorker is a worker whose runs last until they are stopped or their lease expires. Its clock is as slow as is allowed.
type leasedWorker struct {
	bootedAt time.Time

	mu         sync.Mutex
	losesStops bool                   // stops get no answer and have no effect
	refuses    bool                   // connections are refused, as by a firewall
	runs       map[runs.Ref]time.Time // when each began
	leaseUntil time.Duration
	finished   []runs.Finished
}

func newLeasedWorker() *leasedWorker {
	return &leasedWorker{bootedAt: time.Now().Add(-time.Hour), runs: make(map[runs.Ref]time.Time)}
}

func (w *leasedWorker) clock() time.Duration {
	return time.Duration(float64(time.Since(w.bootedAt)) * (1 - runs.MaxClockDrift))
}

func (w *leasedWorker) expireLease() {
	if w.clock() >= w.leaseUntil {
		for ref := range w.runs {
			w.end(ref)
		}
	}
}

func (w *leasedWorker) end(ref runs.Ref) {
	delete(w.runs, ref)
	w.finished = append(w.finished, runs.Finished{Ref: ref, Number: uint64(len(w.finished) + 1), End: runs.EndStopped})
}

// running returns the number of runs in progress.
func (w *leasedWorker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLease()
	return len(w.runs)
}

func (w *leasedWorker) setLosesStops(loses bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.losesStops = loses
}

func (w *leasedWorker) setRefuses(refuses bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuses = refuses
}

// Start implements runs.Worker.
func (w *leasedWorker) Start(_ context.Context, _ string, s runs.Start) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLease()
	if w.refuses {
		return 0, runs.ErrNotListening
	}
	if s.LeaseUntil <= w.clock() {
		return w.clock(), runs.ErrLeaseExpired
	}
	w.leaseUntil = max(w.leaseUntil, s.LeaseUntil)
	w.runs[s.Ref] = time.Now()
	return w.clock(), nil
}

// Stop implements runs.Worker.
func (w *leasedWorker) Stop(ctx context.Context, r runs.Ref, _ uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLease()
	switch {
	case w.refuses:
		return runs.ErrNotListening
	case w.losesStops:
		return errNoAnswer
	}
	if _, running := w.runs[r]; running {
		w.end(r)
	}
	return nil
}

// Poll implements runs.Worker.
func (w *leasedWorker) Poll(_ context.Context, r runs.PollRequest) (runs.Snapshot, error) {
	time.Sleep(r.Wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLease()
	if w.refuses {
		return runs.Snapshot{}, runs.ErrNotListening
	}
	w.leaseUntil = max(w.leaseUntil, r.ExtendLeaseTo)
	s := runs.Snapshot{StartedMillis: 1, Clock: w.clock(), Finished: append([]runs.Finished(nil), w.finished...)}
	for ref, began := range w.runs {
		s.Running = append(s.Running, runs.Running{Ref: ref, Percent: min(int(time.Since(began)/percentOfRun), 99)})
	}
	return s, nil
}

// change is an event that runs a function in the control goroutine.
type change func(c *control, now time.Time)

func (e change) apply(c *control, now time.Time) { e(c, now) }

// agentState is a part of the state of an agent.
type agentState struct {
	idle       bool
	load       wire.WorkerLoad
	leaseLimit time.Time
	owners     []runs.Owner
}

// stateOf returns the present state of an agent.
func stateOf(a *Agent) agentState {
	state := make(chan agentState, 1)
	a.post(change(func(c *control, now time.Time) {
		state <- agentState{c.table.Idle(), c.table.Load(now), c.table.LeaseLimit(), slices.Collect(maps.Keys(c.owners))}
	}))
	return <-state
}

// agentWithRuns starts an agent beside a worker on which one task of each of two entries runs. One of them is out of contact from
// now on; contact keeps the other one in contact for a time.
func agentWithRuns(t *testing.T, w *leasedWorker) (a *Agent, other runs.Owner, contact func(time.Duration)) {
	g := gomega.NewWithT(t)
	a, err := New(Options{
		ID: "agent-1", Worker: w, LinkToken: "token", Log: &log.Logger{Handler: discard.Default}, Clock: clock.System{}, MaxLease: time.Second,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	go a.control.run(ctx)
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Second) // calls in progress end
	})
	g.Expect(a.ApplyAnnouncement(runs.Announcement{
		ID: "w", StartedMillis: 1, Sequence: 1, Service: "bench", Capacity: job.Resources{MilliCPU: 10},
	})).To(gomega.BeTrue())
	time.Sleep(200 * time.Millisecond) // the first snapshots arrive
	const lost = runs.Owner(1)
	other = 2
	a.post(change(func(c *control, now time.Time) {
		for _, id := range []runs.Owner{lost, other} {
			c.owners[id] = &owner{id: "entry", log: c.log, echoedAt: now, idleInterval: runs.HeartbeatInterval}
			c.table.AddOffer(now, id, wire.Offer{Number: 1, Job: string(rune('a' + id)), Service: "bench", MilliCPU: 1, BudgetMillis: 60_000})
		}
	}))
	contact = func(d time.Duration) {
		const interval = 50 * time.Millisecond
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(interval) {
			a.post(change(func(c *control, now time.Time) { c.owners[other].echoedAt = now }))
		}
	}
	return a, other, contact
}

// Guards against two runs of a task: an entry that no longer hears this agent starts its tasks elsewhere after
// runs.RunsEndedAfter, while the worker leaves each stop of the first run unanswered and the agent renews the lease.
func TestRunOfALostEntryEndsAlsoIfStopsAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newLeasedWorker()
		a, other, contact := agentWithRuns(t, w)
		w.setLosesStops(true)
		lastHeard := time.Now()
		contact(runs.OwnerTimeout)
		g.Expect(w.running()).To(gomega.Equal(2), "both entries were in contact until a moment ago")
		contact(runs.RunsEndedAfter - time.Since(lastHeard))
		g.Expect(w.running()).To(gomega.BeZero(), "the entry that is lost starts its task elsewhere now")
		w.setLosesStops(false)
		contact(200 * time.Millisecond)
		state := stateOf(a)
		g.Expect(state.idle).To(gomega.BeTrue(), "the other entry got the end of its run")
		g.Expect(state.load.Closed).To(gomega.BeEmpty())
		g.Expect(state.owners).To(gomega.ConsistOf(other))
	})
}

// Guards against runs of one entry that are lost because another one is out of contact: while stops have effect, the lease is
// renewed without a gap.
func TestLeaseGoesOnWhenRunsOfALostEntryEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newLeasedWorker()
		a, other, contact := agentWithRuns(t, w)
		contact(3 * runs.RunsEndedAfter)
		g.Expect(w.running()).To(gomega.Equal(1), "the run of the entry in contact goes on")
		state := stateOf(a)
		g.Expect(state.owners).To(gomega.ConsistOf(other))
		g.Expect(state.leaseLimit.IsZero()).To(gomega.BeTrue())
	})
}

// Guards against a worker that is closed for longer than needed: some stops in a row can get no answer without harm.
func TestLeaseOutlastsSomeLostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newLeasedWorker()
		a, _, contact := agentWithRuns(t, w)
		w.setLosesStops(true)
		contact(runs.OwnerTimeout + 200*time.Millisecond)
		g.Expect(stateOf(a).load.Closed).To(gomega.BeEmpty())
		w.setLosesStops(false)
		contact(runs.RunsEndedAfter)
		g.Expect(w.running()).To(gomega.Equal(1))
	})
}

// Guards against two runs of a task whose job was submitted again: the entry withdraws the task when the caller's connection ends, the
// worker leaves each stop unanswered, and the caller submits the job at another entry.
func TestWithdrawnRunEndsAlsoIfStopsAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newLeasedWorker()
		a, other, contact := agentWithRuns(t, w)
		contact(3 * runs.RunsEndedAfter) // the run of the lost entry has ended
		w.setLosesStops(true)
		a.post(change(func(c *control, now time.Time) { c.table.WithdrawOffer(now, other, 1) }))
		contact(runs.RunsEndedAfter)
		g.Expect(w.running()).To(gomega.BeZero())
	})
}

// Guards against two runs of a task: the entries start the tasks of a worker elsewhere when its agent reports their runs as stopped,
// while the worker refuses connections and runs on until its lease ends.
func TestRunsOfAWorkerThatRefusesConnectionsEndWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newLeasedWorker()
		a, _, contact := agentWithRuns(t, w)
		contact(runs.HeartbeatInterval)
		w.setRefuses(true)
		refusedAt := time.Now()
		for !stateOf(a).idle {
			g.Expect(time.Since(refusedAt)).To(gomega.BeNumerically("<", runs.RunsEndedAfter))
			contact(time.Millisecond)
		}
		g.Expect(w.running()).To(gomega.BeZero(), "the agent has reported the runs as stopped")
		w.setRefuses(false)
		contact(200 * time.Millisecond)
		g.Expect(stateOf(a).load.Closed).To(gomega.BeEmpty(), "the worker takes work again")
	})
}
