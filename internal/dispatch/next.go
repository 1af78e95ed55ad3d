package dispatch

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Parameters of the order of service.
const (
	// maxUrgentStreak is the number of consecutive urgent tasks after which one aged task of the normal class is
	// served. It keeps normal work from starving and costs urgent work at most 1/32 of the assignments.
	maxUrgentStreak = 32
	// agedWait is the wait after which a task of the normal class counts as aged.
	agedWait = instant(2 * time.Second)
	// recheckInterval is the interval between calls of Next while tasks wait. Estimates of the load by other entries
	// change with time, so a slot can become free without an event.
	recheckInterval = instant(10 * time.Millisecond)
	// horizonFactor times the learned service time is the horizon of a job with one task: the longest time by which
	// work that was submitted later can be served first.
	horizonFactor = 16
	// minHorizon and maxHorizon bound the horizon. A task is never overtaken by one that was submitted maxHorizon later
	// or more.
	minHorizon = instant(100 * time.Millisecond)
	maxHorizon = instant(30 * time.Second)
	// wideJobTasks is the number of further tasks that lengthens the horizon of a job by the horizon of a job with one
	// task, so that small jobs are served before wide ones.
	wideJobTasks = 8
)

// computeOrderKey returns the key by which queued tasks are ordered: the latest start that meets the deadline, or the
// submission plus the horizon if that is earlier. The horizon grows with the learned service time, so short work is
// served before long work of the same age. It also provides ageing, because no task is overtaken for longer than
// maxHorizon.
func (e *engine) computeOrderKey(j *job) instant {
	service := j.kind.mean
	horizon := instant(float64(horizonFactor) * float64(service) * (1 + float64(len(j.tasks)-1)/wideJobTasks))
	horizon = min(max(horizon, minHorizon), maxHorizon)
	return max(min(j.deadline-service, j.submitted+horizon), j.submitted)
}

// Next implements Policy.
func (e *engine) Next(now time.Time) ([]Assignment, []Refusal) {
	at := e.instantOf(now)
	e.assignments, e.refusals = e.assignments[:0], e.refusals[:0]
	e.pass++
	e.refuseExpiredJobs(at)
	e.requeueParked(at)
	e.refreshAvailability(at)
	for {
		k, class := e.nextQueue(at)
		if k == nil {
			break
		}
		e.serveHead(at, k, class)
	}
	e.sendDueHedges(at)
	for _, p := range e.poolList {
		p.drain.observe(at, p.backlogOf(classNormal) > 0)
		p.standingQueue.observe(at, p.drainTime(e, at, p.backlogOf(classNormal)))
	}
	e.recheckAt = at + recheckInterval
	return e.assignments, e.refusals
}

// nextQueue returns the kind and class of the queue whose head is served next, or nil if every queue is empty or
// blocked.
func (e *engine) nextQueue(now instant) (*kind, int) {
	if e.urgentStreak >= maxUrgentStreak {
		if k := e.earliestKind(classNormal); k != nil && now-k.queues[classNormal].head().job.submitted > agedWait {
			return k, classNormal
		}
	}
	for class := range classes {
		if k := e.earliestKind(class); k != nil {
			return k, class
		}
	}
	return nil, 0
}

// earliestKind returns the kind whose queue has the head with the lowest order key in a class, or nil.
func (e *engine) earliestKind(class int) *kind {
	if e.waiting[class] == 0 {
		return nil
	}
	var best *kind
	var key instant
	var seq uint64
	for _, k := range e.kindList {
		if k.blockedPass[class] == e.pass || k.pool.fullPass == e.pass {
			continue
		}
		t := k.queues[class].head()
		if t == nil {
			continue
		}
		if best == nil || t.job.orderKey < key || t.job.orderKey == key && t.queueSeq < seq {
			best, key, seq = k, t.job.orderKey, t.queueSeq
		}
	}
	return best
}

// serveHead assigns the head of a queue, refuses its job, or marks the queue or the pool as blocked for this pass.
func (e *engine) serveHead(now instant, k *kind, class int) {
	t := k.queues[class].head()
	if e.cannotMeetDeadline(now, t) {
		e.refuseJob(now, t.job, wire.ReasonOverloaded)
		return
	}
	u, result := e.chooser.choose(e, now, t)
	switch result {
	case chosen:
		k.queues[class].pop()
		k.pool.backlog[class].add(t.job.orderKey, -t.job.taskWork)
		k.pool.drain.startedWork += t.job.taskWork
		t.queueSeq = 0
		t.job.waitingTasks--
		e.waiting[class]--
		e.countUrgentStreak(class)
		e.assign(now, t, u, false)
	case poolFull:
		k.pool.fullPass = e.pass
	case queueBlocked:
		k.blockedPass[class] = e.pass
	case allAvoided:
		e.dequeue(t)
		e.park(t, now+recheckInterval)
	}
}

// countUrgentStreak counts urgent assignments since the last one of normal class.
func (e *engine) countUrgentStreak(class int) {
	e.urgentStreak++
	if class == classNormal {
		e.urgentStreak = 0
	}
}

// assign records one attempt as sent and adds it to the assignments.
func (e *engine) assign(now instant, t *task, u *upstream, isHedge bool) {
	long := e.isLong(t.job.kind)
	t.state = stateRunning
	t.openAttempts++
	t.job.anySent = true
	u.attempts = append(u.attempts, openAttempt{task: t, sentAt: now, long: long, hedge: isHedge})
	e.updateAvailability(u, now)
	e.assignments = append(e.assignments, Assignment{
		Ref: t.ref(), Upstream: u.ID, Long: long, Retry: t.hasStarted, Hedge: isHedge,
	})
	e.counters.Assigned++
	e.creditBudgets(t, isHedge)
	e.scheduleHedge(now, t)
}

// isLong reports whether tasks of a kind count as long before they start.
func (e *engine) isLong(k *kind) bool {
	return k.configuredLong || k.serviceTimes.n >= minLongObservations && time.Duration(k.mean) > e.config.LongThreshold
}

// minLongObservations is the number of results before the learned service time can make a kind long.
const minLongObservations = 5

// requeueParked adds parked tasks whose time has come to their queues again.
func (e *engine) requeueParked(now instant) {
	for {
		t := e.parked.head()
		if t == nil || e.parked.items[0].key > now {
			return
		}
		e.parked.pop()
		t.queueSeq = 0
		t.job.waitingTasks--
		e.waiting[t.job.class]--
		e.enqueue(t, now)
	}
}

// refuseExpiredJobs refuses the waiting tasks of jobs whose deadline has passed or which no upstream can serve.
func (e *engine) refuseExpiredJobs(now instant) {
	for {
		timer, ok := e.timers.next()
		if !ok || timer.at > now {
			return
		}
		e.timers.pop()
		j := timer.job
		switch {
		case j.waitingTasks == 0:
		case now >= j.deadline:
			e.refuseJob(now, j, wire.ReasonDeadline)
		case e.upstreamGraceOver(now, j):
			e.refuseJob(now, j, wire.ReasonNoUpstream)
		}
	}
}

// refuseJob refuses all waiting tasks of a job. A job fails as a whole, so running the rest of it would be wasted work.
func (e *engine) refuseJob(now instant, j *job, reason wire.Reason) {
	tasks := j.tasks // endTask sets j.tasks to nil with the last task
	for i := range tasks {
		t := &tasks[i]
		if t.state != stateWaiting {
			continue
		}
		e.dequeue(t)
		e.endTask(t)
		r := Refusal{Ref: t.ref(), Reason: reason, Started: t.hasStarted}
		if reason == wire.ReasonOverloaded {
			r.RetryAfter = e.retryAfter(now, j.kind.pool, j.class)
		}
		e.refusals = append(e.refusals, r)
		e.counters.countRefusals(reason, 1)
	}
}

// NextWake implements Policy.
func (e *engine) NextWake(time.Time) time.Time {
	at, ok := instant(0), false
	earlier := func(t instant) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if e.waiting[classUrgent]+e.waiting[classNormal] > 0 {
		earlier(e.recheckAt)
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
	return e.timeOf(at)
}
