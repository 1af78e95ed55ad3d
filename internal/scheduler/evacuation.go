package scheduler

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
)

// evacuatedRetryAfter is when a caller should retry a job that only workers in evacuated data centres can run. Evacuations last
// for seconds to hours.
const evacuatedRetryAfter = 10 * time.Second

// SetEvacuated sets the data centres to whose agents no offers are made. Offers that were made before stay open until the agents
// report how they ended.
func (s *Scheduler) SetEvacuated(dataCentres []string) {
	s.evacuated, s.changedSincePass = slices.Clone(dataCentres), true
}

// isEvacuated reports whether the agent is in an evacuated data centre.
func (s *Scheduler) isEvacuated(a *agent) bool { return slices.Contains(s.evacuated, a.dataCentre) }

// HoldsOnlyEvacuated reports whether agents are linked and every known agent is in an evacuated data centre, so that each entry
// is in this situation and refuses all jobs.
func (s *Scheduler) HoldsOnlyEvacuated() bool {
	linked := false
	for _, a := range s.agentList {
		if !s.isEvacuated(a) {
			return false
		}
		linked = linked || a.linked
	}
	return linked
}

// refuseEvacuated refuses a job with a task that only workers in evacuated data centres can run, unless a part of the job may
// have run. It waits for NoAgentTimeout, within which agents link to a new entry. It returns whether the job was refused.
func (s *Scheduler) refuseEvacuated(now time.Time, j *Job) bool {
	if len(s.evacuated) == 0 || now.Sub(j.Arrived) < s.config.NoAgentTimeout || j.hasOpenOffer() || j.mayHaveRun() || !s.needsEvacuated(j) {
		return false
	}
	s.answerJob(j, NotRun, "the data centres of all workers that can run the job are evacuated", evacuatedRetryAfter)
	return true
}

// needsEvacuated reports whether known workers can run each task of a job, but a task only in evacuated data centres. Workers
// whose agents are out of contact count, because they may come back.
func (s *Scheduler) needsEvacuated(j *Job) bool {
	onlyEvacuated := false
	for i := range j.Spec.Steps {
		canRun, elsewhere := false, false
		for _, a := range s.agentList {
			if a.suits(j, &j.Spec.Steps[i]) {
				canRun, elsewhere = true, elsewhere || !s.isEvacuated(a)
			}
		}
		if !canRun {
			return false
		}
		onlyEvacuated = onlyEvacuated || !elsewhere
	}
	return onlyEvacuated
}

// suits reports whether the worker belongs to the service of the job, is large enough for a task of the step and has its label.
func (a *agent) suits(j *Job, step *job.Step) bool {
	return a.worker.Service == j.Queue.Service && step.Needs.FitsIn(a.capacity()) &&
		(step.Label == "" || slices.Contains(a.worker.Labels, step.Label))
}
