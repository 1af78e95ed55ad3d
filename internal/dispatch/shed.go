package dispatch

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Parameters of load shedding.
const (
	// upstreamGrace is the wait for upstreams that are just announcing themselves.
	upstreamGrace = instant(2 * time.Second)
	// recentUpstream is the age of the entry, and the time since the last upstream left, within which jobs wait for it.
	recentUpstream = instant(10 * time.Second)
	// minRetryAfter and maxRetryAfter bound the hint to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// minAdmissionWait is the expected wait below which no job is refused.
	minAdmissionWait = instant(20 * time.Millisecond)
)

// admit decides whether a job can be accepted. It returns nil or the refusal.
func (e *engine) admit(now instant, j *job) *Refusal {
	k, class, n := j.kind, j.class, len(j.tasks)
	if j.deadline <= now {
		return &Refusal{Reason: wire.ReasonDeadline}
	}
	p := k.pool
	if len(p.ups) == 0 && now > recentUpstream && (!p.had || now-p.emptySince > recentUpstream) {
		return &Refusal{Reason: wire.ReasonNoUpstream}
	}
	limit := e.config.MaxWaiting
	if class == classNormal {
		limit = int(nonUrgentShare * float64(limit))
	}
	if e.waiting[classUrgent]+e.waiting[classNormal]+n > limit {
		return &Refusal{Reason: wire.ReasonOverloaded, RetryAfter: e.retryAfter(now, p, class)}
	}
	late := e.late(now, j)
	p.queue.late = p.queue.late || late
	if late || class == classNormal && e.standing(now, j) {
		return &Refusal{Reason: wire.ReasonOverloaded, RetryAfter: e.retryAfter(now, p, class)}
	}
	return nil
}

// late tells whether a job of n tasks is expected to miss its deadline because of those that wait before it.
func (e *engine) late(now instant, j *job) bool {
	p := j.kind.pool
	rate := p.rate(e, now)
	if p.queue.loaded {
		rate = max(rate-p.arrivals.passing(j), minDrainShare*rate)
	}
	wait := e.expectedWait(now, j, rate, p.ahead(now, j))
	return wait > minAdmissionWait && now+wait+j.kind.mean > j.deadline
}

// ahead returns the waiting work that is served before a job.
func (p *pool) ahead(now instant, j *job) instant {
	work := p.backlog[j.class].before(now, j.key)
	if j.class == classNormal {
		work += p.backlog[classUrgent].total
	}
	return work
}

// standing tells whether the queue stands and the job would wait for long in it. Work that the job passes does not count:
// otherwise long and wide jobs with late deadlines fill the queue, and small jobs with early ones are refused.
func (e *engine) standing(now instant, j *job) bool {
	p := j.kind.pool
	if !p.queue.standing {
		return false
	}
	limit := min(instant(standingShare*float64(j.deadline-now)), maxStandingWait)
	return p.timeFor(e, now, p.ahead(now, j)) > limit
}

// graceOver tells whether a waiting job has to be given up because no upstream can serve it.
func (e *engine) graceOver(now instant, j *job) bool {
	p := j.kind.pool
	return len(p.ups) == 0 && now-j.submitted >= upstreamGrace && now-p.emptySince >= upstreamGrace
}

// expectedWait estimates when the last of n more tasks starts, at a rate of work per time, after the work ahead.
func (e *engine) expectedWait(now instant, j *job, rate float64, ahead instant) instant {
	if rate <= 0 {
		return 0
	}
	n := len(j.tasks)
	if ahead == 0 {
		n -= e.freeSlots(now, j.kind.pool, n)
	}
	return instant(float64(ahead+j.work*instant(n)) / rate)
}

// freeSlots counts the slots that are expected to be free, up to a number that is enough.
func (e *engine) freeSlots(now instant, p *pool, enough int) int {
	free := 0
	for _, u := range p.idle {
		free += max(u.Slots-u.own()-int(u.otherLoad(now, e.memory())), 0)
		if free >= enough {
			return enough
		}
	}
	return free
}

// retryAfter returns the time in which the tasks that wait now will have started.
func (e *engine) retryAfter(now instant, p *pool, class int) time.Duration {
	wait := time.Duration(p.timeFor(e, now, p.backlogOf(class)))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// hopeless tells whether a task cannot meet its deadline even if it starts now. Only jobs of which nothing was sent are
// given up early, because their refusal costs no work.
func (e *engine) hopeless(now instant, t *task) bool {
	j := t.job
	if j.sent || t.started || now-j.submitted < minAdmissionWait {
		return false
	}
	rest := j.kind.pool.timeFor(e, now, j.work*instant(j.waiting-1))
	return now+rest+j.kind.median > j.deadline
}
