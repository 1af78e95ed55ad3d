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
func (e *engine) admit(now instant, k *kind, class int, deadline instant, n int) *Refusal {
	if deadline <= now {
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
	wait := e.expectedWait(now, p, class, deadline, n)
	if wait > minAdmissionWait && now+wait+k.times.mean() > deadline {
		return &Refusal{Reason: wire.ReasonOverloaded, RetryAfter: e.retryAfter(now, p, class)}
	}
	return nil
}

// graceOver tells whether a waiting job has to be given up because no upstream can serve it.
func (e *engine) graceOver(now instant, j *job) bool {
	p := j.kind.pool
	return len(p.ups) == 0 && now-j.submitted >= upstreamGrace && now-p.emptySince >= upstreamGrace
}

// expectedWait estimates when the last of n more tasks would start.
func (e *engine) expectedWait(now instant, p *pool, class int, deadline instant, n int) instant {
	rate := p.rate(e, now)
	if rate <= 0 {
		return 0
	}
	ahead := p.backlog[classUrgent].total
	if class == classNormal {
		ahead += p.backlog[classNormal].before(deadline)
	}
	free := 0
	for _, u := range p.idle {
		free += u.Slots - u.own()
		if free >= ahead+n {
			return 0
		}
	}
	return spanOf(float64(ahead+n-free) / rate)
}

// rate returns the tasks per second that the pool takes from this entry, measured if the queue was not empty lately.
func (p *pool) rate(e *engine, now instant) float64 {
	if p.drain.at > 0 && now-p.drain.at < drainMemory {
		return p.drain.rate
	}
	return p.capacity(e, now)
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
		free := max(float64(u.Slots)-u.otherLoad(now, e.memory(u)), float64(u.own()), 0)
		if len(e.kindList) > 0 {
			sum += free / e.service(e.kindList[0], u).seconds()
		}
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
	return now+j.kind.times.median() > j.deadline
}

// Resolution of backlog: 1024 buckets of 64 ms cover the longest deadline of a job.
const (
	bucketSpan  = instant(64 * time.Millisecond)
	bucketCount = 1024
)

// backlog counts the waiting tasks by their key, to find how many are served before a given key.
type backlog struct {
	counts [bucketCount]int32
	total  int
}

func bucketOf(key instant) int { return int(uint64(key/bucketSpan) % bucketCount) }

func (b *backlog) add(key instant, n int) {
	b.counts[bucketOf(key)] += int32(n)
	b.total += n
}

// before counts the tasks with an earlier key.
func (b *backlog) before(instant) int { return b.total }
