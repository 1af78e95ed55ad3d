package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// waitingQueue holds the tasks that wait at the entry.
type waitingQueue struct{ tasks []*task }

func (q *waitingQueue) Len() int { return len(q.tasks) }

func (q *waitingQueue) push(t *task) { q.tasks = append(q.tasks, t) }

// sort brings the most urgent tasks to the front: those that can still meet their objective, then those whose late answer
// has a worth, then the others; within these by priority and by the time by which they should begin.
func (q *waitingQueue) sort(now time.Time) {
	for _, t := range q.tasks {
		t.job.tier = 0
	}
	for _, t := range q.tasks {
		t.job.tier = max(t.job.tier, t.tierAt(now)) // one late task makes the job late
	}
	slices.SortStableFunc(q.tasks, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(a.job.tier, b.job.tier), cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority), a.latest.Compare(b.latest),
		)
	})
}

// tierAt returns the order class of a task: on time, late, or of no more worth.
func (t *task) tierAt(now time.Time) int {
	switch late := now.Sub(t.latest); {
	case late <= 0:
		return 0
	case late <= t.job.lateWorth():
		return 1
	default:
		return 2
	}
}

func (q *waitingQueue) remove(t *task) {
	if i := slices.Index(q.tasks, t); i >= 0 {
		q.tasks = slices.Delete(q.tasks, i, i+1)
	}
}

// Times between two passes over the waiting tasks.
const (
	// longBacklog is the number of tasks left by a pass from which on passes are paced: each costs in proportion.
	longBacklog = 32
	// backlogPace is the least time between two passes with a long backlog; it is short against the slack of all tasks.
	backlogPace = 4 * time.Millisecond
	// idlePace is the longest time between two passes: with time tasks become late and go to slower workers.
	idlePace = 10 * time.Millisecond
)

// due reports whether a pass over the waiting tasks can change anything that is worth its cost.
func (s *Scheduler) due(now time.Time) bool {
	since := now.Sub(s.passed)
	if s.waiting.Len() > longBacklog && since < backlogPace && since >= 0 {
		return false
	}
	return s.changed || since >= idlePace || since < 0
}

// assign offers waiting tasks to agents, the most urgent first, while one has room.
func (s *Scheduler) assign(now time.Time) {
	if s.waiting.Len() == 0 || !s.due(now) {
		return
	}
	s.changed, s.passed = false, now
	s.waiting.sort(now)
	kept := s.waiting.tasks[:0]
	var full []job.Step // needs that found no room in this pass
	for _, t := range s.waiting.tasks {
		if blocked(full, t) {
			kept = append(kept, t)
			continue
		}
		a := s.choose(now, t)
		if a == nil {
			kept = append(kept, t)
			full = append(full, *t.step)
			continue
		}
		s.offer(now, t, a)
	}
	clear(s.waiting.tasks[len(kept):])
	s.waiting.tasks = kept
}

// blocked reports whether a task that asks for no more than this one found no room in this pass.
func blocked(full []job.Step, t *task) bool {
	if len(t.avoid) > 0 {
		return false
	}
	for i := range full {
		f := &full[i]
		if f.Estimate <= t.step.Estimate && f.Needs.Fits(t.step.Needs) && f.Label == t.step.Label && f.MaxPerWorker == t.step.MaxPerWorker {
			return true
		}
	}
	return false
}

// choose returns the agent at which a task is expected to end first among those where it meets its objective. While it
// could meet it by waiting for a faster worker, it returns nil; when it cannot meet it any more, every worker will do. It
// also returns nil when the task would wait too long at each agent.
func (s *Scheduler) choose(now time.Time, t *task) *agent {
	due := t.latest.Add(t.step.Estimate)
	avoiding := len(t.avoid) > 0 && s.elsewhere(t)
	var best, bestLate *agent
	cost, costLate := time.Duration(0), time.Duration(0)
	patient := false // a worker that has no room now would be fast enough
	for _, a := range s.list {
		if !s.allowed(a, t) || avoiding && slices.Contains(t.avoid, a.id) {
			continue
		}
		run := time.Duration(float64(t.step.Estimate) * a.ratio())
		if !a.near {
			run += s.config.RemoteDelay
		}
		wait := a.wait(now, t)
		onTime := !now.Add(wait + run).After(due)
		patient = patient || !now.Add(run).After(due)
		total := time.Duration(float64(wait+run) * (1 + s.config.Spread*s.config.Random.Float64()))
		switch {
		case wait > s.config.AgentQueue:
		case onTime && (best == nil || total < cost):
			best, cost = a, total
		case !onTime && (bestLate == nil || total < costLate):
			bestLate, costLate = a, total
		}
	}
	if best != nil || patient {
		return best
	}
	return bestLate
}

// elsewhere reports whether some agent that the task does not avoid could run it.
func (s *Scheduler) elsewhere(t *task) bool {
	for _, a := range s.list {
		if s.allowed(a, t) && !slices.Contains(t.avoid, a.id) {
			return true
		}
	}
	return false
}

// allowed reports whether the worker may run the task at all.
func (s *Scheduler) allowed(a *agent, t *task) bool {
	if !a.linked || !a.loaded || !a.load.Open || a.worker.Service != t.job.Queue.Service {
		return false
	}
	if a.load.Trial && len(a.tasks) > 0 {
		return false
	}
	if t.step.Label != "" && !slices.Contains(a.worker.Labels, t.step.Label) {
		return false
	}
	offered := job.Resources{MilliCPU: a.worker.MilliCPU, MemoryMB: a.worker.MemoryMB, Accelerators: a.worker.Accelerators}
	return t.step.Needs.Fits(offered) && !s.crowded(a, t)
}

// crowded reports whether the worker has as many tasks of the step as the job allows on one.
func (s *Scheduler) crowded(a *agent, t *task) bool {
	if t.step.MaxPerWorker == 0 {
		return false
	}
	n := 0
	for _, other := range a.tasks {
		if other.job == t.job && other.stepNo == t.stepNo {
			n++
		}
	}
	return n >= t.step.MaxPerWorker
}

// ratio returns the run time of tasks at the worker against their estimates.
func (a *agent) ratio() float64 {
	if a.load.SlownessPermille <= 0 {
		return 1
	}
	return float64(a.load.SlownessPermille) / 1000
}

// wait estimates the time until a task would begin at the worker.
func (a *agent) wait(now time.Time, t *task) time.Duration {
	free := a.load.FreeMilliCPU - a.unseenCPU
	if free >= t.step.Needs.MilliCPU || a.worker.MilliCPU == 0 {
		return 0
	}
	ahead := int64(0)
	for priority, work := range a.load.Waiting {
		if priority <= t.job.Queue.Priority {
			ahead += work
		}
	}
	ahead += a.unseenWork / a.worker.MilliCPU
	share := float64(t.step.Needs.MilliCPU-max(free, 0)) / float64(a.worker.MilliCPU)
	next := max(time.Duration(share*2*float64(a.load.RemainingMillis))*time.Millisecond, time.Millisecond)
	return next + time.Duration(float64(ahead)*a.ratio())*time.Millisecond
}

func (s *Scheduler) offer(now time.Time, t *task, a *agent) {
	s.number++
	t.state, t.agent, t.life, t.offer, t.began = taskOffered, a, a.life, s.number, false
	s.offers[t.offer] = t
	a.tasks[t.offer] = t
	a.recount()
	j := t.job
	j.Offered++
	if j.FirstOffer.IsZero() {
		j.FirstOffer = now
	}
	s.out = append(s.out, Offer{Agent: a.id, Offer: &wire.Offer{
		Number: t.offer, Job: j.Spec.ID, Step: t.stepNo, Index: t.index, Attempt: t.attempt + 1, Payload: j.Spec.Payload,
		Service: j.Queue.Service, MilliCPU: t.step.Needs.MilliCPU, MemoryMB: t.step.Needs.MemoryMB,
		Accelerators: t.step.Needs.Accelerators, EstimateMillis: t.step.Estimate.Milliseconds(),
		Priority: j.Queue.Priority, SlackMillis: t.latest.Sub(now).Milliseconds(),
		BudgetMillis: j.Deadline.Sub(now).Milliseconds(), LateMillis: j.lateWorth().Milliseconds(),
		WaitMillis: s.config.MaxWait.Milliseconds(),
	}})
}
