package runs

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// minStartLease is the shortest time until a run has to end in which a task still starts on the same worker. The lease of all
// runs ends with that time, so a task that starts later would probably be lost.
const minStartLease = LeaseDuration / 2

// WithdrawOffer ends an offer whose result the entry no longer wants. A run of it is stopped, and ends within RunsEndedAfter,
// because the caller may submit the job again at another entry, which does not know of this run.
func (t *Table) WithdrawOffer(now time.Time, owner Owner, number uint64) {
	if r := t.offers[offerKey{owner, number}]; r != nil {
		t.requireEnd(r, now.Add(RunsEndedAfter))
		t.cancelRun(now, r, "withdrawn")
	}
}

// DropOwner ends all offers of an entry that is gone. From endsBy on, the entry takes their runs as ended.
func (t *Table) DropOwner(now time.Time, owner Owner, endsBy time.Time) {
	for key, r := range t.offers {
		if key.owner == owner {
			t.requireEnd(r, endsBy)
			t.cancelRun(now, r, "the entry is gone")
		}
	}
}

func (t *Table) cancelRun(now time.Time, r *run, reason string) {
	if r.state == waiting {
		t.queue.remove(r)
		t.endOffer(now, r, wire.RunNotStarted, reason)
		return
	}
	t.stopAwaiting(r)
	t.stopRun(now, r, reason)
}

// stopAwaiting records that the entry of an offer no longer waits for its result.
func (t *Table) stopAwaiting(r *run) {
	if r.withdrawn {
		return
	}
	r.withdrawn = true
	if t.awaited[r.owner]--; t.awaited[r.owner] == 0 {
		delete(t.awaited, r.owner)
	}
}

// AwaitsResult reports whether an entry waits for the result of an offer.
func (t *Table) AwaitsResult(owner Owner) bool { return t.awaited[owner] > 0 }

// stopRun stops a run. The run keeps its resources until its end is certain.
func (t *Table) stopRun(now time.Time, r *run, reason string) {
	if r.stopReason == "" {
		r.stopReason = reason
	}
	if r.state == starting || r.state == unconfirmed {
		return // the answer to the start, or the stop already sent, decides
	}
	r.state = stopping
	t.sendStop(now, r)
}

func (t *Table) sendStop(now time.Time, r *run) {
	if r.stopsSent == 0 {
		r.firstStopAt = now
	}
	r.stopsSent++
	r.stopSentAt = now
	t.commands = append(t.commands, Command{Ref: r.ref, Stop: true})
}

// requireEnd records that a run on the worker has to end by a time, because others then count on its end without being told
// of it. A stop alone can't ensure that: each one can get no answer and be carried out seconds later.
func (t *Table) requireEnd(r *run, by time.Time) {
	if t.active[r.ref] != r {
		return
	}
	if earlier, known := t.endsBy[r.ref]; !known || by.Before(earlier) {
		t.endsBy[r.ref] = by
	}
}

// LeaseLimit returns the time by which the lease of the worker has to end, the zero time if there is none: the earliest time by
// which an active run has to end. The lease is that of all runs, so it must not be extended beyond it.
func (t *Table) LeaseLimit() time.Time {
	limit := time.Time{}
	for _, by := range t.endsBy {
		if limit.IsZero() || by.Before(limit) {
			limit = by
		}
	}
	return limit
}

// LeaseRunsOut reports whether so little is left until LeaseLimit that no task may start.
func (t *Table) LeaseRunsOut(now time.Time) bool {
	limit := t.LeaseLimit()
	return !limit.IsZero() && limit.Sub(now) < minStartLease
}
