package entry

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Timeouts for the detection of an agent that does not respond.
const (
	// ackTimeout is the time within which an agent acknowledges a start or returns its result.
	ackTimeout = 500 * time.Millisecond
	// probeTimeout is the time within which a suspected agent answers a ping before its link is closed.
	probeTimeout = 500 * time.Millisecond
)

// attempt is one start of a task that has no result yet.
type attempt struct {
	id           uint64
	job          *job
	taskIndex    int
	session      *agentSession
	acknowledged bool
	cancelled    bool
	ackTimer     *pendingTimer
}

func (a *attempt) taskRef() dispatch.TaskRef {
	return dispatch.TaskRef{Job: a.job.id, Index: uint16(a.taskIndex)}
}

// handlePolicyRefusal fails the job of a waiting task that the policy refuses to start.
func (c *control) handlePolicyRefusal(r dispatch.Refusal) {
	j := c.jobs[r.Ref.Job]
	if j == nil {
		return
	}
	index := int(r.Ref.Index)
	outcome := c.waitingTaskOutcome(j, index)
	if r.Started {
		outcome = wire.OutcomeUnknown
	}
	c.failJob(j, failure{reason: r.Reason, retryAfter: r.RetryAfter})
	c.resolveTask(j, index, wire.TaskAnswer{Outcome: outcome})
}

// startAttempt sends a start to the agent that the policy chose.
func (c *control) startAttempt(s *service, assignment dispatch.Assignment) {
	j := c.jobs[assignment.Ref.Job]
	session := c.agents[assignment.Upstream]
	if j == nil || j.finished || session == nil || session.link == nil || !c.mayStart(j) {
		c.returnAssignment(s, assignment, j)
		return
	}
	c.lastAttemptID++
	a := &attempt{id: c.lastAttemptID, job: j, taskIndex: int(assignment.Ref.Index), session: session}
	if session.link.Send(c.startMessage(a, assignment)) != nil {
		// The link did not queue the message, so the agent cannot have received it.
		s.policy.FinishAttempt(c.now, assignment.Ref, assignment.Upstream,
			dispatch.Result{State: dispatch.Refused, Reason: wire.RefusedUpstreamDown})
		return
	}
	c.metrics.countStart(assignment)
	session.attempts[a.id] = a
	t := &j.tasks[a.taskIndex]
	t.attempts = append(t.attempts, a)
	a.ackTimer = c.timers.add(c.now.Add(ackTimeout), func(time.Time) { c.suspectLink(a) })
}

// returnAssignment gives an assignment that cannot be sent back to the policy. A job that this entry may no longer start
// fails.
func (c *control) returnAssignment(s *service, assignment dispatch.Assignment, j *job) {
	if j != nil && !j.finished && !c.mayStart(j) {
		c.failJob(j, failure{reason: wire.ReasonExpelled})
	}
	s.policy.FinishAttempt(c.now, assignment.Ref, assignment.Upstream,
		dispatch.Result{State: dispatch.Refused, Reason: wire.RefusedUpstreamDown})
}

// startMessage returns the start of an attempt. Only that of a job with a caller's key has a list version and an expiry,
// which agents check before they start it.
func (c *control) startMessage(a *attempt, assignment dispatch.Assignment) *wire.Start {
	j := a.job
	spec := &j.spec.Tasks[a.taskIndex]
	path := spec.Path
	if path == "" {
		path = j.kind.Path
	}
	m := &wire.Start{
		Attempt: a.id, Home: c.options.ID, HomeIncarnation: c.incarnation,
		Key: j.key, Task: uint16(a.taskIndex), Tasks: uint16(len(j.tasks)),
		Service: j.spec.Service, Kind: j.kind.Name, Method: j.kind.Method, Path: path,
		Headers: spec.Headers, Body: spec.Body,
		BudgetMillis: uint32(max(j.deadline.Sub(c.now).Milliseconds(), 1)),
		Urgent:       j.kind.Urgent, Idempotent: j.kind.Idempotent,
		Long: assignment.Long, Retry: assignment.Retry, DocumentRevision: j.service.revision,
		Digest: j.spec.Digest,
	}
	if j.tableJob != 0 {
		m.ListVersion, m.Digest, m.Expires = c.list.Version, j.spec.Digest, j.deadline
	}
	return m
}

// suspectLink probes the link of an attempt that was neither acknowledged nor answered in time.
func (c *control) suspectLink(a *attempt) {
	if a.acknowledged || a.session.link == nil {
		return
	}
	c.metrics.countSuspectedLink()
	a.session.link.Probe(probeTimeout)
}

// cancelAttempts asks the agents not to start the open attempts of a job.
func (c *control) cancelAttempts(j *job) {
	idsBySession := make(map[*agentSession][]uint64)
	for i := range j.tasks {
		for _, a := range j.tasks[i].attempts {
			if !a.cancelled {
				a.cancelled = true
				idsBySession[a.session] = append(idsBySession[a.session], a.id)
			}
		}
	}
	for session, ids := range idsBySession {
		if session.link != nil {
			_ = session.link.Send(&wire.Cancel{Attempts: ids})
		}
	}
}

// endAttempt removes the attempt, reports its result to the policy, and resolves the task unless the policy retries it or
// has another attempt of it open.
func (c *control) endAttempt(a *attempt, result dispatch.Result, answer wire.TaskAnswer) {
	delete(a.session.attempts, a.id)
	c.timers.cancel(a.ackTimer)
	j := a.job
	t := &j.tasks[a.taskIndex]
	t.attempts = slices.DeleteFunc(t.attempts, func(other *attempt) bool { return other == a })
	if result.State != dispatch.Refused {
		t.mayHaveRun = true
	}
	if result.State == dispatch.Lost {
		// The upstream may still be working on it, so not even an idempotent task is retried.
		j.service.policy.Cancel(c.now, []dispatch.TaskRef{a.taskRef()})
	}
	status := j.service.policy.FinishAttempt(c.now, a.taskRef(), a.session.id, result)
	if j.finished || status == dispatch.Requeued || status == dispatch.StillOpen {
		return
	}
	if answer.Outcome == wire.OutcomeNotRun && t.mayHaveRun {
		// This attempt did not start, but an earlier one of the same task may have.
		answer.Outcome = wire.OutcomeUnknown
	}
	if answer.Outcome != wire.OutcomeComplete {
		c.failJob(j, failure{reason: failureReason(result), message: failureMessage(result)})
	}
	c.resolveTask(j, a.taskIndex, answer)
	c.cancelOtherAttempts(t)
}

// cancelOtherAttempts asks the agents not to start the remaining attempts of a task that has an outcome.
func (c *control) cancelOtherAttempts(t *task) {
	for _, a := range t.attempts {
		if !a.cancelled && a.session.link != nil {
			a.cancelled = true
			_ = a.session.link.Send(&wire.Cancel{Attempts: []uint64{a.id}})
		}
	}
}

// failureReason returns the reason that the callers get for an attempt that did not complete its task.
func failureReason(r dispatch.Result) wire.Reason {
	switch {
	case r.State == dispatch.Lost:
		return wire.ReasonUpstreamLost
	case r.Reason == wire.RefusedCancelled:
		return wire.ReasonCancelled
	case r.Reason == wire.RefusedExpired:
		return wire.ReasonDeadline
	case r.Reason == wire.RefusedFenced, r.Reason == wire.RefusedStaleList:
		return wire.ReasonExpelled
	case r.Reason == wire.RefusedDuplicate:
		return wire.ReasonUpstreamLost
	default:
		return wire.ReasonUpstreamRefused
	}
}

func failureMessage(r dispatch.Result) string {
	if r.State == dispatch.Lost {
		return "the result of a task that may have run was lost"
	}
	return ""
}
