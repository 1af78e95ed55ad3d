package agent

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Errors of UpstreamClient.Call. After ErrNotReached and ErrInvalidRequest the task has not run; after any other error it
// may have.
var (
	// ErrNotReached means that nothing of the request was sent to the upstream.
	ErrNotReached = eris.New("upstream was not reached")
	// ErrInvalidRequest means that the task does not make a valid HTTP request, so nothing was sent.
	ErrInvalidRequest = eris.New("task is not a valid request")
	// ErrTimeout means that the deadline passed after a part of the request may have been sent.
	ErrTimeout = eris.New("deadline passed before the upstream answered")
	// ErrConnectionLost means that the connection failed before the answer was complete.
	ErrConnectionLost = eris.New("connection to the upstream was lost")
	// ErrAnswerTooLarge means that the body or the headers of the answer exceed wire.MaxAnswerBody or wire.MaxHeaders.
	ErrAnswerTooLarge = eris.New("answer of the upstream exceeds the limit")
)

// Request is a request to the upstream for one attempt at a task.
type Request struct {
	// Key and Task identify the task; they are the same for every attempt.
	Key     wire.KeyHash
	Task    uint16
	Attempt uint64
	// Method, Path, Headers and Body come from the service document and the caller. Path may contain a query.
	Method  string
	Path    string
	Headers []wire.Header
	Body    []byte
}

// Response is the complete answer of the upstream.
type Response struct {
	Status  uint16
	Headers []wire.Header
	Body    []byte
}

// UpstreamClient calls the upstream of the agent. Call must be safe for concurrent use, send the request at most once, and
// return errors that wrap those of this package.
type UpstreamClient interface {
	Call(ctx context.Context, request Request) (*Response, error)
}
