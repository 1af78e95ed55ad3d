// Package dispatch decides which task goes to which upstream and when.
//
// A Policy holds the tasks of one service that wait at an entry and the entry's view of the upstreams. It has no
// goroutines and no sockets: every method takes the current time, and all randomness comes from a seeded source, so the
// same calls give the same decisions. A Policy is used by one goroutine.
//
// The usual cycle of an entry: Submit a job, call Next and send what it returns, call Finished and then Report for
// each result, and call Next again after every event and at the time that Wake names.
package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Names of the policies that New creates.
const (
	// ExpectedCompletion sends a task where it is expected to be finished first, once a slot is expected to be free.
	ExpectedCompletion = "expected-completion"
	// Random sends each task at once to an upstream drawn at random.
	Random = "random"
	// LeastConnections sends each task at once to the upstream with the fewest open attempts of this entry.
	LeastConnections = "least-connections"
)

// Errors of the package.
var (
	// ErrUnknownPolicy is returned by New for a name that is not one of the constants.
	ErrUnknownPolicy = eris.New("unknown dispatch policy")
	// ErrInvalidOptions is returned by New when the random source is missing.
	ErrInvalidOptions = eris.New("invalid dispatch options")
)

// TaskRef identifies a task within one Policy.
type TaskRef struct {
	Job   uint64
	Index uint16
}

// Job is a whole job as it is submitted. Its tasks have the indices 0 to Tasks-1. ID must differ from that of every job
// with open tasks.
type Job struct {
	ID         uint64
	Team       string
	Kind       string
	Urgent     bool
	Idempotent bool
	Deadline   time.Time
	Tasks      uint16
}

// Upstream is what an agent announces. Empty Kinds stands for every kind of the service.
type Upstream struct {
	ID string
	// Run tells one run of the agent from another. A new run begins without the failures of the former one.
	Run          uint64
	DataCentre   string
	Slots        int
	Kinds        []string
	MemoryMB     uint32
	Accelerators uint16
}

// Load is the load of an upstream as its agent reports it, with the attempts of all entries.
type Load struct {
	Running     uint16
	RunningLong uint16
	Queued      uint16
}

// Assignment asks the entry to send one attempt of a task to an upstream.
type Assignment struct {
	Ref      TaskRef
	Upstream string
	// Long is passed on in Start: the attempt may hold only slots that are not kept for short work.
	Long bool
	// Retry is set when an earlier attempt of the task started and is over.
	Retry bool
	// Hedge is set when another attempt of the task is still running.
	Hedge bool
}

// Refusal gives up a task or a job.
type Refusal struct {
	Ref TaskRef
	// Reason is overloaded, deadline or no_upstream.
	Reason wire.Reason
	// RetryAfter is 0 when a repetition makes no sense.
	RetryAfter time.Duration
	// Started is set when an earlier attempt of the task started, so that not_run would be untrue.
	Started bool
}

// ResultState is the final state of one attempt.
type ResultState uint8

// States of a Result.
const (
	// Succeeded: the upstream answered, and its answer is no failure of the upstream.
	Succeeded ResultState = 1
	// Failed: the upstream answered with a failure of its own (5xx).
	Failed ResultState = 2
	// Lost: the attempt started, and its answer was lost or timed out.
	Lost ResultState = 3
	// Refused: the attempt did not start and will not start.
	Refused ResultState = 4
)

// Result is the end of one attempt.
type Result struct {
	State ResultState
	// Reason is set with Refused.
	Reason wire.RefusalReason
	// Queued and Service are the times at the agent and at the upstream; 0 if not known.
	Queued, Service time.Duration
}

// Verdict tells what the end of an attempt means for its task.
type Verdict uint8

// Verdicts of Finished.
const (
	// Ignored: the policy knows no such attempt.
	Ignored Verdict = 0
	// Final: the task has ended with this result. Attempts of the same task that still run are to be cancelled.
	Final Verdict = 1
	// Again: the task waits for another attempt; the result is to be dropped.
	Again Verdict = 2
	// Open: another attempt of the task still runs; the result is to be dropped.
	Open Verdict = 3
)

// Policy assigns the tasks of one service to upstreams.
type Policy interface {
	// SetUpstream adds an upstream or replaces what is known about it. Learned times are kept.
	SetUpstream(now time.Time, u Upstream)
	// RemoveUpstream stops new work for an upstream. Attempts that are open there stay open until Finished.
	RemoveUpstream(now time.Time, id string)
	// SetConfig replaces the configuration.
	SetConfig(now time.Time, c Config)
	// Submit accepts the whole job and returns nil, or refuses it as a whole; Ref.Index of a refusal is 0.
	Submit(now time.Time, j Job) *Refusal
	// Cancel ends the tasks that wait and returns them. Tasks with an open attempt are not sent again; they end when
	// Finished reports the attempt.
	Cancel(now time.Time, refs []TaskRef) (removed []TaskRef)
	// Report stores the load that came with a result. For the result of an attempt, Finished is called first.
	Report(now time.Time, id string, load Load)
	// Finished tells the end of one attempt. Each attempt ends once.
	Finished(now time.Time, ref TaskRef, upstream string, r Result) Verdict
	// Next returns the attempts to send now and the tasks to give up. All waiting tasks of a job are given up
	// together. Both slices are valid until the next call.
	Next(now time.Time) ([]Assignment, []Refusal)
	// Wake returns the latest time at which Next should be called again; zero when only an event can change anything.
	Wake(now time.Time) time.Time
	// Stats returns figures for the state dump and the metrics.
	Stats(now time.Time) Stats
}

// Options are the parameters of New.
type Options struct {
	// Now is the time at which the entry started; the grace time for upstreams that announce themselves begins here.
	Now time.Time
	// Random is the seeded source of all random choices. It is required.
	Random *rand.Rand
	// DataCentre is that of the entry.
	DataCentre string
	Config     Config
}

// New returns the policy with the given name, or ErrUnknownPolicy.
func New(name string, o Options) (Policy, error) {
	if o.Random == nil {
		return nil, eris.Wrap(ErrInvalidOptions, "the random source is missing")
	}
	var c chooser
	switch name {
	case ExpectedCompletion:
		c = &expectedChooser{}
	case Random:
		c = randomChooser{}
	case LeastConnections:
		c = leastChooser{}
	default:
		return nil, eris.Wrapf(ErrUnknownPolicy, "%q", name)
	}
	return newEngine(o, c), nil
}
