// Package runs decides which tasks run on one worker. A Table holds the tasks that entries offered to the agent beside the
// worker, starts them in order of urgency as capacity allows, and tracks each run until its end is certain.
//
// A Table has no goroutines and does no I/O. Each method takes the current time. The calls to the worker that result from an
// event are collected and fetched with TakeOutput.
package runs

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
)

// Ref identifies one run of a task. Runs of a task are numbered by attempt; a later run has a higher number.
type Ref struct {
	Task    job.TaskID
	Attempt uint32
}

// Start holds the parameters of a call that starts a run.
type Start struct {
	Ref
	Payload string
	// LeaseUntil is the end of the lease on the worker's clock: every run on the worker ends then, unless the lease is
	// extended.
	LeaseUntil time.Duration
	Fence      uint64 // fencing token of the agent process
}

// Errors of the calls to a worker. After any other error the worker may have carried out the call or may still do so.
var (
	// ErrFenced means that the worker has accepted a higher fencing token before.
	ErrFenced = eris.New("the fencing token is too low")
	// ErrStaleAttempt means that a run of the task with this or a higher attempt number was started or stopped before.
	ErrStaleAttempt = eris.New("the attempt number is too low")
	// ErrLeaseExpired means that the lease in the call had expired when the worker read it.
	ErrLeaseExpired = eris.New("the lease in the call has expired")
	// ErrNoCapacity means that the worker enforces its capacity and the task does not fit.
	ErrNoCapacity = eris.New("the worker has no room")
	// ErrUnhealthy means that the worker did nothing because it is unhealthy.
	ErrUnhealthy = eris.New("the worker is unhealthy")
	// ErrMalformed means that the worker rejects the task as malformed.
	ErrMalformed = eris.New("the worker refuses the task as malformed")
	// ErrWorkerRestarted means that the worker has restarted since its last announcement to the agent.
	ErrWorkerRestarted = eris.New("the worker has restarted")
	// ErrNotListening means that no process listens at the worker's address.
	ErrNotListening = eris.New("the worker does not listen")
	// ErrConnectionClosed means that the connection ended without an answer, as it does when the process of the worker ends. The
	// worker may have carried out the call.
	ErrConnectionClosed = eris.New("the worker closed the connection")
)

// ProvesNotStarted reports whether an error of a start proves that the run has not started and never will.
func ProvesNotStarted(err error) bool {
	for _, notStarted := range []error{
		ErrFenced, ErrStaleAttempt, ErrLeaseExpired, ErrNoCapacity, ErrUnhealthy, ErrMalformed, ErrWorkerRestarted,
		ErrNotListening,
	} {
		if errors.Is(err, notStarted) {
			return true
		}
	}
	return false
}

// End is how a run ended.
type End uint8

// Values of End.
const (
	// EndDone means that the task completed.
	EndDone End = 1
	// EndFailed means that the task failed, through its own fault or the worker's.
	EndFailed End = 2
	// EndStopped means that the run was stopped or its lease expired.
	EndStopped End = 3
)

// Running is a run in progress, as a snapshot lists it.
type Running struct {
	Ref
	Percent int // of the task's work that is done
}

// Finished is a run that has ended, as a snapshot lists it.
type Finished struct {
	Ref
	Number uint64 // increases with each end within one incarnation of the worker
	End    End
}

// PollRequest holds the parameters of a poll of the worker.
type PollRequest struct {
	// ExtendLeaseTo is the time on the worker's clock to which the lease of all its runs is extended; 0 does not extend it.
	ExtendLeaseTo time.Duration
	Fence         uint64 // fencing token of the agent process
	// AcknowledgedEnd is the number of the last end that the agent has received. The worker may forget all ends up to it.
	AcknowledgedEnd uint64
	// Wait is how long the worker may hold back the answer while there is no new end.
	Wait time.Duration
}

// Snapshot lists the runs on a worker at one point in time.
type Snapshot struct {
	Clock         time.Duration // the time on the worker's clock
	StartedMillis int64         // Unix milliseconds at which this incarnation of the worker started
	Running       []Running
	Finished      []Finished
}

// refs returns the runs that the snapshot lists, in progress or ended.
func (s Snapshot) refs() map[Ref]bool {
	listed := make(map[Ref]bool, len(s.Running)+len(s.Finished))
	for _, r := range s.Running {
		listed[r.Ref] = true
	}
	for _, f := range s.Finished {
		listed[f.Ref] = true
	}
	return listed
}

// Announcement is the description that a worker sends of itself.
type Announcement struct {
	ID            string
	StartedMillis int64  // Unix milliseconds at which this incarnation of the worker started; 0 if not known
	Sequence      uint64 // increases with each announcement of one incarnation
	Service       string
	Capacity      job.Resources
	Labels        []string
	Draining      bool
	// ColdRemaining is the time for which the worker is still slow after its start, as of the announcement.
	ColdRemaining time.Duration
}

// Worker calls the worker beside the agent. Its methods are safe for concurrent use.
type Worker interface {
	// Start starts a run. It returns nil when the run has started, also if it had been started before. clock is the time on
	// the worker's clock, 0 if not known. It returns ErrWorkerRestarted when the worker does not have the given id.
	Start(ctx context.Context, worker string, s Start) (clock time.Duration, err error)
	// Stop stops a run. After a nil error, a run that has not started never starts, and the end of one that had is listed.
	Stop(ctx context.Context, r Ref, fence uint64) error
	// Poll returns the active runs and the ends that were not acknowledged, and extends the lease.
	Poll(ctx context.Context, r PollRequest) (Snapshot, error)
}
