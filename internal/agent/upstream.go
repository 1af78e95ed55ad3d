package agent

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Errors of Upstream. Every error but ErrNotReached and ErrInvalidRequest leaves open whether the task ran.
var (
	// ErrNotReached means that nothing of the request was sent to the upstream.
	ErrNotReached = eris.New("upstream was not reached")
	// ErrInvalidRequest means that the task cannot be expressed as a request, so nothing was sent.
	ErrInvalidRequest = eris.New("task is not a valid request")
	ErrTimeout        = eris.New("deadline passed before the upstream answered")
	ErrLost           = eris.New("connection to the upstream was lost")
	ErrAnswerTooLarge = eris.New("answer of the upstream exceeds the limit")
)

// Request is one call to the upstream.
type Request struct {
	// Key and Task identify the task; they are the same for every attempt.
	Key     wire.KeyHash
	Task    uint16
	Attempt uint64
	// Method, Path, Headers and Body come from the service document and the caller. Path may have a query.
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

// Upstream calls the back-end server beside the agent. Call is used by several goroutines at once. It sends a request
// at most once and returns one of the errors of this package.
type Upstream interface {
	Call(ctx context.Context, request Request) (*Response, error)
}
