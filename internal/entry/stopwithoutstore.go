package entry

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// errStoreDown means that the last call to the store failed, so that no further call is attempted.
var errStoreDown = eris.New("the store is not available")

// effectiveList returns the list of entries with the stop notices of its members applied. It must not be sent to other
// processes or written to the store.
func (c *control) effectiveList() *wire.EntryList { return placement.ApplyStopNotices(&c.list) }

// stopWithoutStore sends every connected process the stop notice of this entry, which then accepts no new keys any more. A
// stop notice cannot be revoked.
func (c *control) stopWithoutStore() { c.performActions(c.table.Stop(c.now)) }

// announceHandoverDone sends every connected process the stop notice that the table of this entry was handed over.
func (c *control) announceHandoverDone() {
	c.performActions(c.table.FinishStop(c.now))
	if _, member := c.membership(); !member {
		c.log.Info("entry: handed over without the store")
	}
}

// hasStopNotice reports whether this entry stops by a stop notice instead of a change of the list in the store.
func (c *control) hasStopNotice() bool {
	return slices.ContainsFunc(c.list.Stopped, func(s wire.Stopped) bool { return s.Incarnation == c.incarnation })
}

// removeStoppedMembers removes the members from the list that announced, while the store was unavailable, that their table
// was handed over.
func (c *control) removeStoppedMembers() {
	state, member := c.membership()
	done := slices.ContainsFunc(c.list.Stopped, func(s wire.Stopped) bool { return s.Done })
	if !member || state != wire.MemberActive || !done {
		return
	}
	stopped := c.list.Stopped
	c.changeListInBackground(func(current *wire.EntryList, _ uint64) *wire.EntryList {
		if next := withoutStopped(current, stopped); next != current {
			return next
		}
		return nil
	})
}

// withoutStopped returns the list without the members that announced the end of their handover.
func withoutStopped(list *wire.EntryList, stopped []wire.Stopped) *wire.EntryList {
	for _, s := range stopped {
		if next, err := placement.RemoveStopped(list, s); err == nil {
			list = next
		}
	}
	return list
}

// isOutdatedList reports whether the list of another process is older than that of this entry, or lacks stop notices.
func (c *control) isOutdatedList(list *wire.EntryList) bool {
	_, changed := placement.Merge(list, &c.list)
	return changed
}
