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

func (c *control) isListed(m wire.Member) bool {
	_, ok := placement.Find(c.effective(), m.ID, m.Incarnation)
	return ok
}

func (c *control) isMember(id string) bool {
	for _, m := range c.effective().Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// updateDiallers starts a dialler for each member with a higher id and stops those of entries that left. While this entry
// is not in the list, nobody dials it, so it dials every member.
func (c *control) updateDiallers() {
	_, member := c.membership()
	for _, m := range c.effective().Members {
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
			c.forgetPeer(p)
		}
	}
}

// stopDialling leaves the dialling to the other side. The present link stays until it closes by itself.
func (c *control) stopDialling(id string) {
	if p := c.peers[id]; p != nil && p.stopDialler != nil {
		p.stopDialler()
		p.stopDialler = nil
	}
}

// forgetPeer stops dialling an entry that left the list. Its link stays until it closes by itself, since the entry may
// still have answers to send.
func (c *control) forgetPeer(p *peer) {
	if p.stopDialler != nil {
		p.stopDialler()
		p.stopDialler = nil
	}
	if p.link == nil {
		delete(c.peers, p.id)
	}
}

// storeSeen handles a snapshot of the watched keys and returns how long the next watch waits.
func (c *control) storeSeen(s *snapshot) time.Duration {
	if c.now.Sub(c.seenAt) > c.snapshotGap() {
		clear(c.leaseGoneSince)
	}
	c.seen, c.seenAt = s, c.now
	c.noteOwnLease(s)
	if s.list != nil && s.list.Version > c.list.Version {
		c.adoptList(s.list)
	}
	if c.list.Version > placement.Version(s.list) {
		c.proposeChange(restoredList)
	}
	c.removeStopped()
	c.joinList()
	c.watchLeases(s)
	c.pruneList()
	c.indexSeen(s)
	if c.isSettled(s) {
		return watchWait
	}
	return c.removalWait()
}

// snapshotGap is the longest time between two snapshots that both count towards the expulsion delay. After a longer gap,
// for example an outage, the others had no way to renew their leases, so the delay begins anew.
func (c *control) snapshotGap() time.Duration {
	return c.options.ExpulsionDelay/watchWaitShare + 2*storeTimeout
}

// isSettled tells whether the store shows this entry's list with the lease of every member. Otherwise what is still to be
// done waits for the next snapshot.
func (c *control) isSettled(s *snapshot) bool {
	_, member := c.membership()
	if !member || placement.Version(s.list) != c.list.Version {
		return false
	}
	for _, m := range c.list.Members {
		if !s.holds(m) {
			return false
		}
	}
	return true
}

// restoredList writes the known list back to a store that was restored from older data.
func restoredList(current *wire.EntryList, stored uint64) *wire.EntryList {
	if stored >= current.Version {
		return nil
	}
	return current
}

// joinList adds this entry to the list unless it is there, or left it.
func (c *control) joinList() {
	if _, member := c.membership(); member || c.stopping || c.wasRemoved() {
		return
	}
	self, stopped := c.self(), c.list.Stopped
	c.proposeChange(func(current *wire.EntryList, _ uint64) *wire.EntryList {
		next, err := placement.Add(withoutStopped(current, stopped), self, c.entry.options.Clock.Now())
		if err != nil {
			return nil
		}
		return next
	})
}

// wasRemoved tells whether this incarnation was in the list before.
func (c *control) wasRemoved() bool { return c.hasDeparted(c.incarnation) }

// hasDeparted tells whether a run of an entry is known to have left the list.
func (c *control) hasDeparted(incarnation uint64) bool {
	return slices.ContainsFunc(c.list.Departed, func(d wire.Departed) bool { return d.Incarnation == incarnation })
}

// watchLeases removes members whose lease and link have both been gone long enough. It runs for each snapshot of the store
// only, so an outage of the store removes nobody.
func (c *control) watchLeases(s *snapshot) {
	state, member := c.membership()
	for _, m := range c.list.Members {
		if m.ID == c.options.ID || s.holds(m) {
			delete(c.leaseGoneSince, m.Incarnation)
			c.leaseSeen[m.Incarnation] = true
			c.noticeLease(s, m)
			continue
		}
		since, known := c.leaseGoneSince[m.Incarnation]
		if !known {
			c.leaseGoneSince[m.Incarnation] = c.now
			continue
		}
		if member && state == wire.MemberActive && c.removable(m, since) {
			c.expel(m)
		}
	}
	maps.DeleteFunc(c.leaseSeen, func(incarnation uint64, _ bool) bool { return !c.hasIncarnation(incarnation) })
}

// hasIncarnation tells whether a member of the list has this incarnation.
func (c *control) hasIncarnation(incarnation uint64) bool {
	return slices.ContainsFunc(c.list.Members, func(m wire.Member) bool { return m.Incarnation == incarnation })
}

// removable tells whether a member whose lease is gone since the given time can be removed. The delay is shorter for one
// whose process has ended.
func (c *control) removable(m wire.Member, leaseGone time.Time) bool {
	if c.now.Sub(leaseGone) >= c.options.ExpulsionDelay && c.linkGone(m) {
		return true
	}
	ended, ok := c.endedSince(m)
	delay := c.endedDelay()
	return ok && c.leaseSeen[m.Incarnation] && c.now.Sub(leaseGone) >= delay && c.now.Sub(ended) >= delay
}

// removalWait returns how long the next watch waits while something is amiss: until the next delay of a lost lease is
// over, because a removal needs a snapshot from after it.
func (c *control) removalWait() time.Duration {
	wait := c.options.ExpulsionDelay / watchWaitShare
	for _, since := range c.leaseGoneSince {
		for _, delay := range []time.Duration{c.endedDelay(), c.options.ExpulsionDelay} {
			if rest := delay - c.now.Sub(since); rest > 0 {
				wait = min(wait, max(rest, minWatchWait))
			}
		}
	}
	return wait
}

// noticeLease tells the holder of this entry's own lease that the store does not show it.
func (c *control) noticeLease(s *snapshot, m wire.Member) {
	if m.Incarnation != c.incarnation || s.holds(m) {
		return
	}
	select {
	case c.leaseMissing <- struct{}{}:
	default:
	}
}

// linkGone tells whether there was no link to this run of the member for the expulsion delay.
func (c *control) linkGone(m wire.Member) bool {
	p := c.peers[m.ID]
	if p == nil {
		return c.now.Sub(c.startedAt) >= c.options.ExpulsionDelay
	}
	if p.link != nil && p.incarnation == m.Incarnation {
		return false
	}
	return p.incarnation != m.Incarnation && p.incarnation != 0 || c.now.Sub(p.downSince) >= c.options.ExpulsionDelay
}

func (c *control) expel(m wire.Member) {
	c.log.WithField("entry", m.ID).Warn("entry: removing an entry whose lease and link are gone")
	c.proposeChange(func(current *wire.EntryList, _ uint64) *wire.EntryList {
		next, err := placement.Expel(current, m.ID, m.Incarnation, c.entry.options.Clock.Now())
		if err != nil {
			return nil
		}
		return next
	})
}

// pruneList drops departed entries after the retention window. Only the first active member does so, to save calls.
func (c *control) pruneList() {
	if first := firstActive(&c.list); first != c.options.ID || len(c.list.Departed) == 0 {
		return
	}
	if _, err := placement.Prune(&c.list, c.now, c.departedKeep()); err != nil {
		return
	}
	c.proposeChange(func(current *wire.EntryList, _ uint64) *wire.EntryList {
		next, err := placement.Prune(current, c.entry.options.Clock.Now(), c.departedKeep())
		if err != nil {
			return nil
		}
		return next
	})
}

func firstActive(list *wire.EntryList) string {
	first := ""
	for _, m := range list.Members {
		if m.State == wire.MemberActive && (first == "" || m.ID < first) {
			first = m.ID
		}
	}
	return first
}

// proposeChange writes a change of the list in the background. One change is under way at a time; the next snapshot
// proposes again what is still needed.
func (c *control) proposeChange(change listChange) {
	if c.changing {
		return
	}
	c.changing = true
	known := c.list
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		if err := c.entry.changeList(ctx, &known, change); err != nil {
			c.log.WithField("cause", eris.ToString(err, false)).Warn("store: cannot change the list of entries")
		}
		c.entry.post(func(c *control) { c.changing = false })
	}()
}

// departedKeep is the time for which departed entries stay in the list.
func (c *control) departedKeep() time.Duration {
	return c.tableConfig().DepartedKeep()
}

// changeTimeout bounds one change of the list with its repetitions.
const changeTimeout = 10 * time.Second

// startDialler keeps a link to the address until the returned function is called.
func (e *Entry) startDialler(address string) context.CancelFunc {
	ctx, cancel := context.WithCancel(e.background)
	e.diallers.Add(1)
	go func() {
		defer e.diallers.Done()
		e.dialPeer(ctx, address)
	}()
	return cancel
}
