package document

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const (
	// Prefix is the common prefix of the store keys of all records; the name of the service follows it. It is not watched,
	// because a watch would return every record with its history after each edit.
	Prefix = store.Prefix + "services/"
	// MaxHistory is the largest number of previous revisions in a record.
	MaxHistory = 20
	// maxHistoryBytes limits the total size of the bodies in the history of a record.
	maxHistoryBytes = 512 << 10
)

// Key returns the store key of a service's document.
func Key(service string) string { return Prefix + service }

// Document is one revision of a service's document.
type Document struct {
	Service string `json:"service"`
	// Revision starts at 1 and grows by one with each edit.
	Revision uint64 `json:"revision"`
	// EditID identifies the edit that created the revision. It is unique.
	EditID string `json:"edit_id"`
	Author string `json:"author"`
	// EditedAt is the time of the edit in UTC.
	EditedAt time.Time `json:"at"`
	// Deleted marks a revision that removes the service; its body is empty.
	Deleted bool   `json:"deleted,omitempty"`
	Body    string `json:"body,omitempty"`
}

// newerThan reports whether d replaces other. Two edits can have the same revision number only after the store was restored
// from older data. The edit id then decides, so that all processes converge on the same document.
func (d Document) newerThan(other Document) bool { return d.Position().newerThan(other.Position()) }

// Position returns the position of the revision in the index.
func (d Document) Position() Position { return Position{Revision: d.Revision, EditID: d.EditID} }

// PastRevision is a previous revision in the history of a record.
type PastRevision struct {
	Revision uint64    `json:"revision"`
	EditID   string    `json:"edit_id"`
	Author   string    `json:"author"`
	EditedAt time.Time `json:"at"`
	Deleted  bool      `json:"deleted,omitempty"`
	Body     string    `json:"body,omitempty"`
	// BodyDropped is set when the body was removed to limit the size of the record.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// Record is the value stored for a service: its current revision and its previous ones, newest first.
type Record struct {
	Revision uint64         `json:"revision"`
	EditID   string         `json:"edit_id"`
	Author   string         `json:"author"`
	EditedAt time.Time      `json:"at"`
	Deleted  bool           `json:"deleted"`
	Body     string         `json:"body"`
	History  []PastRevision `json:"history"`
}

// Document returns the current revision of the record.
func (r Record) Document(service string) Document {
	return Document{
		Service: service, Revision: r.Revision, EditID: r.EditID, Author: r.Author, EditedAt: r.EditedAt,
		Deleted: r.Deleted, Body: r.Body,
	}
}

// withRevision returns a record in which d is the current revision and the revision of r moves to the history. The zero
// Record stands for a missing key. The oldest bodies are dropped beyond maxHistoryBytes.
func (r Record) withRevision(d Document) Record {
	next := Record{
		Revision: d.Revision, EditID: d.EditID, Author: d.Author, EditedAt: d.EditedAt, Deleted: d.Deleted, Body: d.Body,
		History: []PastRevision{},
	}
	if r.Revision > 0 {
		next.History = append(next.History, r.currentAsPastRevision())
	}
	next.History = append(next.History, r.History...)
	next.History = next.History[:min(len(next.History), MaxHistory)]
	historyBytes := 0
	for i := range next.History {
		historyBytes += len(next.History[i].Body)
		if historyBytes > maxHistoryBytes {
			next.History[i].dropBody()
		}
	}
	return next
}

// currentAsPastRevision returns the current revision as an item of the history.
func (r Record) currentAsPastRevision() PastRevision {
	return PastRevision{Revision: r.Revision, EditID: r.EditID, Author: r.Author, EditedAt: r.EditedAt, Deleted: r.Deleted, Body: r.Body}
}

func (p *PastRevision) dropBody() {
	if p.Body != "" {
		p.Body, p.BodyDropped = "", true
	}
}

// editIDOfRevision returns the edit id of a revision, or false if the record does not contain that revision.
func (r Record) editIDOfRevision(revision uint64) (string, bool) {
	if r.Revision == revision {
		return r.EditID, true
	}
	for _, p := range r.History {
		if p.Revision == revision {
			return p.EditID, true
		}
	}
	return "", false
}

// hasEdit reports whether the current or a previous revision was created by the edit.
func (r Record) hasEdit(id string) bool {
	if r.EditID == id {
		return true
	}
	for _, p := range r.History {
		if p.EditID == id {
			return true
		}
	}
	return false
}

// encode returns the JSON form that is stored. JSON needs up to two bytes for each byte of a body, so encode drops the
// oldest bodies of the history until the value does not exceed store.MaxValue. It returns ErrRefused if that does not
// suffice.
func (r Record) encode() ([]byte, error) {
	r.History = append([]PastRevision{}, r.History...)
	for {
		value, err := marshalRecord(r)
		if err != nil || len(value) <= store.MaxValue {
			return value, err
		}
		if !r.dropOldestBody() {
			return nil, eris.Wrapf(ErrRefused, "record has %d bytes", len(value))
		}
	}
}

// dropOldestBody drops the oldest body that is left in the history. It returns false if there is none.
func (r Record) dropOldestBody() bool {
	for i := len(r.History) - 1; i >= 0; i-- {
		if r.History[i].Body != "" {
			r.History[i].dropBody()
			return true
		}
	}
	return false
}

func marshalRecord(r Record) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(r); err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "%v", err)
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// DecodeRecord decodes a stored value, or returns ErrCorrupt. Unknown fields are ignored, so that a later version can add
// some.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, eris.Wrapf(ErrCorrupt, "%v", err)
	}
	if r.Revision == 0 || r.EditID == "" {
		return Record{}, eris.Wrap(ErrCorrupt, "revision or edit id is missing")
	}
	if len(r.Body) > wire.MaxDocument {
		return Record{}, eris.Wrapf(ErrCorrupt, "body has %d bytes", len(r.Body))
	}
	return r, nil
}

// serviceFromKey returns the service to which a store key belongs, or false if it is not the key of a record.
func serviceFromKey(key string) (string, bool) {
	service, ok := strings.CutPrefix(key, Prefix)
	return service, ok && nameRule.pattern.MatchString(service)
}
