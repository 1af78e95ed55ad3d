package submission

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxOwnedLists bounds the number of lists that Submit checks. If more lists are adopted, every key counts as inherited.
const maxOwnedLists = 16

// CollectRequest is a request to one agent for its records of one departed entry.
type CollectRequest struct {
	Agent   AgentRef
	Message *wire.Collect
}

// Actions is what the caller has to do after an event. The caller may drop messages to peers without a link, because
// MemberConnected and AgentConnected return them again.
type Actions struct {
	// Adopted is true when the list changed. The caller sends it to all peers.
	Adopted bool
	// Expelled is true when this incarnation is no longer in the list. The caller must start no more keyed tasks, must
	// complete the running jobs that cannot finish with outcome unknown and reason expelled, and then joins again.
	Expelled bool
	// InheritTargets lists the members to which the message returned by Table.NewInheritRequest has to be sent.
	InheritTargets []wire.Member
	// CollectRequests lists the requests to send to agents.
	CollectRequests []CollectRequest
	// Roster has to be sent to every other entry; nil if nothing changed.
	Roster *wire.AgentRoster
	// ResubmitWaiting is true when waiting submissions should be submitted again.
	ResubmitWaiting bool
}

// Adopt switches to a list if its version is higher, and merges the stop notices of members that stop without the store.
func (t *Table) Adopt(now time.Time, list *wire.EntryList) Actions {
	merged, adopted := placement.Merge(t.receivedList, list)
	if !adopted {
		return Actions{}
	}
	return t.applyList(now, merged)
}

// applyList puts a received list into use. It begins a new recovery round if this entry can inherit keys or if the list
// has a new stop notice.
func (t *Table) applyList(now time.Time, received *wire.EntryList) Actions {
	previous, next := t.effectiveList, placement.ApplyStopNotices(received)
	newStopNotice := hasNewStopNotice(t.receivedList, received)
	t.finishRecoveryIfComplete(now)
	t.receivedList, t.effectiveList = received, next
	t.unlinkDepartedMembers(now, previous)
	if t.mayInheritKeys(previous, next) || newStopNotice {
		t.startRecovery(now)
	} else {
		t.round.dropDepartedMembers(next)
	}
	t.assignment = keyAssignment{}
	t.extendOwnedLists(previous, next)
	t.round.statusOutdated = true
	t.handover.restart(t)
	_, wasMember := placement.Find(previous, t.self.ID, t.self.Incarnation)
	return Actions{
		Adopted:         true,
		Expelled:        wasMember && !t.IsMember(),
		InheritTargets:  t.pendingMembers(),
		CollectRequests: t.collectRequests(now),
		ResubmitWaiting: true,
	}
}

// mayInheritKeys reports whether keys can belong to this entry under next that did not under previous, or whether a member
// that held keys was lost. When other members only joined, the keys of this entry are a subset of those it had.
func (t *Table) mayInheritKeys(previous, next *wire.EntryList) bool {
	self, ok := placement.Find(next, t.self.ID, t.self.Incarnation)
	if !ok || self.State != wire.MemberActive {
		return false
	}
	if selfBefore, ok := placement.Find(previous, self.ID, self.Incarnation); !ok || selfBefore.State != wire.MemberActive {
		return true
	}
	for _, m := range previous.Members {
		current, ok := placement.Find(next, m.ID, m.Incarnation)
		if m.State == wire.MemberActive && (!ok || current.State != wire.MemberActive) {
			return true
		}
	}
	for _, m := range next.Members {
		_, ok := placement.Find(previous, m.ID, m.Incarnation)
		if m.State == wire.MemberLeaving && !ok {
			return true
		}
	}
	return slices.ContainsFunc(next.Departed, func(d wire.Departed) bool {
		return !d.Clean && d.AtVersion > previous.Version
	})
}

// hasNewStopNotice reports whether next has a stop notice that previous does not have.
func hasNewStopNotice(previous, next *wire.EntryList) bool {
	if previous == nil {
		return len(next.Stopped) > 0
	}
	return slices.ContainsFunc(next.Stopped, func(s wire.Stopped) bool { return !slices.Contains(previous.Stopped, s) })
}

// extendOwnedLists adds next to the lists under all of which a key must belong to this entry to count as owned. A stop
// notice without a new list version moves no key away from an entry that has not stopped itself, so next is not added
// then.
func (t *Table) extendOwnedLists(previous, next *wire.EntryList) {
	if len(t.ownedLists) == 0 || placement.Version(previous) == next.Version {
		return
	}
	if len(t.ownedLists) >= maxOwnedLists {
		t.ownedLists = nil
		return
	}
	t.ownedLists = append(t.ownedLists, next)
}

// isContinuouslyOwned reports whether the key has belonged to this entry under every list since its last recovery was
// complete.
func (t *Table) isContinuouslyOwned(s Submission) bool {
	if len(t.ownedLists) == 0 {
		return false
	}
	for _, list := range t.ownedLists {
		home, ok := placement.Home(list, s.Region, s.Key)
		if !ok || !placement.SameIncarnation(home, t.self) {
			return false
		}
	}
	return true
}

// unlinkDepartedMembers removes the links between agents and entries that departed.
func (t *Table) unlinkDepartedMembers(now time.Time, previous *wire.EntryList) {
	if previous == nil {
		return
	}
	for _, m := range previous.Members {
		if _, ok := placement.Find(t.effectiveList, m.ID, m.Incarnation); !ok {
			t.roster.unlinkMember(m.ID, now)
		}
	}
}

// MemberConnected returns what to send to another entry on a new link: the requests that it has not answered. The caller
// also sends FullRoster.
func (t *Table) MemberConnected(ref wire.Member) Actions {
	t.handover.requeueUnacked(holderOf(ref))
	if _, pending := t.round.pendingMembers[holderOf(ref)]; !pending {
		return Actions{}
	}
	return Actions{InheritTargets: []wire.Member{ref}}
}
