package document

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// IndexKey is the store key of the index.
const IndexKey = store.WatchPrefix + "index"

// Position names one revision of a service. In JSON it is the array [revision, "edit id"], because every entry reads the
// whole index at each edit and names of fields would add a third to it.
type Position struct {
	Revision uint64
	EditID   string
}

// newerThan orders positions as the registry orders documents: the edit id decides between edits that share a revision.
func (p Position) newerThan(other Position) bool {
	if p.Revision != other.Revision {
		return p.Revision > other.Revision
	}
	return p.EditID > other.EditID
}

// MarshalJSON implements json.Marshaler.
func (p Position) MarshalJSON() ([]byte, error) { return json.Marshal([]any{p.Revision, p.EditID}) }

// UnmarshalJSON implements json.Unmarshaler. Further items are ignored, so that a later version can add some.
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

// Index maps every service, also deleted ones, to its newest revision. It is one value in the store. Entries watch it
// and read only the records of services that it shows at a higher revision than their own.
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

// raisedTo returns the index with the newer position of each service, and whether that differs from i.
func (i Index) raisedTo(wanted Index) (Index, bool) {
	raised, changed := make(Index, len(i)+len(wanted)), false
	for service, p := range i {
		raised[service] = p
	}
	for service, p := range wanted {
		if p.newerThan(raised[service]) {
			raised[service], changed = p, true
		}
	}
	return raised, changed
}
