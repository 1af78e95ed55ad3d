package policysim

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
)

// entry models one entry process around the real policy.
type entry struct {
	sim        *sim
	policy     dispatch.Policy
	dataCentre string
	lost       bool
	jobs       map[uint64]*jobRun
	wakeAt     time.Duration
}

// jobRun is the state of a job at an entry.
type jobRun struct {
	spec      *jobSpec
	id        uint64
	submitted time.Duration // submission by the client
	openTasks int
	failed    bool
	ended     bool
}

// submit handles a job that arrives from a client.
func (e *entry) submit(spec *jobSpec) {
	s := e.sim
	s.lastJobID++
	j := &jobRun{spec: spec, id: s.lastJobID, submitted: spec.submitted, openTasks: len(spec.tasks)}
	refusal := e.policy.Submit(s.time(), dispatch.Job{
		ID: j.id, Team: "team", Kind: spec.kind.Name, Urgent: spec.kind.Urgent,
		Deadline: s.time().Add(spec.kind.Deadline), Tasks: uint16(len(spec.tasks)),
	})
	if refusal != nil {
		s.figures.countRefused(j)
		return
	}
	e.jobs[j.id] = j
	e.sendAssignments()
}

// sendAssignments calls Next of the policy, handles the refusals and sends the assigned attempts.
func (e *entry) sendAssignments() {
	s := e.sim
	assignments, refusals := e.policy.Next(s.time())
	for _, r := range refusals {
		e.refuseTask(e.jobs[r.Ref.Job])
	}
	for _, a := range assignments {
		e.send(a)
	}
	e.scheduleWake()
}

func (e *entry) send(a dispatch.Assignment) {
	s := e.sim
	to := s.agents[a.Upstream]
	j := e.jobs[a.Ref.Job]
	s.figures.starts++
	att := &attempt{
		entry: e, job: j, ref: a.Ref, referenceTime: j.spec.tasks[a.Ref.Index], long: a.Long,
		deadline: j.submitted + s.deployment.Network.ToClients + j.spec.kind.Deadline,
	}
	s.after(s.delay(e.dataCentre, to.DataCentre), func() { to.receive(att) })
}

// scheduleWake schedules the next call of sendAssignments for the time that the policy requests.
func (e *entry) scheduleWake() {
	s := e.sim
	wake := e.policy.NextWake(s.time())
	if wake.IsZero() {
		return
	}
	at := max(wake.Sub(epoch), s.now+time.Microsecond)
	if e.wakeAt > s.now && e.wakeAt <= at {
		return
	}
	e.wakeAt = at
	s.after(at-s.now, func() {
		if e.wakeAt == at && !e.lost {
			e.sendAssignments()
		}
	})
}

// handleResult handles a result from an agent.
func (e *entry) handleResult(a *agent, att *attempt, r dispatch.Result, load dispatch.Load) {
	if e.lost {
		return
	}
	s := e.sim
	if r.State == dispatch.Refused {
		s.figures.wasted++
	}
	status := e.policy.FinishAttempt(s.time(), att.ref, a.ID, r)
	e.policy.ReportLoad(s.time(), a.ID, load)
	if status == dispatch.TaskEnded {
		e.recordTaskEnd(att, r)
	}
	e.sendAssignments()
}

// recordTaskEnd records the final result of a task, and of its job with the last task.
func (e *entry) recordTaskEnd(att *attempt, r dispatch.Result) {
	s := e.sim
	j := att.job
	s.figures.countTask(att)
	j.failed = j.failed || r.State != dispatch.Succeeded
	if r.State != dispatch.Succeeded {
		s.figures.failures++
	}
	j.openTasks--
	if j.openTasks == 0 {
		j.ended = true
		delete(e.jobs, j.id)
		s.figures.countJob(j, s.now+s.deployment.Network.ToClients)
	}
}

// refuseTask handles the refusal of a waiting task. The job fails as a whole.
func (e *entry) refuseTask(j *jobRun) {
	if j == nil {
		return
	}
	j.failed = true
	j.openTasks--
	if j.openTasks == 0 {
		delete(e.jobs, j.id)
	}
	if !j.ended {
		j.ended = true
		e.sim.figures.countRefused(j)
	}
}

// markLost models a crash of the entry. Its jobs are lost, and its clients submit to another entry.
func (e *entry) markLost() {
	e.lost = true
	for _, j := range e.jobs {
		if !j.ended {
			e.sim.figures.countLost(j)
		}
	}
}
