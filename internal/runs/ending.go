package runs

import "time"

// minStartLease is the shortest time until a run has to end in which a task still starts on the same worker. The lease of all
// runs ends with that time, so a task that starts later would probably be lost.
const minStartLease = LeaseDuration / 2

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
