package scheduler

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/runs"
)

// This file decides for which waiting tasks an entry reserves capacity, and where. It answers a demand above the capacity by tasks
// of different size: a task that needs more than what one ending run frees fits nowhere at the moment, and smaller ones behind it
// take each gap before it grows.

// Parameters of reservations.
const (
	// maxReservationWait is the longest expected wait at an agent with which a task is reserved there. Within it the capacity of
	// one or two runs of the shortest kind becomes free. With 80 ms more tasks are bound to a worker that turns out slower than
	// others, which costs more in a peak of 1.5 times the capacity than it gains.
	maxReservationWait = 40 * time.Millisecond
	// reservationTimeout is the time after which an agent returns a reserved task that has not started: four times the longest
	// expected wait, so that only a wrong estimate ends a reservation.
	reservationTimeout = 4 * maxReservationWait
	// maxAgentReservations is the number of reservations, of all entries, with which an agent gets no further one. The agent
	// itself accepts one more, because two entries can decide at the same time.
	maxAgentReservations = 2
)

// freeWait returns the time until a task can start on a worker and run to its end, from the profile in the last load report, and
// whether there is such a time. Offers that the report does not include count as if they ran throughout.
func (a *agent) freeWait(now time.Time, t *task, runTime time.Duration) (time.Duration, bool) {
	steps, age := a.load.Free, now.Sub(a.loadAt)
	needs := t.step.Needs.MilliCPU + a.unreportedMilliCPU
	found, from := false, time.Duration(0)
	for i, s := range steps {
		if i+1 < len(steps) && time.Duration(steps[i+1].Millis)*time.Millisecond <= age {
			continue // the next step has begun
		}
		at := max(time.Duration(s.Millis)*time.Millisecond-age, 0)
		switch {
		case found && at >= from+runTime:
			return from, true
		case s.MilliCPU < needs:
			found = false
		case !found:
			found, from = true, at
		}
	}
	return from, found
}

// reservable reports whether the entry may reserve capacity at an agent.
func (a *agent) reservable() bool {
	return !a.load.Trial && len(a.load.Free) > 0 && a.load.Reservations+a.unreportedReservations < maxAgentReservations
}

// mayReserve reports whether capacity may be reserved for a task: its job can still be on time and has begun, or has no other
// task. Late jobs outnumber the others in a peak, and would hold the capacity that those need. A job that has not begun would hold
// a part of the capacity it needs while others hold the rest; with such reservations more work went into jobs that were never
// complete.
func (s *Scheduler) mayReserve(t *task) bool {
	return s.config.Placement == runs.PlaceAhead && t.job.tier == 0 && (t.job.OffersMade > 0 || len(t.job.tasks) == 1)
}

// chooseReservation returns the agent at which a task that fits nowhere now is expected to end first, if it meets its objective
// there, and whether any agent has room for it soon enough.
func (s *Scheduler) chooseReservation(now time.Time, t *task) (best *agent, hasRoom bool) {
	staleAfter, dueAt := s.staleAfter(), t.latestStart.Add(t.step.Estimate)
	skipAvoided := len(t.avoidAgents) > 0 && s.hasAlternative(t)
	bestTime := time.Duration(0)
	for _, a := range s.agentList {
		if !a.reservable() || now.Sub(a.heardAt) > staleAfter || !s.canRun(a, t) || skipAvoided && slices.Contains(t.avoidAgents, a.id) {
			continue
		}
		runTime := s.runTime(a, t)
		wait, found := a.freeWait(now, t, runTime)
		if !found || wait > maxReservationWait {
			continue
		}
		hasRoom = true
		if now.Add(wait + runTime).After(dueAt) {
			continue
		}
		timeToEnd := time.Duration(float64(wait+runTime) * (1 + s.config.TieBreakJitter*s.config.Random.Float64()))
		if best == nil || timeToEnd < bestTime {
			best, bestTime = a, timeToEnd
		}
	}
	return best, hasRoom
}

// SizeClass classifies a task by the share of the worker that it needs.
type SizeClass uint8

// Values of SizeClass.
const (
	SmallTask  SizeClass = iota // below a twelfth of the worker
	MediumTask                  // below an eighth
	LargeTask
)

// sizeClass returns the class of a task on a worker. The limits separate the thirds of the tasks of the users, who need 5 to 11 of
// 64 cores.
func (a *agent) sizeClass(t *task) SizeClass {
	switch needs := t.step.Needs.MilliCPU; {
	case 12*needs < a.worker.MilliCPU:
		return SmallTask
	case 8*needs < a.worker.MilliCPU:
		return MediumTask
	default:
		return LargeTask
	}
}
