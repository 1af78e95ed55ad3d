package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
)

// A member that stops while the list cannot be changed states by itself that it takes no new keys. The others treat it
// like a leaving member: each new home asks every member that is not done, the stopping one too, what it holds, before it
// runs a key. When the stopping member runs nothing more and every new home has confirmed what it took over, it states
// that it is done. So a key passes on by the word of its holder only. A member that is gone without having said that
// it is done stays in the search of everyone that has no answer of it, until it is removed from the list.
//
// Two members cannot take themselves for the home of a key: a member becomes home when all with a higher weight have
// stated that they stopped, and each of them keeps to that.

// Stop states that this incarnation takes no new key for good. The jobs that it runs go on. Send the list to everyone.
func (t *Table) Stop(now time.Time) Actions {
	known, err := placement.Stop(t.received, t.self.ID, t.self.Incarnation)
	if err != nil {
		return Actions{} // it is no member, or stated it before
	}
	return t.use(now, known)
}

// StopDone states that the table was handed over. It does nothing unless HandoverDone tells that it was, clean. Send the
// list to everyone before the process ends.
func (t *Table) StopDone(now time.Time) Actions {
	if done, clean := t.HandoverDone(); !done || !clean {
		return Actions{}
	}
	known, err := placement.Done(t.received, t.self.ID, t.self.Incarnation, now)
	if err != nil {
		return Actions{}
	}
	return t.use(now, known)
}
