package records

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Decision is the decision of Admit about a Start.
type Decision uint8

// Decisions of Admit.
const (
	// Run means that the attempt was recorded as queued. MarkRunning must be called before the upstream is called.
	Run Decision = 1
	// Reply means that the Start must not run; Admission.Result is the message to send to the home.
	Reply Decision = 2
	// AlreadyOpen means that the same attempt is already queued or running; the home gets an Accepted message.
	AlreadyOpen Decision = 3
)

// Admission is the outcome of Admit. Result is set with Reply only; the caller sets its Load.
type Admission struct {
	Decision Decision
	Result   *wire.Result
}

// Admit decides whether a Start may run and records the decision. localReason is the reason for which the agent itself
// cannot run the attempt (it is busy, it is leaving, it does not serve the service), or wire.RefusedNone. Fencing and
// existing records of the same task take precedence over localReason.
func (t *Table) Admit(now time.Time, s *wire.Start, localReason wire.RefusalReason) Admission {
	t.Expire(now)
	ref := RefOf(s)
	if admission, ok := t.answerKnownAttempt(ref); ok {
		return admission
	}
	if reason := t.checkFencing(s); reason != wire.RefusedNone {
		return t.refuseStart(now, ref, refusalRecord{reason: reason})
	}
	id := taskID{s.Key, s.Task}
	previous := t.currentByTask[id]
	if previous != nil && !mayRetry(s, previous) {
		return t.refuseStart(now, ref, refusalRecord{reason: wire.RefusedDuplicate, duplicateOf: previous, differentBody: s.Digest != previous.digest})
	}
	if !s.Expires.IsZero() && now.After(s.Expires.Add(maxClockSkew)) {
		return t.refuseStart(now, ref, refusalRecord{reason: wire.RefusedExpired})
	}
	if localReason != wire.RefusedNone {
		return t.refuseStart(now, ref, refusalRecord{reason: localReason})
	}
	if len(t.byAttempt) >= t.cfg.MaxRecords {
		return t.refuseStart(now, ref, refusalRecord{reason: wire.RefusedTableFull})
	}
	if previous != nil {
		t.supersede(previous)
	}
	t.insertRecord(s, previous)
	return Admission{Decision: Run}
}

// answerKnownAttempt returns the admission of a Start whose attempt is already recorded; ok is false if it is not.
func (t *Table) answerKnownAttempt(ref Ref) (Admission, bool) {
	if r := t.byAttempt[ref]; r != nil {
		if !r.isFinished() {
			return Admission{Decision: AlreadyOpen}, true
		}
		return Admission{Decision: Reply, Result: r.finalResult()}, true
	}
	if refusal, ok := t.refusalOf(ref); ok {
		return Admission{Decision: Reply, Result: t.refusalResult(ref, refusal)}, true
	}
	if t.mayHaveExpired(ref) {
		return Admission{Decision: Reply, Result: expiredResult(ref)}, true
	}
	return Admission{}, false
}

// checkFencing refuses a Start that was sent under an outdated list of entries or by an entry that is not a member. A
// job without an idempotency key has list version 0 and is not checked.
func (t *Table) checkFencing(s *wire.Start) wire.RefusalReason {
	if s.ListVersion == 0 || t.effectiveList == nil {
		return wire.RefusedNone
	}
	if s.ListVersion < t.effectiveList.Version {
		return wire.RefusedStaleList
	}
	if !t.IsMember(s.Home, s.HomeIncarnation) {
		return wire.RefusedFenced
	}
	return wire.RefusedNone
}

func mayRetry(s *wire.Start, previous *record) bool {
	return s.Retry && s.Idempotent && previous.isFinished()
}

func (t *Table) refuseStart(now time.Time, ref Ref, refusal refusalRecord) Admission {
	t.recordRefusal(now, ref, refusal)
	return Admission{Decision: Reply, Result: t.refusalResult(ref, refusal)}
}

func (t *Table) insertRecord(s *wire.Start, previous *record) {
	r := &record{
		ref:       RefOf(s),
		id:        taskID{s.Key, s.Task},
		taskCount: s.Tasks,
		keyed:     s.ListVersion != 0,
		state:     wire.AttemptQueued,
		digest:    s.Digest,
		previous:  previous,
	}
	t.byAttempt[r.ref] = r
	t.setCurrent(r)
}

// setCurrent makes r the current record of its task.
func (t *Table) setCurrent(r *record) {
	r.superseded = false
	t.currentByTask[r.id] = r
	if r.keyed {
		t.addToHome(r)
	}
}

// supersede makes r reachable by its attempt only, because a retry becomes the current record of the task.
func (t *Table) supersede(r *record) {
	r.superseded = true
	t.markOmitted(r)
	delete(t.currentByTask, r.id)
	t.removeFromHome(r)
}

// finalResult returns the state of a record as a Result. If the result was dropped, the state is AttemptUnknown: the
// receiver would take AttemptDone without a body for a complete answer.
func (r *record) finalResult() *wire.Result {
	if r.result != nil {
		result := *r.result
		return &result
	}
	if r.state == wire.AttemptDone {
		return &wire.Result{Attempt: r.ref.Attempt, State: wire.AttemptUnknown, Error: messageResultDropped}
	}
	return &wire.Result{Attempt: r.ref.Attempt, State: r.state}
}

// Texts of Result.Error.
const (
	messageResultDropped = "the result was dropped to stay within the byte budget"
	messageRecordExpired = "the record of the attempt has expired"
	messageDifferentBody = "the task was started with another body under the same key"
)

func (t *Table) refusalResult(ref Ref, refusal refusalRecord) *wire.Result {
	result := &wire.Result{Attempt: ref.Attempt, State: wire.AttemptRefused, Reason: refusal.reason}
	switch refusal.reason {
	case wire.RefusedNone:
		result.State = wire.AttemptNeverSeen
	case wire.RefusedStaleList, wire.RefusedFenced:
		result.List = t.receivedList
	case wire.RefusedDuplicate:
		recorded := refusal.duplicateOf.finalResult()
		if refusal.differentBody {
			recorded = &wire.Result{State: wire.AttemptUnknown, Error: messageDifferentBody}
		}
		result.Recorded = recorded.State
		result.Status = recorded.Status
		result.Headers = recorded.Headers
		result.Body = recorded.Body
		result.Error = recorded.Error
	}
	return result
}
