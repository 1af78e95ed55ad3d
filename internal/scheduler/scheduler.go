// Package scheduler decides at an entry where and when the tasks of the jobs that it owns run. It follows each job from
// its submission to its answer.
//
// A Scheduler has no goroutines and no sockets. Each method takes the current time; the messages and answers that follow
// from an event are collected and fetched with Take.
package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// AgentID names an agent. It stays the same when the agent restarts.
type AgentID string

// Config holds the parameters of a Scheduler.
type Config struct {
	// DataCentre is that of the entry.
	DataCentre string
	// RemoteDelay is the time that a task in another data centre takes longer to begin and to report its end.
	RemoteDelay time.Duration
	// MaxExpectedWait is the longest time that a task may be expected to wait at an agent. Tasks that would wait longer stay
	// at the entry, where they can still go to any agent.
	MaxExpectedWait time.Duration
	// MaxWaitOnArrival is the longest time that a task may be expected to wait when it arrives at an agent, whose worker others may have
	// filled meanwhile. An agent gives back a task that would wait longer.
	MaxWaitOnArrival time.Duration
	// TieBreakJitter is the share by which the expected times of workers may differ that count as equal. Among these one is taken at
	// random, so that entries with the same view do not all choose the same worker.
	TieBreakJitter float64
	// Random is the source of these choices.
	Random *rand.Rand
	// NoAgentTimeout is how long a job waits at an entry that has no contact with any agent of the service.
	NoAgentTimeout time.Duration
}

// DefaultConfig returns the parameters for tasks of less than a second.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre:       dataCentre,
		RemoteDelay:      2 * time.Millisecond,  // a round trip between data centres
		MaxExpectedWait:  20 * time.Millisecond, // hides the round trips in which an agent gets the next task
		MaxWaitOnArrival: 40 * time.Millisecond, // twice the wait that the entry expects at most
		TieBreakJitter:   0.3,                   // estimates of a worker's speed are off by about as much
		Random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		// Agents reach an entry that has started within 100 ms; one that is cut off has lost them 400 ms after the cut.
		NoAgentTimeout: 250 * time.Millisecond,
	}
}

// Outcome is the answer to a job.
type Outcome uint8

// Outcomes of a job.
const (
	// Complete: all tasks are done.
	Complete Outcome = 1
	// Failed: a task failed as often as the queue allows.
	Failed Outcome = 2
	// NotRun: no task began, and none will.
	NotRun Outcome = 3
	// GivenUp: the job is not complete, and tasks of it may have run.
	GivenUp Outcome = 4
	// Invalid: the workers refuse the job as malformed; no task began.
	Invalid Outcome = 5
	// Unreachable: the entry has no contact with an agent of the service. No task began; another entry may serve the job.
	Unreachable Outcome = 6
)

// Answer ends a job.
type Answer struct {
	Job     *Job
	Outcome Outcome
	Reason  string
	// RetryAfter is when it makes sense to submit the job again; 0 if it does not.
	RetryAfter time.Duration
}

// Job is a job that the scheduler owns, with the figures for its log line.
type Job struct {
	Spec           *job.Job
	Queue          *catalog.Queue
	CatalogVersion uint64 // version of the configuration by which it is served
	Arrived        time.Time
	Deadline       time.Time
	// OffersMade, Began, Ends and Failures count over all tasks.
	OffersMade, TasksBegun, OffersEnded, RunFailures int
	// FirstOffer is when the first task was offered to an agent.
	FirstOffer time.Time
	// Handle is the submitter's own; the scheduler passes it on.
	Handle any

	tasks     []*task
	remaining []int // open tasks of each step
	openTasks int
	answered  bool
	// firstSubmitted is when the caller submitted the job first, as far as the time for which it still waits tells.
	firstSubmitted time.Time
	// objective is the time from the first submission in which the job is to be done.
	objective time.Duration
	tier      int // order class of its waiting tasks in the last sort
}

// task is one task of a job.
type task struct {
	job            *Job
	step           *job.Step
	stepIndex      int
	index          int
	state          taskState
	latestStart    time.Time // when it should begin on a worker of ordinary speed
	highestAttempt uint32    // the highest run number used
	failures       int
	avoidAgents    []AgentID // where a run did not come to its end
	offerNumber    uint64
	agent          *agent
	incarnation    uint64 // of the process of the agent that got the offer
	began          bool
	// mayHaveRun is set once a run of the task has begun or may have.
	mayHaveRun bool
	// runEndedAt is when a run at an agent without contact has certainly ended.
	runEndedAt time.Time
}

type taskState uint8

const (
	taskBlocked   taskState = iota // waits for earlier steps
	taskWaiting                    // waits at the entry
	taskOffered                    // is at an agent
	taskUncertain                  // was at an agent that is out of contact
	taskDone
)

// AgentMessage is a message for one agent.
type AgentMessage struct {
	Agent    AgentID
	Offer    *wire.Offer // nil for a withdrawal
	Withdraw uint64
}

// Scheduler holds the jobs of one entry.
type Scheduler struct {
	config     Config
	jobs       map[string]*Job
	waiting    waitingQueue
	offers     map[uint64]*task
	agents     map[AgentID]*agent
	shortWaits shortWaitShares
	agentList  []*agent
	lastOffer  uint64
	// changedSincePass is set when something has happened since the last pass over the waiting tasks, at passed.
	changedSincePass bool
	lastPass         time.Time
	lastSweep        time.Time // when the deadlines of all jobs were last looked at

	outgoing []AgentMessage
	answers  []Answer
}

// New returns a scheduler without jobs and agents.
func New(config Config) *Scheduler {
	return &Scheduler{
		config: config, jobs: make(map[string]*Job), offers: make(map[uint64]*task), agents: make(map[AgentID]*agent), shortWaits: make(shortWaitShares),
	}
}

// TakeOutput returns the messages and answers that followed from the events since the last call.
func (s *Scheduler) TakeOutput() ([]AgentMessage, []Answer) {
	out, answers := s.outgoing, s.answers
	s.outgoing, s.answers = nil, nil
	return out, answers
}

// OpenJobs returns the number of jobs without an answer.
func (s *Scheduler) OpenJobs() int { return len(s.jobs) }

// WaitingTasks returns the number of tasks that wait at the entry.
func (s *Scheduler) WaitingTasks() int { return s.waiting.Len() }

// Submit takes a job. When a job with the same id is open, that one is returned and nothing changes.
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
	j.objective = time.Duration(j.Queue.ObjectiveFactor*float64(j.criticalPath())) + j.Queue.ObjectiveExtra
	s.enqueueReadyTasks(j)
	s.assign(now)
	return nil
}

// retractOffer takes back one offer from the figures of the job.
func (j *Job) retractOffer() {
	j.OffersMade--
	if j.OffersMade == 0 {
		j.FirstOffer = time.Time{}
	}
}

// enqueueReadyTasks puts the tasks whose earlier steps are done into the queue.
func (s *Scheduler) enqueueReadyTasks(j *Job) {
	for _, t := range j.tasks {
		if t.state == taskBlocked && j.stepReady(t.step) {
			t.latestStart = j.latestStart(t)
			s.enqueue(t)
		}
	}
}

func (j *Job) stepReady(step *job.Step) bool {
	for _, before := range step.After {
		if j.remaining[before] > 0 {
			return false
		}
	}
	return true
}

// latestStart returns when a task should begin so that the job meets its objective on a worker of ordinary speed.
func (j *Job) latestStart(t *task) time.Time {
	return j.firstSubmitted.Add(j.objective - answerMargin - j.criticalPathFrom(t.stepIndex))
}

// answerMargin is kept for the way of the answer to the caller and of the end of the last task to the entry.
const answerMargin = 8 * time.Millisecond

// lateFactor times the objective is the time up to which a late answer still has a worth.
const lateFactor = 3

// lateWindow returns the time after the objective in which a late answer still has a worth.
func (j *Job) lateWindow() time.Duration { return (lateFactor - 1) * j.objective }

// criticalPath returns the expected run time of the longest chain of steps.
func (j *Job) criticalPath() time.Duration {
	longest := time.Duration(0)
	for i := range j.Spec.Steps {
		longest = max(longest, j.criticalPathFrom(i))
	}
	return longest
}

// criticalPathFrom returns the expected run time of the longest chain that begins with a step.
func (j *Job) criticalPathFrom(step int) time.Duration {
	longest := time.Duration(0)
	for i := step + 1; i < len(j.Spec.Steps); i++ {
		for _, before := range j.Spec.Steps[i].After {
			if before == step {
				longest = max(longest, j.criticalPathFrom(i))
			}
		}
	}
	return longest + j.Spec.Steps[step].Estimate
}

// Cancel ends a job whose caller has left. It gets no answer.
func (s *Scheduler) Cancel(now time.Time, id string) {
	if j := s.jobs[id]; j != nil {
		s.close(j)
		s.assign(now)
	}
}

// close withdraws all tasks of a job and forgets it.
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

// removeOffer drops the offer of a task.
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

// HandleRunEnd takes the end of an offer.
func (s *Scheduler) HandleRunEnd(now time.Time, id AgentID, end wire.RunEnd) {
	t := s.offers[end.Number]
	if t == nil || t.agent == nil || t.agent.id != id {
		return
	}
	s.removeOffer(t)
	t.state = taskDone // until it waits again
	t.highestAttempt = max(t.highestAttempt, end.Attempt)
	t.job.OffersEnded++
	t.mayHaveRun = t.mayHaveRun || end.Outcome != wire.RunNotStarted && end.Outcome != wire.RunInvalid
	switch end.Outcome {
	case wire.RunDone:
		s.handleDone(t)
	case wire.RunFailed:
		s.handleFailed(t, id)
	case wire.RunInvalid:
		s.answerJob(t.job, Invalid, end.Reason, 0)
	case wire.RunStopped:
		t.avoidAgents = append(t.avoidAgents, id) // the worker stalled or lost the run
		s.enqueue(t)
	default:
		t.began = false
		s.enqueue(t)
	}
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

// enqueue puts a task back into the queue of the entry.
func (s *Scheduler) enqueue(t *task) {
	t.state = taskWaiting
	s.waiting.push(t)
	s.changedSincePass = true
}

// HandleRunBegan notes that the task of an offer has begun.
func (s *Scheduler) HandleRunBegan(number uint64) {
	if t := s.offers[number]; t != nil && !t.began {
		t.began = true
		t.job.TasksBegun++
	}
}

// Advance does what is due at a time: it gives up jobs whose deadline has come, frees tasks whose former runs are over,
// and assigns what waits.
func (s *Scheduler) Advance(now time.Time) {
	if since := now.Sub(s.lastSweep); since >= sweepInterval || since < 0 {
		s.lastSweep = now
		s.sweep(now)
	}
	s.assign(now)
}

// sweepInterval is the resolution of deadlines and of the ends of uncertain runs.
const sweepInterval = 10 * time.Millisecond

func (s *Scheduler) sweep(now time.Time) {
	for _, j := range s.jobs {
		switch {
		case !j.Deadline.After(now):
			s.expireJob(j)
		case j.OffersMade == 0 && now.Sub(j.Arrived) >= s.config.NoAgentTimeout && s.AvailableAgents(j.Queue.Service) == 0:
			s.answerJob(j, Unreachable, "the entry has no contact with an agent of the service", overloadRetryAfter)
		}
	}
	for _, t := range s.offers {
		awaitsReport := t.agent.linked && t.incarnation == t.agent.incarnation // the agent tells what became of the task
		if t.state == taskUncertain && !awaitsReport && !t.runEndedAt.After(now) {
			s.requeueLostRun(t)
		}
	}
}

// requeueLostRun puts a task back into the queue whose run at a lost agent is over.
func (s *Scheduler) requeueLostRun(t *task) {
	t.mayHaveRun = true
	t.avoidAgents = append(t.avoidAgents, t.agent.id)
	s.removeOffer(t)
	s.enqueue(t)
}

// expireJob answers a job whose deadline has come. It has not run only if nothing of it was ever at a worker.
func (s *Scheduler) expireJob(j *Job) {
	for _, t := range j.tasks {
		if t.state == taskOffered || t.state == taskUncertain || t.mayHaveRun {
			s.answerJob(j, GivenUp, "the deadline has come", 0)
			return
		}
	}
	s.answerJob(j, NotRun, "no worker had room before the deadline", overloadRetryAfter)
}

// overloadRetryAfter is when a caller should come back after a refusal for want of room; swings of the load last seconds.
const overloadRetryAfter = time.Second

// Job returns the open job with an id, or nil.
func (s *Scheduler) Job(id string) *Job { return s.jobs[id] }

// UnstartedJobs returns the number of open jobs of a queue of which no task has begun.
func (s *Scheduler) UnstartedJobs(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue.Name == queue && j.TasksBegun == 0 {
			n++
		}
	}
	return n
}

// GiveUp answers an open job at once. It returns false when no such job is open.
func (s *Scheduler) GiveUp(id, reason string) bool {
	j := s.jobs[id]
	if j == nil {
		return false
	}
	s.answerJob(j, GivenUp, reason, 0)
	return true
}

// GiveUpAll answers all open jobs at once.
func (s *Scheduler) GiveUpAll(reason string) {
	for _, j := range s.jobs {
		s.answerJob(j, GivenUp, reason, 0)
	}
}
