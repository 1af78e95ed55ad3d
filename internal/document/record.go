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
	// Prefix begins the store key of every record; the name of the service follows. Nobody watches it, because a watch
	// would return every record with its history at each edit.
	Prefix = store.Prefix + "services/"
	// MaxHistory is the number of former revisions that a record keeps.
	MaxHistory = 20
	// maxHistoryBytes is the largest sum of the bodies in the history.
	maxHistoryBytes = 512 << 10
)

// Key returns the store key of a service's document.
func Key(service string) string { return Prefix + service }

// Document is one revision of a service's document.
type Document struct {
	Service string `json:"service"`
	// Revision starts at 1 and grows by one with each edit.
	Revision uint64 `json:"revision"`
	// EditID is unique to the edit that made the revision.
	EditID string    `json:"edit_id"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	// Deleted marks a revision that removes the service. Its body is empty.
	Deleted bool   `json:"deleted,omitempty"`
	Body    string `json:"body,omitempty"`
}

// newerThan orders revisions. Two edits can share a revision number only after the store was restored from older data;
// the edit id then decides, so that every process ends with the same document.
func (d Document) newerThan(other Document) bool { return d.Position().newerThan(other.Position()) }

// Position returns what the index shows for the revision.
func (d Document) Position() Position { return Position{Revision: d.Revision, EditID: d.EditID} }

// Past is a former revision in a record.
type Past struct {
	Revision uint64    `json:"revision"`
	EditID   string    `json:"edit_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Deleted  bool      `json:"deleted,omitempty"`
	Body     string    `json:"body,omitempty"`
	// BodyDropped is set when the body was dropped to keep the record small.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// Record is the stored value of a service: its current revision and its history, newest first.
type Record struct {
	Revision uint64    `json:"revision"`
	EditID   string    `json:"edit_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Deleted  bool      `json:"deleted"`
	Body     string    `json:"body"`
	History  []Past    `json:"history"`
}

// Document returns the current revision of the record.
func (r Record) Document(service string) Document {
	return Document{
		Service: service, Revision: r.Revision, EditID: r.EditID, Author: r.Author, At: r.At,
		Deleted: r.Deleted, Body: r.Body,
	}
}

// followedBy returns the record after d became the current revision. A record of revision 0 stands for a missing key.
func (r Record) followedBy(d Document) Record {
	next := Record{
		Revision: d.Revision, EditID: d.EditID, Author: d.Author, At: d.At, Deleted: d.Deleted, Body: d.Body,
		History: []Past{},
	}
	if r.Revision > 0 {
		next.History = append(next.History, r.past())
	}
	next.History = append(next.History, r.History...)
	next.History = next.History[:min(len(next.History), MaxHistory)]
	kept := 0
	for i := range next.History {
		kept += len(next.History[i].Body)
		if kept > maxHistoryBytes {
			next.History[i].dropBody()
		}
	}
	return next
}

// past returns the current revision in the form of the history.
func (r Record) past() Past {
	return Past{Revision: r.Revision, EditID: r.EditID, Author: r.Author, At: r.At, Deleted: r.Deleted, Body: r.Body}
}

func (p *Past) dropBody() {
	if p.Body != "" {
		p.Body, p.BodyDropped = "", true
	}
}

// editOf returns the edit id of a revision, if the record still knows it.
func (r Record) editOf(revision uint64) (string, bool) {
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

// hasEdit reports whether the record knows an edit.
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

// encode returns the stored form. JSON needs up to two bytes for one of a body, so it drops the oldest bodies of the
// history until the value fits the store.
func (r Record) encode() ([]byte, error) {
	r.History = append([]Past{}, r.History...)
	for {
		value, err := marshal(r)
		if err != nil || len(value) <= store.MaxValue {
			return value, err
		}
		if !r.dropOldestBody() {
			return nil, eris.Wrapf(ErrRefused, "record has %d bytes", len(value))
		}
	}
}

// dropOldestBody drops one body of the history and reports whether there was one.
func (r Record) dropOldestBody() bool {
	for i := len(r.History) - 1; i >= 0; i-- {
		if r.History[i].Body != "" {
			r.History[i].dropBody()
			return true
		}
	}
	return false
}

func marshal(r Record) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(r); err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "%v", err)
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// DecodeRecord decodes a stored value. Unknown fields are ignored, so that a later version can add some.
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

// serviceOf returns the service of a store key; false for a key that belongs to no document.
func serviceOf(key string) (string, bool) {
	service, ok := strings.CutPrefix(key, Prefix)
	return service, ok && nameRule.pattern.MatchString(service)
}
