package placement

import "github.com/coltsfootspur/coltsfootspur/internal/wire"

// Version returns the version of the list; 0 for nil.
func Version(list *wire.EntryList) uint64 {
	if list == nil {
		return 0
	}
	return list.Version
}

// PickNewer returns candidate and true if its version is higher than that of current, and current and false otherwise.
func PickNewer(current, candidate *wire.EntryList) (list *wire.EntryList, adopted bool) {
	if Version(candidate) <= Version(current) {
		return current, false
	}
	return candidate, true
}

// Find returns the member with this id and incarnation; false if there is none.
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
