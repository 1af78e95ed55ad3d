package entry

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// errStoreDown means that the last call to the store failed, so that no other is tried.
var errStoreDown = eris.New("the store is not available")

// effective returns the list of entries as the statements of its members change it. It must not be passed on.
func (c *control) effective() *wire.EntryList { return placement.Effective(&c.list) }

// stopWithoutStore states to every connected process that this entry takes no new keys for good.
func (c *control) stopWithoutStore() { c.perform(c.table.Stop(c.now)) }

// stopDone states to every connected process that the table of this entry was handed over.
func (c *control) stopDone() {
	c.perform(c.table.StopDone(c.now))
	if _, member := c.membership(); !member {
		c.log.Info("entry: handed over without the store")
	}
}

// statedStop tells whether this entry stops by a statement and not by a change of the list.
func (c *control) statedStop() bool {
	return slices.ContainsFunc(c.list.Stopped, func(s wire.Stopped) bool { return s.Incarnation == c.incarnation })
}

// removeStopped removes the members from the list that stated in an outage that they handed their table over.
func (c *control) removeStopped() {
	state, member := c.membership()
	done := slices.ContainsFunc(c.list.Stopped, func(s wire.Stopped) bool { return s.Done })
	if !member || state != wire.MemberActive || !done {
		return
	}
	stopped := c.list.Stopped
	c.proposeChange(func(current *wire.EntryList, _ uint64) *wire.EntryList {
		if next := withoutStopped(current, stopped); next != current {
			return next
		}
		return nil
	})
}

// withoutStopped returns the list without the members that stated that they are done.
func withoutStopped(list *wire.EntryList, stopped []wire.Stopped) *wire.EntryList {
	for _, s := range stopped {
		if next, err := placement.RemoveStopped(list, s); err == nil {
			list = next
		}
	}
	return list
}

// lacksNews tells whether the list of another process is older than that of this entry, or tells of fewer members that
// stopped.
func (c *control) lacksNews(list *wire.EntryList) bool {
	_, changed := placement.Merge(list, &c.list)
	return changed
}
