package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
)

// A member that stops while the store is unavailable cannot change the list of entries. It announces with a stop notice that
// it accepts no new keys. The other members then treat it like a leaving member: before a new home runs a key, it asks
// every member that is not done, including the stopping one, which keys it holds. When the stopping member has no
// running jobs and every new home has acknowledged its handover, it announces that it is done. A key is thus released
// only by its holder. A member that disappears without announcing that it is done stays pending in the recovery round of
// every member that it has not answered, until it is removed from the list.
//
// Two members cannot both be the home of a key: a member becomes the home only when all members with a higher weight
// have announced that they stopped, and a stop notice is never revoked.

// Stop announces that this incarnation will never accept a new key. The jobs that it runs continue. The caller sends the
// list to all peers.
func (t *Table) Stop(now time.Time) Actions {
	list, err := placement.AnnounceStop(t.receivedList, t.self.ID, t.self.Incarnation)
	if err != nil {
		return Actions{} // not a member, or already announced
	}
	return t.applyList(now, list)
}

// FinishStop announces that the table was handed over. It does nothing unless HandoverDone reports a clean handover. The
// caller sends the list to all peers before the process ends.
func (t *Table) FinishStop(now time.Time) Actions {
	if done, clean := t.HandoverDone(); !done || !clean {
		return Actions{}
	}
	list, err := placement.AnnounceStopDone(t.receivedList, t.self.ID, t.self.Incarnation, now)
	if err != nil {
		return Actions{}
	}
	return t.applyList(now, list)
}
