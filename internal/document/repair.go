package document

import (
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// Repair is a compare-and-swap that writes a newer revision back to a store that contains older data. Version is the version
// of the stored value that Value replaces; 0 means that the key does not exist.
type Repair struct {
	Service string
	Key     string
	Value   []byte
	Version uint64
}

// ApplySnapshot applies the records among the store entries and returns the changes. Keys outside Prefix are ignored. For
// each value that cannot be decoded, it returns an error that matches ErrCorrupt and changes nothing.
func (r *Registry) ApplySnapshot(entries []store.Entry) ([]Change, []error) {
	var changes []Change
	var corrupt []error
	for _, entry := range entries {
		service, ok := serviceFromKey(entry.Key)
		if !ok {
			continue
		}
		record, err := DecodeRecord(entry.Value)
		if err != nil {
			corrupt = append(corrupt, eris.Wrap(err, entry.Key))
			continue
		}
		if change, applied := r.apply(record.Document(service), record.oldestHomeRegion); applied {
			changes = append(changes, change)
		}
	}
	return changes, corrupt
}

// ComputeRepairs returns the writes for the services for which the store entries contain an older revision or none. The
// entries have to include every key under Prefix. A value that cannot be decoded is not replaced. The caller executes each
// repair with CompareAndSwap and ignores conflicts, which mean that another process was faster or that the entries are
// outdated. Every entry process computes the same repairs, so a random delay before the writes saves store calls.
func (r *Registry) ComputeRepairs(entries []store.Entry) ([]Repair, error) {
	stored := map[string]store.Entry{}
	for _, entry := range entries {
		stored[entry.Key] = entry
	}
	var repairs []Repair
	for _, service := range r.Services() {
		repair, needed, err := ComputeRepair(r.services[service].document, stored[Key(service)])
		if err != nil {
			return nil, err
		}
		if needed {
			repairs = append(repairs, repair)
		}
	}
	return repairs, nil
}

// ComputeRepair returns the repair that writes d over the given store entry, and whether it is needed. The zero entry stands
// for a missing key. The history of the stored record is kept, and its current revision becomes the newest item. No repair
// is needed if d is not newer than the record or if the record cannot be decoded.
func ComputeRepair(d Document, entry store.Entry) (Repair, bool, error) {
	var record Record
	if entry.Version != 0 {
		var err error
		if record, err = DecodeRecord(entry.Value); err != nil {
			return Repair{}, false, nil
		}
		if !d.newerThan(record.Document(d.Service)) {
			return Repair{}, false, nil
		}
	}
	value, err := record.withRevision(d).encode()
	if err != nil {
		return Repair{}, false, err
	}
	return Repair{Service: d.Service, Key: Key(d.Service), Value: value, Version: entry.Version}, true, nil
}
