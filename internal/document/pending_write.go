package document

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// Waits between two attempts to write or to read the outcome of a write. The wait doubles after each attempt.
const (
	initialRetryWait = 50 * time.Millisecond
	maxRetryWait     = time.Second
)

// pendingWrite is an edit whose outcome is not yet known.
//
// A write without an answer may still take effect later, as long as the key has the version on which the write is based.
// Sending it again is safe: the compare-and-swap accepts at most one of the copies, and all have the same edit id.
type pendingWrite struct {
	editor  *Editor
	next    Document
	value   []byte
	version uint64
	// mayHaveTakenEffect is set once a write was sent whose answer was lost.
	mayHaveTakenEffect bool
}

// writeOutcome is the outcome of a write as derived from a later read of the record.
type writeOutcome int

const (
	// outcomePending means that the key still has the version on which the write is based. A copy may still take effect.
	outcomePending writeOutcome = iota
	// outcomeAccepted means that the record contains the edit.
	outcomeAccepted
	// outcomeSuperseded means that another edit created the revision, so that no copy can take effect any more.
	outcomeSuperseded
	// outcomeUnknown means that the read failed, that the store contains older data, or that the revision has already been
	// dropped from the history.
	outcomeUnknown
)

// commit writes the record and, while the outcome is unknown, reads it back and retries. It returns ErrOutcomeUnknown if ctx
// ends first.
func (w *pendingWrite) commit(ctx context.Context) (Document, error) {
	wait := initialRetryWait
	for shouldWrite := true; ; {
		if shouldWrite {
			if done, err := w.tryWrite(ctx); done {
				return w.documentOrError(err)
			}
		}
		outcome, current := w.readOutcome(ctx)
		switch outcome {
		case outcomeAccepted:
			return w.next, nil
		case outcomeSuperseded:
			return Document{}, w.newConflictError(current)
		}
		shouldWrite = outcome == outcomePending
		if !sleep(ctx, w.editor.clock, wait) {
			return Document{}, eris.Wrapf(ErrOutcomeUnknown, "edit %s of %s", w.next.EditID, w.next.Service)
		}
		wait = min(2*wait, maxRetryWait)
	}
}

// tryWrite sends the write once and reports whether the outcome is known. After an attempt without an answer, a conflict
// does not decide the outcome, because the conflicting write may be the earlier copy.
func (w *pendingWrite) tryWrite(ctx context.Context) (done bool, err error) {
	err = w.editor.store.CompareAndSwap(ctx, Key(w.next.Service), w.value, w.version)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, store.ErrOutcomeUnknown):
		w.mayHaveTakenEffect = true
		return false, nil
	case errors.Is(err, store.ErrConflict):
		return !w.mayHaveTakenEffect, w.readConflict(ctx)
	default:
		return !w.mayHaveTakenEffect, convertStoreError(err)
	}
}

// readConflict reads the current revision and returns a *ConflictError with it. It returns nil if the edit may have taken
// effect.
func (w *pendingWrite) readConflict(ctx context.Context) error {
	if w.mayHaveTakenEffect {
		return nil
	}
	current, _, err := w.editor.readRecord(ctx, w.next.Service)
	conflict := w.newConflictError(current)
	conflict.CurrentUnknown = err != nil
	return conflict
}

// documentOrError returns the written document, or err if it is set.
func (w *pendingWrite) documentOrError(err error) (Document, error) {
	if err != nil {
		return Document{}, err
	}
	return w.next, nil
}

// readOutcome reads the record from the store and derives the outcome of the write from it.
func (w *pendingWrite) readOutcome(ctx context.Context) (writeOutcome, Record) {
	record, version, err := w.editor.readRecord(ctx, w.next.Service)
	if err != nil {
		return outcomeUnknown, Record{}
	}
	if record.hasEdit(w.next.EditID) {
		return outcomeAccepted, record
	}
	if version == w.version {
		return outcomePending, record
	}
	if _, known := record.editIDOfRevision(w.next.Revision); known {
		return outcomeSuperseded, record
	}
	return outcomeUnknown, record
}

func (w *pendingWrite) newConflictError(current Record) *ConflictError {
	return &ConflictError{
		Service: w.next.Service, ExpectedRevision: w.next.Revision - 1, Current: current.Document(w.next.Service),
	}
}
