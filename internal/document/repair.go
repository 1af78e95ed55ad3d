package document

import (
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// Repair is a compare-and-swap that brings a newer revision back to a store that shows older data.
type Repair struct {
	Service string
	Key     string
	Value   []byte
	Version uint64
}

// ApplySnapshot applies what the store shows. Keys outside Prefix are ignored. Values that cannot be decoded are
// returned as errors and change nothing.
func (r *Registry) ApplySnapshot(entries []store.Entry) ([]Change, []error) {
	var changes []Change
	var problems []error
	for _, entry := range entries {
		service, ok := serviceOf(entry.Key)
		if !ok {
			continue
		}
		record, err := DecodeRecord(entry.Value)
		if err != nil {
			problems = append(problems, eris.Wrap(err, entry.Key))
			continue
		}
		if change, applied := r.apply(record.Document(service), record.firstRegion); applied {
			changes = append(changes, change)
		}
	}
	return changes, problems
}

// Repairs returns the writes for the services of which the snapshot shows an older revision or none. The snapshot has
// to cover Prefix. A value that cannot be decoded is left alone. The caller executes each with CompareAndSwap and
// ignores conflicts: another process was faster, or the snapshot is outdated. Every entry computes the same repairs, so
// a random delay before the writes saves calls.
func (r *Registry) Repairs(entries []store.Entry) ([]Repair, error) {
	shown := map[string]store.Entry{}
	for _, entry := range entries {
		shown[entry.Key] = entry
	}
	var repairs []Repair
	for _, service := range r.Services() {
		repair, needed, err := RepairOf(r.held[service].document, shown[Key(service)])
		if err != nil {
			return nil, err
		}
		if needed {
			repairs = append(repairs, repair)
		}
	}
	return repairs, nil
}

// repairOf keeps the history that the store shows, with its present revision on top.
func RepairOf(d Document, entry store.Entry) (Repair, bool, error) {
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
	value, err := record.followedBy(d).encode()
	if err != nil {
		return Repair{}, false, err
	}
	return Repair{Service: d.Service, Key: Key(d.Service), Value: value, Version: entry.Version}, true, nil
}
