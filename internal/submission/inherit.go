package submission

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxInheritedKeys bounds the number of keys in one InheritReply. A key takes 17 bytes.
const maxInheritedKeys = 32768

// InheritAnswer is what to send to the requesting member, in the order of the fields. Only Newer is set if the member's
// list is older than the one in use; the member adopts it and asks again.
type InheritAnswer struct {
	Roster *wire.AgentRoster
	Parts  []*wire.InheritReply
	Newer  *wire.EntryList
}

// InheritRequestReceived adopts the list of the requesting member and returns the keys of this table that now belong to
// that member. From then on this entry accepts no new submission of such a key. Jobs that it already runs continue.
func (t *Table) InheritRequestReceived(now time.Time, requester wire.Member, m *wire.InheritRequest) (InheritAnswer, Actions) {
	actions := t.Adopt(now, m.List)
	if placement.Version(t.effectiveList) > placement.Version(m.List) {
		return InheritAnswer{Newer: t.receivedList}, actions
	}
	t.expire(now)
	if t.effectiveList == nil {
		return InheritAnswer{}, actions
	}
	return InheritAnswer{
		Roster: t.FullRoster(now),
		Parts:  inheritedParts(t.effectiveList.Version, m.Round, t.keysInheritedBy(requester)),
	}, actions
}

func inheritedParts(version, round uint64, keys []wire.KeyHash) []*wire.InheritReply {
	var parts []*wire.InheritReply
	for len(keys) > maxInheritedKeys {
		parts = append(parts, &wire.InheritReply{ListVersion: version, Round: round, Keys: keys[:maxInheritedKeys]})
		keys = keys[maxInheritedKeys:]
	}
	return append(parts, &wire.InheritReply{ListVersion: version, Round: round, Keys: keys, Last: true})
}

// keyAssignment holds the keys of this table that belong to other members. It is computed once per list, because no key
// of another member enters the table after the adoption of a list.
type keyAssignment struct {
	keys map[holderRef][]wire.KeyHash
}

func (t *Table) keysInheritedBy(requester wire.Member) []wire.KeyHash {
	if t.assignment.keys == nil {
		t.assignment = keyAssignment{keys: make(map[holderRef][]wire.KeyHash)}
		regions := allRegions(t.effectiveList)
		for key, slot := range t.store.index {
			t.assignKey(key, t.possibleRegions(t.store.at(slot).region, regions))
		}
		for key := range t.recovered.keys {
			t.assignKey(key, regions)
		}
	}
	return t.assignment.keys[holderOf(requester)]
}

// possibleRegions returns the home region of an entry of the table, or all regions if the entry came from another
// process. A superfluous pointer costs one message; a missing one could start a task twice.
func (t *Table) possibleRegions(region uint16, all []string) []string {
	if region == regionUnknown {
		return all
	}
	return t.store.regions[region : region+1]
}

// assignKey adds a key to every member that can be its home in one of the regions.
func (t *Table) assignKey(key wire.KeyHash, regions []string) {
	var seen []holderRef
	for _, region := range regions {
		home, ok := placement.Home(t.effectiveList, region, key)
		if !ok || placement.SameIncarnation(home, t.self) {
			continue
		}
		ref := holderOf(home)
		if !slices.Contains(seen, ref) {
			seen = append(seen, ref)
			t.assignment.keys[ref] = append(t.assignment.keys[ref], key)
		}
	}
}

// allRegions returns the regions of the list and the empty string, which stands for services without a home region.
func allRegions(list *wire.EntryList) []string {
	regions := []string{""}
	for _, m := range list.Members {
		if !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	return regions
}
