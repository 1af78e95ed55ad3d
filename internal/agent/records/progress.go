package records

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// MarkRunning marks a queued attempt as running. It returns false when the attempt is no longer queued, for example because
// it was cancelled; the upstream must not be called then.
func (t *Table) MarkRunning(ref Ref) bool {
	r := t.byAttempt[ref]
	if r == nil || r.state != wire.AttemptQueued {
		return false
	}
	r.state = wire.AttemptRunning
	return true
}

// Finish records the final state of a running attempt. The state of the result must be AttemptDone or AttemptUnknown;
// Refuse is for attempts of which nothing was sent to the upstream. It returns false when the attempt has no record or
// is already finished.
func (t *Table) Finish(now time.Time, ref Ref, result *wire.Result) bool {
	t.Expire(now)
	r := t.byAttempt[ref]
	if r == nil || r.isFinished() {
		return false
	}
	r.state = wire.AttemptUnknown
	if result.State == wire.AttemptDone {
		r.state = wire.AttemptDone
	}
	r.previous = nil
	kept := *result
	kept.Load = wire.Load{}
	kept.List = nil
	r.result = &kept
	r.resultBytes = resultSize(&kept)
	r.expires = now.Add(t.cfg.Retention + wire.RetentionSlack)
	t.resultBytes += r.resultBytes
	t.finishedByExpiry.push(r)
	t.withResult.push(r)
	t.dropOldestResults()
	return true
}

// Refuse turns a queued or running attempt into a recorded refusal and returns the Result to send. It is for a queued
// attempt whose deadline has passed, and for a running one of which nothing was sent because the upstream refused the
// connection. It returns nil when the attempt has no record or is already finished.
func (t *Table) Refuse(now time.Time, ref Ref, reason wire.RefusalReason) *wire.Result {
	t.Expire(now)
	r := t.byAttempt[ref]
	if r == nil || r.isFinished() {
		return nil
	}
	t.removeRecord(r)
	r.state = wire.AttemptRefused
	t.restorePrevious(r)
	refusal := refusalRecord{reason: reason}
	t.recordRefusal(now, ref, refusal)
	return t.refusalResult(ref, refusal)
}

// restorePrevious makes the record that a retry superseded the current one of the task again, because the retry did not
// start. Without it, a task that has run could start a second time.
func (t *Table) restorePrevious(retry *record) {
	previous := retry.previous
	if previous == nil {
		return
	}
	previousKept := t.byAttempt[previous.ref] == previous
	if previousKept {
		t.setCurrent(previous)
	}
	if !previousKept || previous.ref.HomeIncarnation != retry.ref.HomeIncarnation {
		t.markOmitted(retry)
	}
}

// Cancel refuses the attempts that have not started and returns a Result for each of them. An attempt that was not
// received yet is recorded as refused, too, so that a Start that arrives later does not run. An attempt whose record may
// have expired gets a Result in state AttemptUnknown. Running and finished attempts are not affected and get no Result.
func (t *Table) Cancel(now time.Time, homeIncarnation uint64, attempts []uint64) []*wire.Result {
	t.Expire(now)
	var results []*wire.Result
	for _, attempt := range attempts {
		ref := Ref{homeIncarnation, attempt}
		if result := t.cancel(now, ref); result != nil {
			results = append(results, result)
		}
	}
	return results
}

func (t *Table) cancel(now time.Time, ref Ref) *wire.Result {
	if r := t.byAttempt[ref]; r != nil {
		if r.state != wire.AttemptQueued {
			return nil
		}
		return t.Refuse(now, ref, wire.RefusedCancelled)
	}
	refusal, ok := t.refusalOf(ref)
	if !ok && t.mayHaveExpired(ref) {
		return expiredResult(ref)
	}
	if !ok {
		refusal = refusalRecord{reason: wire.RefusedCancelled}
		t.recordRefusal(now, ref, refusal)
	}
	return t.refusalResult(ref, refusal)
}

// Query returns the state of attempts of one home incarnation: the queued and running ones in the reply, and a Result for
// each other one. An attempt that was not received yet is recorded as refused, so the home may start its task elsewhere.
func (t *Table) Query(now time.Time, homeIncarnation uint64, attempts []uint64) (*wire.QueryReply, []*wire.Result) {
	t.Expire(now)
	reply := new(wire.QueryReply)
	var results []*wire.Result
	for _, attempt := range attempts {
		ref := Ref{homeIncarnation, attempt}
		r := t.byAttempt[ref]
		switch {
		case r != nil && r.state == wire.AttemptQueued:
			reply.Queued = append(reply.Queued, attempt)
		case r != nil && r.state == wire.AttemptRunning:
			reply.Running = append(reply.Running, attempt)
		case r != nil:
			results = append(results, r.finalResult())
		default:
			results = append(results, t.queryWithoutRecord(now, ref))
		}
	}
	return reply, results
}

func (t *Table) queryWithoutRecord(now time.Time, ref Ref) *wire.Result {
	refusal, ok := t.refusalOf(ref)
	if !ok && t.mayHaveExpired(ref) {
		return expiredResult(ref)
	}
	if !ok {
		t.recordRefusal(now, ref, refusal)
	}
	return t.refusalResult(ref, refusal)
}

// Expire removes records and refusals that are past the retention window. All methods that take the current time call
// it. Its cost is constant per removed record.
func (t *Table) Expire(now time.Time) {
	for t.finishedByExpiry.len() > 0 && !now.Before(t.finishedByExpiry.front().expires) {
		r := t.finishedByExpiry.pop()
		t.highestExpired[r.ref.HomeIncarnation] = max(t.highestExpired[r.ref.HomeIncarnation], r.ref.Attempt)
		t.markOmitted(r)
		t.removeRecord(r)
	}
	for t.refusalsByExpiry.len() > 0 && !now.Before(t.refusalsByExpiry.front().expires) {
		delete(t.refused, t.refusalsByExpiry.pop().ref)
	}
	if len(t.refusalFloors) > 0 {
		t.expireFloors(now)
	}
}

func resultSize(result *wire.Result) int {
	n := len(result.Body) + len(result.Error)
	for _, h := range result.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}
