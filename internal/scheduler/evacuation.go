package scheduler

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
)

// evacuatedRetryAfter is when a caller should retry a job that only workers in evacuated data centres can run. Evacuations last
// for seconds to hours.
const evacuatedRetryAfter = 10 * time.Second

// evacuationState is what the scheduler knows of data centres and their evacuation.
type evacuationState struct {
	// evacuated holds the names of the evacuated data centres, all those of the deployment. all is empty if they are not known.
	evacuated, all []string
	// epoch increases with each change of the evacuated data centres and of the known workers.
	epoch uint64
}

// SetEvacuated sets the data centres to whose agents no offers are made. Offers that were made before stay open until the agents
// report how they ended.
func (s *Scheduler) SetEvacuated(dataCentres []string) {
	s.evacuation.evacuated, s.changedSincePass = slices.Clone(dataCentres), true
	s.evacuation.epoch++
	for _, a := range s.agentList {
		a.evacuated = s.isEvacuated(a.dataCentre)
	}
}

// SetDataCentres sets the names of all data centres of the deployment. With an empty list, those of the known agents count.
func (s *Scheduler) SetDataCentres(names []string) { s.evacuation.all = slices.Clone(names) }

func (s *Scheduler) isEvacuated(dataCentre string) bool {
	return slices.Contains(s.evacuation.evacuated, dataCentre)
}

// AllEvacuated reports whether all data centres are evacuated and an agent is linked. Every entry in contact is then in the same
// situation.
func (s *Scheduler) AllEvacuated() bool {
	if len(s.evacuation.evacuated) == 0 {
		return false
	}
	for _, name := range s.dataCentres() {
		if !s.isEvacuated(name) {
			return false
		}
	}
	return slices.ContainsFunc(s.agentList, func(a *agent) bool { return a.linked })
}

// reachesOthers reports whether an agent is linked in each data centre that is not evacuated. If not, the entry may be cut off
// from workers that other entries reach.
func (s *Scheduler) reachesOthers() bool {
	for _, name := range s.dataCentres() {
		isLinked := func(a *agent) bool { return a.linked && a.dataCentre == name }
		if !s.isEvacuated(name) && !slices.ContainsFunc(s.agentList, isLinked) {
			return false
		}
	}
	return true
}

// dataCentres returns the names of all known data centres, possibly more than once.
func (s *Scheduler) dataCentres() []string {
	if len(s.evacuation.all) > 0 {
		return s.evacuation.all
	}
	var names []string
	for _, a := range s.agentList {
		names = append(names, a.dataCentre)
	}
	return names
}

// refuseEvacuated refuses a job with a task that only workers in evacuated data centres can run, unless a part of the job may
// have run. It waits for NoAgentTimeout, within which agents link to a new entry. It returns whether the job was refused.
func (s *Scheduler) refuseEvacuated(now time.Time, j *Job) bool {
	if len(s.evacuation.evacuated) == 0 || j.fitsElsewhereAt == s.evacuation.epoch || now.Sub(j.Arrived) < s.config.NoAgentTimeout {
		return false
	}
	if !s.needsEvacuated(j) {
		j.fitsElsewhereAt = s.evacuation.epoch
		return false
	}
	if j.hasOpenOffer() || j.mayHaveRun() || !s.reachesOthers() {
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
				canRun, elsewhere = true, elsewhere || !a.evacuated
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
