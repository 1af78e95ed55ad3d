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
	// standingWindow is the time over which the lowest expected wait must be above standingWait, with jobs refused
	// because they would be late, for the queue to count as standing. A queue that forms in a crest of demand is worth
	// keeping, because it empties after the crest. One that stands adds only delay, so new work that is not urgent is
	// refused above standingWait until the wait stays below it for a whole window.
	standingWindow = instant(10 * time.Second)
	standingWait   = instant(1500 * time.Millisecond)
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
	if late || class == classNormal && e.standing(now, p) {
		return &Refusal{Reason: wire.ReasonOverloaded, RetryAfter: e.retryAfter(now, p, class)}
	}
	return nil
}

// late tells whether a job of n tasks is expected to miss its deadline because of those that wait before it.
func (e *engine) late(now instant, j *job) bool {
	p := j.kind.pool
	ahead := p.backlog[classUrgent].total
	if j.class == classNormal {
		ahead += p.backlog[classNormal].before(now, j.key)
	} else {
		ahead = p.backlog[classUrgent].before(now, j.key)
	}
	rate := p.rate(e, now)
	if p.queue.loaded {
		rate = max(rate-p.arrivals.passing(j), minDrainShare*rate)
	}
	wait := e.expectedWait(now, p, rate, ahead+len(j.tasks))
	return wait > minAdmissionWait && now+wait+j.kind.mean > j.deadline
}

// standing tells whether the queue has stood for long and new work would wait for long.
func (e *engine) standing(now instant, p *pool) bool {
	return p.queue.standing && e.expectedWait(now, p, p.rate(e, now), p.waiting()) > standingWait
}

// standingQueue finds out whether a queue stands, from the lowest and highest wait in a window.
type standingQueue struct {
	loaded          bool // the wait was above standingWait for a whole window
	standing        bool // loaded, and jobs were refused because they would be late
	late            bool // a job was refused in this window because it would have been late
	windowEnd       instant
	lowest, highest instant
}

func (s *standingQueue) observe(now, wait instant) {
	s.lowest, s.highest = min(s.lowest, wait), max(s.highest, wait)
	if now < s.windowEnd {
		return
	}
	switch {
	case now >= s.windowEnd+standingWindow: // nothing was observed for long
		s.loaded, s.standing = false, false
	case s.lowest > standingWait:
		s.loaded, s.standing = true, s.standing || s.late
	case s.highest < standingWait:
		s.loaded, s.standing = false, false
	}
	s.late, s.lowest, s.highest, s.windowEnd = false, wait, wait, now+standingWindow
}

// graceOver tells whether a waiting job has to be given up because no upstream can serve it.
func (e *engine) graceOver(now instant, j *job) bool {
	p := j.kind.pool
	return len(p.ups) == 0 && now-j.submitted >= upstreamGrace && now-p.emptySince >= upstreamGrace
}

// expectedWait estimates when the last of n waiting tasks starts, at a rate in tasks per second.
func (e *engine) expectedWait(now instant, p *pool, rate float64, n int) instant {
	if rate <= 0 {
		return 0
	}
	free := 0
	for _, u := range p.idle {
		free += u.Slots - u.own() - int(u.otherLoad(now, e.memory()))
		if free >= n {
			return 0
		}
	}
	return spanOf(float64(n-free) / rate)
}

// rate returns the tasks per second that the pool takes from this entry, measured if the queue was not empty lately.
func (p *pool) rate(e *engine, now instant) float64 {
	if p.drain.at > 0 && now-p.drain.at < drainMemory {
		return p.drain.rate
	}
	return p.capacity(e, now)
}

// waiting returns the number of tasks in the queues of the pool.
func (p *pool) waiting() int { return p.backlog[classUrgent].total + p.backlog[classNormal].total }

// wait returns the time in which the tasks that wait now will have started.
func (p *pool) wait(e *engine, now instant) instant {
	n := p.waiting()
	if n == 0 {
		return 0
	}
	rate := p.rate(e, now)
	if rate <= 0 {
		return 0
	}
	return spanOf(float64(n) / rate)
}

// capacityInterval is the time for which a computed capacity is used.
const capacityInterval = instant(50 * time.Millisecond)

// capacity estimates the rate from the slots that other entries leave and the learned times.
func (p *pool) capacity(e *engine, now instant) float64 {
	if p.drain.modelAt > 0 && now-p.drain.modelAt < capacityInterval {
		return p.drain.model
	}
	sum := 0.0
	for _, u := range p.ups {
		free := max(float64(u.Slots)-u.otherLoad(now, e.memory()), float64(u.own()), 0)
		sum += free / e.service(e.mix, u).seconds()
	}
	p.drain.model, p.drain.modelAt = sum, max(now, 1)
	return sum
}

// retryAfter returns the time in which the tasks that wait now will have started.
func (e *engine) retryAfter(now instant, p *pool, class int) time.Duration {
	rate := p.rate(e, now)
	if rate <= 0 {
		return minRetryAfter
	}
	waiting := p.backlog[classUrgent].total
	if class == classNormal {
		waiting += p.backlog[classNormal].total
	}
	wait := time.Duration(float64(waiting) / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// hopeless tells whether a task cannot meet its deadline even if it starts now. Only jobs of which nothing was sent are
// given up early, because their refusal costs no work.
func (e *engine) hopeless(now instant, t *task) bool {
	j := t.job
	if j.sent || t.started || now-j.submitted < minAdmissionWait {
		return false
	}
	rest := instant(0)
	if rate := j.kind.pool.rate(e, now); rate > 0 {
		rest = spanOf(float64(j.waiting-1) / rate)
	}
	return now+rest+j.kind.median > j.deadline
}
