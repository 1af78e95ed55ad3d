package dispatch

import "container/heap"

// Parameters of retries and hedging.
const (
	// maxRetryTokens is the largest retry budget that a team can accumulate.
	maxRetryTokens = 20
	// maxHedgeTokens is the largest budget of second attempts that can accumulate.
	maxHedgeTokens = 10
)

// creditBudgets adds to the retry and hedging budgets for the first attempt of a task.
func (e *engine) creditBudgets(t *task, isHedge bool) {
	if isHedge || t.hasStarted {
		return
	}
	if r := e.config.Retries; r != nil {
		t.job.team.retryTokens = min(t.job.team.retryTokens+r.Budget, maxRetryTokens)
	}
	if h := e.config.Hedging; h != nil {
		e.hedgeTokens = min(e.hedgeTokens+h.Budget, maxHedgeTokens)
	}
}

// consumeRetry reports whether a task whose attempt started and failed is sent again. If so, it takes one retry from
// the budget of the team.
func (e *engine) consumeRetry(now instant, t *task) bool {
	r := e.config.Retries
	if r == nil || !t.job.idempotent || int(t.finishedStarts) >= r.MaxAttempts || now >= t.job.deadline {
		return false
	}
	if t.job.team.retryTokens < 1 {
		return false
	}
	t.job.team.retryTokens--
	e.counters.Retries++
	return true
}

// hedgeTimer holds the time at which a running task gets a second attempt.
type hedgeTimer struct {
	at   instant
	task *task
}

// scheduleHedge sets the time at which a task that was just sent gets a second attempt.
func (e *engine) scheduleHedge(now instant, t *task) {
	h := e.config.Hedging
	if h == nil || !t.job.idempotent || t.hedged || t.openAttempts > 1 {
		return
	}
	at := now + instant(h.Factor*float64(t.job.kind.serviceTimes.percentile95()))
	e.hedges.push(at, t)
}

// sendDueHedges sends second attempts of slow tasks while slots are free and no task waits.
func (e *engine) sendDueHedges(now instant) {
	if e.config.Hedging == nil {
		e.hedges.items = nil
		return
	}
	for {
		at, found := e.nextHedge()
		if !found || at > now {
			return
		}
		t := e.hedges.pop()
		if t.openAttempts != 1 || t.cancelled || e.hedgeTokens < 1 || e.waiting[classUrgent]+e.waiting[classNormal] > 0 {
			continue
		}
		e.sendHedge(now, t)
	}
}

// sendHedge sends a second attempt to another upstream, if one is expected to have a free slot.
func (e *engine) sendHedge(now instant, t *task) {
	for _, u := range t.job.kind.pool.upstreams {
		if u.findAttempt(t.ref()) >= 0 {
			t.avoidFor(u, now, avoidDefault)
		}
	}
	u, result := e.chooser.choose(e, now, t)
	if result != chosen || !u.hasFreeSlot {
		return
	}
	t.hedged = true
	e.hedgeTokens--
	e.counters.Hedges++
	e.assign(now, t, u, true)
}

// nextHedge returns the time of the earliest timer of a task that is still running.
func (e *engine) nextHedge() (instant, bool) {
	for len(e.hedges.items) > 0 {
		if i := e.hedges.items[0]; i.task.state == stateRunning {
			return i.at, true
		}
		e.hedges.pop()
	}
	return 0, false
}

// hedgeQueue is a heap of running tasks, ordered by the time of their second attempt.
type hedgeQueue struct{ items []hedgeTimer }

// Len implements heap.Interface.
func (h *hedgeQueue) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *hedgeQueue) Less(i, j int) bool { return h.items[i].at < h.items[j].at }

// Swap implements heap.Interface.
func (h *hedgeQueue) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

// Push implements heap.Interface.
func (h *hedgeQueue) Push(x any) { h.items = append(h.items, x.(hedgeTimer)) }

// Pop implements heap.Interface.
func (h *hedgeQueue) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

func (h *hedgeQueue) push(at instant, t *task) { heap.Push(h, hedgeTimer{at, t}) }

func (h *hedgeQueue) pop() *task { return heap.Pop(h).(hedgeTimer).task }
