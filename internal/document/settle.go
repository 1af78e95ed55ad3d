package document

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// Waits between two attempts to find out what became of a write.
const (
	firstWait = 50 * time.Millisecond
	maxWait   = time.Second
)

// pendingWrite is one edit on its way to the store.
//
// A write without an answer may still take effect later, as long as the key has the version on which it is based.
// Sending it again is safe: the store takes at most one of the copies, and both carry the same edit id.
type pendingWrite struct {
	editor  *Editor
	next    Document
	value   []byte
	version uint64
	// unclear is set once a copy may have taken effect.
	unclear bool
}

// verdict is what a read says about a write.
type verdict int

const (
	// verdictPending: the key still has the version on which the write is based.
	verdictPending verdict = iota
	// verdictAccepted: the edit is in the record.
	verdictAccepted
	// verdictLost: another edit made the revision, so no copy can take effect any more.
	verdictLost
	// verdictUnknown: the read failed, or the store shows older data or a history that does not reach back far enough.
	verdictUnknown
)

// settle writes and reads until the outcome is known or ctx ends.
func (w *pendingWrite) settle(ctx context.Context) (Document, error) {
	wait := firstWait
	for send := true; ; {
		if send {
			if done, err := w.send(ctx); done {
				return w.result(err)
			}
		}
		verdict, current := w.readBack(ctx)
		switch verdict {
		case verdictAccepted:
			return w.next, nil
		case verdictLost:
			return Document{}, w.conflict(current)
		}
		send = verdict == verdictPending
		if !sleep(ctx, w.editor.clock, wait) {
			return Document{}, eris.Wrapf(ErrUnclear, "edit %s of %s", w.next.EditID, w.next.Service)
		}
		wait = min(2*wait, maxWait)
	}
}

// send makes one attempt and reports whether the outcome is known. A conflict after an unclear attempt says nothing yet,
// because the conflicting write may be the earlier copy.
func (w *pendingWrite) send(ctx context.Context) (done bool, err error) {
	err = w.editor.store.CompareAndSwap(ctx, Key(w.next.Service), w.value, w.version)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, store.ErrOutcomeUnknown):
		w.unclear = true
		return false, nil
	case errors.Is(err, store.ErrConflict):
		return !w.unclear, w.lost(ctx)
	default:
		return !w.unclear, convert(err)
	}
}

// lost returns the conflict of an edit that certainly had no effect.
func (w *pendingWrite) lost(ctx context.Context) error {
	if w.unclear {
		return nil
	}
	current, _, err := w.editor.read(ctx, w.next.Service)
	conflict := w.conflict(current)
	conflict.Unread = err != nil
	return conflict
}

func (w *pendingWrite) result(err error) (Document, error) {
	if err != nil {
		return Document{}, err
	}
	return w.next, nil
}

// readBack looks for the edit in the store.
func (w *pendingWrite) readBack(ctx context.Context) (verdict, Record) {
	record, version, err := w.editor.read(ctx, w.next.Service)
	if err != nil {
		return verdictUnknown, Record{}
	}
	if record.hasEdit(w.next.EditID) {
		return verdictAccepted, record
	}
	if version == w.version {
		return verdictPending, record
	}
	if _, known := record.editOf(w.next.Revision); known {
		return verdictLost, record
	}
	return verdictUnknown, record
}

func (w *pendingWrite) conflict(current Record) *ConflictError {
	return &ConflictError{
		Service: w.next.Service, Expected: w.next.Revision - 1, Current: current.Document(w.next.Service),
	}
}
