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
	// AgentQueue is the longest time that a task may be expected to wait at an agent. Tasks that would wait longer stay
	// at the entry, where they can still go to any agent.
	AgentQueue time.Duration
	// MaxWait is the longest time that a task may be expected to wait when it arrives at an agent, whose worker others may have
	// filled meanwhile. An agent gives back a task that would wait longer.
	MaxWait time.Duration
	// Spread is the share by which the expected times of workers may differ that count as equal. Among these one is taken at
	// random, so that entries with the same view do not all choose the same worker.
	Spread float64
	// Random is the source of these choices.
	Random *rand.Rand
	// ContactWait is how long a job waits at an entry that has no contact with any agent of the service.
	ContactWait time.Duration
}

// DefaultConfig returns the parameters for tasks of less than a second.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre:  dataCentre,
		RemoteDelay: 2 * time.Millisecond,  // a round trip between data centres
		AgentQueue:  20 * time.Millisecond, // hides the round trips in which an agent gets the next task
		MaxWait:     40 * time.Millisecond, // twice the wait that the entry expects at most
		Spread:      0.3,                   // estimates of a worker's speed are off by about as much
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		// Agents reach an entry that has started within 100 ms; one that is cut off has lost them 400 ms after the cut.
		ContactWait: 250 * time.Millisecond,
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
	Spec     *job.Job
	Queue    *catalog.Queue
	Catalog  uint64 // version of the configuration by which it is served
	Arrived  time.Time
	Deadline time.Time
	// Offered, Began, Ends and Failures count over all tasks.
	Offered, Began, Ends, Failures int
	// FirstOffer is when the first task was offered to an agent.
	FirstOffer time.Time
	// Handle is the submitter's own; the scheduler passes it on.
	Handle any

	tasks    []*task
	left     []int // open tasks of each step
	open     int
	answered bool
	// submitted is when the caller submitted the job first, as far as the time for which it still waits tells.
	submitted time.Time
	// objective is the time from the first submission in which the job is to be done.
	objective time.Duration
	tier      int // order class of its waiting tasks in the last sort
}

// task is one task of a job.
type task struct {
	job      *Job
	step     *job.Step
	stepNo   int
	index    int
	state    taskState
	latest   time.Time // when it should begin on a worker of ordinary speed
	attempt  uint32    // the highest run number used
	failures int
	avoid    []AgentID // where a run did not come to its end
	offer    uint64
	agent    *agent
	life     uint64 // of the process of the agent that got the offer
	began    bool
	// mayHaveRun is set once a run of the task has begun or may have.
	mayHaveRun bool
	// overAt is when a run at an agent without contact has certainly ended.
	overAt time.Time
}

type taskState uint8

const (
	taskBlocked   taskState = iota // waits for earlier steps
	taskWaiting                    // waits at the entry
	taskOffered                    // is at an agent
	taskUncertain                  // was at an agent that is out of contact
	taskDone
)

// Offer is a message for one agent.
type Offer struct {
	Agent    AgentID
	Offer    *wire.Offer // nil for a withdrawal
	Withdraw uint64
}

// Scheduler holds the jobs of one entry.
type Scheduler struct {
	config  Config
	jobs    map[string]*Job
	waiting waitingQueue
	offers  map[uint64]*task
	agents  map[AgentID]*agent
	waits   waits
	list    []*agent
	number  uint64
	// changed is set when something has happened since the last pass over the waiting tasks, at passed.
	changed bool
	passed  time.Time
	swept   time.Time // when the deadlines of all jobs were last looked at

	out     []Offer
	answers []Answer
}

// New returns a scheduler without jobs and agents.
func New(config Config) *Scheduler {
	return &Scheduler{
		config: config, jobs: make(map[string]*Job), offers: make(map[uint64]*task), agents: make(map[AgentID]*agent), waits: make(waits),
	}
}

// Take returns the messages and answers that followed from the events since the last call.
func (s *Scheduler) Take() ([]Offer, []Answer) {
	out, answers := s.out, s.answers
	s.out, s.answers = nil, nil
	return out, answers
}

// Open returns the number of jobs without an answer.
func (s *Scheduler) Open() int { return len(s.jobs) }

// Waiting returns the number of tasks that wait at the entry.
func (s *Scheduler) Waiting() int { return s.waiting.Len() }

// Submit takes a job. When a job with the same id is open, that one is returned and nothing changes.
func (s *Scheduler) Submit(now time.Time, j *Job) (joined *Job) {
	if open := s.jobs[j.Spec.ID]; open != nil {
		return open
	}
	s.jobs[j.Spec.ID] = j
	j.left = make([]int, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		j.left[i] = step.Tasks
		for k := range step.Tasks {
			j.tasks = append(j.tasks, &task{job: j, step: step, stepNo: i, index: k})
		}
	}
	j.open = len(j.tasks)
	j.submitted = j.Arrived.Add(-s.waits.spent(j))
	j.objective = time.Duration(j.Queue.ObjectiveFactor*float64(j.chain())) + j.Queue.ObjectiveExtra
	s.release(j)
	s.assign(now)
	return nil
}

// unoffer takes back one offer from the figures of the job.
func (j *Job) unoffer() {
	j.Offered--
	if j.Offered == 0 {
		j.FirstOffer = time.Time{}
	}
}

// release puts the tasks whose earlier steps are done into the queue.
func (s *Scheduler) release(j *Job) {
	for _, t := range j.tasks {
		if t.state == taskBlocked && j.ready(t.step) {
			t.latest = j.latestStart(t)
			s.wait(t)
		}
	}
}

func (j *Job) ready(step *job.Step) bool {
	for _, before := range step.After {
		if j.left[before] > 0 {
			return false
		}
	}
	return true
}

// latestStart returns when a task should begin so that the job meets its objective on a worker of ordinary speed.
func (j *Job) latestStart(t *task) time.Time {
	return j.submitted.Add(j.objective - answerMargin - j.chainFrom(t.stepNo))
}

// answerMargin is kept for the way of the answer to the caller and of the end of the last task to the entry.
const answerMargin = 8 * time.Millisecond

// lateFactor times the objective is the time up to which a late answer still has a worth.
const lateFactor = 3

// lateWorth returns the time after the objective in which a late answer still has a worth.
func (j *Job) lateWorth() time.Duration { return (lateFactor - 1) * j.objective }

// chain returns the expected run time of the longest chain of steps.
func (j *Job) chain() time.Duration {
	longest := time.Duration(0)
	for i := range j.Spec.Steps {
		longest = max(longest, j.chainFrom(i))
	}
	return longest
}

// chainFrom returns the expected run time of the longest chain that begins with a step.
func (j *Job) chainFrom(step int) time.Duration {
	longest := time.Duration(0)
	for i := step + 1; i < len(j.Spec.Steps); i++ {
		for _, before := range j.Spec.Steps[i].After {
			if before == step {
				longest = max(longest, j.chainFrom(i))
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
			s.out = append(s.out, Offer{Agent: t.agent.id, Withdraw: t.offer})
			s.forget(t)
		case taskUncertain:
			s.forget(t)
		}
		t.state = taskDone
	}
}

// forget drops the offer of a task.
func (s *Scheduler) forget(t *task) {
	delete(s.offers, t.offer)
	if t.agent != nil {
		t.agent.drop(t)
		t.agent = nil
	}
}

func (s *Scheduler) answer(j *Job, outcome Outcome, reason string, retryAfter time.Duration) {
	s.close(j)
	s.answers = append(s.answers, Answer{Job: j, Outcome: outcome, Reason: reason, RetryAfter: retryAfter})
}

// End takes the end of an offer.
func (s *Scheduler) End(now time.Time, id AgentID, end wire.RunEnd) {
	t := s.offers[end.Number]
	if t == nil || t.agent == nil || t.agent.id != id {
		return
	}
	s.forget(t)
	t.state = taskDone // until it waits again
	t.attempt = max(t.attempt, end.Attempt)
	t.job.Ends++
	t.mayHaveRun = t.mayHaveRun || end.Outcome != wire.RunNotStarted && end.Outcome != wire.RunInvalid
	switch end.Outcome {
	case wire.RunDone:
		s.done(t)
	case wire.RunFailed:
		s.failed(t, id)
	case wire.RunInvalid:
		s.answer(t.job, Invalid, end.Reason, 0)
	case wire.RunStopped:
		t.avoid = append(t.avoid, id) // the worker stalled or lost the run
		s.wait(t)
	default:
		t.began = false
		s.wait(t)
	}
}

func (s *Scheduler) done(t *task) {
	j := t.job
	j.left[t.stepNo]--
	j.open--
	if j.open == 0 {
		s.answer(j, Complete, "", 0)
		return
	}
	if j.left[t.stepNo] == 0 {
		s.release(j)
	}
}

func (s *Scheduler) failed(t *task, id AgentID) {
	t.failures++
	t.job.Failures++
	t.avoid = append(t.avoid, id)
	if t.failures >= max(t.job.Queue.MaxAttempts, 1) {
		s.answer(t.job, Failed, "a task failed as often as the queue allows", 0)
		return
	}
	s.wait(t)
}

// wait puts a task back into the queue of the entry.
func (s *Scheduler) wait(t *task) {
	t.state = taskWaiting
	s.waiting.push(t)
	s.changed = true
}

// Began notes that the task of an offer has begun.
func (s *Scheduler) Began(number uint64) {
	if t := s.offers[number]; t != nil && !t.began {
		t.began = true
		t.job.Began++
	}
}

// Advance does what is due at a time: it gives up jobs whose deadline has come, frees tasks whose former runs are over,
// and assigns what waits.
func (s *Scheduler) Advance(now time.Time) {
	if since := now.Sub(s.swept); since >= sweepInterval || since < 0 {
		s.swept = now
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
			s.giveUp(j)
		case j.Offered == 0 && now.Sub(j.Arrived) >= s.config.ContactWait && s.Linked(j.Queue.Service) == 0:
			s.answer(j, Unreachable, "the entry has no contact with an agent of the service", overloadRetry)
		}
	}
	for _, t := range s.offers {
		resuming := t.agent.linked && t.life == t.agent.life // the agent tells what became of the task
		if t.state == taskUncertain && !resuming && !t.overAt.After(now) {
			s.loseRun(t)
		}
	}
}

// loseRun puts a task back into the queue whose run at a lost agent is over.
func (s *Scheduler) loseRun(t *task) {
	t.mayHaveRun = true
	t.avoid = append(t.avoid, t.agent.id)
	s.forget(t)
	s.wait(t)
}

// giveUp answers a job whose deadline has come. It has not run only if nothing of it was ever at a worker.
func (s *Scheduler) giveUp(j *Job) {
	for _, t := range j.tasks {
		if t.state == taskOffered || t.state == taskUncertain || t.mayHaveRun {
			s.answer(j, GivenUp, "the deadline has come", 0)
			return
		}
	}
	s.answer(j, NotRun, "no worker had room before the deadline", overloadRetry)
}

// overloadRetry is when a caller should come back after a refusal for want of room; swings of the load last seconds.
const overloadRetry = time.Second

// Job returns the open job with an id, or nil.
func (s *Scheduler) Job(id string) *Job { return s.jobs[id] }

// Pending returns the number of open jobs of a queue of which no task has begun.
func (s *Scheduler) Pending(queue string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue.Name == queue && j.Began == 0 {
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
	s.answer(j, GivenUp, reason, 0)
	return true
}

// GiveUpAll answers all open jobs at once.
func (s *Scheduler) GiveUpAll(reason string) {
	for _, j := range s.jobs {
		s.answer(j, GivenUp, reason, 0)
	}
}
