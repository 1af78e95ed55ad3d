package submission

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Errors of AgentStatedGone.
var (
	// ErrAgentUnknown means that no run of the agent is known that may still work.
	ErrAgentUnknown = eris.New("no run of this agent is waited for")
	// ErrAgentLinked means that an entry has a link to the agent, so it is not gone.
	ErrAgentLinked = eris.New("the agent has a link to an entry")
)

// AgentStatedGone notes the word of an operator that every known run of an agent is over and will not go on. It counts like
// a replacement of the agent at this moment: its records are lost, and keys that are provably younger can run. A run that
// connects again is asked for its records as before. The returned roster tells the other entries.
func (t *Table) AgentStatedGone(now time.Time, id string) (Actions, error) {
	t.roster.expire(now)
	var open []*agentInfo
	for _, a := range t.roster.byID[id] {
		switch {
		case a.lost():
		case a.linked():
			return Actions{}, eris.Wrap(ErrAgentLinked, id)
		default:
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		return Actions{}, eris.Wrap(ErrAgentUnknown, id)
	}
	for _, a := range open {
		t.roster.lose(a, now)
	}
	t.round.dirty = true
	return Actions{Roster: &wire.AgentRoster{Agents: t.runsOf(now, id)}, Recheck: true}, nil
}
