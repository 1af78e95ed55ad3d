package placement

import "github.com/coltsfootspur/coltsfootspur/internal/wire"

// Version returns the version of the list; 0 for nil.
func Version(list *wire.EntryList) uint64 {
	if list == nil {
		return 0
	}
	return list.Version
}

// Newer returns the list to use after candidate was received. A list never replaces one of the same or a higher
// version.
func Newer(current, candidate *wire.EntryList) (list *wire.EntryList, adopted bool) {
	if Version(candidate) <= Version(current) {
		return current, false
	}
	return candidate, true
}

// Find returns the member with this id and incarnation.
func Find(list *wire.EntryList, id string, incarnation uint64) (wire.Member, bool) {
	if list == nil {
		return wire.Member{}, false
	}
	for _, m := range list.Members {
		if m.ID == id && m.Incarnation == incarnation {
			return m, true
		}
	}
	return wire.Member{}, false
}
