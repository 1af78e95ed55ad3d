package records

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Verdict tells what to do with a Start.
type Verdict uint8

// Verdicts of Admit.
const (
	// Run: the attempt was recorded as queued. Call Running before the upstream is called.
	Run Verdict = 1
	// Reply: the attempt does not run now; send Admission.Result.
	Reply Verdict = 2
	// Open: the same attempt is queued or running already; acknowledge it with Accepted.
	Open Verdict = 3
)

// Admission is the answer of Admit. Result is set with Reply only; its Load is left to the caller.
type Admission struct {
	Verdict Verdict
	Result  *wire.Result
}

// Admit decides on a Start and records the decision. The argument local is the reason of the agent itself to refuse
// the attempt (busy, leaving, not served), or RefusedNone. Fencing and records of the same task come before it.
func (t *Table) Admit(now time.Time, s *wire.Start, local wire.RefusalReason) Admission {
	t.Expire(now)
	ref := RefOf(s)
	if known, ok := t.known(ref); ok {
		return known
	}
	if reason := t.fence(s); reason != wire.RefusedNone {
		return t.turnDown(now, ref, refusal{reason: reason})
	}
	id := taskID{s.Key, s.Task}
	former := t.byTask[id]
	if former != nil && !mayRepeat(s, former) {
		return t.turnDown(now, ref, refusal{reason: wire.RefusedDuplicate, of: former, foreign: s.Digest != former.digest})
	}
	if !s.Expires.IsZero() && now.After(s.Expires.Add(clockSkew)) {
		return t.turnDown(now, ref, refusal{reason: wire.RefusedExpired})
	}
	if local != wire.RefusedNone {
		return t.turnDown(now, ref, refusal{reason: local})
	}
	if len(t.byAttempt) >= t.cfg.MaxRecords {
		return t.turnDown(now, ref, refusal{reason: wire.RefusedFull})
	}
	if former != nil {
		t.supersede(former)
	}
	t.insert(s, former)
	return Admission{Verdict: Run}
}

// known answers a Start whose attempt was seen before.
func (t *Table) known(ref Ref) (Admission, bool) {
	if r := t.byAttempt[ref]; r != nil {
		if !r.over() {
			return Admission{Verdict: Open}, true
		}
		return Admission{Verdict: Reply, Result: r.final()}, true
	}
	if former, ok := t.refusalOf(ref); ok {
		return Admission{Verdict: Reply, Result: t.refusalResult(ref, former)}, true
	}
	if t.hasExpired(ref) {
		return Admission{Verdict: Reply, Result: expiredResult(ref)}, true
	}
	return Admission{}, false
}

// fence applies the checks of the list of entries. A job without a caller's key has list version 0 and passes.
func (t *Table) fence(s *wire.Start) wire.RefusalReason {
	if s.ListVersion == 0 || t.list == nil {
		return wire.RefusedNone
	}
	if s.ListVersion < t.list.Version {
		return wire.RefusedStaleList
	}
	if !t.IsMember(s.Home, s.HomeIncarnation) {
		return wire.RefusedFenced
	}
	return wire.RefusedNone
}

func mayRepeat(s *wire.Start, former *record) bool {
	return s.Retry && s.Idempotent && former.over()
}

func (t *Table) turnDown(now time.Time, ref Ref, why refusal) Admission {
	t.refuse(now, ref, why)
	return Admission{Verdict: Reply, Result: t.refusalResult(ref, why)}
}

func (t *Table) insert(s *wire.Start, former *record) {
	r := &record{
		ref:    RefOf(s),
		id:     taskID{s.Key, s.Task},
		tasks:  s.Tasks,
		keyed:  s.ListVersion != 0,
		state:  wire.AttemptQueued,
		digest: s.Digest,
		former: former,
	}
	t.byAttempt[r.ref] = r
	t.enter(r)
}

// enter makes r the record of its task.
func (t *Table) enter(r *record) {
	r.superseded = false
	t.byTask[r.id] = r
	if r.keyed {
		t.link(r)
	}
}

// supersede keeps the record of a former attempt for queries of that attempt only.
func (t *Table) supersede(r *record) {
	r.superseded = true
	t.omitCollected(r)
	delete(t.byTask, r.id)
	t.unlink(r)
}

// final returns the state of a record as a Result. An answer that was dropped is reported as AttemptUnknown, because
// a Result with AttemptDone and no body would pass for a whole answer.
func (r *record) final() *wire.Result {
	if r.result != nil {
		result := *r.result
		return &result
	}
	if r.state == wire.AttemptDone {
		return &wire.Result{Attempt: r.ref.Attempt, State: wire.AttemptUnknown, Error: errDropped}
	}
	return &wire.Result{Attempt: r.ref.Attempt, State: r.state}
}

// Texts of Result.Error.
const (
	errDropped = "the result was dropped to stay within the byte budget"
	errExpired = "the record of the attempt has expired"
	errForeign = "the task was started with another body under the same key"
)

func (t *Table) refusalResult(ref Ref, why refusal) *wire.Result {
	result := &wire.Result{Attempt: ref.Attempt, State: wire.AttemptRefused, Reason: why.reason}
	switch why.reason {
	case wire.RefusedNone:
		result.State = wire.AttemptNeverSeen
	case wire.RefusedStaleList, wire.RefusedFenced:
		result.List = t.received
	case wire.RefusedDuplicate:
		recorded := why.of.final()
		if why.foreign {
			recorded = &wire.Result{State: wire.AttemptUnknown, Error: errForeign}
		}
		result.Recorded = recorded.State
		result.Status = recorded.Status
		result.Headers = recorded.Headers
		result.Body = recorded.Body
		result.Error = recorded.Error
	}
	return result
}
