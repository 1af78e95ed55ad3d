package store

import "github.com/rotisserie/eris"

// Errors of a Store. Callers test for them with errors.Is.
var (
	// ErrUnavailable means that the store did not answer a read, or that a write certainly had no effect.
	ErrUnavailable = eris.New("store is not available")
	// ErrOutcomeUnknown means that a write got no usable answer: it may have taken effect, may still do so, or may be lost.
	ErrOutcomeUnknown = eris.New("outcome of a write to the store is unknown")
	// ErrConflict means that another writer changed the key, or that another lease holds it. Nothing was written.
	ErrConflict = eris.New("key of the store was changed by another writer")
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = eris.New("not found in the store")
	// ErrTooLarge means that a value or a response exceeds its limit. Nothing was written.
	ErrTooLarge = eris.New("value exceeds the limit of the store")
	// ErrRejected means that the store does not accept the request, for example its access token. Nothing was written.
	ErrRejected = eris.New("store rejected the request")
)
