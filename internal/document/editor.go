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

// maxAuthorBytes is the largest length of the author of an edit.
const maxAuthorBytes = 200

// Editor reads and changes documents in the store. It is safe for concurrent use.
type Editor struct {
	store     store.Store
	clock     clock.Clock
	newEditID func() string
}

// NewEditor returns an editor that gives each edit a random UUID.
func NewEditor(store store.Store, c clock.Clock) *Editor {
	return &Editor{store: store, clock: c, newEditID: uuid.NewString}
}

// Edit is a requested change of a document.
type Edit struct {
	Service string
	// ExpectedRevision is the revision on which the edit is based; 0 means that there is no document yet.
	ExpectedRevision uint64
	// Author is the person or tool that makes the edit.
	Author string
	// Body is the new document. Delete ignores it.
	Body []byte
}

// Get returns the record of a service, which may be deleted. Errors: ErrInvalid for a malformed name, ErrNotFound,
// ErrUnreachable, ErrRefused, ErrCorrupt.
func (e *Editor) Get(ctx context.Context, service string) (Record, error) {
	record, _, err := e.readRecord(ctx, service)
	if err == nil && record.Revision == 0 {
		return Record{}, eris.Wrap(ErrNotFound, service)
	}
	return record, err
}

// List returns the current revision of every service, including deleted ones, sorted by name. For each record that cannot
// be decoded, corrupt contains an error that matches ErrCorrupt. Errors: ErrUnreachable, ErrRefused.
func (e *Editor) List(ctx context.Context) (documents []Document, corrupt []error, err error) {
	snapshot, err := e.store.List(ctx, Prefix)
	if err != nil {
		return nil, nil, convertStoreError(err)
	}
	registry := NewRegistry()
	_, corrupt = registry.ApplySnapshot(snapshot.Entries)
	return registry.NewerThan(nil, nil), corrupt, nil
}

// History returns the current and the previous revisions of a service, newest first. It returns the same errors as Get.
func (e *Editor) History(ctx context.Context, service string) ([]PastRevision, error) {
	record, err := e.Get(ctx, service)
	if err != nil {
		return nil, err
	}
	return append([]PastRevision{record.currentAsPastRevision()}, record.History...), nil
}

// Put validates a document and writes it as the revision after the expected one. ErrInvalid, ErrHomeRegion, ErrConflict,
// ErrUnreachable, ErrRefused and ErrCorrupt mean that nothing was written. After ErrOutcomeUnknown the edit may or may not
// have been accepted. With ErrNotIndexed it was accepted, and Put also returns the document. If the answer to the write is
// lost, Put reads the record back and retries until the outcome is known or ctx ends.
func (e *Editor) Put(ctx context.Context, edit Edit) (Document, error) {
	service, err := parseDocument(Document{Service: edit.Service, Body: string(edit.Body)})
	if err != nil {
		return Document{}, err
	}
	return e.writeRevision(ctx, edit, service)
}

// Delete writes a revision that removes the service. It returns the same errors as Put, and ErrNotFound when there is no
// document or it is already deleted.
func (e *Editor) Delete(ctx context.Context, edit Edit) (Document, error) {
	edit.Body = nil
	return e.writeRevision(ctx, edit, nil)
}

// writeRevision writes the next revision and then advances the index. The service is the parsed body, or nil to delete it.
func (e *Editor) writeRevision(ctx context.Context, edit Edit, service *Service) (Document, error) {
	isDelete := service == nil
	if edit.Author == "" || len(edit.Author) > maxAuthorBytes {
		return Document{}, &InvalidError{Problems: []Problem{{Field: "author", Message: "is missing or too long", Allowed: fmt.Sprintf("1 to %d bytes", maxAuthorBytes)}}}
	}
	record, version, err := e.readRecord(ctx, edit.Service)
	if err != nil {
		return Document{}, err
	}
	if isDelete && (record.Revision == 0 || record.Deleted) {
		return Document{}, eris.Wrap(ErrNotFound, edit.Service)
	}
	if record.Revision != edit.ExpectedRevision {
		return Document{}, &ConflictError{Service: edit.Service, ExpectedRevision: edit.ExpectedRevision, Current: record.Document(edit.Service)}
	}
	if !isDelete {
		if err := record.checkHomeRegion(service); err != nil {
			return Document{}, err
		}
	}
	next := Document{
		Service: edit.Service, Revision: record.Revision + 1, EditID: e.newEditID(), Author: edit.Author,
		EditedAt: e.clock.Now().UTC().Truncate(time.Microsecond), Deleted: isDelete, Body: string(edit.Body),
	}
	value, err := record.withRevision(next).encode()
	if err != nil {
		return Document{}, err
	}
	write := &pendingWrite{editor: e, next: next, value: value, version: version}
	accepted, err := write.commit(ctx)
	if err != nil {
		return Document{}, err
	}
	return accepted, e.advanceIndex(ctx, accepted)
}

// advanceIndex publishes a written revision in the index, which the entries watch. The error matches ErrNotIndexed.
func (e *Editor) advanceIndex(ctx context.Context, d Document) error {
	err := AdvanceIndex(ctx, e.store, e.clock, Index{d.Service: d.Position()})
	if err != nil {
		return eris.Wrapf(ErrNotIndexed, "revision %d of %s, edit %s: %s", d.Revision, d.Service, d.EditID, eris.ToString(err, false))
	}
	return nil
}

// readRecord returns the record of a service and its version in the store. Both are zero if there is no record.
func (e *Editor) readRecord(ctx context.Context, service string) (Record, uint64, error) {
	if !nameRule.pattern.MatchString(service) {
		return Record{}, 0, &InvalidError{Problems: []Problem{{Field: "service", Message: quoteTruncated(service) + " is not allowed", Allowed: nameRule.allowed}}}
	}
	entry, err := e.store.Get(ctx, Key(service))
	if errors.Is(err, store.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, convertStoreError(err)
	}
	record, err := DecodeRecord(entry.Value)
	return record, entry.Version, err
}
