package submission

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxOwnedLists bounds the lists that Submit compares. Past it every key counts as inherited.
const maxOwnedLists = 16

// CollectFrom asks one agent for the records of one expelled entry.
type CollectFrom struct {
	Agent   AgentRef
	Message *wire.Collect
}

// Actions is what the caller has to do after an event. Messages to peers without a link are dropped: MemberConnected
// and AgentConnected return them again.
type Actions struct {
	// Adopted is set when the list changed: pass it on to all peers.
	Adopted bool
	// Expelled is set when this incarnation is no longer in the list. No keyed task may be started from now on.
	// Complete the running jobs that cannot finish, with outcome unknown and reason expelled, then join again.
	Expelled bool
	// Inherit lists the members to send wire.Inherit with the list in use.
	Inherit []wire.Member
	// Collect lists what to send to agents.
	Collect []CollectFrom
	// Roster is to be sent to every other entry; nil if there is no news.
	Roster *wire.AgentRoster
	// Recheck is set when submissions that wait should be submitted again.
	Recheck bool
}

// Adopt takes over a list if its version is higher, and statements of members that stop without the store.
func (t *Table) Adopt(now time.Time, list *wire.EntryList) Actions {
	known, adopted := placement.Merge(t.received, list)
	if !adopted {
		return Actions{}
	}
	return t.use(now, known)
}

func (t *Table) use(now time.Time, known *wire.EntryList) Actions {
	former, next := t.list, placement.Effective(known)
	news := moreStopped(t.received, known)
	t.settle(now)
	t.received, t.list = known, next
	t.forgetMembers(now, former)
	if t.inherits(former, next) || news {
		t.restart(now)
	} else {
		t.round.keepMembers(next)
	}
	t.partition = partition{}
	t.noteOwned(former, next)
	t.round.dirty = true
	t.handover.restart(t)
	_, was := placement.Find(former, t.self.ID, t.self.Incarnation)
	return Actions{
		Adopted:  true,
		Expelled: was && !t.IsMember(),
		Inherit:  t.pendingMembers(),
		Collect:  t.collectAll(now),
		Recheck:  true,
	}
}

// inherits tells whether keys can belong to this entry under next that did not under former, or whether their holder
// was lost. When other members only joined, the keys of this entry are a subset of those it had.
func (t *Table) inherits(former, next *wire.EntryList) bool {
	self, ok := placement.Find(next, t.self.ID, t.self.Incarnation)
	if !ok || self.State != wire.MemberActive {
		return false
	}
	if was, ok := placement.Find(former, self.ID, self.Incarnation); !ok || was.State != wire.MemberActive {
		return true
	}
	for _, m := range former.Members {
		now, ok := placement.Find(next, m.ID, m.Incarnation)
		if m.State == wire.MemberActive && (!ok || now.State != wire.MemberActive) {
			return true
		}
	}
	for _, m := range next.Members {
		_, ok := placement.Find(former, m.ID, m.Incarnation)
		if m.State == wire.MemberLeaving && !ok {
			return true
		}
	}
	return slices.ContainsFunc(next.Departed, func(d wire.Departed) bool {
		return !d.Clean && d.AtVersion > former.Version
	})
}

// moreStopped tells whether next has a statement about a member that former has not.
func moreStopped(former, next *wire.EntryList) bool {
	if former == nil {
		return len(next.Stopped) > 0
	}
	return slices.ContainsFunc(next.Stopped, func(s wire.Stopped) bool { return !slices.Contains(former.Stopped, s) })
}

// noteOwned extends the lists under all of which a key must belong to this entry to count as owned. Statements alone
// take no key from an entry that made none.
func (t *Table) noteOwned(former, next *wire.EntryList) {
	if len(t.owned) == 0 || placement.Version(former) == next.Version {
		return
	}
	if len(t.owned) >= maxOwnedLists {
		t.owned = nil
		return
	}
	t.owned = append(t.owned, next)
}

// isOwned tells whether the key belonged to this entry without interruption since its knowledge was complete.
func (t *Table) isOwned(s Submission) bool {
	if len(t.owned) == 0 {
		return false
	}
	for _, list := range t.owned {
		home, ok := placement.Home(list, s.Region, s.Key)
		if !ok || !placement.SameRun(home, t.self) {
			return false
		}
	}
	return true
}

// forgetMembers drops the links of agents to entries that departed.
func (t *Table) forgetMembers(now time.Time, former *wire.EntryList) {
	if former == nil {
		return
	}
	for _, m := range former.Members {
		if _, ok := placement.Find(t.list, m.ID, m.Incarnation); !ok {
			t.roster.memberLeft(m.ID, now)
		}
	}
}

// MemberConnected returns what to send to another entry on a new link: what it was asked and has not answered.
// FullRoster is to be sent too.
func (t *Table) MemberConnected(ref wire.Member) Actions {
	t.handover.resend(holderOf(ref))
	if _, pending := t.round.members[holderOf(ref)]; !pending {
		return Actions{}
	}
	return Actions{Inherit: []wire.Member{ref}}
}
