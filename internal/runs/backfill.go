package runs

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// This file decides which waiting tasks start before others that come first but don't fit yet. It answers loads of large tasks
// among many small ones: a small task starts first only if it ends before the large one can start, or fits beside it.

// maxPlannedTasks is the number of waiting tasks whose place in the plan is kept free. Tasks behind them start when they fit.
const maxPlannedTasks = 4

// runTime returns the expected run time of a waiting task on this worker.
func (t *Table) runTime(r *run, slowdown float64) time.Duration {
	return time.Duration(float64(max(r.offer.EstimateMillis, 1))*slowdown) * time.Millisecond
}

// startPlanned starts the waiting tasks whose place in the plan is now, in the order of the queue. Each of the first tasks that
// can't start yet keeps the earliest place that the active runs and the tasks before it leave.
func (t *Table) startPlanned(now time.Time) {
	if t.queue.Len() == 0 {
		return
	}
	t.queue.sort(now)
	p, slowdown, planned := t.profile(now), t.expectedSlowdown(), 0
	for _, r := range slices.Clone(t.queue.runs) {
		switch {
		case !r.expiresAt.After(now):
			t.queue.remove(r)
			t.endOffer(now, r, wire.RunNotStarted, "expired")
			continue
		case t.unfitReason(r) != "": // the worker has restarted since the offer arrived
			t.queue.remove(r)
			t.endOffer(now, r, wire.RunNotStarted, t.unfitReason(r))
			continue
		case t.hasActiveRun(r.ref.Task):
			continue
		}
		d := t.runTime(r, slowdown)
		at, found := p.earliest(r.needs, d)
		if !found {
			at = profileHorizon // only while runs exceed the capacity of a new incarnation of the worker
		}
		r.plannedIn = at
		// The capacity that is admitted after an evacuation can be less than a task needs; an idle worker starts one nevertheless.
		if found && at == 0 && t.used.Add(r.needs).FitsIn(t.admittedCapacity(now)) || len(t.active) == 0 {
			if planned > 0 {
				t.lookahead.Backfilled++
			}
			if !r.reservedUntil.IsZero() {
				t.lookahead.Kept++
				r.reservedUntil = time.Time{}
			}
			p = p.reserve(0, d, r.needs)
			t.queue.remove(r)
			t.startRun(now, r)
			continue
		}
		if found && planned < maxPlannedTasks {
			p = p.reserve(at, d, r.needs)
			planned++
		}
	}
}

// plan returns the free capacity beside the active runs and the waiting tasks that have a place in the plan.
func (t *Table) plan(now time.Time) profile {
	p, slowdown, planned := t.profile(now), t.expectedSlowdown(), 0
	for _, r := range t.queue.runs {
		d := t.runTime(r, slowdown)
		if at, found := p.earliest(r.needs, d); found && planned < maxPlannedTasks {
			p = p.reserve(at, d, r.needs)
			planned++
		}
	}
	return p
}
