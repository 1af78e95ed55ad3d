package records

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// recordRefusal records that an attempt will never start. It must be called before the refusal is sent to the home.
func (t *Table) recordRefusal(now time.Time, ref Ref, refusal refusalRecord) {
	if t.refusalsByExpiry.len() >= t.cfg.MaxRefusals {
		t.raiseFloor(now)
	}
	t.refused[ref] = refusal
	t.refusalsByExpiry.push(refusalExpiry{ref, now.Add(t.cfg.Retention + wire.RetentionSlack)})
}

// raiseFloor discards the oldest refusal. From then on, every attempt of that home with the same or a lower number and
// without a record counts as refused. Homes assign ascending attempt numbers, so at most a few attempts that are in
// transit are refused in addition, and the home retries them.
func (t *Table) raiseFloor(now time.Time) {
	oldest := t.refusalsByExpiry.pop()
	delete(t.refused, oldest.ref)
	f := t.refusalFloors[oldest.ref.HomeIncarnation]
	f.attempt = max(f.attempt, oldest.ref.Attempt)
	f.expires = now.Add(t.cfg.Retention + wire.RetentionSlack)
	t.refusalFloors[oldest.ref.HomeIncarnation] = f
}

func (t *Table) refusalOf(ref Ref) (refusalRecord, bool) {
	if refusal, ok := t.refused[ref]; ok {
		return refusal, true
	}
	if f, ok := t.refusalFloors[ref.HomeIncarnation]; ok && ref.Attempt <= f.attempt {
		return refusalRecord{reason: wire.RefusedTableFull}, true
	}
	return refusalRecord{}, false
}

// mayHaveExpired reports whether an attempt without a record may have had one that has expired.
func (t *Table) mayHaveExpired(ref Ref) bool {
	highest, ok := t.highestExpired[ref.HomeIncarnation]
	return ok && ref.Attempt <= highest
}

func expiredResult(ref Ref) *wire.Result {
	return &wire.Result{Attempt: ref.Attempt, State: wire.AttemptUnknown, Error: messageRecordExpired}
}

// pruneHighestExpired removes the home incarnations that are not members of the list.
func (t *Table) pruneHighestExpired() {
	members := make(map[uint64]bool)
	for _, m := range t.effectiveList.Members {
		members[m.Incarnation] = true
	}
	for home := range t.highestExpired {
		if !members[home] {
			delete(t.highestExpired, home)
		}
	}
}

// markOmitted notes that later answers to Collect leave out r, although an earlier one listed it as open and its task may
// have started.
func (t *Table) markOmitted(r *record) {
	if r.collectedOpen {
		t.omittedHomes[r.ref.HomeIncarnation] = struct{}{}
	}
}

// pruneOmittedHomes removes the homes that are no longer among the departed entries of the list. No entry collects their
// records any more.
func (t *Table) pruneOmittedHomes() {
	for home := range t.omittedHomes {
		departed := slices.ContainsFunc(t.effectiveList.Departed, func(d wire.Departed) bool { return d.Incarnation == home })
		if !departed {
			delete(t.omittedHomes, home)
		}
	}
}

func (t *Table) expireFloors(now time.Time) {
	for home, f := range t.refusalFloors {
		if !now.Before(f.expires) {
			delete(t.refusalFloors, home)
		}
	}
}

// dropOldestResults drops the oldest results until their total size is within MaxResultBytes. Their records stay.
func (t *Table) dropOldestResults() {
	for t.resultBytes > t.cfg.MaxResultBytes && t.withResult.len() > 0 {
		t.dropResult(t.withResult.pop())
	}
}

func (t *Table) dropResult(r *record) {
	t.resultBytes -= r.resultBytes
	r.resultBytes = 0
	r.result = nil
}

// removeRecord removes r from all indexes. The queue withResult drops it lazily, when r is at its front.
func (t *Table) removeRecord(r *record) {
	delete(t.byAttempt, r.ref)
	if !r.superseded {
		delete(t.currentByTask, r.id)
		t.removeFromHome(r)
	}
	t.dropResult(r)
	for t.withResult.len() > 0 && t.withResult.front().result == nil {
		t.withResult.pop()
	}
}

func (t *Table) addToHome(r *record) {
	first := t.firstByHome[r.ref.HomeIncarnation]
	r.nextOfHome = first
	if first != nil {
		first.prevOfHome = r
	}
	t.firstByHome[r.ref.HomeIncarnation] = r
}

func (t *Table) removeFromHome(r *record) {
	if !r.keyed {
		return
	}
	if r.nextOfHome != nil {
		r.nextOfHome.prevOfHome = r.prevOfHome
	}
	switch {
	case r.prevOfHome != nil:
		r.prevOfHome.nextOfHome = r.nextOfHome
	case r.nextOfHome != nil:
		t.firstByHome[r.ref.HomeIncarnation] = r.nextOfHome
	default:
		delete(t.firstByHome, r.ref.HomeIncarnation)
	}
	r.prevOfHome, r.nextOfHome = nil, nil
}
