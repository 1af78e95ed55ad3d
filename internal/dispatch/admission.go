package dispatch

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Parameters of admission control.
const (
	// UpstreamGrace is the least time for which an accepted job waits while its pool has no upstream, so that agents
	// have time to announce theirs.
	UpstreamGrace = 2 * time.Second
	// upstreamAbsenceLimit is the time after the start of the entry, and after the last upstream left, during which a
	// job without an upstream is still accepted and waits for one.
	upstreamAbsenceLimit = instant(10 * time.Second)
	// minRetryAfter and maxRetryAfter bound the retry hint that callers get.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// minAdmissionWait is the expected wait up to which no job is refused for missing its deadline.
	minAdmissionWait = instant(20 * time.Millisecond)
)

// admit returns nil if the job is accepted, otherwise the refusal.
func (e *engine) admit(now instant, j *job) *Refusal {
	k, class, n := j.kind, j.class, len(j.tasks)
	if j.deadline <= now {
		return &Refusal{Reason: wire.ReasonDeadline}
	}
	p := k.pool
	if len(p.upstreams) == 0 && now > upstreamAbsenceLimit && (!p.hadUpstream || now-p.emptySince > upstreamAbsenceLimit) {
		return &Refusal{Reason: wire.ReasonNoUpstream}
	}
	limit := e.config.MaxWaiting
	if class == classNormal {
		limit = int(nonUrgentShare * float64(limit))
	}
	if e.waiting[classUrgent]+e.waiting[classNormal]+n > limit {
		return &Refusal{Reason: wire.ReasonOverloaded, RetryAfter: e.retryAfter(now, p, class)}
	}
	wouldMiss := e.wouldMissDeadline(now, j)
	p.standingQueue.lateRefusal = p.standingQueue.lateRefusal || wouldMiss
	if wouldMiss || class == classNormal && e.exceedsStandingLimit(now, j) {
		return &Refusal{Reason: wire.ReasonOverloaded, RetryAfter: e.retryAfter(now, p, class)}
	}
	return nil
}

// wouldMissDeadline reports whether the work that is served before a job is expected to make it miss its deadline.
func (e *engine) wouldMissDeadline(now instant, j *job) bool {
	p := j.kind.pool
	rate := p.drainRate(e, now)
	if p.standingQueue.waitExceeded {
		rate = max(rate-p.arrivals.overtakingRate(j), minDrainShare*rate)
	}
	wait := e.expectedWait(now, j, rate, p.workAhead(now, j))
	return wait > minAdmissionWait && now+wait+j.kind.mean > j.deadline
}

// workAhead returns the waiting work that is served before a job.
func (p *pool) workAhead(now instant, j *job) instant {
	work := p.backlog[j.class].workBefore(now, j.orderKey)
	if j.class == classNormal {
		work += p.backlog[classUrgent].total
	}
	return work
}

// exceedsStandingLimit reports whether the queue is a standing queue and the job would wait in it for too long. Only
// work that is served before the job counts. If all waiting work counted, long and wide jobs with late deadlines would
// fill the queue, and small jobs with early deadlines would be refused.
func (e *engine) exceedsStandingLimit(now instant, j *job) bool {
	p := j.kind.pool
	if !p.standingQueue.standing {
		return false
	}
	limit := min(instant(standingShare*float64(j.deadline-now)), maxStandingWait)
	return p.drainTime(e, now, p.workAhead(now, j)) > limit
}

// upstreamGraceOver reports whether a waiting job must be refused because its pool has been without upstreams for too
// long.
func (e *engine) upstreamGraceOver(now instant, j *job) bool {
	p := j.kind.pool
	return len(p.upstreams) == 0 && now-j.submitted >= instant(UpstreamGrace) && now-p.emptySince >= instant(UpstreamGrace)
}

// expectedWait estimates the time until the last task of a job starts. rate is the work that leaves the queue per time,
// and ahead the work that is served before the job.
func (e *engine) expectedWait(now instant, j *job, rate float64, ahead instant) instant {
	if rate <= 0 {
		return 0
	}
	n := len(j.tasks)
	if ahead == 0 {
		n -= e.freeSlots(now, j.kind.pool, n)
	}
	return instant(float64(ahead+j.taskWork*instant(n)) / rate)
}

// freeSlots counts the slots that are expected to be free and stops counting at enough.
func (e *engine) freeSlots(now instant, p *pool, enough int) int {
	free := 0
	for _, u := range p.withFreeSlot {
		free += max(u.Slots-u.ownAttempts()-int(u.estimatedForeignLoad(now, e.loadDecay())), 0)
		if free >= enough {
			return enough
		}
	}
	return free
}

// retryAfter returns the expected time until the tasks that wait now have started, within the bounds of the hint.
func (e *engine) retryAfter(now instant, p *pool, class int) time.Duration {
	wait := time.Duration(p.drainTime(e, now, p.backlogOf(class)))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// cannotMeetDeadline reports whether a task is expected to miss its deadline even if it starts now. It applies only to
// jobs of which no attempt was sent: refusing them early wastes no work.
func (e *engine) cannotMeetDeadline(now instant, t *task) bool {
	j := t.job
	if j.anySent || t.hasStarted || now-j.submitted < minAdmissionWait {
		return false
	}
	remaining := j.kind.pool.drainTime(e, now, j.taskWork*instant(j.waitingTasks-1))
	return now+remaining+j.kind.median > j.deadline
}
