// Package dispatch decides which task is sent to which upstream and when.
//
// A Policy holds the waiting tasks of one service at an entry and the view that the entry has of the upstreams. It uses
// no goroutines and no sockets: every method takes the current time, and all random choices come from a seeded source,
// so the same calls lead to the same decisions. A Policy must be used by one goroutine only.
//
// An entry submits a job with Submit, calls Next and sends the assignments that it returns, and for each result calls
// FinishAttempt and then ReportLoad. It calls Next again after every event and at the time that NextWake returns.
package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Names of the policies that New creates.
const (
	// ExpectedCompletion sends a task to the upstream with the earliest expected completion, once a slot is expected to
	// be free.
	ExpectedCompletion = "expected-completion"
	// Random sends each task immediately to a random upstream.
	Random = "random"
	// LeastConnections sends each task immediately to the upstream with the fewest open attempts of this entry.
	LeastConnections = "least-connections"
)

// Errors of the package.
var (
	// ErrUnknownPolicy is returned by New for a name that is not one of the policy names.
	ErrUnknownPolicy = eris.New("unknown dispatch policy")
	// ErrInvalidOptions is returned by New when the random source is missing.
	ErrInvalidOptions = eris.New("invalid dispatch options")
)

// TaskRef identifies a task within one Policy by its job and its index in the job.
type TaskRef struct {
	Job   uint64
	Index uint16
}

// Job describes a job for Submit. Its tasks have the indices 0 to Tasks-1. ID must differ from the IDs of all jobs with
// tasks that have not ended.
type Job struct {
	ID         uint64
	Team       string
	Kind       string
	Urgent     bool
	Idempotent bool
	Deadline   time.Time
	Tasks      uint16
}

// Upstream describes an upstream as announced by its agent. An empty Kinds stands for every kind of the service.
type Upstream struct {
	ID string
	// Incarnation is the incarnation of the agent. The failures of the previous incarnation do not count against a new one.
	Incarnation  uint64
	DataCentre   string
	Slots        int
	Kinds        []string
	MemoryMB     uint32
	Accelerators uint16
}

// Load is the load of an upstream as reported by its agent. It counts the attempts of all entries.
type Load struct {
	Running     uint16
	RunningLong uint16
	Queued      uint16
}

// Assignment asks the entry to send one attempt of a task to an upstream.
type Assignment struct {
	Ref      TaskRef
	Upstream string
	// Long is passed to the agent: the attempt may not use the slots that are reserved for short tasks.
	Long bool
	// Retry is set when an earlier attempt of the task started and has ended.
	Retry bool
	// Hedge is set when another attempt of the task is still open.
	Hedge bool
}

// Refusal reports that a task, or at submission a whole job, is given up.
type Refusal struct {
	Ref TaskRef
	// Reason is overloaded, deadline or no_upstream.
	Reason wire.Reason
	// RetryAfter is the time after which the caller should submit again; 0 if a retry is pointless.
	RetryAfter time.Duration
	// Started is set when an earlier attempt of the task started, so the task must not be reported as not run.
	Started bool
}

// ResultState is the final state of one attempt.
type ResultState uint8

// States of a Result.
const (
	// Succeeded means that the upstream answered, and the answer is not a failure of the upstream.
	Succeeded ResultState = 1
	// Failed means that the upstream answered with a failure of its own (status 5xx).
	Failed ResultState = 2
	// Lost means that the attempt started, and its answer was lost or timed out.
	Lost ResultState = 3
	// Refused means that the attempt did not start and will not start.
	Refused ResultState = 4
)

// Result describes the end of one attempt.
type Result struct {
	State ResultState
	// Reason is set only if State is Refused.
	Reason wire.RefusalReason
	// Queued is the time that the attempt waited at the agent, Service the time that it took at the upstream; 0 if
	// unknown.
	Queued, Service time.Duration
}

// FinishStatus is the status of a task after one of its attempts has ended.
type FinishStatus uint8

// Values that FinishAttempt returns.
const (
	// UnknownAttempt means that the policy has no such open attempt, or that the task has already ended.
	UnknownAttempt FinishStatus = 0
	// TaskEnded means that the task has ended with this result. Attempts of the task that are still open should be
	// cancelled.
	TaskEnded FinishStatus = 1
	// Requeued means that the task waits for another attempt; the result should be dropped.
	Requeued FinishStatus = 2
	// StillOpen means that another attempt of the task is still open; the result should be dropped.
	StillOpen FinishStatus = 3
)

// Policy assigns the tasks of one service to upstreams.
type Policy interface {
	// SetUpstream adds an upstream or replaces its description. Learned service times are kept.
	SetUpstream(now time.Time, u Upstream)
	// RemoveUpstream stops new work for an upstream. Its open attempts stay open until FinishAttempt.
	RemoveUpstream(now time.Time, id string)
	// SetConfig replaces the configuration.
	SetConfig(now time.Time, c Config)
	// Submit accepts a job as a whole and returns nil, or refuses it as a whole; Ref.Index of a refusal is then 0.
	Submit(now time.Time, j Job) *Refusal
	// Cancel ends the given tasks that wait and returns them. Tasks with an open attempt are not sent again; they end
	// when FinishAttempt records the end of the attempt.
	Cancel(now time.Time, refs []TaskRef) (removed []TaskRef)
	// ReportLoad records the load that an agent sent with a result. If the result ends an attempt, FinishAttempt must be
	// called first.
	ReportLoad(now time.Time, id string, load Load)
	// FinishAttempt records the end of an attempt at an upstream and returns the status of its task. Each attempt ends
	// once.
	FinishAttempt(now time.Time, ref TaskRef, upstream string, r Result) FinishStatus
	// Next returns the attempts to send now and the tasks that are given up. All waiting tasks of a job are given up
	// together. Both slices are valid until the next call.
	Next(now time.Time) ([]Assignment, []Refusal)
	// NextWake returns the latest time at which Next should be called again. The zero time means that only an event can
	// change the decisions.
	NextWake(now time.Time) time.Time
	// Stats returns statistics for the state dump and the metrics.
	Stats(now time.Time) Stats
}

// Options are the parameters of New.
type Options struct {
	// Now is the time at which the entry started. Jobs without an upstream are accepted for some time after it, until
	// the agents have connected.
	Now time.Time
	// Random is the seeded source of all random choices. It is required.
	Random *rand.Rand
	// DataCentre is the data centre of the entry.
	DataCentre string
	Config     Config
}

// New returns the policy with the given name. It returns ErrUnknownPolicy for another name and ErrInvalidOptions
// without a random source.
func New(name string, o Options) (Policy, error) {
	if o.Random == nil {
		return nil, eris.Wrap(ErrInvalidOptions, "the random source is missing")
	}
	var c chooser
	switch name {
	case ExpectedCompletion:
		c = &expectedCompletionChooser{}
	case Random:
		c = randomChooser{}
	case LeastConnections:
		c = leastConnectionsChooser{}
	default:
		return nil, eris.Wrapf(ErrUnknownPolicy, "%q", name)
	}
	return newEngine(o, c), nil
}
