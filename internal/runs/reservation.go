package runs

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// This file decides which reservations an agent holds. It answers a demand above the capacity, at which a task that needs more
// than what one ending run frees never finds a worker with room, because smaller tasks of other entries arrive first.
//
// A reservation is an offer that waits at the agent, so it ends like one: with the start of the task, when the entry withdraws it
// or is out of contact, when the worker takes no more work or the agent restarts, and after wire.Offer.ReserveMillis at the latest.

// Bounds of the reservations on one worker, over all entries.
const (
	maxReservations = 3
	// maxReservedShare is the largest share of the capacity that is reserved beyond the first reservation.
	maxReservedShare = 0.5
)

// Lookahead counts what became of reservations and of the tasks that passed them.
type Lookahead struct {
	// Made counts reservations, Refused those that were refused because of others or because nothing becomes free in time.
	Made    int64 `json:"made"`
	Refused int64 `json:"refused"`
	// Kept counts reservations whose task has started, Expired those that were returned because it had not started in time.
	Kept    int64 `json:"kept"`
	Expired int64 `json:"expired"`
	// Released counts those that ended otherwise: the job has ended, the entry is out of contact or the worker takes no work.
	Released int64 `json:"released"`
	// Backfilled counts tasks that started before one that came first.
	Backfilled int64 `json:"backfilled"`
}

// Lookahead returns the counters of reservations since the start of the agent.
func (t *Table) Lookahead() Lookahead { return t.lookahead }

// admitReservation records the reservation of a task, unless the worker holds too many.
func (t *Table) admitReservation(now time.Time, r *run) bool {
	count, reserved := t.reservations()
	limit := int64(maxReservedShare * float64(t.announcement.Capacity.MilliCPU))
	if count >= maxReservations || count > 0 && reserved+r.needs.MilliCPU > limit {
		t.lookahead.Refused++
		return false
	}
	t.lookahead.Made++
	r.reservedUntil = now.Add(time.Duration(r.offer.ReserveMillis) * time.Millisecond)
	return true
}

// reservations returns the number of waiting tasks with a reservation and the sum of their needs, in thousandths of a core.
func (t *Table) reservations() (count int, milliCPU int64) {
	for _, r := range t.queue.runs {
		if !r.reservedUntil.IsZero() {
			count++
			milliCPU += r.needs.MilliCPU
		}
	}
	return count, milliCPU
}

// expireReservations returns the reserved tasks that have not started in time.
func (t *Table) expireReservations(now time.Time) {
	if t.config.Placement != PlaceAhead {
		return
	}
	for _, r := range slices.Clone(t.queue.runs) {
		if !r.reservedUntil.IsZero() && !r.reservedUntil.After(now) {
			t.lookahead.Expired++
			r.reservedUntil = time.Time{}
			t.queue.remove(r)
			t.endOffer(now, r, wire.RunNotStarted, "the reservation has expired")
		}
	}
}

// returnIfLate returns a task that has just arrived if it would wait for longer than its entry expects.
func (t *Table) returnIfLate(now time.Time, r *run) {
	limit := time.Duration(max(r.offer.MaxWaitMillis, r.offer.ReserveMillis)) * time.Millisecond
	if r.state == waiting && limit > 0 && r.plannedIn > limit {
		if !r.reservedUntil.IsZero() {
			t.lookahead.Made--
			t.lookahead.Refused++
			r.reservedUntil = time.Time{}
		}
		t.queue.remove(r)
		t.endOffer(now, r, wire.RunNotStarted, "the worker has no room soon")
	}
}

// addPlan adds the free capacity of the plan to a load report, unless so much is free that entries don't need it.
func (t *Table) addPlan(now time.Time, load *wire.WorkerLoad) {
	if t.config.Placement != PlaceAhead || !load.Open || load.FreeMilliCPU > t.Announcement().Capacity.MilliCPU/plainFreeDivisor {
		return
	}
	load.Free = t.plan(now).report()
	load.Reservations, _ = t.reservations()
}

// plainFreeDivisor is the share of the capacity above which the free capacity is reported as one figure. Tasks of the users need
// up to a sixth of a worker.
const plainFreeDivisor = 4
