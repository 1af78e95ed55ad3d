package api

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// RequestError is the error of a request that is refused before it has any effect.
type RequestError struct {
	// Status is the HTTP status: 400, 413, 414 or 431.
	Status int
	// Reason is wire.ReasonInvalidRequest or wire.ReasonTooLarge.
	Reason wire.Reason
	// Message describes for people what is wrong and what is allowed.
	Message string
}

// Error implements error.
func (e *RequestError) Error() string { return e.Message }

// Answer returns the JSON body of the refusal.
func (e *RequestError) Answer() *Answer {
	return &Answer{Outcome: OutcomeNotRun, Reason: e.Reason, Message: e.Message}
}

func invalid(format string, args ...any) error {
	return &RequestError{http.StatusBadRequest, wire.ReasonInvalidRequest, fmt.Sprintf(format, args...)}
}

func tooLarge(format string, args ...any) error {
	return &RequestError{http.StatusRequestEntityTooLarge, wire.ReasonTooLarge, fmt.Sprintf(format, args...)}
}

func pathTooLong(format string, args ...any) error {
	return &RequestError{http.StatusRequestURITooLong, wire.ReasonTooLarge, fmt.Sprintf(format, args...)}
}

func headersTooLarge(format string, args ...any) error {
	return &RequestError{http.StatusRequestHeaderFieldsTooLarge, wire.ReasonTooLarge, fmt.Sprintf(format, args...)}
}

// requestError converts an error of the JSON decoder or of the connection.
func requestError(err error) error {
	var requestErr *RequestError
	var maxBytesErr *http.MaxBytesError
	switch {
	case errors.As(err, &requestErr):
		return requestErr
	case errors.Is(err, errReadLimit), errors.As(err, &maxBytesErr):
		return tooLarge("the request is larger than %d bytes", MaxRequest)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return invalid("the request ends before the job does")
	default:
		return invalid("the request is not a valid job in JSON: %v", err)
	}
}
