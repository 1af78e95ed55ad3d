package dispatch

import "container/heap"

// Parameters of the guards.
const (
	// maxRetryTokens bounds the retries that a team can save up.
	maxRetryTokens = 20
	// maxHedgeTokens bounds the second attempts that can be saved up.
	maxHedgeTokens = 10
)

// payBudgets credits the budgets for a first attempt.
func (e *engine) payBudgets(t *task, hedge bool) {
	if hedge || t.started {
		return
	}
	if r := e.config.Retries; r != nil {
		t.job.team.retryTokens = min(t.job.team.retryTokens+r.Share, maxRetryTokens)
	}
	if h := e.config.Hedging; h != nil {
		e.hedgeTokens = min(e.hedgeTokens+h.Share, maxHedgeTokens)
	}
}

// mayRetry tells whether a task whose attempt started and failed is sent again, and takes the budget for it.
func (e *engine) mayRetry(now instant, t *task) bool {
	r := e.config.Retries
	if r == nil || !t.job.idempotent || int(t.starts) >= r.MaxAttempts || now >= t.job.deadline {
		return false
	}
	if t.job.team.retryTokens < 1 {
		return false
	}
	t.job.team.retryTokens--
	e.counters.Retries++
	return true
}

// hedgeTimer is the time at which a running task gets a second attempt.
type hedgeTimer struct {
	at   instant
	task *task
}

// armHedge notes when a task that was just sent becomes slow.
func (e *engine) armHedge(now instant, t *task) {
	h := e.config.Hedging
	if h == nil || !t.job.idempotent || t.hedged || t.running > 1 {
		return
	}
	at := now + instant(h.Factor*float64(t.job.kind.times.high()))
	e.hedges.push(at, t)
}

// hedge sends second attempts of slow tasks while slots are idle and nothing waits.
func (e *engine) hedge(now instant) {
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
		if t.running != 1 || t.cancelled || e.hedgeTokens < 1 || e.waiting[classUrgent]+e.waiting[classNormal] > 0 {
			continue
		}
		e.sendHedge(now, t)
	}
}

func (e *engine) sendHedge(now instant, t *task) {
	for _, u := range t.job.kind.pool.ups {
		if u.findRef(t.ref()) >= 0 {
			t.avoidFor(u, now, avoidOther)
		}
	}
	u, why := e.chooser.choose(e, now, t)
	if why != chosen || !u.idle {
		return
	}
	t.hedged = true
	e.hedgeTokens--
	e.counters.Hedges++
	e.assign(now, t, u, true)
}

func (e *engine) nextHedge() (instant, bool) {
	for len(e.hedges.items) > 0 {
		if i := e.hedges.items[0]; i.task.state == stateRunning {
			return i.at, true
		}
		e.hedges.pop()
	}
	return 0, false
}

// hedgeQueue orders running tasks by the time at which they become slow.
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
