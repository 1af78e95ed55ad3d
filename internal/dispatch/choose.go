package dispatch

import (
	"math"
	"time"
)

// outcome is the result of a choice: an upstream was chosen, or the reason why none was.
type outcome uint8

const (
	chosen outcome = iota
	// poolFull means that no upstream of the pool accepts a task.
	poolFull
	// queueBlocked means that the task should wait for a better upstream, or that no upstream has room for its kind.
	queueBlocked
	// allAvoided means that only upstreams that the task avoids have room.
	allAvoided
)

// chooser selects the upstream for a task.
type chooser interface {
	// availability reports whether an upstream is expected to have a free slot, and whether it accepts a task at all.
	availability(e *engine, u *upstream, now instant) (hasFreeSlot, accepting bool)
	// choose selects an upstream for a waiting task. The upstream is nil unless the outcome is chosen.
	choose(e *engine, now instant, t *task) (*upstream, outcome)
}

// Parameters of expectedCompletionChooser.
const (
	// fullScanLimit is the size of a pool up to which all its upstreams are compared.
	fullScanLimit = 16
	// freeSlotSampleSize is the number of upstreams with a free slot that are compared in a larger pool: those that
	// reported last, and random ones if these are too few. randomSampleSize is the number of random upstreams compared
	// besides them, through which an entry learns of upstreams without a recent report. A larger number of these raises
	// the p99, because little is known about them.
	freeSlotSampleSize = 10
	randomSampleSize   = 1
	// remotePenalty is added to the cost of an upstream in another data centre, so that one in the same data centre
	// wins when both are equally fast.
	remotePenalty = 200 * time.Microsecond
	// loadPenalty times the learned service time is added to the cost of a fully loaded upstream, and proportionally
	// less at lower load. Without it, entries that decide on old load reports choose the same last slot of the fastest
	// upstream, and all but one of their tasks wait behind long tasks. In trials with values from 0 to 1, higher values
	// lowered the p99 and raised the median at low load.
	loadPenalty = 0.5
	// backlogShare is the share of all waiting work that counts as work ahead when a task compares a slow upstream with
	// waiting for another one. A share of 1 gives the highest throughput, but the task at the head then takes a slow
	// upstream for the benefit of those behind it. In trials with one upstream ten times slower, the p99 slowdown was
	// 13 with 1 and 7 to 10 with 0.25.
	backlogShare = 0.25
	// negligibleDelay is the excess over twice the typical time below which no task waits for a better upstream. For
	// tasks of less than a millisecond, the round trip alone would make every upstream look slow.
	negligibleDelay = instant(5 * time.Millisecond)
	// maxWaitFactor times the expected completion at a slow upstream is the wait after which a task takes that
	// upstream.
	maxWaitFactor = 3
	// maxQueueRoundTrips is the number of round trips within which a slot must become free for a task to be queued at
	// the agent.
	maxQueueRoundTrips = 4
)

// expectedCompletionChooser implements the policy ExpectedCompletion.
type expectedCompletionChooser struct {
	sample [freeSlotSampleSize + randomSampleSize]*upstream
}

func (c *expectedCompletionChooser) availability(e *engine, u *upstream, now instant) (bool, bool) {
	if u.excluded(now) || max(u.backoffUntil, u.failureBackoffUntil) > now || u.ownAttempts() >= u.Slots+e.config.AgentQueue {
		return false, false
	}
	load := float64(u.ownAttempts()) + u.estimatedForeignLoad(now, e.loadDecay())
	slots := float64(u.Slots)
	return load <= slots-1, load < slots+float64(e.config.AgentQueue)
}

// The time constant with which a load report loses its value is loadDecayFactor times the median learned service time,
// and at least minLoadDecay. A report that is one time constant old has a third of its weight left.
const (
	loadDecayFactor = 0.5
	minLoadDecay    = instant(10 * time.Millisecond)
)

// loadDecay returns the time constant with which load reports lose their value.
func (e *engine) loadDecay() instant {
	return max(instant(loadDecayFactor*float64(e.allKinds.median)), minLoadDecay)
}

func (c *expectedCompletionChooser) choose(e *engine, now instant, t *task) (*upstream, outcome) {
	p := t.job.kind.pool
	if len(p.accepting) == 0 {
		return nil, poolFull
	}
	var fastest, best *upstream
	fastestCost, bestCost, bestPricedCost := math.Inf(1), math.Inf(1), math.Inf(1)
	someAvoided, noneHasRoom := false, true
	price := e.slotPrice(now, t.job)
	for _, u := range c.candidates(e, p) {
		cost, ok := e.cost(now, t.job.kind, u)
		if !ok {
			continue
		}
		noneHasRoom = false
		if t.avoids(u, now) {
			someAvoided = true
			continue
		}
		if u.awaitsProbe(now) {
			return u, chosen
		}
		if cost < fastestCost {
			fastest, fastestCost = u, cost
		}
		if pricedCost := cost + price*e.slotValue(t.job.kind, u); pricedCost < bestPricedCost {
			best, bestCost, bestPricedCost = u, cost, pricedCost
		}
	}
	switch {
	case best != nil && e.shouldTake(now, t, bestCost):
		return best, chosen
	case best != fastest && e.isBacklogged(now, t) && e.shouldTake(now, t, fastestCost):
		return fastest, chosen
	case best != nil || noneHasRoom:
		return nil, queueBlocked
	case someAvoided:
		return nil, allAvoided
	}
	return nil, queueBlocked
}

// candidates returns all upstreams of a small pool. For a large pool it returns those that reported a free slot last,
// and a random sample.
func (c *expectedCompletionChooser) candidates(e *engine, p *pool) []*upstream {
	if len(p.accepting) <= fullScanLimit {
		return p.accepting
	}
	s := p.recent.appendWithFreeSlot(c.sample[:0], freeSlotSampleSize)
	for range min(freeSlotSampleSize-len(s), len(p.withFreeSlot)) {
		s = append(s, p.withFreeSlot[e.random.IntN(len(p.withFreeSlot))])
	}
	for range cap(s) - len(s) {
		s = append(s, p.accepting[e.random.IntN(len(p.accepting))])
	}
	return s
}

// cost returns the expected time in nanoseconds until a task of a kind is complete at an upstream, divided by the
// success rate of the upstream. It returns false if the upstream has no room for the kind.
func (e *engine) cost(now instant, k *kind, u *upstream) (float64, bool) {
	if u.ownAttempts() >= u.Slots+e.config.AgentQueue || u.ownAttempts() > 0 && e.isUntrusted(now, k, u) {
		return 0, false
	}
	rate := e.relativeSuccessRate(now, k, u)
	foreign := u.estimatedForeignLoad(now, e.loadDecay())
	if e.isLong(k) && !e.hasLongSlot(now, u) {
		return 0, false
	}
	service := float64(e.expectedService(k, u))
	load := float64(u.ownAttempts()) + foreign
	wait := 0.0
	excess := load + 1 - float64(u.Slots)
	if expected := expectedExcess(excess, u.foreignLoadDeviation(now, e.loadDecay())); expected > 0 {
		free := float64(e.timeToFreeSlot(now, u))
		if excess >= 1 && free > maxQueueRoundTrips*float64(u.roundTrip) {
			return 0, false
		}
		wait = expected * free
	}
	total := wait + service*(1+loadPenalty*load/float64(u.Slots)) + float64(u.roundTrip)
	if !u.sameDataCentre {
		total += float64(remotePenalty)
	}
	return total / rate, true
}

// expectedExcess returns the mean of the positive part of a normally distributed value. It approximates it by a
// parabola within two standard deviations of zero.
func expectedExcess(mean, deviation float64) float64 {
	switch {
	case mean >= 2*deviation:
		return max(mean, 0)
	case mean <= -2*deviation:
		return 0
	}
	x := mean + 2*deviation
	return x * x / (8 * deviation)
}

// hasLongSlot reports whether another long task may run at the upstream.
func (e *engine) hasLongSlot(now instant, u *upstream) bool {
	long := u.ownLongAttempts(now, instant(e.config.LongThreshold))
	return long+int(u.reportedForeignLong+0.5) < e.config.longSlots(u.Slots)
}

// timeToFreeSlot estimates the time until a slot becomes free. The remaining time of a task is taken as its learned
// service time, or as its age once it has run for longer, because stragglers tend to run on for as long as they have
// run.
func (e *engine) timeToFreeSlot(now instant, u *upstream) instant {
	completionRate := 0.0
	for i := range u.attempts {
		a := &u.attempts[i]
		completionRate += 1 / float64(max(e.expectedService(a.task.job.kind, u), now-a.sentAt))
	}
	others := max(float64(u.Slots-len(u.attempts)), 0)
	completionRate += others / float64(e.expectedService(e.allKinds, u))
	return instant(1 / completionRate)
}

// servicePriorWeight is the number of results of a kind at an upstream that weigh as much as the prior estimate: the
// times of the kind at all upstreams, scaled by the relative time of the upstream.
const servicePriorWeight = 10

// expectedService returns the expected service time of a kind at an upstream.
func (e *engine) expectedService(k *kind, u *upstream) instant {
	s := u.statsOf(k)
	generation := k.timesGeneration<<20 + u.timesGeneration + 1
	if s.cachedGeneration == generation {
		return s.cachedService
	}
	relativeTime := 0.0
	if u.relativeTime.n > 0 {
		relativeTime = u.relativeTime.mu * u.relativeTime.n / (u.relativeTime.n + servicePriorWeight)
	}
	mu, variance := math.Log(defaultService.seconds()), defaultVariance
	if k.serviceTimes.n > 0 {
		mu, variance = k.serviceTimes.mu, k.serviceTimes.variance
	}
	mu += relativeTime
	w := s.serviceTimes.n / (s.serviceTimes.n + servicePriorWeight)
	mu += w * (s.serviceTimes.mu - mu)
	s.cachedService = fromSeconds(math.Exp(mu + variance/2))
	s.cachedGeneration = generation
	return s.cachedService
}

// shouldTake reports whether a task should take an upstream with the given cost rather than wait. If the cost is much
// higher than typical, waiting for another upstream is better as long as few tasks wait. The wait is bounded, so that
// work goes on when no other upstream becomes free.
func (e *engine) shouldTake(now instant, t *task, cost float64) bool {
	p := t.job.kind.pool
	e.refreshPeerStats(now, t.job.kind)
	typical := float64(t.job.kind.typicalService)
	if cost <= 2*typical+float64(negligibleDelay) || now-t.waitingSince >= instant(maxWaitFactor*cost) {
		return true
	}
	ahead := max(t.job.taskWork*instant(t.job.waitingTasks), instant(backlogShare*float64(p.backlogOf(t.job.class))))
	if p.drainRate(e, now) <= 0 {
		return true
	}
	costOfWaiting := float64(p.drainTime(e, now, ahead)) + typical
	return cost <= costOfWaiting
}

// randomChooser implements the policy Random.
type randomChooser struct{}

func (randomChooser) availability(e *engine, u *upstream, now instant) (bool, bool) {
	accepting := !u.excluded(now) && u.backoffUntil <= now && u.ownAttempts() < e.config.Connections
	return accepting, accepting
}

func (randomChooser) choose(e *engine, now instant, t *task) (*upstream, outcome) {
	p := t.job.kind.pool
	if len(p.accepting) == 0 {
		return nil, poolFull
	}
	start := e.random.IntN(len(p.accepting))
	for i := range p.accepting {
		if u := p.accepting[(start+i)%len(p.accepting)]; !t.avoids(u, now) {
			return u, chosen
		}
	}
	return nil, allAvoided
}

// leastConnectionsChooser implements the policy LeastConnections.
type leastConnectionsChooser struct{ randomChooser }

func (leastConnectionsChooser) choose(e *engine, now instant, t *task) (*upstream, outcome) {
	p := t.job.kind.pool
	if len(p.accepting) == 0 {
		return nil, poolFull
	}
	var best *upstream
	start := e.random.IntN(len(p.accepting))
	for i := range p.accepting {
		u := p.accepting[(start+i)%len(p.accepting)]
		if (best == nil || u.ownAttempts() < best.ownAttempts()) && !t.avoids(u, now) {
			best = u
		}
	}
	if best == nil {
		return nil, allAvoided
	}
	return best, chosen
}
