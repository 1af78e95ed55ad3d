package policysim

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
)

// entry models one entry: it drives the real policy.
type entry struct {
	sim        *sim
	policy     dispatch.Policy
	dataCentre string
	lost       bool
	jobs       map[uint64]*jobRun
	wake       time.Duration
}

// jobRun is a job at an entry.
type jobRun struct {
	spec   *jobSpec
	id     uint64
	at     time.Duration // submission by the client
	open   int
	failed bool
	ended  bool
}

// submit handles a job that arrives from a client.
func (e *entry) submit(spec *jobSpec) {
	s := e.sim
	s.jobs++
	j := &jobRun{spec: spec, id: s.jobs, at: spec.at, open: len(spec.tasks)}
	refusal := e.policy.Submit(s.time(), dispatch.Job{
		ID: j.id, Team: "team", Kind: spec.kind.Name, Urgent: spec.kind.Urgent,
		Deadline: s.time().Add(spec.kind.Deadline), Tasks: uint16(len(spec.tasks)),
	})
	if refusal != nil {
		s.figures.refuse(j)
		return
	}
	e.jobs[j.id] = j
	e.next()
}

// next sends what the policy assigns.
func (e *entry) next() {
	s := e.sim
	assignments, refusals := e.policy.Next(s.time())
	for _, r := range refusals {
		e.drop(e.jobs[r.Ref.Job])
	}
	for _, a := range assignments {
		e.send(a)
	}
	e.arm()
}

func (e *entry) send(a dispatch.Assignment) {
	s := e.sim
	to := s.agents[a.Upstream]
	j := e.jobs[a.Ref.Job]
	s.figures.starts++
	at := &attempt{
		entry: e, job: j, ref: a.Ref, base: j.spec.tasks[a.Ref.Index], long: a.Long,
		deadline: j.at + s.deployment.Network.ToClients + j.spec.kind.Deadline,
	}
	s.after(s.delay(e.dataCentre, to.DataCentre), func() { to.receive(at) })
}

// arm asks for a call at the time that the policy names.
func (e *entry) arm() {
	s := e.sim
	wake := e.policy.Wake(s.time())
	if wake.IsZero() {
		return
	}
	at := max(wake.Sub(epoch), s.now+time.Microsecond)
	if e.wake > s.now && e.wake <= at {
		return
	}
	e.wake = at
	s.after(at-s.now, func() {
		if e.wake == at && !e.lost {
			e.next()
		}
	})
}

// result handles a Result from an agent.
func (e *entry) result(a *agent, at *attempt, r dispatch.Result, load dispatch.Load) {
	if e.lost {
		return
	}
	s := e.sim
	if r.State == dispatch.Refused {
		s.figures.wasted++
	}
	verdict := e.policy.Finished(s.time(), at.ref, a.ID, r)
	e.policy.Report(s.time(), a.ID, load)
	if verdict == dispatch.Final {
		e.taskEnded(at, r)
	}
	e.next()
}

func (e *entry) taskEnded(at *attempt, r dispatch.Result) {
	s := e.sim
	j := at.job
	s.figures.task(at)
	j.failed = j.failed || r.State != dispatch.Succeeded
	if r.State != dispatch.Succeeded {
		s.figures.failures++
	}
	j.open--
	if j.open == 0 {
		j.ended = true
		delete(e.jobs, j.id)
		s.figures.job(j, s.now+s.deployment.Network.ToClients)
	}
}

// drop handles the refusal of a waiting task: the job fails as a whole.
func (e *entry) drop(j *jobRun) {
	if j == nil {
		return
	}
	j.failed = true
	j.open--
	if j.open == 0 {
		delete(e.jobs, j.id)
	}
	if !j.ended {
		j.ended = true
		e.sim.figures.refuse(j)
	}
}

// die models the loss of the entry: its jobs are lost, and its clients go to another entry.
func (e *entry) die() {
	e.lost = true
	for _, j := range e.jobs {
		if !j.ended {
			e.sim.figures.lose(j)
		}
	}
}
