// Package placement maintains the versioned list of entries and derives the home of a key from it.
//
// The package has no goroutines, does not read the clock and does not access the store. Each change returns a new list
// whose version is higher by one; the caller writes it with a compare-and-swap. Stop notices are the exception: they
// leave the version as it is, are never written to the store, and are merged into the lists of the processes.
package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Home returns the active member with the highest rendezvous hashing weight for the key. A non-empty region limits the
// candidates to members of that region. It returns false if there is no candidate.
//
// The weight depends on the id of a member and not on its incarnation, so a restarted entry gets its keys back.
func Home(list *wire.EntryList, region string, key wire.KeyHash) (wire.Member, bool) {
	if list == nil {
		return wire.Member{}, false
	}
	best := -1
	var bestWeight uint64
	for i := range list.Members {
		m := &list.Members[i]
		if m.State != wire.MemberActive || (region != "" && m.Region != region) {
			continue
		}
		w := weight(m.ID, key)
		if best < 0 || w > bestWeight || (w == bestWeight && m.ID < list.Members[best].ID) {
			best, bestWeight = i, w
		}
	}
	if best < 0 {
		return wire.Member{}, false
	}
	return list.Members[best], true
}

// MayBeHome reports whether the member is the home of the key for a service without a home region, or for a service
// whose home region is that of the member. Processes that do not have the service's document use it instead of Home.
func MayBeHome(list *wire.EntryList, member wire.Member, key wire.KeyHash) bool {
	if home, ok := Home(list, "", key); ok && SameIncarnation(home, member) {
		return true
	}
	if member.Region == "" {
		return false
	}
	home, ok := Home(list, member.Region, key)
	return ok && SameIncarnation(home, member)
}

// SameIncarnation reports whether two members are the same incarnation of the same entry.
func SameIncarnation(a, b wire.Member) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation
}

func weight(id string, key wire.KeyHash) uint64 {
	var buf [24]byte
	copy(buf[:16], key[:])
	binary.LittleEndian.PutUint64(buf[16:], xxhash.Sum64String(id))
	return xxhash.Sum64(buf[:])
}
