package dispatch

import (
	"math"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Parameters of the handling of refused attempts.
const (
	// avoidAfterBusy is the time for which a task avoids an upstream that had no room. avoidDefault is that time after
	// other refusals and after failures.
	avoidAfterBusy = instant(20 * time.Millisecond)
	avoidDefault   = instant(1 * time.Second)
	// minRefusalBackoff and maxRefusalBackoff bound the time for which an upstream gets no work after it could not be
	// reached or its agent refused an attempt for another reason that persists. The time doubles with each such
	// refusal.
	minRefusalBackoff = instant(50 * time.Millisecond)
	maxRefusalBackoff = instant(2 * time.Second)
	// minRequeueDelay and maxRequeueDelay bound the delay before a task that was refused more than once is queued
	// again. Without the delay, refusals could cause a busy loop.
	minRequeueDelay = instant(1 * time.Millisecond)
	maxRequeueDelay = instant(100 * time.Millisecond)
)

// FinishAttempt implements Policy.
func (e *engine) FinishAttempt(now time.Time, ref TaskRef, id string, r Result) FinishStatus {
	at := e.instantOf(now)
	u := e.upstreams[id]
	if u == nil {
		return UnknownAttempt
	}
	i := u.findAttempt(ref)
	if i < 0 {
		return UnknownAttempt
	}
	a := u.removeAttempt(i)
	t := a.task
	t.openAttempts--
	e.learnFromResult(at, u, a, r)
	if !u.removed {
		e.updateAvailability(u, at)
	}
	if t.state == stateEnded {
		return UnknownAttempt
	}
	return e.endOrRequeueTask(at, t, u, r)
}

// findAttempt returns the index of the open attempt of a task, or -1.
func (u *upstream) findAttempt(ref TaskRef) int {
	for i := range u.attempts {
		if t := u.attempts[i].task; t.job.id == ref.Job && t.index == ref.Index {
			return i
		}
	}
	return -1
}

// endOrRequeueTask ends a task after the end of one of its attempts, or queues it again. A task with another open attempt
// stays as it is unless the attempt succeeded.
func (e *engine) endOrRequeueTask(now instant, t *task, u *upstream, r Result) FinishStatus {
	if r.State != Refused {
		t.hasStarted = true
		t.finishedStarts++
	}
	switch {
	case r.State == Succeeded:
		e.endTask(t)
		return TaskEnded
	case t.openAttempts > 0:
		return StillOpen
	case t.cancelled || r.Reason == wire.RefusedCancelled && r.State == Refused:
		e.endTask(t)
		return TaskEnded
	case r.State == Refused:
		e.requeueRefused(now, t, u, r.Reason)
		return Requeued
	case e.consumeRetry(now, t):
		t.avoidFor(u, now, avoidDefault)
		e.requeue(now, t, 0)
		return Requeued
	}
	e.endTask(t)
	return TaskEnded
}

// requeueRefused queues a task again whose attempt did not start.
func (e *engine) requeueRefused(now instant, t *task, u *upstream, reason wire.RefusalReason) {
	avoid := avoidDefault
	if reason == wire.RefusedBusy {
		avoid = avoidAfterBusy
	}
	if reason != wire.RefusedStaleList {
		t.avoidFor(u, now, avoid)
	}
	delay := instant(0)
	if t.refusals > 0 {
		delay = min(minRequeueDelay<<min(t.refusals-1, 7), maxRequeueDelay)
	}
	if t.refusals < math.MaxUint8 {
		t.refusals++
	}
	e.requeue(now, t, delay)
}

// requeue queues a task after a delay and sets the timers that refuse it if it cannot run.
func (e *engine) requeue(now instant, t *task, delay instant) {
	if delay > 0 {
		e.park(t, now+delay)
	} else {
		e.enqueue(t, now)
	}
	if now >= t.job.deadline {
		e.timers.push(now, t.job)
	}
	if len(t.job.kind.pool.upstreams) == 0 {
		e.timers.push(now+instant(UpstreamGrace), t.job)
	}
}

// avoidFor makes the task avoid an upstream for a span of time. If the task already avoids two others, the avoidance
// that ends first is replaced.
func (t *task) avoidFor(u *upstream, now, span instant) {
	oldest := &t.avoid[0]
	for i := range t.avoid {
		if t.avoid[i].upstream == u {
			oldest = &t.avoid[i]
			break
		}
		if t.avoid[i].until < oldest.until {
			oldest = &t.avoid[i]
		}
	}
	*oldest = avoidance{u, now + span}
}

// learnFromResult updates the view of an upstream after the end of an attempt.
func (e *engine) learnFromResult(now instant, u *upstream, a openAttempt, r Result) {
	k := a.task.job.kind
	total := now - a.sentAt
	switch r.State {
	case Refused:
		e.learnRefusal(now, u, r.Reason)
	case Succeeded:
		service := instant(r.Service)
		if service <= 0 {
			service = max(total-u.roundTrip, minService)
		} else {
			u.learnRoundTrip(total - instant(r.Queued) - service)
		}
		e.learnService(u, k, service)
		u.backoff, u.failureBackoff = 0, 0
		e.learnSuccess(now, u, k, true)
	case Failed, Lost:
		u.backoff = 0
		e.learnSuccess(now, u, k, false)
		e.backOffAfterFailure(now, u, a)
	}
}

// learnRefusal updates the load or the backoff of an upstream whose agent refused an attempt.
func (e *engine) learnRefusal(now instant, u *upstream, reason wire.RefusalReason) {
	e.counters.Refused++
	switch reason {
	case wire.RefusedBusy:
		u.reportedForeign = max(u.reportedForeign, float64(u.Slots+e.config.AgentQueue-u.ownAttempts()))
		u.reportedAt = now
	case wire.RefusedUpstreamDown, wire.RefusedTableFull, wire.RefusedLeaving, wire.RefusedInvalid:
		u.backoff = min(max(2*u.backoff, minRefusalBackoff), maxRefusalBackoff)
		u.backoffUntil = now + u.backoff
	}
}

// estimateRefreshResults is the number of results of a kind after which derived estimates are recomputed. The first
// estimateRefreshResults results each cause a recomputation.
const estimateRefreshResults = 16

// learnService records the service time of a successful attempt.
func (e *engine) learnService(u *upstream, k *kind, service instant) {
	x := logSeconds(service)
	if k.serviceTimes.n > 0 {
		u.relativeTime.addLog(x-k.serviceTimes.mu, serviceWeight)
	}
	u.timesGeneration++
	for _, k := range [...]*kind{k, e.allKinds} {
		u.statsOf(k).serviceTimes.addLog(x, serviceWeight)
		k.serviceTimes.addLog(x, kindWeight)
		if int(k.serviceTimes.n)%estimateRefreshResults == 0 || k.serviceTimes.n < estimateRefreshResults {
			k.updateEstimates()
		}
	}
}

// learnSuccess records whether an attempt succeeded.
func (e *engine) learnSuccess(now instant, u *upstream, k *kind, ok bool) {
	s := u.statsOf(k)
	s.success.add(now, ok)
	s.results = min(s.results+1, 20)
	u.success.add(now, ok)
	e.updateEjection(now, u, ok)
}

// backOffAfterFailure keeps work from an untrusted upstream for some time after a failure. Failures of attempts that
// were sent before the previous failure do not extend the backoff, so that a short fault does not exclude the upstream
// for a minute.
func (e *engine) backOffAfterFailure(now instant, u *upstream, a openAttempt) {
	if !e.isUntrusted(now, a.task.job.kind, u) {
		return
	}
	if a.sentAt >= u.lastFailureAt {
		u.failureBackoff = min(max(2*u.failureBackoff, minFailureBackoff), maxFailureBackoff)
	}
	u.lastFailureAt = now
	u.failureBackoffUntil = now + u.failureBackoff
}

// statsOf returns the estimates of a kind at the upstream.
func (u *upstream) statsOf(k *kind) *kindStats {
	for len(u.stats) <= k.index {
		u.stats = append(u.stats, kindStats{})
	}
	return &u.stats[k.index]
}
