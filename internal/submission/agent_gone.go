package submission

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Errors of DeclareAgentGone.
var (
	// ErrAgentUnknown is returned when no incarnation of the agent is known that may still be running.
	ErrAgentUnknown = eris.New("no run of this agent is waited for")
	// ErrAgentLinked is returned when an entry has a link to the agent, so it is not gone.
	ErrAgentLinked = eris.New("the agent has a link to an entry")
)

// DeclareAgentGone records an operator's declaration that every known incarnation of an agent has ended for good. Its
// effect is that of a replacement of the agent at this moment: the records of the agent count as lost, and keys that
// were provably created later can run. If an incarnation connects again, it is asked for its records as before. The
// returned roster informs the other entries. The error is ErrAgentLinked or ErrAgentUnknown.
func (t *Table) DeclareAgentGone(now time.Time, id string) (Actions, error) {
	t.roster.expire(now)
	var open []*agentInfo
	for _, a := range t.roster.byID[id] {
		switch {
		case a.lost():
		case a.hasLink():
			return Actions{}, eris.Wrap(ErrAgentLinked, id)
		default:
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		return Actions{}, eris.Wrap(ErrAgentUnknown, id)
	}
	for _, a := range open {
		t.roster.markLost(a, now)
	}
	t.round.statusOutdated = true
	return Actions{Roster: &wire.AgentRoster{Agents: t.presencesOf(now, id)}, ResubmitWaiting: true}, nil
}
