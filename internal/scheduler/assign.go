package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// waitingQueue holds the tasks that wait at the entry.
type waitingQueue struct{ tasks []*task }

func (q *waitingQueue) Len() int { return len(q.tasks) }

func (q *waitingQueue) push(t *task) { q.tasks = append(q.tasks, t) }

// sort orders the queue by tier, then by priority, then by latest start time. See tierAt for the tiers.
func (q *waitingQueue) sort(now time.Time, b *backlog) {
	for _, t := range q.tasks {
		t.job.tier, t.job.waitingWork = 0, 0
		if t.waitingSince.IsZero() {
			t.waitingSince = now
		}
	}
	for _, t := range q.tasks {
		t.job.waitingWork += t.work()
	}
	for _, t := range q.tasks {
		t.job.tier = max(t.job.tier, t.tierAt(now, b)) // a job is as late as its most overdue task
	}
	slices.SortStableFunc(q.tasks, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(a.job.tier, b.job.tier), cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority), a.latestStart.Compare(b.latestStart),
		)
	})
}

// tierAt returns the urgency tier of a task: 0 while its job can still meet its objective or has begun and is still useful,
// 1 while a late result is still useful, 2 after that.
//
// It answers a demand above the capacity. In the order of their latest start alone, each job would begin just before it
// becomes late, and would then wait behind fresh jobs with half of its tasks done; most of the work would go into jobs that
// are never complete. Jobs that have begun are therefore completed first, and no job begins in tier 0 whose last task would
// start too late.
func (t *task) tierAt(now time.Time, b *backlog) int {
	late, window := now.Sub(t.latestStart), t.job.lateWindow()
	hasBegun := t.job.OffersMade > 0
	if !hasBegun {
		late += b.timeToOffer(now, t.job.waitingWork)
	}
	switch {
	case late <= 0, hasBegun && late <= window:
		return 0
	case late <= window:
		return 1
	default:
		return lastTier
	}
}

// lastTier is the tier of tasks whose result would be too late to be useful.
const lastTier = 2

func (q *waitingQueue) remove(t *task) {
	if i := slices.Index(q.tasks, t); i >= 0 {
		q.tasks = slices.Delete(q.tasks, i, i+1)
	}
}

// Intervals between two passes over the waiting tasks.
const (
	// longBacklogTasks is the number of waiting tasks above which passes are rate-limited, because the cost of a pass grows
	// with it.
	longBacklogTasks = 32
	// longBacklogPassInterval is the shortest interval between two passes over a long backlog. It is short compared with the
	// slack of any task.
	longBacklogPassInterval = 4 * time.Millisecond
	// maxPassInterval is the longest interval between two passes. Passes are needed without any event, because tasks become
	// late with time and may then go to slower workers.
	maxPassInterval = 10 * time.Millisecond
)

// passDue reports whether a pass over the waiting tasks can change enough to be worth its cost.
func (s *Scheduler) passDue(now time.Time) bool {
	since := now.Sub(s.lastPass)
	if s.waiting.Len() > longBacklogTasks && since < longBacklogPassInterval && since >= 0 {
		return false
	}
	return s.changedSincePass || since >= maxPassInterval || since < 0
}

// assign offers waiting tasks to agents, the most urgent first, as long as agents have free capacity.
func (s *Scheduler) assign(now time.Time) {
	if s.waiting.Len() == 0 {
		s.backlog.recordPass(now, 0)
		return
	}
	if !s.passDue(now) {
		return
	}
	s.changedSincePass, s.lastPass = false, now
	s.waiting.sort(now, &s.backlog)
	kept := s.waiting.tasks[:0]
	// unplaceable are the steps of tasks that fitted nowhere in this pass, unreservable of those without room soon.
	var unplaceable, unreservable []job.Step
	for _, t := range s.waiting.tasks {
		var a *agent
		if !knownUnplaceable(unplaceable, t) {
			a = s.chooseAgent(now, t)
			if a == nil {
				unplaceable = append(unplaceable, *t.step)
			}
		}
		if a == nil && s.mayReserve(t) && !knownUnplaceable(unreservable, t) {
			var hasRoom bool
			if a, hasRoom = s.chooseReservation(now, t); !hasRoom {
				unreservable = append(unreservable, *t.step)
			}
			t.reserved = a != nil
		}
		if a == nil {
			kept = append(kept, t)
			continue
		}
		s.offerTask(now, t, a)
	}
	clear(s.waiting.tasks[len(kept):])
	s.waiting.tasks = kept
	s.refuseHopeless(now)
}

// knownUnplaceable reports whether a task with the same or lower demands fitted nowhere in this pass.
func knownUnplaceable(unplaceable []job.Step, t *task) bool {
	if len(t.avoidAgents) > 0 {
		return false
	}
	for i := range unplaceable {
		step := &unplaceable[i]
		if step.Estimate <= t.step.Estimate && step.Needs.FitsIn(t.step.Needs) && step.Label == t.step.Label && step.MaxPerWorker == t.step.MaxPerWorker {
			return true
		}
	}
	return false
}

// chooseAgent returns the agent at which a task is expected to end first, among those where it meets its objective. If none
// has free capacity in time but a worker is fast enough to meet the objective if the task started now, it returns nil, and
// the task waits. If the objective cannot be met any more, every agent qualifies. Agents at which the task would wait for
// longer than MaxExpectedWait never qualify, nor do those whose last message is older than staleAfter: the link may be dead,
// and a task that is sent on a dead link is lost for the time until its runs have certainly ended.
func (s *Scheduler) chooseAgent(now time.Time, t *task) *agent {
	dueAt := t.latestStart.Add(t.step.Estimate)
	skipAvoided := len(t.avoidAgents) > 0 && s.hasAlternative(t)
	skipTrials := t.failures > 0 && s.hasSoundWorker(t)
	staleAfter := s.staleAfter()
	var best, bestLate *agent
	bestTime, bestLateTime := time.Duration(0), time.Duration(0)
	canWait := false // some worker would be fast enough if the task started now
	for _, a := range s.agentList {
		if !s.canRun(a, t) || skipAvoided && slices.Contains(t.avoidAgents, a.id) || skipTrials && a.load.Trial {
			continue
		}
		runTime := s.runTime(a, t)
		wait := a.expectedWait(now, t)
		onTime := !now.Add(wait + runTime).After(dueAt)
		canWait = canWait || !now.Add(runTime).After(dueAt)
		if now.Sub(a.heardAt) > staleAfter {
			continue
		}
		timeToEnd := time.Duration(float64(wait+runTime) * (1 + s.config.TieBreakJitter*s.config.Random.Float64()))
		switch {
		case wait > s.config.MaxExpectedWait:
		case onTime && (best == nil || timeToEnd < bestTime):
			best, bestTime = a, timeToEnd
		case !onTime && (bestLate == nil || timeToEnd < bestLateTime):
			bestLate, bestLateTime = a, timeToEnd
		}
	}
	if best != nil || canWait {
		return best
	}
	return bestLate
}

// runTime returns the expected time from the start of a task on the worker until its end is known.
func (s *Scheduler) runTime(a *agent, t *task) time.Duration {
	runTime := time.Duration(float64(t.step.Estimate) * a.slowdown())
	if !a.sameDataCentre {
		runTime += s.config.RemoteDelay
	}
	return runTime
}

// staleAfter returns the age of the last message of an agent from which its link may be dead.
func (s *Scheduler) staleAfter() time.Duration {
	return runs.IdleHeartbeatInterval(len(s.agentList)) + runs.StaleAfter
}

// hasAlternative reports whether an agent that the task does not avoid could run it.
func (s *Scheduler) hasAlternative(t *task) bool {
	for _, a := range s.agentList {
		if s.canRun(a, t) && !slices.Contains(t.avoidAgents, a.id) {
			return true
		}
	}
	return false
}

// hasSoundWorker reports whether a worker that is not on probation could run the task. A task that has failed does not go to one on
// probation then: its attempts are limited, and a worker that fails everything would use up the last one.
func (s *Scheduler) hasSoundWorker(t *task) bool {
	for _, a := range s.agentList {
		if s.canRun(a, t) && !a.load.Trial {
			return true
		}
	}
	return false
}

// canRun reports whether the agent takes work and its worker meets the requirements of the task.
func (s *Scheduler) canRun(a *agent, t *task) bool {
	if !a.linked || !a.hasLoad || !a.load.Open || a.evacuated || a.worker.Service != t.job.Queue.Service {
		return false
	}
	if a.load.Trial && len(a.tasks) > 0 {
		return false
	}
	if t.step.Label != "" && !slices.Contains(a.worker.Labels, t.step.Label) {
		return false
	}
	return t.step.Needs.FitsIn(a.capacity()) && !s.atWorkerLimit(a, t)
}

// atWorkerLimit reports whether the worker has as many tasks of the step as the job allows on one worker.
func (s *Scheduler) atWorkerLimit(a *agent, t *task) bool {
	if t.step.MaxPerWorker == 0 {
		return false
	}
	n := 0
	for _, other := range a.tasks {
		if other.job == t.job && other.stepIndex == t.stepIndex {
			n++
		}
	}
	return n >= t.step.MaxPerWorker
}

// slowdown returns the ratio of the actual to the estimated run time of tasks on the worker.
func (a *agent) slowdown() float64 {
	if a.load.SlownessPermille <= 0 {
		return 1
	}
	return float64(a.load.SlownessPermille) / 1000
}

// expectedWait estimates the time until the task would start on the worker. Half of the running tasks end within
// RemainingMillis, so freeing a share of the capacity takes twice that share of it.
func (a *agent) expectedWait(now time.Time, t *task) time.Duration {
	free := a.load.FreeMilliCPU - a.unreportedMilliCPU
	if free >= t.step.Needs.MilliCPU || a.worker.MilliCPU == 0 {
		return 0
	}
	queuedAhead := int64(0)
	for priority, work := range a.load.Waiting {
		if priority <= t.job.Queue.Priority {
			queuedAhead += work
		}
	}
	queuedAhead += a.unreportedWork / a.worker.MilliCPU
	missingShare := float64(t.step.Needs.MilliCPU-max(free, 0)) / float64(a.worker.MilliCPU)
	untilCapacityFree := max(time.Duration(missingShare*2*float64(a.load.RemainingMillis))*time.Millisecond, time.Millisecond)
	return untilCapacityFree + time.Duration(float64(queuedAhead)*a.slowdown())*time.Millisecond
}

func (s *Scheduler) offerTask(now time.Time, t *task, a *agent) {
	s.lastOffer++
	reserveMillis := int64(0)
	if t.reserved {
		reserveMillis = reservationTimeout.Milliseconds()
		t.job.Reservations++
	}
	t.state, t.agent, t.incarnation, t.offerNumber, t.started = taskOffered, a, a.incarnation, s.lastOffer, false
	s.offers[t.offerNumber] = t
	a.tasks[t.offerNumber] = t
	a.recountUnreported()
	s.backlog.recordOffer(now, t)
	j := t.job
	j.OffersMade++
	if j.FirstOffer.IsZero() {
		j.FirstOffer = now
	}
	s.outgoing = append(s.outgoing, AgentMessage{Agent: a.id, Waited: now.Sub(t.waitingSince), Size: a.sizeClass(t), Offer: &wire.Offer{
		Number: t.offerNumber, Job: j.Spec.ID, Step: t.stepIndex, Index: t.index, Attempt: t.highestAttempt + 1, Payload: j.Spec.Payload,
		Service: j.Queue.Service, MilliCPU: t.step.Needs.MilliCPU, MemoryMB: t.step.Needs.MemoryMB,
		Accelerators: t.step.Needs.Accelerators, EstimateMillis: t.step.Estimate.Milliseconds(),
		Priority: j.Queue.Priority, SlackMillis: t.latestStart.Sub(now).Milliseconds(),
		BudgetMillis: j.Deadline.Sub(now).Milliseconds(), LateWindowMillis: j.lateWindow().Milliseconds(),
		MaxWaitMillis: s.config.MaxWaitOnArrival.Milliseconds(), Label: t.step.Label, ReserveMillis: reserveMillis,
	}})
}
