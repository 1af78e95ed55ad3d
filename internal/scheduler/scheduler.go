// Package scheduler decides at an entry when and on which worker the tasks of the entry's jobs run. It tracks each job from
// its submission to its answer.
//
// A Scheduler has no goroutines and does no I/O. Each method takes the current time; the messages and answers that result
// from an event are collected and fetched with TakeOutput.
package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// AgentID identifies an agent. It stays the same when the agent restarts.
type AgentID string

// Config holds the parameters of a Scheduler.
type Config struct {
	// DataCentre is the data centre of the entry.
	DataCentre string
	// RemoteDelay is the additional time that a task in another data centre takes to start and to report its end.
	RemoteDelay time.Duration
	// MaxExpectedWait is the longest expected wait at an agent with which a task is offered to it. Tasks that would wait for
	// longer stay at the entry, from where they can still go to any agent.
	MaxExpectedWait time.Duration
	// MaxWaitOnArrival is the longest expected wait with which an agent accepts a task. It is checked when the offer
	// arrives, because other entries may have filled the worker meanwhile; the agent returns a task that would wait for
	// longer.
	MaxWaitOnArrival time.Duration
	// TieBreakJitter is the largest fraction by which the expected time of each agent is randomly increased. Without it,
	// entries with the same view would all choose the same worker.
	TieBreakJitter float64
	// Random is the source of the jitter.
	Random *rand.Rand
	// NoAgentTimeout is how long a job waits at an entry that is linked to no available agent of the service.
	NoAgentTimeout time.Duration
	// Placement is the rule by which waiting tasks are placed. It is the same at entries and agents.
	Placement runs.Placement
	// AdmitByShares refuses jobs on arrival while the demand exceeds the capacity of their service, by the shares that their
	// classes, queues and groups are entitled to.
	AdmitByShares bool
	// ShareByGroup divides the share of a queue among the groups of jobs with the same payload. It needs AdmitByShares.
	ShareByGroup bool
}

// DefaultConfig returns the parameters for tasks that take less than a second.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre:       dataCentre,
		RemoteDelay:      2 * time.Millisecond,  // a round trip between data centres
		MaxExpectedWait:  20 * time.Millisecond, // covers the round trip in which an agent gets its next task
		MaxWaitOnArrival: 40 * time.Millisecond, // twice MaxExpectedWait
		TieBreakJitter:   0.3,                   // about the error of the estimated speed of a worker
		Random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		// Agents link to a new entry within 100 ms, and an entry that is cut off loses them within 400 ms.
		NoAgentTimeout: 250 * time.Millisecond,
		Placement:      runs.DefaultPlacement,
		ShareByGroup:   true,
	}
}

// Outcome is the result of a job.
type Outcome uint8

// Values of Outcome.
const (
	// Complete means that all tasks are done.
	Complete Outcome = 1
	// Failed means that a task failed as often as the queue allows.
	Failed Outcome = 2
	// NotRun means that no task has started and none will.
	NotRun Outcome = 3
	// GivenUp means that the job is not complete, and that tasks of it may have run.
	GivenUp Outcome = 4
	// Invalid means that a worker rejected the job as malformed; no task has started.
	Invalid Outcome = 5
	// Unreachable means that the entry has no contact with an agent of the service. No task has started; another entry may
	// be able to serve the job.
	Unreachable Outcome = 6
)

// Answer is the result of a job for its submitters.
type Answer struct {
	Job     *Job
	Outcome Outcome
	Reason  string
	// RetryAfter is the time after which submitting the job again is useful; 0 if it is not.
	RetryAfter time.Duration
}

// Job is a job that the scheduler owns, with the counters for its log line.
type Job struct {
	Spec           *job.Job
	Queue          *catalog.Queue
	CatalogVersion uint64 // version of the configuration that applies to the job
	Arrived        time.Time
	Deadline       time.Time
	// OffersMade, TasksStarted, OffersEnded and RunFailures count over all tasks.
	OffersMade, TasksStarted, OffersEnded, RunFailures int
	// Reservations counts the offers that were reservations.
	Reservations int
	// FirstOffer is when the first task was offered to an agent; zero before that.
	FirstOffer time.Time
	// Handle belongs to the submitter; the scheduler does not use it.
	Handle any

	tasks     []*task
	remaining []int // number of unfinished tasks of each step
	// chainTimes is, for each step, the estimated run time of the longest chain of dependent steps that starts with it.
	chainTimes []time.Duration
	openTasks  int
	answered   bool
	// rejection is why workers reject a task of the job as malformed; empty while none counts as rejected.
	rejection string
	// firstSubmitted is when the caller first submitted the job, as estimated by earlierWait.
	firstSubmitted time.Time
	// objective is the time from the first submission within which the job should be done.
	objective   time.Duration
	tier        int     // urgency tier of its waiting tasks at the last sort
	waitingWork float64 // of its waiting tasks at the last sort, see task.work
	fits        bool    // a known worker can run each of its tasks
	// fitsElsewhereAt is the evacuationState.epoch at which known workers outside the evacuated data centres could run each task.
	fitsElsewhereAt uint64
}

// task is one task of a job.
type task struct {
	job            *Job
	step           *job.Step
	stepIndex      int
	index          int
	state          taskState
	latestStart    time.Time // when it should start on a worker of ordinary speed
	highestAttempt uint32    // the highest attempt number used so far
	failures       int
	rejections     int
	avoidAgents    []AgentID // agents at which a run failed, was lost or was rejected
	offerNumber    uint64
	agent          *agent
	incarnation    uint64 // of the agent process that got the offer
	started        bool
	reserved       bool // the offer is a reservation
	// waitingSince is when the first pass saw the task in the queue; zero before it.
	waitingSince time.Time
	// mayHaveRun is true once a run of the task has started or may have started.
	mayHaveRun bool
	// runEndedAt is when a run at an agent without contact has certainly ended.
	runEndedAt time.Time
}

type taskState uint8

const (
	taskBlocked   taskState = iota // waits for earlier steps
	taskWaiting                    // waits at the entry
	taskOffered                    // was offered to an agent
	taskUncertain                  // was offered to an agent that is now out of contact
	taskDone
)

// AgentMessage is an offer or a withdrawal for one agent.
type AgentMessage struct {
	Agent    AgentID
	Offer    *wire.Offer // nil for a withdrawal
	Withdraw uint64      // number of the offer to withdraw; 0 with Offer
	// Waited is how long the task of an offer has waited at the entry, Size its class of size.
	Waited time.Duration
	Size   SizeClass
}

// Scheduler holds the open jobs of one entry and the state of its agents.
type Scheduler struct {
	config     Config
	jobs       map[string]*Job
	waiting    waitingQueue
	offers     map[uint64]*task
	agents     map[AgentID]*agent
	shortWaits shortWaitShares
	shares     map[string]*serviceShares
	agentList  []*agent
	lastOffer  uint64
	// changedSincePass is true when something has changed since lastPass, the time of the last pass over the waiting tasks.
	changedSincePass bool
	lastPass         time.Time
	lastSweep        time.Time // when the deadlines of all jobs were last checked
	backlog          backlog
	workerAddedAt    time.Time // when an agent last reported a new worker or a new incarnation of one
	firstWorkerAt    time.Time // when an agent first reported a worker
	evacuation       evacuationState

	outgoing []AgentMessage
	answers  []Answer
}

// New returns a scheduler without jobs or agents.
func New(config Config) *Scheduler {
	return &Scheduler{
		config: config, jobs: make(map[string]*Job), offers: make(map[uint64]*task), agents: make(map[AgentID]*agent), shortWaits: make(shortWaitShares),
		shares: make(map[string]*serviceShares),
	}
}

// TakeOutput returns the messages and answers that were collected since the last call, and clears them.
func (s *Scheduler) TakeOutput() ([]AgentMessage, []Answer) {
	out, answers := s.outgoing, s.answers
	s.outgoing, s.answers = nil, nil
	return out, answers
}

// OpenJobs returns the number of jobs without an answer.
func (s *Scheduler) OpenJobs() int { return len(s.jobs) }

// WaitingTasks returns the number of tasks that wait at the entry.
func (s *Scheduler) WaitingTasks() int { return s.waiting.Len() }

// Submit adds a job. If a job with the same id is open, it returns that job and changes nothing.
func (s *Scheduler) Submit(now time.Time, j *Job) (joined *Job) {
	if open := s.jobs[j.Spec.ID]; open != nil {
		return open
	}
	s.jobs[j.Spec.ID] = j
	j.remaining = make([]int, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		j.remaining[i] = step.Tasks
		for k := range step.Tasks {
			j.tasks = append(j.tasks, &task{job: j, step: step, stepIndex: i, index: k})
		}
	}
	j.openTasks = len(j.tasks)
	j.firstSubmitted = j.Arrived.Add(-s.shortWaits.earlierWait(j))
	j.chainTimes = chainTimes(j.Spec.Steps)
	j.objective = time.Duration(j.Queue.ObjectiveFactor*float64(slices.Max(j.chainTimes))) + j.Queue.ObjectiveExtra
	s.backlog.recordJob(now, j)
	isAdmitted := !s.config.AdmitByShares || s.admits(now, j)
	if isAdmitted {
		s.enqueueReadyTasks(j)
	}
	switch {
	case s.refuseUnfit(now, j):
	case !isAdmitted:
		s.deferOrRefuse(now, j)
	default:
		s.assign(now)
	}
	return nil
}

// retractOffer removes one offer from the counters of the job.
func (j *Job) retractOffer() {
	j.OffersMade--
	if j.OffersMade == 0 {
		j.FirstOffer = time.Time{}
	}
}

// enqueueReadyTasks puts the tasks whose preceding steps are done into the queue.
func (s *Scheduler) enqueueReadyTasks(j *Job) {
	for _, t := range j.tasks {
		if t.state == taskBlocked && j.stepReady(t.step) {
			t.latestStart = j.latestStart(t)
			s.enqueue(t)
		}
	}
}

func (j *Job) stepReady(step *job.Step) bool {
	for _, dependency := range step.After {
		if j.remaining[dependency] > 0 {
			return false
		}
	}
	return true
}

// latestStart returns when a task should start so that the job meets its objective on workers of ordinary speed.
func (j *Job) latestStart(t *task) time.Time {
	return j.firstSubmitted.Add(j.objective - answerMargin - j.chainTimes[t.stepIndex])
}

// answerMargin is reserved for the transfer of the last task's end to the entry and of the answer to the caller.
const answerMargin = 8 * time.Millisecond

// lateFactor times the objective is the time up to which a late answer is still useful.
const lateFactor = 3

// lateWindow returns the time after the objective within which a late answer is still useful.
func (j *Job) lateWindow() time.Duration { return (lateFactor - 1) * j.objective }

// chainTimes returns, for each step, the estimated run time of the longest chain of dependent steps that starts with it. A step
// depends only on earlier ones, so one pass from the last step to the first sees each dependency once.
func chainTimes(steps []job.Step) []time.Duration {
	times := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		times[i] += steps[i].Estimate
		for _, dependency := range steps[i].After {
			times[dependency] = max(times[dependency], times[i])
		}
	}
	return times
}

// Cancel ends a job whose caller has disconnected, without an answer.
func (s *Scheduler) Cancel(now time.Time, id string) {
	if j := s.jobs[id]; j != nil {
		s.close(j)
		s.assign(now)
	}
}

// close withdraws all tasks of a job and removes it.
func (s *Scheduler) close(j *Job) {
	j.answered = true
	delete(s.jobs, j.Spec.ID)
	for _, t := range j.tasks {
		switch t.state {
		case taskWaiting:
			s.waiting.remove(t)
		case taskOffered:
			s.outgoing = append(s.outgoing, AgentMessage{Agent: t.agent.id, Withdraw: t.offerNumber})
			s.removeOffer(t)
		case taskUncertain:
			s.removeOffer(t)
		}
		t.state = taskDone
	}
}

// removeOffer removes the open offer of a task.
func (s *Scheduler) removeOffer(t *task) {
	delete(s.offers, t.offerNumber)
	if t.agent != nil {
		t.agent.removeTask(t)
		t.agent = nil
	}
}

func (s *Scheduler) answerJob(j *Job, outcome Outcome, reason string, retryAfter time.Duration) {
	s.close(j)
	s.answers = append(s.answers, Answer{Job: j, Outcome: outcome, Reason: reason, RetryAfter: retryAfter})
}

// HandleRunEnd handles the end of an offer that an agent reports.
func (s *Scheduler) HandleRunEnd(now time.Time, id AgentID, end wire.RunEnd) {
	t := s.offers[end.Number]
	if t == nil || t.agent == nil || t.agent.id != id {
		return
	}
	s.removeOffer(t)
	t.state = taskDone // unless it is enqueued again below
	t.highestAttempt = max(t.highestAttempt, end.Attempt)
	t.job.OffersEnded++
	t.mayHaveRun = t.mayHaveRun || end.Outcome != wire.RunNotStarted && end.Outcome != wire.RunInvalid
	switch end.Outcome {
	case wire.RunDone:
		s.handleDone(t)
	case wire.RunFailed:
		s.handleFailed(t, id)
	case wire.RunInvalid:
		s.handleRejected(t, id, end.Reason)
	case wire.RunStopped:
		t.avoidAgents = append(t.avoidAgents, id) // the worker stalled or lost the run
		s.enqueue(t)
	default:
		t.started = false
		s.enqueue(t)
	}
	s.answerIfRejected(t.job)
}

func (s *Scheduler) handleDone(t *task) {
	j := t.job
	j.remaining[t.stepIndex]--
	j.openTasks--
	if j.openTasks == 0 {
		s.answerJob(j, Complete, "", 0)
		return
	}
	if j.remaining[t.stepIndex] == 0 {
		s.enqueueReadyTasks(j)
	}
}

func (s *Scheduler) handleFailed(t *task, id AgentID) {
	t.failures++
	t.job.RunFailures++
	t.avoidAgents = append(t.avoidAgents, id)
	if t.failures >= max(t.job.Queue.MaxAttempts, 1) {
		s.answerJob(t.job, Failed, "a task failed as often as the queue allows", 0)
		return
	}
	s.enqueue(t)
}

// enqueue puts a task into the queue of the entry.
func (s *Scheduler) enqueue(t *task) {
	t.state, t.reserved, t.waitingSince = taskWaiting, false, time.Time{}
	s.waiting.push(t)
	s.changedSincePass = true
}

// HandleRunStarted records that an agent has sent the task of an offer to its worker.
func (s *Scheduler) HandleRunStarted(number uint64) {
	if t := s.offers[number]; t != nil && !t.started {
		t.started = true
		t.job.TasksStarted++
	}
}

// Advance performs the actions that are due: it answers jobs whose deadline has passed, requeues tasks whose lost runs have
// ended, and offers waiting tasks.
func (s *Scheduler) Advance(now time.Time) {
	if since := now.Sub(s.lastSweep); since >= sweepInterval || since < 0 {
		s.lastSweep = now
		s.sweep(now)
	}
	for service, shares := range s.shares {
		s.updateShares(now, service, shares)
	}
	s.assign(now)
}

// sweepInterval is the resolution of job deadlines and of the ends of lost runs.
const sweepInterval = 10 * time.Millisecond

func (s *Scheduler) sweep(now time.Time) {
	for _, j := range s.jobs {
		switch {
		case !j.Deadline.After(now):
			s.expireJob(j)
		case s.refuseEvacuated(now, j):
		case j.OffersMade == 0 && now.Sub(j.Arrived) >= s.config.NoAgentTimeout && s.AvailableAgents(j.Queue.Service) == 0:
			s.answerJob(j, Unreachable, "the entry has no contact with an agent of the service", overloadRetryAfter)
		default:
			s.refuseUnfit(now, j)
		}
	}
	for _, t := range s.offers {
		awaitsReport := t.agent.linked && t.incarnation == t.agent.incarnation // the agent will report what became of the offer
		if t.state == taskUncertain && !awaitsReport && !t.runEndedAt.After(now) {
			s.requeueLostRun(t)
		}
	}
}

// requeueLostRun requeues a task whose run at a lost agent has ended.
func (s *Scheduler) requeueLostRun(t *task) {
	t.mayHaveRun = true
	t.avoidAgents = append(t.avoidAgents, t.agent.id)
	s.removeOffer(t)
	s.enqueue(t)
	s.answerIfRejected(t.job)
}

// expireJob answers a job whose deadline has passed. The answer is NotRun only if none of its tasks can have started.
func (s *Scheduler) expireJob(j *Job) {
	if j.hasOpenOffer() || j.mayHaveRun() {
		s.answerJob(j, GivenUp, "the deadline has come", 0)
		return
	}
	s.answerJob(j, NotRun, "no worker had room before the deadline", overloadRetryAfter)
}

// overloadRetryAfter is when a caller should retry after a refusal for lack of capacity; load peaks last for seconds.
const overloadRetryAfter = time.Second

// Job returns the open job with an id, or nil.
func (s *Scheduler) Job(id string) *Job { return s.jobs[id] }

// UnstartedJobs returns the number of open jobs of a queue of which no task has started.
func (s *Scheduler) UnstartedJobs(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue.Name == queue && j.TasksStarted == 0 {
			n++
		}
	}
	return n
}

// GiveUp answers an open job with GivenUp. It returns false if no job with the id is open.
func (s *Scheduler) GiveUp(id, reason string) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	s.answerJob(j, GivenUp, reason, 0)
	return true
}

// GiveUpAll answers all open jobs with GivenUp.
func (s *Scheduler) GiveUpAll(reason string) {
	for _, j := range s.jobs {
		s.answerJob(j, GivenUp, reason, 0)
	}
}
