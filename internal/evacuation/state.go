// Package evacuation holds the operator's requests to evacuate data centres: nothing starts on the workers of an evacuated data
// centre until its request is withdrawn. It decides which of two states is the newer one, which peers have to be told, and which
// requests are valid. It does no I/O.
package evacuation

import "slices"

// State is the set of evacuated data centres at one revision of the store. The zero value means that nothing is known yet.
type State struct {
	// Revision is the revision of the store at which the set was in force. A state with a higher revision replaces one with a
	// lower revision.
	Revision uint64
	// DataCentres holds the names of the evacuated data centres, sorted and without duplicates.
	DataCentres []string
}

// NewState returns the state with the given data centres at a revision.
func NewState(revision uint64, dataCentres []string) State {
	names := slices.Clone(dataCentres)
	slices.Sort(names)
	return State{Revision: revision, DataCentres: slices.Compact(names)}
}

// Includes reports whether a data centre is evacuated.
func (s State) Includes(dataCentre string) bool {
	_, found := slices.BinarySearch(s.DataCentres, dataCentre)
	return found
}

// SameSet reports whether two states evacuate the same data centres.
func (s State) SameSet(other State) bool { return slices.Equal(s.DataCentres, other.DataCentres) }

// Merge returns the state that is in force for a process that has seen both: the one with the higher revision. States of the
// same revision differ only if two processes read a key that one of them does not accept, or read several pages while keys
// changed; all of their data centres are evacuated then. The result does not depend on the order in which states arrive.
func Merge(a, b State) State {
	switch {
	case a.Revision > b.Revision:
		return a
	case b.Revision > a.Revision:
		return b
	default:
		return NewState(a.Revision, slices.Concat(a.DataCentres, b.DataCentres))
	}
}
