package records

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// refuse records that an attempt will never start. It must precede the message that tells so.
func (t *Table) refuse(now time.Time, ref Ref, why refusal) {
	if t.refusals.len() >= t.cfg.MaxRefusals {
		t.raiseFloor(now)
	}
	t.refused[ref] = why
	t.refusals.push(refusalExpiry{ref, now.Add(t.cfg.Retention + wire.RetentionSlack)})
}

// raiseFloor forgets the oldest refusal. Every attempt of that home with the same or a lower number and without a
// record counts as refused from then on. Homes number their attempts upwards, so this refuses a few attempts that
// are on their way at most, and the home sends them again.
func (t *Table) raiseFloor(now time.Time) {
	oldest := t.refusals.pop()
	delete(t.refused, oldest.ref)
	f := t.floors[oldest.ref.HomeIncarnation]
	f.attempt = max(f.attempt, oldest.ref.Attempt)
	f.expires = now.Add(t.cfg.Retention + wire.RetentionSlack)
	t.floors[oldest.ref.HomeIncarnation] = f
}

func (t *Table) refusalOf(ref Ref) (refusal, bool) {
	if why, ok := t.refused[ref]; ok {
		return why, true
	}
	if f, ok := t.floors[ref.HomeIncarnation]; ok && ref.Attempt <= f.attempt {
		return refusal{reason: wire.RefusedFull}, true
	}
	return refusal{}, false
}

// hasExpired tells whether the record of an unknown attempt may have expired.
func (t *Table) hasExpired(ref Ref) bool {
	highest, ok := t.forgotten[ref.HomeIncarnation]
	return ok && ref.Attempt <= highest
}

func expiredResult(ref Ref) *wire.Result {
	return &wire.Result{Attempt: ref.Attempt, State: wire.AttemptUnknown, Error: errExpired}
}

func (t *Table) pruneForgotten() {
	members := make(map[uint64]bool)
	for _, m := range t.list.Members {
		members[m.Incarnation] = true
	}
	for home := range t.forgotten {
		if !members[home] {
			delete(t.forgotten, home)
		}
	}
}

// omitCollected notes that later answers to Collect do not list r any more, although its task may have started.
func (t *Table) omitCollected(r *record) {
	if r.collected {
		t.expired[r.ref.HomeIncarnation] = struct{}{}
	}
}

// pruneExpired forgets the homes that no entry asks for any more, because they are no longer among the departed ones.
func (t *Table) pruneExpired() {
	for home := range t.expired {
		departed := slices.ContainsFunc(t.list.Departed, func(d wire.Departed) bool { return d.Incarnation == home })
		if !departed {
			delete(t.expired, home)
		}
	}
}

func (t *Table) expireFloors(now time.Time) {
	for home, f := range t.floors {
		if !now.Before(f.expires) {
			delete(t.floors, home)
		}
	}
}

// dropResults drops the oldest answers until the byte budget holds. The record of the start stays.
func (t *Table) dropResults() {
	for t.bytes > t.cfg.MaxResultBytes && t.withResult.len() > 0 {
		t.release(t.withResult.pop())
	}
}

func (t *Table) release(r *record) {
	t.bytes -= r.bytes
	r.bytes = 0
	r.result = nil
}

func (t *Table) forget(r *record) {
	delete(t.byAttempt, r.ref)
	if !r.superseded {
		delete(t.byTask, r.id)
		t.unlink(r)
	}
	t.release(r)
	for t.withResult.len() > 0 && t.withResult.front().result == nil {
		t.withResult.pop()
	}
}

func (t *Table) link(r *record) {
	first := t.byHome[r.ref.HomeIncarnation]
	r.next = first
	if first != nil {
		first.prev = r
	}
	t.byHome[r.ref.HomeIncarnation] = r
}

func (t *Table) unlink(r *record) {
	if !r.keyed {
		return
	}
	if r.next != nil {
		r.next.prev = r.prev
	}
	switch {
	case r.prev != nil:
		r.prev.next = r.next
	case r.next != nil:
		t.byHome[r.ref.HomeIncarnation] = r.next
	default:
		delete(t.byHome, r.ref.HomeIncarnation)
	}
	r.prev, r.next = nil, nil
}
