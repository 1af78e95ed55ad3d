package dispatch

import (
	"math"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Parameters of refusals by agents.
const (
	// avoidBusy is the time for which a task avoids an upstream that had no room, avoidOther after other refusals.
	avoidBusy  = instant(20 * time.Millisecond)
	avoidOther = instant(1 * time.Second)
	// minRest and maxRest bound the time in which an upstream that cannot be reached gets no work; it doubles with each
	// refusal.
	minRest = instant(50 * time.Millisecond)
	maxRest = instant(2 * time.Second)
	// minPark and maxPark bound the delay before a task that was refused more than once is sent again, so that
	// refusals cannot become a busy loop.
	minPark = instant(1 * time.Millisecond)
	maxPark = instant(100 * time.Millisecond)
)

// Finished implements Policy.
func (e *engine) Finished(now time.Time, ref TaskRef, id string, r Result) Verdict {
	at := e.at(now)
	u := e.upstreams[id]
	if u == nil {
		return Ignored
	}
	i := u.findRef(ref)
	if i < 0 {
		return Ignored
	}
	a := u.take(i)
	t := a.task
	t.running--
	e.learn(at, u, a, r)
	if !u.removed {
		e.place(u, at)
	}
	if t.state == stateEnded {
		return Ignored
	}
	return e.settle(at, t, u, r)
}

func (u *upstream) findRef(ref TaskRef) int {
	for i := range u.attempts {
		if t := u.attempts[i].task; t.job.id == ref.Job && t.index == ref.Index {
			return i
		}
	}
	return -1
}

// settle decides what the end of an attempt means for the task.
func (e *engine) settle(now instant, t *task, u *upstream, r Result) Verdict {
	if r.State != Refused {
		t.started = true
		t.starts++
	}
	switch {
	case r.State == Succeeded:
		e.end(t)
		return Final
	case t.running > 0:
		return Open
	case t.cancelled || r.Reason == wire.RefusedCancelled && r.State == Refused:
		e.end(t)
		return Final
	case r.State == Refused:
		e.sendAgain(now, t, u, r.Reason)
		return Again
	case e.mayRetry(now, t):
		t.avoidFor(u, now, avoidOther)
		e.requeue(now, t, 0)
		return Again
	}
	e.end(t)
	return Final
}

// sendAgain puts a task whose attempt did not start back into the queue.
func (e *engine) sendAgain(now instant, t *task, u *upstream, reason wire.RefusalReason) {
	avoid := avoidOther
	if reason == wire.RefusedBusy {
		avoid = avoidBusy
	}
	if reason != wire.RefusedStaleList {
		t.avoidFor(u, now, avoid)
	}
	delay := instant(0)
	if t.refusals > 0 {
		delay = min(minPark<<min(t.refusals-1, 7), maxPark)
	}
	if t.refusals < math.MaxUint8 {
		t.refusals++
	}
	e.requeue(now, t, delay)
}

func (e *engine) requeue(now instant, t *task, delay instant) {
	if delay > 0 {
		e.park(t, now+delay)
	} else {
		e.enqueue(t, now)
	}
	if now >= t.job.deadline {
		e.timers.push(now, t.job)
	}
	if len(t.job.kind.pool.ups) == 0 {
		e.timers.push(now+upstreamGrace, t.job)
	}
}

// avoidFor replaces the entry that ends first.
func (t *task) avoidFor(u *upstream, now, span instant) {
	oldest := &t.avoid[0]
	for i := range t.avoid {
		if t.avoid[i].up == u {
			oldest = &t.avoid[i]
			break
		}
		if t.avoid[i].until < oldest.until {
			oldest = &t.avoid[i]
		}
	}
	*oldest = avoidance{u, now + span}
}

// learn updates what is known about an upstream.
func (e *engine) learn(now instant, u *upstream, a openAttempt, r Result) {
	k := a.task.job.kind
	total := now - a.at
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
		u.rest, u.failureRest = 0, 0
		e.learnSuccess(now, u, k, true)
	case Failed, Lost:
		u.rest = 0
		e.learnSuccess(now, u, k, false)
		e.restAfterFailure(now, u, a)
	}
}

func (e *engine) learnRefusal(now instant, u *upstream, reason wire.RefusalReason) {
	e.counters.Refused++
	switch reason {
	case wire.RefusedBusy:
		u.foreign = max(u.foreign, float64(u.Slots+e.config.Queue-u.own()))
		u.foreignAt = now
	case wire.RefusedDown, wire.RefusedFull, wire.RefusedLeaving, wire.RefusedInvalid:
		u.rest = min(max(2*u.rest, minRest), maxRest)
		u.restUntil = now + u.rest
	}
}

// kindGeneration is the number of results of a kind after which estimates are computed again.
const kindGeneration = 16

func (e *engine) learnService(u *upstream, k *kind, service instant) {
	x := logSeconds(service)
	if k.times.n > 0 {
		u.speed.addLog(x-k.times.mu, serviceWeight)
	}
	u.generation++
	for _, k := range [...]*kind{k, e.mix} {
		u.statsOf(k).times.addLog(x, serviceWeight)
		k.times.addLog(x, kindWeight)
		if int(k.times.n)%kindGeneration == 0 || k.times.n < kindGeneration {
			k.refresh()
		}
	}
}

func (e *engine) learnSuccess(now instant, u *upstream, k *kind, ok bool) {
	s := u.statsOf(k)
	s.success.add(now, ok)
	s.results = min(s.results+1, 20)
	u.success.add(now, ok)
	e.reviewEjection(now, u, ok)
}

// restAfterFailure keeps an untrusted upstream without work for some time after a failure. Attempts that were sent
// together count once, so that a short fault does not cost the upstream a minute.
func (e *engine) restAfterFailure(now instant, u *upstream, a openAttempt) {
	if !e.untrusted(now, a.task.job.kind, u) {
		return
	}
	if a.at >= u.failedAt {
		u.failureRest = min(max(2*u.failureRest, failureRest), maxFailureRest)
	}
	u.failedAt = now
	u.failureRestUntil = now + u.failureRest
}

// statsOf returns what was learned about a kind at the upstream.
func (u *upstream) statsOf(k *kind) *kindStats {
	for len(u.stats) <= k.index {
		u.stats = append(u.stats, kindStats{})
	}
	return &u.stats[k.index]
}
