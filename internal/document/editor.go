package document

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// maxAuthor is the longest author in bytes.
const maxAuthor = 200

// Editor reads and changes documents in the store. It can be used by several goroutines.
type Editor struct {
	store store.Store
	clock clock.Clock
	newID func() string
}

// NewEditor returns an editor that names its edits with random ids.
func NewEditor(store store.Store, c clock.Clock) *Editor {
	return &Editor{store: store, clock: c, newID: uuid.NewString}
}

// Edit is a requested change of a document.
type Edit struct {
	Service string
	// Expected is the revision on which the edit is based; 0 means that there was no document.
	Expected uint64
	// Author is the person or tool that makes the edit.
	Author string
	// Body is the new document. Delete ignores it.
	Body []byte
}

// Get returns the record of a service, which may be a deleted one. Errors: ErrNotFound, ErrUnreachable, ErrRefused,
// ErrCorrupt.
func (e *Editor) Get(ctx context.Context, service string) (Record, error) {
	record, _, err := e.read(ctx, service)
	if err == nil && record.Revision == 0 {
		return Record{}, eris.Wrap(ErrNotFound, service)
	}
	return record, err
}

// List returns the current revision of every service, also of deleted ones, sorted by name. Records that cannot be
// decoded are returned as errors beside it.
func (e *Editor) List(ctx context.Context) (documents []Document, corrupt []error, err error) {
	snapshot, err := e.store.List(ctx, Prefix)
	if err != nil {
		return nil, nil, convert(err)
	}
	registry := NewRegistry()
	_, corrupt = registry.ApplySnapshot(snapshot.Entries)
	return registry.Missing(nil, nil), corrupt, nil
}

// History returns the current and the former revisions of a service, newest first. Errors as of Get.
func (e *Editor) History(ctx context.Context, service string) ([]Past, error) {
	record, err := e.Get(ctx, service)
	if err != nil {
		return nil, err
	}
	return append([]Past{record.past()}, record.History...), nil
}

// Put checks a document and writes it as the revision after the expected one. Errors: ErrInvalid, ErrHomeRegion, ErrConflict,
// ErrUnreachable and ErrRefused (all without effect), ErrUnclear, and ErrNotIndexed, which comes with the document. The
// context limits how long an answer that did not come is looked for.
func (e *Editor) Put(ctx context.Context, edit Edit) (Document, error) {
	service, err := parseFor(Document{Service: edit.Service, Body: string(edit.Body)})
	if err != nil {
		return Document{}, err
	}
	return e.write(ctx, edit, service)
}

// Delete writes a revision that removes the service. Errors as of Put, and ErrNotFound when there is no document.
func (e *Editor) Delete(ctx context.Context, edit Edit) (Document, error) {
	edit.Body = nil
	return e.write(ctx, edit, nil)
}

// write writes the next revision. Service is the parsed body, or nil to delete the service.
func (e *Editor) write(ctx context.Context, edit Edit, service *Service) (Document, error) {
	remove := service == nil
	if edit.Author == "" || len(edit.Author) > maxAuthor {
		return Document{}, &InvalidError{Problems: []Problem{{Field: "author", Message: "is missing or too long", Allowed: fmt.Sprintf("1 to %d bytes", maxAuthor)}}}
	}
	record, version, err := e.read(ctx, edit.Service)
	if err != nil {
		return Document{}, err
	}
	if remove && (record.Revision == 0 || record.Deleted) {
		return Document{}, eris.Wrap(ErrNotFound, edit.Service)
	}
	if record.Revision != edit.Expected {
		return Document{}, &ConflictError{Service: edit.Service, Expected: edit.Expected, Current: record.Document(edit.Service)}
	}
	if !remove {
		if err := record.checkRegion(service); err != nil {
			return Document{}, err
		}
	}
	next := Document{
		Service: edit.Service, Revision: record.Revision + 1, EditID: e.newID(), Author: edit.Author,
		At: e.clock.Now().UTC().Truncate(time.Microsecond), Deleted: remove, Body: string(edit.Body),
	}
	value, err := record.followedBy(next).encode()
	if err != nil {
		return Document{}, err
	}
	w := &pendingWrite{editor: e, next: next, value: value, version: version}
	accepted, err := w.settle(ctx)
	if err != nil {
		return Document{}, err
	}
	return accepted, e.raiseIndex(ctx, accepted)
}

// raiseIndex tells the entries of a record that was written.
func (e *Editor) raiseIndex(ctx context.Context, d Document) error {
	err := RaiseIndex(ctx, e.store, e.clock, Index{d.Service: d.Position()})
	if err != nil {
		return eris.Wrapf(ErrNotIndexed, "revision %d of %s, edit %s: %s", d.Revision, d.Service, d.EditID, eris.ToString(err, false))
	}
	return nil
}

// read returns the record of a service with its version in the store; both are zero without one.
func (e *Editor) read(ctx context.Context, service string) (Record, uint64, error) {
	if !nameRule.pattern.MatchString(service) {
		return Record{}, 0, &InvalidError{Problems: []Problem{{Field: "service", Message: shorten(service) + " is not allowed", Allowed: nameRule.text}}}
	}
	entry, err := e.store.Get(ctx, Key(service))
	if errors.Is(err, store.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, convert(err)
	}
	record, err := DecodeRecord(entry.Value)
	return record, entry.Version, err
}
