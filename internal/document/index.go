package document

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// IndexKey is the store key of the Index.
const IndexKey = store.WatchPrefix + "index"

// Position identifies one revision of a service in the index. Its JSON form is the array [revision, "edit id"]: every entry
// reads the whole index after each edit, and field names would make it a third larger.
type Position struct {
	Revision uint64
	EditID   string
}

// newerThan reports whether p replaces other. The edit id decides between two edits with the same revision; see
// Document.newerThan.
func (p Position) newerThan(other Position) bool {
	if p.Revision != other.Revision {
		return p.Revision > other.Revision
	}
	return p.EditID > other.EditID
}

// MarshalJSON implements json.Marshaler.
func (p Position) MarshalJSON() ([]byte, error) { return json.Marshal([]any{p.Revision, p.EditID}) }

// UnmarshalJSON implements json.Unmarshaler. Additional items are ignored, so that a later version can add some.
func (p *Position) UnmarshalJSON(text []byte) error {
	var items []json.RawMessage
	if err := json.Unmarshal(text, &items); err != nil {
		return err
	}
	if len(items) < 2 {
		return eris.New("revision or edit id is missing")
	}
	if err := json.Unmarshal(items[0], &p.Revision); err != nil {
		return err
	}
	return json.Unmarshal(items[1], &p.EditID)
}

// Index maps every service, including deleted ones, to its newest revision. It is stored under the single key IndexKey.
// Entries watch it and read only the records of those services for which it contains a newer revision than theirs.
type Index map[string]Position

// DecodeIndex decodes the stored index, or returns ErrCorrupt.
func DecodeIndex(value []byte) (Index, error) {
	var index Index
	if err := json.Unmarshal(value, &index); err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "index: %v", err)
	}
	return index, nil
}

func (i Index) encode() ([]byte, error) {
	value, err := json.Marshal(i)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "index: %v", err)
	}
	return value, nil
}

// merge returns an index with the newer position of each service in i and positions, and whether it differs from i.
func (i Index) merge(positions Index) (Index, bool) {
	merged, changed := make(Index, len(i)+len(positions)), false
	for service, p := range i {
		merged[service] = p
	}
	for service, p := range positions {
		if p.newerThan(merged[service]) {
			merged[service], changed = p, true
		}
	}
	return merged, changed
}
