package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// isListed reports whether this run of an entry is a member of the list.
func (c *control) isListed(m wire.Member) bool {
	_, ok := placement.Find(c.effectiveList(), m.ID, m.Incarnation)
	return ok
}

// isMember reports whether any run of the entry is a member of the list.
func (c *control) isMember(id string) bool {
	for _, m := range c.effectiveList().Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// updateDiallers starts a dialler for each member with a higher id and stops those of entries that left the list. While
// this entry is not in the list, nobody dials it, so it dials every member.
func (c *control) updateDiallers() {
	_, member := c.membership()
	for _, m := range c.effectiveList().Members {
		if m.ID == c.options.ID {
			continue
		}
		if m.ID < c.options.ID && member {
			c.stopDialling(m.ID)
			continue
		}
		p := c.peerOf(m.ID)
		if p.stopDialler != nil && p.address == m.Address {
			continue
		}
		if p.stopDialler != nil {
			p.stopDialler()
		}
		p.address = m.Address
		p.stopDialler = c.entry.startDialler(m.Address)
	}
	for id, p := range c.peers {
		if !c.isMember(id) {
			c.removePeer(p)
		}
	}
}

// stopDialling stops the dialler of a peer that dials this entry instead. An open link stays until it closes by itself.
func (c *control) stopDialling(id string) {
	if p := c.peers[id]; p != nil && p.stopDialler != nil {
		p.stopDialler()
		p.stopDialler = nil
	}
}

// removePeer stops dialling an entry that left the list. An open link stays until it closes by itself, because the entry
// may still have answers to send.
func (c *control) removePeer(p *peer) {
	if p.stopDialler != nil {
		p.stopDialler()
		p.stopDialler = nil
	}
	if p.link == nil {
		delete(c.peers, p.id)
	}
}

// handleSnapshot handles a snapshot of the watched keys and returns how long the next watch waits.
func (c *control) handleSnapshot(s *snapshot) time.Duration {
	if c.now.Sub(c.snapshotAt) > c.maxSnapshotGap() {
		clear(c.leaseMissingSince)
	}
	c.snapshot, c.snapshotAt = s, c.now
	c.recordOwnLease(s)
	if s.list != nil && s.list.Version > c.list.Version {
		c.adoptList(s.list)
	}
	if c.list.Version > placement.Version(s.list) {
		c.changeListInBackground(rewriteRestoredList)
	}
	c.removeStoppedMembers()
	c.joinList()
	c.removeLostMembers(s)
	c.pruneList()
	c.syncRecords(s)
	if c.isInSync(s) {
		return watchWait
	}
	return c.removalWatchWait()
}

// maxSnapshotGap is the longest time between two snapshots that both count towards the expulsion delay. A longer gap, for
// example an outage of the store, restarts the delay, because the other entries had no way to renew their leases.
func (c *control) maxSnapshotGap() time.Duration {
	return c.options.ExpulsionDelay/watchWaitDivisor + 2*storeTimeout
}

// isInSync reports whether the store shows the list of this entry together with the lease of every member. Otherwise the
// next snapshot is needed soon to finish the pending changes.
func (c *control) isInSync(s *snapshot) bool {
	_, member := c.membership()
	if !member || placement.Version(s.list) != c.list.Version {
		return false
	}
	for _, m := range c.list.Members {
		if !s.hasLease(m) {
			return false
		}
	}
	return true
}

// rewriteRestoredList writes the list that this entry has back to a store that was restored from older data.
func rewriteRestoredList(current *wire.EntryList, stored uint64) *wire.EntryList {
	if stored >= current.Version {
		return nil
	}
	return current
}

// joinList adds this entry to the list unless it is a member or was one before.
func (c *control) joinList() {
	if _, member := c.membership(); member || c.stopping || c.wasRemoved() {
		return
	}
	self, stopped := c.self(), c.list.Stopped
	c.changeListInBackground(func(current *wire.EntryList, _ uint64) *wire.EntryList {
		next, err := placement.Add(withoutStopped(current, stopped), self, c.entry.options.Clock.Now())
		if err != nil {
			return nil
		}
		return next
	})
}

// wasRemoved reports whether this run of the entry was a member and left the list.
func (c *control) wasRemoved() bool { return c.hasDeparted(c.incarnation) }

// hasDeparted reports whether a run of an entry is known to have left the list.
func (c *control) hasDeparted(incarnation uint64) bool {
	return slices.ContainsFunc(c.list.Departed, func(d wire.Departed) bool { return d.Incarnation == incarnation })
}

// removeLostMembers removes members whose lease and link have both been gone for long enough. It runs only for snapshots of
// the store, so an outage of the store removes no member.
func (c *control) removeLostMembers(s *snapshot) {
	state, member := c.membership()
	for _, m := range c.list.Members {
		if m.ID == c.options.ID || s.hasLease(m) {
			delete(c.leaseMissingSince, m.Incarnation)
			c.leaseSeen[m.Incarnation] = true
			c.signalMissingLease(s, m)
			continue
		}
		since, missingBefore := c.leaseMissingSince[m.Incarnation]
		if !missingBefore {
			c.leaseMissingSince[m.Incarnation] = c.now
			continue
		}
		if member && state == wire.MemberActive && c.isRemovable(m, since) {
			c.expel(m)
		}
	}
	maps.DeleteFunc(c.leaseSeen, func(incarnation uint64, _ bool) bool { return !c.hasIncarnation(incarnation) })
}

// hasIncarnation reports whether a member of the list has this incarnation.
func (c *control) hasIncarnation(incarnation uint64) bool {
	return slices.ContainsFunc(c.list.Members, func(m wire.Member) bool { return m.Incarnation == incarnation })
}

// isRemovable reports whether a member whose lease has been gone since leaseGone can be removed. The delay is shorter for a
// member whose process is known to have ended.
func (c *control) isRemovable(m wire.Member, leaseGone time.Time) bool {
	if c.now.Sub(leaseGone) >= c.options.ExpulsionDelay && c.isLinkLost(m) {
		return true
	}
	ended, ok := c.processEndedSince(m)
	delay := c.endedProcessDelay()
	return ok && c.leaseSeen[m.Incarnation] && c.now.Sub(leaseGone) >= delay && c.now.Sub(ended) >= delay
}

// removalWatchWait returns how long the next watch waits while the store and the list are not in sync: until the next delay
// of a missing lease ends, because a removal needs a snapshot taken after it.
func (c *control) removalWatchWait() time.Duration {
	wait := c.options.ExpulsionDelay / watchWaitDivisor
	for _, since := range c.leaseMissingSince {
		for _, delay := range []time.Duration{c.endedProcessDelay(), c.options.ExpulsionDelay} {
			if remaining := delay - c.now.Sub(since); remaining > 0 {
				wait = min(wait, max(remaining, minWatchWait))
			}
		}
	}
	return wait
}

// signalMissingLease signals to the leaseHolder that the store does not show the lease of this entry.
func (c *control) signalMissingLease(s *snapshot, m wire.Member) {
	if m.Incarnation != c.incarnation || s.hasLease(m) {
		return
	}
	select {
	case c.leaseMissing <- struct{}{}:
	default:
	}
}

// isLinkLost reports whether there has been no link to this run of the member for the expulsion delay, or a link to another
// run.
func (c *control) isLinkLost(m wire.Member) bool {
	p := c.peers[m.ID]
	if p == nil {
		return c.now.Sub(c.startedAt) >= c.options.ExpulsionDelay
	}
	if p.link != nil && p.incarnation == m.Incarnation {
		return false
	}
	return p.incarnation != m.Incarnation && p.incarnation != 0 || c.now.Sub(p.downSince) >= c.options.ExpulsionDelay
}

// expel removes a member from the list.
func (c *control) expel(m wire.Member) {
	c.log.WithField("entry", m.ID).Warn("entry: lease and link of another entry are gone; removing it from the list of entries")
	c.changeListInBackground(func(current *wire.EntryList, _ uint64) *wire.EntryList {
		next, err := placement.Expel(current, m.ID, m.Incarnation, c.entry.options.Clock.Now())
		if err != nil {
			return nil
		}
		return next
	})
}

// pruneList removes departed entries from the list after departedRetention. Only the active member with the lowest id does
// so, to save calls to the store.
func (c *control) pruneList() {
	if first := firstActiveID(&c.list); first != c.options.ID || len(c.list.Departed) == 0 {
		return
	}
	if _, err := placement.Prune(&c.list, c.now, c.departedRetention()); err != nil {
		return
	}
	c.changeListInBackground(func(current *wire.EntryList, _ uint64) *wire.EntryList {
		next, err := placement.Prune(current, c.entry.options.Clock.Now(), c.departedRetention())
		if err != nil {
			return nil
		}
		return next
	})
}

// firstActiveID returns the lowest id of an active member, or "" when there is none.
func firstActiveID(list *wire.EntryList) string {
	first := ""
	for _, m := range list.Members {
		if m.State == wire.MemberActive && (first == "" || m.ID < first) {
			first = m.ID
		}
	}
	return first
}

// changeListInBackground writes a change of the list to the store in the background. It does nothing while another change
// is being written; the next snapshot triggers the changes that are still needed.
func (c *control) changeListInBackground(change listChange) {
	if c.changingList {
		return
	}
	c.changingList = true
	knownList := c.list
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		if err := c.entry.changeList(ctx, &knownList, change); err != nil {
			c.log.WithField("cause", eris.ToString(err, false)).Warn("store: cannot change the list of entries; trying again after the next snapshot")
		}
		c.entry.post(func(c *control) { c.changingList = false })
	}()
}

// departedRetention is the time for which departed entries stay in the list.
func (c *control) departedRetention() time.Duration {
	return c.tableConfig().DepartedRetention()
}

// changeTimeout bounds one change of the list including its retries.
const changeTimeout = 10 * time.Second

// startDialler keeps a link to the address until the returned function is called.
func (e *Entry) startDialler(address string) context.CancelFunc {
	ctx, cancel := context.WithCancel(e.background)
	e.diallers.Add(1)
	go func() {
		defer e.diallers.Done()
		e.maintainPeerLink(ctx, address)
	}()
	return cancel
}
