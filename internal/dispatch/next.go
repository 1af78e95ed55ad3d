package dispatch

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Parameters of the order of service.
const (
	// urgentStreak is the number of urgent tasks after which one other task that has aged is served. It bounds the
	// share that urgent work loses to 1/32 and keeps other work from starving.
	urgentStreak = 32
	// agedWait is the wait after which a task that is not urgent has aged.
	agedWait = instant(2 * time.Second)
	// recheckInterval is the interval of Next while tasks wait, because estimates of foreign load change with time.
	recheckInterval = instant(10 * time.Millisecond)
	// stretch times the learned time is the longest wait after which a task is served before all later ones.
	stretch = 16
	// minHorizon and maxHorizon bound that wait. A task is never passed by one that came maxHorizon later.
	minHorizon = instant(100 * time.Millisecond)
	maxHorizon = instant(30 * time.Second)
	// wideJob is the number of tasks by which the wait of a job is stretched once more, so that small jobs pass it.
	wideJob = 8
)

// orderKey returns the time by which the queue is ordered: the latest start that meets the deadline, but not later
// than a horizon after the submission. The horizon is the ageing: it grows with the learned time, so short work is
// served before long work of the same age, and no task can be passed for longer than maxHorizon.
func (e *engine) orderKey(j *job) instant {
	service := j.kind.mean
	horizon := instant(float64(stretch) * float64(service) * (1 + float64(len(j.tasks)-1)/wideJob))
	horizon = min(max(horizon, minHorizon), maxHorizon)
	return max(min(j.deadline-service, j.submitted+horizon), j.submitted)
}

// Next implements Policy.
func (e *engine) Next(now time.Time) ([]Assignment, []Refusal) {
	at := e.at(now)
	e.assignments, e.refusals = e.assignments[:0], e.refusals[:0]
	e.pass++
	e.expire(at)
	e.unpark(at)
	e.refresh(at)
	for {
		k, class := e.pick(at)
		if k == nil {
			break
		}
		e.serve(at, k, class)
	}
	e.hedge(at)
	for _, p := range e.poolList {
		p.drain.observe(at, p.backlogOf(classNormal) > 0)
		p.queue.observe(at, p.timeFor(e, at, p.backlogOf(classNormal)))
	}
	e.recheck = at + recheckInterval
	return e.assignments, e.refusals
}

// pick returns the queue whose head is served next, or nil when every queue is empty or blocked.
func (e *engine) pick(now instant) (*kind, int) {
	if e.streak >= urgentStreak {
		if k := e.first(classNormal); k != nil && now-k.queues[classNormal].head().job.submitted > agedWait {
			return k, classNormal
		}
	}
	for class := range classes {
		if k := e.first(class); k != nil {
			return k, class
		}
	}
	return nil, 0
}

// first returns the kind with the earliest head in a class.
func (e *engine) first(class int) *kind {
	if e.waiting[class] == 0 {
		return nil
	}
	var best *kind
	var key instant
	var seq uint64
	for _, k := range e.kindList {
		if k.blocked[class] == e.pass || k.pool.full == e.pass {
			continue
		}
		t := k.queues[class].head()
		if t == nil {
			continue
		}
		if best == nil || t.job.key < key || t.job.key == key && t.entry < seq {
			best, key, seq = k, t.job.key, t.entry
		}
	}
	return best
}

// serve assigns the head of a queue or finds the queue blocked.
func (e *engine) serve(now instant, k *kind, class int) {
	t := k.queues[class].head()
	if e.hopeless(now, t) {
		e.refuseJob(now, t.job, wire.ReasonOverloaded)
		return
	}
	u, why := e.chooser.choose(e, now, t)
	switch why {
	case chosen:
		k.queues[class].pop()
		k.pool.backlog[class].add(t.job.key, -t.job.work)
		k.pool.drain.started += t.job.work
		t.entry = 0
		t.job.waiting--
		e.waiting[class]--
		e.countStreak(class)
		e.assign(now, t, u, false)
	case poolFull:
		k.pool.full = e.pass
	case queueBlocked:
		k.blocked[class] = e.pass
	case allAvoided:
		e.dequeue(t)
		e.park(t, now+recheckInterval)
	}
}

func (e *engine) countStreak(class int) {
	e.streak++
	if class == classNormal {
		e.streak = 0
	}
}

// assign sends one attempt.
func (e *engine) assign(now instant, t *task, u *upstream, hedge bool) {
	long := e.isLong(t.job.kind)
	t.state = stateRunning
	t.running++
	t.job.sent = true
	u.attempts = append(u.attempts, openAttempt{task: t, at: now, long: long, hedge: hedge})
	e.place(u, now)
	e.assignments = append(e.assignments, Assignment{
		Ref: t.ref(), Upstream: u.ID, Long: long, Retry: t.started, Hedge: hedge,
	})
	e.counters.Assigned++
	e.payBudgets(t, hedge)
	e.armHedge(now, t)
}

// isLong tells whether tasks of a kind count as long before they start.
func (e *engine) isLong(k *kind) bool {
	return k.long || k.times.n >= minLongObservations && time.Duration(k.mean) > e.config.LongThreshold
}

// minLongObservations is the number of results before a learned time makes a kind long.
const minLongObservations = 5

// unpark returns parked tasks whose time has come to their queues.
func (e *engine) unpark(now instant) {
	for {
		t := e.parked.head()
		if t == nil || e.parked.items[0].key > now {
			return
		}
		e.parked.pop()
		t.entry = 0
		t.job.waiting--
		e.waiting[t.job.class]--
		e.enqueue(t, now)
	}
}

// expire gives up jobs whose deadline has passed or that no upstream can serve.
func (e *engine) expire(now instant) {
	for {
		timer, ok := e.timers.next()
		if !ok || timer.at > now {
			return
		}
		e.timers.pop()
		j := timer.job
		switch {
		case j.waiting == 0:
		case now >= j.deadline:
			e.refuseJob(now, j, wire.ReasonDeadline)
		case e.graceOver(now, j):
			e.refuseJob(now, j, wire.ReasonNoUpstream)
		}
	}
}

// refuseJob gives up all waiting tasks of a job. A job fails as a whole, so the rest of it would be wasted work.
func (e *engine) refuseJob(now instant, j *job, reason wire.Reason) {
	tasks := j.tasks // end clears it with the last task
	for i := range tasks {
		t := &tasks[i]
		if t.state != stateWaiting {
			continue
		}
		e.dequeue(t)
		e.end(t)
		r := Refusal{Ref: t.ref(), Reason: reason, Started: t.started}
		if reason == wire.ReasonOverloaded {
			r.RetryAfter = e.retryAfter(now, j.kind.pool, j.class)
		}
		e.refusals = append(e.refusals, r)
		e.counters.count(reason, 1)
	}
}

// Wake implements Policy.
func (e *engine) Wake(time.Time) time.Time {
	at, ok := instant(0), false
	earlier := func(t instant) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if e.waiting[classUrgent]+e.waiting[classNormal] > 0 {
		earlier(e.recheck)
		if timer, found := e.timers.next(); found {
			earlier(timer.at)
		}
	}
	if t, found := e.nextHedge(); found {
		earlier(t)
	}
	if !ok {
		return time.Time{}
	}
	return e.time(at)
}
