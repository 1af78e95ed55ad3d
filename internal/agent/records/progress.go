package records

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Running marks a queued attempt as running. It returns false when the attempt is not queued any more, for example
// because it was cancelled; the upstream must not be called then.
func (t *Table) Running(ref Ref) bool {
	r := t.byAttempt[ref]
	if r == nil || r.state != wire.AttemptQueued {
		return false
	}
	r.state = wire.AttemptRunning
	return true
}

// Finish records the final state of a running attempt. The state of the result must be AttemptDone or AttemptUnknown;
// use Refuse for an attempt of which nothing reached the upstream. It returns false when the attempt is not open.
func (t *Table) Finish(now time.Time, ref Ref, result *wire.Result) bool {
	t.Expire(now)
	r := t.byAttempt[ref]
	if r == nil || r.over() {
		return false
	}
	r.state = wire.AttemptUnknown
	if result.State == wire.AttemptDone {
		r.state = wire.AttemptDone
	}
	r.former = nil
	kept := *result
	kept.Load = wire.Load{}
	kept.List = nil
	r.result = &kept
	r.bytes = size(&kept)
	r.expires = now.Add(t.cfg.Retention + wire.RetentionSlack)
	t.bytes += r.bytes
	t.finished.push(r)
	t.withResult.push(r)
	t.dropResults()
	return true
}

// Refuse turns an open attempt into a recorded refusal and returns the Result to send. Use it for a queued attempt
// whose deadline passed, and for a running one when the upstream refused the connection, so that nothing was sent.
// It returns nil when the attempt is not open.
func (t *Table) Refuse(now time.Time, ref Ref, reason wire.RefusalReason) *wire.Result {
	t.Expire(now)
	r := t.byAttempt[ref]
	if r == nil || r.over() {
		return nil
	}
	t.forget(r)
	r.state = wire.AttemptRefused
	t.restore(r)
	why := refusal{reason: reason}
	t.refuse(now, ref, why)
	return t.refusalResult(ref, why)
}

// restore makes the record of the former attempt count again after its retry did not start. Without it a task that
// ran once could start again.
func (t *Table) restore(retry *record) {
	former := retry.former
	if former == nil {
		return
	}
	kept := t.byAttempt[former.ref] == former
	if kept {
		t.enter(former)
	}
	if !kept || former.ref.HomeIncarnation != retry.ref.HomeIncarnation {
		t.omitCollected(retry)
	}
}

// Cancel refuses the attempts that have not started. It returns a Result for each attempt that was waiting in the
// agent's queue. An attempt that was never seen is recorded as refused too, so that a Start that arrives later does
// not run; its Result is among the returned ones. Running and finished attempts are not affected.
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
	former, ok := t.refusalOf(ref)
	if !ok && t.hasExpired(ref) {
		return expiredResult(ref)
	}
	if !ok {
		former = refusal{reason: wire.RefusedCancelled}
		t.refuse(now, ref, former)
	}
	return t.refusalResult(ref, former)
}

// Query answers for attempts of one home incarnation: the open ones in the reply, a Result for each other one. An
// attempt that was never seen is recorded as a refusal, so the home may start the task elsewhere.
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
			results = append(results, r.final())
		default:
			results = append(results, t.queryUnstarted(now, ref))
		}
	}
	return reply, results
}

func (t *Table) queryUnstarted(now time.Time, ref Ref) *wire.Result {
	former, ok := t.refusalOf(ref)
	if !ok && t.hasExpired(ref) {
		return expiredResult(ref)
	}
	if !ok {
		t.refuse(now, ref, former)
	}
	return t.refusalResult(ref, former)
}

// Expire forgets what is past the retention window. Every other method calls it; its cost is constant per record.
func (t *Table) Expire(now time.Time) {
	for t.finished.len() > 0 && !now.Before(t.finished.front().expires) {
		r := t.finished.pop()
		t.forgotten[r.ref.HomeIncarnation] = max(t.forgotten[r.ref.HomeIncarnation], r.ref.Attempt)
		t.omitCollected(r)
		t.forget(r)
	}
	for t.refusals.len() > 0 && !now.Before(t.refusals.front().expires) {
		delete(t.refused, t.refusals.pop().ref)
	}
	if len(t.floors) > 0 {
		t.expireFloors(now)
	}
}

func size(result *wire.Result) int {
	n := len(result.Body) + len(result.Error)
	for _, h := range result.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}
