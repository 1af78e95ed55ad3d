package entry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// cancelGracePeriod is the time for which the answer of a failed job waits for the agents to confirm which of its tasks did
// not start. These tasks get the outcome not_run.
const cancelGracePeriod = 100 * time.Millisecond

// job is a submission that runs at this entry.
type job struct {
	id        uint64
	key       wire.KeyHash
	tableJob  table.Job // 0 for a job whose key this entry issued, because no other entry can be the home of such a key
	spec      wire.Job
	service   *service
	kind      document.Kind
	deadline  time.Time
	tasks     []task
	openTasks int // tasks without an outcome
	failure   *failure
	timer     *pendingTimer
	finished  bool
	replies   []func(*wire.ForwardReply)
}

// task is one task of a running job. The outcome in its answer is 0 while the task is open.
type task struct {
	answer     wire.TaskAnswer
	attempts   []*attempt
	mayHaveRun bool // an attempt that ended may have started the task
}

// failure is the first reason for which a job cannot be completed any more.
type failure struct {
	reason     wire.Reason
	message    string
	retryAfter time.Duration
}

// startJob starts a submission whose key is new. The request that submitted it gets the answer.
func (c *control) startJob(s submission, service *service, tableJob table.Job) {
	kind, _ := service.document.Kind(s.job.Kind)
	c.lastJobID++
	j := &job{
		id: c.lastJobID, key: s.key, tableJob: tableJob, spec: s.job, service: service, kind: kind, deadline: s.deadline,
		tasks: make([]task, len(s.job.Tasks)), openTasks: len(s.job.Tasks), replies: []func(*wire.ForwardReply){s.reply},
	}
	c.jobs[j.id] = j
	c.jobsByKey[j.key] = j
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
	j.timer = c.timers.add(j.deadline, func(time.Time) { c.failAtDeadline(j) })
}

// failAtDeadline fails a job at its deadline. The reason depends on whether an attempt that ended may have run a task.
func (c *control) failAtDeadline(j *job) {
	reason := wire.ReasonDeadline
	for i := range j.tasks {
		if j.tasks[i].mayHaveRun {
			reason = wire.ReasonUpstreamTimeout
		}
	}
	c.failJob(j, failure{reason: reason, message: "the deadline passed before every task had a result"})
}

// failJob records that the job cannot be completed any more. Waiting tasks are removed from the policy, and agents are
// asked not to start the attempts that they hold. The answer is sent when every task has an outcome, or after
// cancelGracePeriod.
func (c *control) failJob(j *job, f failure) {
	if j.finished || j.failure != nil {
		return
	}
	j.failure = &f
	c.timers.cancel(j.timer)
	for _, ref := range j.service.policy.Cancel(c.now, j.openTaskRefs()) {
		c.resolveTask(j, int(ref.Index), wire.TaskAnswer{Outcome: c.waitingTaskOutcome(j, int(ref.Index))})
	}
	if j.finished {
		return
	}
	c.cancelAttempts(j)
	j.timer = c.timers.add(c.now.Add(cancelGracePeriod), func(time.Time) { c.closeOpenTasks(j, wire.OutcomeUnknown) })
}

// waitingTaskOutcome returns the outcome of a waiting task that will not be started any more: not_run, unless an earlier
// attempt may have run.
func (c *control) waitingTaskOutcome(j *job, index int) wire.Outcome {
	if j.tasks[index].mayHaveRun {
		return wire.OutcomeUnknown
	}
	return wire.OutcomeNotRun
}

// openTaskRefs returns the tasks without an outcome.
func (j *job) openTaskRefs() []dispatch.TaskRef {
	refs := make([]dispatch.TaskRef, 0, j.openTasks)
	for i := range j.tasks {
		if j.tasks[i].answer.Outcome == 0 {
			refs = append(refs, dispatch.TaskRef{Job: j.id, Index: uint16(i)})
		}
	}
	return refs
}

// closeOpenTasks sets the outcome of every open task and thereby finishes the job.
func (c *control) closeOpenTasks(j *job, outcome wire.Outcome) {
	for i := range j.tasks {
		if j.tasks[i].answer.Outcome == 0 {
			c.resolveTask(j, i, wire.TaskAnswer{Outcome: outcome})
		}
	}
}

// resolveTask sets the final outcome of a task. Later outcomes of the same task are ignored.
func (c *control) resolveTask(j *job, index int, answer wire.TaskAnswer) {
	t := &j.tasks[index]
	if j.finished || t.answer.Outcome != 0 {
		return
	}
	t.answer = answer
	j.openTasks--
	if j.openTasks == 0 {
		c.finishJob(j)
	}
}

// finishJob sends the answer of a job to its callers. The answer is complete or failed; a failed one contains no bodies.
func (c *control) finishJob(j *job) {
	j.finished = true
	c.timers.cancel(j.timer)
	delete(c.jobs, j.id)
	delete(c.jobsByKey, j.key)
	c.quotas.Release(j.spec.Team, len(j.tasks))
	answer := j.answer()
	if j.tableJob != 0 {
		delete(c.tableJobs, j.tableJob)
		answer = c.downgradeUnprovenNotRun(c.table.Complete(c.now, j.tableJob, answer))
		c.sendHandovers()
	}
	c.metrics.countAnswer(answer)
	for _, reply := range j.replies {
		reply(&wire.ForwardReply{Status: wire.ForwardAnswered, Answer: answer})
	}
}

// answer returns the final answer of a job. An answer whose tasks exceed wire.MaxJobAnswer becomes unknown.
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

// outcome is complete or not_run if all tasks have that outcome, and unknown otherwise.
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

// answerSize returns the size of the headers and the body in bytes.
func answerSize(a *wire.TaskAnswer) int {
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
