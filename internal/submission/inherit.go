package submission

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxInheritedKeys bounds one part of Inherited, in keys of 17 bytes.
const maxInheritedKeys = 32768

// InheritAnswer is what to send to the asker, in this order. Newer is set alone when the asker's list is older than
// the one in use: the asker adopts it and asks again.
type InheritAnswer struct {
	Roster *wire.AgentRoster
	Parts  []*wire.Inherited
	Newer  *wire.EntryList
}

// InheritReceived adopts the asker's list and names the keys of this table that now belong to the asker. From then on
// this entry takes no new submission of such a key. The jobs it runs go on.
func (t *Table) InheritReceived(now time.Time, asker wire.Member, m *wire.Inherit) (InheritAnswer, Actions) {
	actions := t.Adopt(now, m.List)
	if placement.Version(t.list) > placement.Version(m.List) {
		return InheritAnswer{Newer: t.received}, actions
	}
	t.expire(now)
	if t.list == nil {
		return InheritAnswer{}, actions
	}
	return InheritAnswer{
		Roster: t.FullRoster(now),
		Parts:  inheritedParts(t.list.Version, m.Round, t.keysOf(asker)),
	}, actions
}

func inheritedParts(version, round uint64, keys []wire.KeyHash) []*wire.Inherited {
	var parts []*wire.Inherited
	for len(keys) > maxInheritedKeys {
		parts = append(parts, &wire.Inherited{ListVersion: version, Round: round, Keys: keys[:maxInheritedKeys]})
		keys = keys[maxInheritedKeys:]
	}
	return append(parts, &wire.Inherited{ListVersion: version, Round: round, Keys: keys, Last: true})
}

// partition has the keys of this table that belong to other members. It is made once per list, because after the
// adoption of a list no key of another member enters the table.
type partition struct {
	keys map[holderRef][]wire.KeyHash
}

func (t *Table) keysOf(asker wire.Member) []wire.KeyHash {
	if t.partition.keys == nil {
		t.partition = partition{keys: make(map[holderRef][]wire.KeyHash)}
		regions := regionsOf(t.list)
		for key, slot := range t.store.index {
			t.assign(key, t.regionsOfEntry(t.store.at(slot).region, regions))
		}
		for key := range t.recovered.keys {
			t.assign(key, regions)
		}
	}
	return t.partition.keys[holderOf(asker)]
}

// regionsOfEntry returns the home region of an entry, or all regions if it came from another process. A pointer too
// many costs one message; one too few could start a task twice.
func (t *Table) regionsOfEntry(region uint16, all []string) []string {
	if region == regionUnknown {
		return all
	}
	return t.store.regions[region : region+1]
}

// assign adds a key to every member that can be its home for one of the regions.
func (t *Table) assign(key wire.KeyHash, regions []string) {
	var seen []holderRef
	for _, region := range regions {
		home, ok := placement.Home(t.list, region, key)
		if !ok || placement.SameRun(home, t.self) {
			continue
		}
		ref := holderOf(home)
		if !slices.Contains(seen, ref) {
			seen = append(seen, ref)
			t.partition.keys[ref] = append(t.partition.keys[ref], key)
		}
	}
}

// regionsOf returns the regions of the list, and the empty one that stands for all.
func regionsOf(list *wire.EntryList) []string {
	regions := []string{""}
	for _, m := range list.Members {
		if !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	return regions
}
