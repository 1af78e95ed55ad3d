package document

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// Errors of Editor and of the conversions. ErrInvalid is in problem.go.
var (
	// ErrConflict means that the document has another revision than expected. The error is a *ConflictError.
	ErrConflict = eris.New("document was changed by another edit")
	// ErrNotFound means that there is no document for the service.
	ErrNotFound = eris.New("no document for the service")
	// ErrUnreachable means that the store did not answer. Nothing was written.
	ErrUnreachable = eris.New("documents cannot be reached")
	// ErrUnclear means that it is not known whether an edit was accepted. It may still take effect.
	ErrUnclear = eris.New("outcome of the edit is unclear")
	// ErrNotIndexed means that an edit was accepted, but its revision may be missing in the index. It does not get lost:
	// the entries find it in their full check and raise the index.
	ErrNotIndexed = eris.New("edit was accepted, but the entries may learn of it late")
	// ErrRefused means that the store refuses the request, for example its access token. Nothing was written.
	ErrRefused = eris.New("edit was refused by the store")
	// ErrCorrupt means that a stored or received document cannot be decoded.
	ErrCorrupt = eris.New("document record is corrupt")
)

// ConflictError tells what the document is now. It matches ErrConflict.
type ConflictError struct {
	Service  string
	Expected uint64
	// Current is the present revision; its Revision is 0 when there is no document.
	Current Document
	// Unread is set when the present revision could not be read.
	Unread bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Unread {
		return fmt.Sprintf("revision %d of %s was expected, but another edit came first", e.Expected, e.Service)
	}
	if e.Current.Revision == 0 {
		return fmt.Sprintf("revision %d of %s was expected, but there is no document", e.Expected, e.Service)
	}
	verb := "written"
	if e.Current.Deleted {
		verb = "deleted"
	}
	return fmt.Sprintf("revision %d of %s was expected, but revision %d was %s by %s at %s",
		e.Expected, e.Service, e.Current.Revision, verb, e.Current.Author, e.Current.At.Format(time.RFC3339))
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// convert turns an error of the store into one of this package.
func convert(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrNotFound):
		return eris.Wrapf(ErrNotFound, "%v", err)
	case errors.Is(err, store.ErrUnavailable):
		return eris.Wrapf(ErrUnreachable, "%v", err)
	case errors.Is(err, store.ErrOutcomeUnknown):
		return eris.Wrapf(ErrUnclear, "%v", err)
	default:
		return eris.Wrapf(ErrRefused, "%v", err)
	}
}
