package dispatch

import (
	"math"
	"time"
)

// outcome tells why a chooser returned an upstream or none.
type outcome uint8

const (
	chosen outcome = iota
	// poolFull: no upstream of the pool has room for any task.
	poolFull
	// queueBlocked: the task is better off waiting, or tasks of its kind have no room.
	queueBlocked
	// allAvoided: only upstreams that the task avoids have room.
	allAvoided
)

// chooser picks the upstream for a task.
type chooser interface {
	// room tells whether an upstream is expected to have a free slot, and whether it may get a task at all.
	room(e *engine, u *upstream, now instant) (idle, open bool)
	// choose picks an upstream for a waiting task.
	choose(e *engine, now instant, t *task) (*upstream, outcome)
}

// Parameters of the choice by expected completion.
const (
	// fullScan is the number of upstreams up to which all are compared.
	fullScan = 16
	// idleSample is the number of upstreams with a free slot that are compared beyond that: those that reported it last,
	// and random ones if these are too few. openSample is the number of random others, from which an entry learns of
	// upstreams that it has not heard of for long. More random ones make the p99 worse, because little is known of them.
	idleSample = 10
	openSample = 1
	// remotePenalty is added for another data centre, so that a near upstream wins when it costs no time.
	remotePenalty = 200 * time.Microsecond
	// loadPenalty times the learned service time is the cost of a fully loaded upstream. Entries that decide on old
	// figures otherwise choose the same last slot of the fastest upstream, and the loser waits behind long tasks. Trials
	// from 0 to 1: higher values lower the p99 and raise the median at low load.
	loadPenalty = 0.5
	// queueShare is the share of all waiting tasks that counts against a slow upstream. The throughput would be best with
	// 1, but then the task at the head takes the slow upstream for the good of those behind it. Trials with one upstream
	// ten times slower gave a p99 slowdown of 13 with 1 and of 7 to 10 with 0.25.
	queueShare = 0.25
	// negligible is the time below which no task waits for a better upstream. For tasks of less than a millisecond the
	// round trip alone makes every choice look slow.
	negligible = instant(5 * time.Millisecond)
	// patience times the expected completion there is the wait after which a task takes a slow upstream all the same.
	patience = 3
	// queueReach is the number of round trips within which a slot has to become free for a task to be queued at the
	// agent.
	queueReach = 4
)

// expectedChooser implements ExpectedCompletion.
type expectedChooser struct {
	sample [idleSample + openSample]*upstream
}

func (c *expectedChooser) room(e *engine, u *upstream, now instant) (bool, bool) {
	if u.barred(now) || max(u.restUntil, u.failureRestUntil) > now || u.own() >= u.Slots+e.config.Queue {
		return false, false
	}
	load := float64(u.own()) + u.otherLoad(now, e.memory())
	slots := float64(u.Slots)
	return load <= slots-1, load < slots+float64(e.config.Queue)
}

// loadMemory times the learned service time is the time in which a report of the load loses half its value.
const (
	loadMemory = 0.5
	minMemory  = instant(10 * time.Millisecond)
)

// memory returns the time constant of the foreign load.
func (e *engine) memory() instant {
	return max(instant(loadMemory*float64(e.mix.median)), minMemory)
}

func (c *expectedChooser) choose(e *engine, now instant, t *task) (*upstream, outcome) {
	p := t.job.kind.pool
	if len(p.open) == 0 {
		return nil, poolFull
	}
	var fastest, best *upstream
	least, cost, lowest := math.Inf(1), math.Inf(1), math.Inf(1)
	avoided, noRoom := false, true
	price := e.slotPrice(now, t.job)
	for _, u := range c.candidates(e, p) {
		x, ok := e.cost(now, t.job.kind, u)
		if !ok {
			continue
		}
		noRoom = false
		if t.avoids(u, now) {
			avoided = true
			continue
		}
		if u.probing(now) {
			return u, chosen
		}
		if x < least {
			fastest, least = u, x
		}
		if y := x + price*e.slotValue(t.job.kind, u); y < lowest {
			best, cost, lowest = u, x, y
		}
	}
	switch {
	case best != nil && e.worthwhile(now, t, cost):
		return best, chosen
	case best != fastest && e.crowded(now, t) && e.worthwhile(now, t, least):
		return fastest, chosen
	case best != nil || noRoom:
		return nil, queueBlocked
	case avoided:
		return nil, allAvoided
	}
	return nil, queueBlocked
}

// candidates returns all upstreams of a small pool, and of a large one the latest idle reports and a sample.
func (c *expectedChooser) candidates(e *engine, p *pool) []*upstream {
	if len(p.open) <= fullScan {
		return p.open
	}
	s := p.recent.idle(c.sample[:0], idleSample)
	for range min(idleSample-len(s), len(p.idle)) {
		s = append(s, p.idle[e.random.IntN(len(p.idle))])
	}
	for range cap(s) - len(s) {
		s = append(s, p.open[e.random.IntN(len(p.open))])
	}
	return s
}

// cost returns the expected completion of a task of a kind at an upstream, divided by its success rate. It returns
// false when the upstream has no room for the kind.
func (e *engine) cost(now instant, k *kind, u *upstream) (float64, bool) {
	if u.own() >= u.Slots+e.config.Queue || u.own() > 0 && e.untrusted(now, k, u) {
		return 0, false
	}
	rate := e.successOf(now, k, u)
	foreign := u.otherLoad(now, e.memory())
	if e.isLong(k) && !e.roomForLong(now, u) {
		return 0, false
	}
	service := float64(e.service(k, u))
	load := float64(u.own()) + foreign
	wait := 0.0
	over := load + 1 - float64(u.Slots)
	if expected := overflow(over, u.uncertainty(now, e.memory())); expected > 0 {
		free := float64(e.nextFree(now, u))
		if over >= 1 && free > queueReach*float64(u.roundTrip) {
			return 0, false
		}
		wait = expected * free
	}
	total := wait + service*(1+loadPenalty*load/float64(u.Slots)) + float64(u.roundTrip)
	if !u.near {
		total += float64(remotePenalty)
	}
	return total / rate, true
}

// overflow returns the mean of the positive part of a normally distributed value, by a parabola between two standard
// deviations on both sides.
func overflow(mean, deviation float64) float64 {
	switch {
	case mean >= 2*deviation:
		return max(mean, 0)
	case mean <= -2*deviation:
		return 0
	}
	x := mean + 2*deviation
	return x * x / (8 * deviation)
}

// roomForLong tells whether another long task may run at the upstream.
func (e *engine) roomForLong(now instant, u *upstream) bool {
	long := u.ownLong(now, instant(e.config.LongThreshold))
	return long+int(u.foreignLong+0.5) < e.config.longSlots(u.Slots)
}

// nextFree estimates the time until a slot becomes free. The remaining time of a task is its learned time at first;
// for one that runs longer than that it is its age, as for stragglers.
func (e *engine) nextFree(now instant, u *upstream) instant {
	hazard := 0.0
	for i := range u.attempts {
		a := &u.attempts[i]
		hazard += 1 / float64(max(e.service(a.task.job.kind, u), now-a.at))
	}
	others := max(float64(u.Slots-len(u.attempts)), 0)
	hazard += others / float64(e.service(e.mix, u))
	return instant(1 / hazard)
}

// confidence is the number of results of a kind at an upstream that weigh as much as the times of the kind everywhere
// together with the speed of the upstream.
const confidence = 10

// service returns the expected service time of a kind at an upstream.
func (e *engine) service(k *kind, u *upstream) instant {
	s := u.statsOf(k)
	generation := k.generation<<20 + u.generation + 1
	if s.generation == generation {
		return s.cached
	}
	speed := 0.0
	if u.speed.n > 0 {
		speed = u.speed.mu * u.speed.n / (u.speed.n + confidence)
	}
	mu, variance := math.Log(coldService.seconds()), coldVariance
	if k.times.n > 0 {
		mu, variance = k.times.mu, k.times.variance
	}
	mu += speed
	w := s.times.n / (s.times.n + confidence)
	mu += w * (s.times.mu - mu)
	s.cached = spanOf(math.Exp(mu + variance/2))
	s.generation = generation
	return s.cached
}

// worthwhile tells whether a task should take the best upstream with room. When that is much slower than the others
// or likely to fail, waiting for another one is better as long as few tasks wait. No task waits without end, so that
// work goes on when the others do not come back.
func (e *engine) worthwhile(now instant, t *task, cost float64) bool {
	p := t.job.kind.pool
	e.review(now, t.job.kind)
	usual := float64(t.job.kind.usual)
	if cost <= 2*usual+float64(negligible) || now-t.since >= instant(patience*cost) {
		return true
	}
	ahead := max(t.job.work*instant(t.job.waiting), instant(queueShare*float64(p.backlogOf(t.job.class))))
	if p.rate(e, now) <= 0 {
		return true
	}
	alternative := float64(p.timeFor(e, now, ahead)) + usual
	return cost <= alternative
}

// randomChooser implements Random.
type randomChooser struct{}

func (randomChooser) room(e *engine, u *upstream, now instant) (bool, bool) {
	open := !u.barred(now) && u.restUntil <= now && u.own() < e.config.Connections
	return open, open
}

func (randomChooser) choose(e *engine, now instant, t *task) (*upstream, outcome) {
	p := t.job.kind.pool
	if len(p.open) == 0 {
		return nil, poolFull
	}
	start := e.random.IntN(len(p.open))
	for i := range p.open {
		if u := p.open[(start+i)%len(p.open)]; !t.avoids(u, now) {
			return u, chosen
		}
	}
	return nil, allAvoided
}

// leastChooser implements LeastConnections.
type leastChooser struct{ randomChooser }

func (leastChooser) choose(e *engine, now instant, t *task) (*upstream, outcome) {
	p := t.job.kind.pool
	if len(p.open) == 0 {
		return nil, poolFull
	}
	var best *upstream
	start := e.random.IntN(len(p.open))
	for i := range p.open {
		u := p.open[(start+i)%len(p.open)]
		if (best == nil || u.own() < best.own()) && !t.avoids(u, now) {
			best = u
		}
	}
	if best == nil {
		return nil, allAvoided
	}
	return best, chosen
}
