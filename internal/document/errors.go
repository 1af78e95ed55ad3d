package document

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// Errors of Editor and of the functions that decode documents. ErrInvalid is declared in problem.go, ErrHomeRegion in
// region.go.
var (
	// ErrConflict means that the revision of the document differs from the expected one. The error of an edit is a
	// *ConflictError.
	ErrConflict = eris.New("document was changed by another edit")
	// ErrNotFound means that there is no document for the service.
	ErrNotFound = eris.New("no document for the service")
	// ErrUnreachable means that the store is unavailable. Nothing was written.
	ErrUnreachable = eris.New("store of the documents is unavailable")
	// ErrOutcomeUnknown means that it is unknown whether an edit was accepted. The edit may still take effect.
	ErrOutcomeUnknown = eris.New("outcome of the edit is unknown")
	// ErrNotIndexed means that an edit was accepted, but its revision may be missing from the index. The edit is not lost:
	// the entries find it in their periodic read of all records and advance the index.
	ErrNotIndexed = eris.New("edit was accepted, but may be missing from the index, so that entries apply it late")
	// ErrRefused means that the store rejected the request, for example because of its access token, or that the record
	// is too large for it. Nothing was written.
	ErrRefused = eris.New("edit was refused by the store")
	// ErrCorrupt means that a stored or received document cannot be decoded.
	ErrCorrupt = eris.New("document record is corrupt")
)

// ConflictError reports that an edit expected another revision than the current one. It matches ErrConflict.
type ConflictError struct {
	Service          string
	ExpectedRevision uint64
	// Current is the current revision of the document. Its Revision is 0 when there is no document.
	Current Document
	// CurrentUnknown is set when the current revision could not be read. Current is then not valid.
	CurrentUnknown bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.CurrentUnknown {
		return fmt.Sprintf("revision %d of %s was expected, but another edit came first", e.ExpectedRevision, e.Service)
	}
	if e.Current.Revision == 0 {
		return fmt.Sprintf("revision %d of %s was expected, but there is no document", e.ExpectedRevision, e.Service)
	}
	verb := "written"
	if e.Current.Deleted {
		verb = "deleted"
	}
	return fmt.Sprintf("revision %d of %s was expected, but revision %d was %s by %s at %s",
		e.ExpectedRevision, e.Service, e.Current.Revision, verb, e.Current.Author, e.Current.EditedAt.Format(time.RFC3339))
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// convertStoreError maps an error of the store to an error of this package and keeps its text.
func convertStoreError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrNotFound):
		return eris.Wrapf(ErrNotFound, "%v", err)
	case errors.Is(err, store.ErrUnavailable):
		return eris.Wrapf(ErrUnreachable, "%v", err)
	case errors.Is(err, store.ErrOutcomeUnknown):
		return eris.Wrapf(ErrOutcomeUnknown, "%v", err)
	default:
		return eris.Wrapf(ErrRefused, "%v", err)
	}
}
