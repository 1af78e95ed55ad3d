package entry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// settleTime is the time that a failed job waits for the agents to confirm what did not start, so that its answer can
// say not_run where that is true.
const settleTime = 100 * time.Millisecond

// job is a submission that runs at this entry.
type job struct {
	id       uint64
	key      wire.KeyHash
	tableJob table.Job // 0 for a job whose key was issued by this entry, so that no other entry can be its home
	spec     wire.Job
	service  *service
	kind     document.Kind
	deadline time.Time
	tasks    []task
	open     int // tasks without an outcome
	failure  *failure
	timer    *timerEntry
	finished bool
	replies  []func(*wire.ForwardReply)
}

// task is one task of a running job. Outcome is 0 while the task is open.
type task struct {
	answer   wire.TaskAnswer
	attempts []*attempt
	tried    bool
}

// failure is the first reason for which a job can no longer be complete.
type failure struct {
	reason     wire.Reason
	message    string
	retryAfter time.Duration
}

// startJob begins to run a submission whose key is new, for the request that brought it.
func (c *control) startJob(s submission, service *service, tableJob table.Job) {
	kind, _ := service.document.Kind(s.job.Kind)
	c.lastJob++
	j := &job{
		id: c.lastJob, key: s.key, tableJob: tableJob, spec: s.job, service: service, kind: kind, deadline: s.deadline,
		tasks: make([]task, len(s.job.Tasks)), open: len(s.job.Tasks), replies: []func(*wire.ForwardReply){s.reply},
	}
	c.jobs[j.id] = j
	c.running[j.key] = j
	if tableJob != 0 {
		c.tableJobs[tableJob] = j
	}
	refusal := service.policy.Submit(c.now, dispatch.Job{
		ID: j.id, Team: j.spec.Team, Kind: kind.Name, Urgent: kind.Urgent, Idempotent: kind.Idempotent,
		Deadline: j.deadline, Tasks: uint16(len(j.tasks)),
	})
	if refusal != nil {
		j.failure = &failure{reason: refusal.Reason, retryAfter: refusal.RetryAfter}
		c.closeOpenTasks(j, wire.OutcomeNotRun)
		return
	}
	j.timer = c.timers.add(j.deadline, func(time.Time) { c.deadlinePassed(j) })
}

func (c *control) deadlinePassed(j *job) {
	reason := wire.ReasonDeadline
	for i := range j.tasks {
		if j.tasks[i].tried {
			reason = wire.ReasonUpstreamTimeout
		}
	}
	c.failJob(j, failure{reason: reason, message: "the deadline passed before every task had a result"})
}

// failJob records that the job cannot be complete any more. Tasks that wait are taken back, agents are asked not to
// start what they hold, and the answer is sent when every task has an outcome or after settleTime.
func (c *control) failJob(j *job, f failure) {
	if j.finished || j.failure != nil {
		return
	}
	j.failure = &f
	c.timers.cancel(j.timer)
	for _, ref := range j.service.policy.Cancel(c.now, j.refs()) {
		c.resolveTask(j, int(ref.Index), wire.TaskAnswer{Outcome: c.untriedOutcome(j, int(ref.Index))})
	}
	if j.finished {
		return
	}
	c.cancelAttempts(j)
	j.timer = c.timers.add(c.now.Add(settleTime), func(time.Time) { c.closeOpenTasks(j, wire.OutcomeUnknown) })
}

// untriedOutcome is the outcome of a task that waits: not_run, unless an earlier attempt of it started.
func (c *control) untriedOutcome(j *job, index int) wire.Outcome {
	if j.tasks[index].tried {
		return wire.OutcomeUnknown
	}
	return wire.OutcomeNotRun
}

func (j *job) refs() []dispatch.TaskRef {
	refs := make([]dispatch.TaskRef, 0, j.open)
	for i := range j.tasks {
		if j.tasks[i].answer.Outcome == 0 {
			refs = append(refs, dispatch.TaskRef{Job: j.id, Index: uint16(i)})
		}
	}
	return refs
}

// closeOpenTasks gives every open task the outcome and thereby finishes the job.
func (c *control) closeOpenTasks(j *job, outcome wire.Outcome) {
	for i := range j.tasks {
		if j.tasks[i].answer.Outcome == 0 {
			c.resolveTask(j, i, wire.TaskAnswer{Outcome: outcome})
		}
	}
}

// resolveTask sets the final outcome of a task. The first one counts.
func (c *control) resolveTask(j *job, index int, answer wire.TaskAnswer) {
	t := &j.tasks[index]
	if j.finished || t.answer.Outcome != 0 {
		return
	}
	t.answer = answer
	j.open--
	if j.open == 0 {
		c.finishJob(j)
	}
}

// finishJob answers the callers of a job. The answer is complete or failed; a failed one holds no body.
func (c *control) finishJob(j *job) {
	j.finished = true
	c.timers.cancel(j.timer)
	delete(c.jobs, j.id)
	delete(c.running, j.key)
	c.quotas.Release(j.spec.Team, len(j.tasks))
	answer := j.answer()
	if j.tableJob != 0 {
		delete(c.tableJobs, j.tableJob)
		answer = c.vouch(c.table.Complete(c.now, j.tableJob, answer))
		c.sendHandovers()
	}
	c.metrics.countAnswer(answer)
	for _, reply := range j.replies {
		reply(&wire.ForwardReply{Status: wire.ForwardAnswered, Answer: answer})
	}
}

func (j *job) answer() *wire.Answer {
	answer := &wire.Answer{Outcome: j.outcome(), Tasks: make([]wire.TaskAnswer, len(j.tasks))}
	size := 0
	for i := range j.tasks {
		size += answerSize(&j.tasks[i].answer)
	}
	if answer.Outcome == wire.OutcomeComplete && size > wire.MaxJobAnswer {
		answer.Outcome = wire.OutcomeUnknown
		answer.Reason = wire.ReasonAnswerTooLarge
	}
	for i := range j.tasks {
		answer.Tasks[i].Outcome = j.tasks[i].answer.Outcome
		if answer.Outcome == wire.OutcomeComplete {
			answer.Tasks[i] = j.tasks[i].answer
		}
	}
	if j.failure != nil && answer.Outcome != wire.OutcomeComplete {
		answer.Reason = j.failure.reason
		answer.Message = j.failure.message
		answer.RetryAfterMillis = uint32(j.failure.retryAfter.Milliseconds())
	}
	return answer
}

func (j *job) outcome() wire.Outcome {
	count := make(map[wire.Outcome]int, 3)
	for i := range j.tasks {
		count[j.tasks[i].answer.Outcome]++
	}
	switch len(j.tasks) {
	case count[wire.OutcomeComplete]:
		return wire.OutcomeComplete
	case count[wire.OutcomeNotRun]:
		return wire.OutcomeNotRun
	default:
		return wire.OutcomeUnknown
	}
}

func answerSize(a *wire.TaskAnswer) int {
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
