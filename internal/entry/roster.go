package entry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// rosterInterval is the shortest time between two messages that tell the other entries which agents came and went. A
// message of its own for each agent and peer costs 146 bytes, of which 104 are headers of TCP and IP. When hundreds of
// agents reconnect, those of one interval share a message, and a welcome waits for it by at most this time.
const rosterInterval = 100 * time.Millisecond

// rosterBatch collects the presences that the other entries have not been told.
type rosterBatch struct {
	agents []wire.AgentPresence
	// then are called after the message was sent.
	then   []func()
	sentAt time.Time
}

// tellRoster tells the other entries about agents: at once, or together with others if it told them a moment ago.
func (c *control) tellRoster(m *wire.AgentRoster) {
	if !c.hasPeer() {
		return // a new link to another entry begins with the full roster
	}
	b := &c.roster
	pending := len(b.agents) > 0
	b.agents = append(b.agents, m.Agents...)
	due := b.sentAt.Add(rosterInterval)
	switch {
	case pending:
	case c.now.Before(due):
		c.timers.add(due, func(time.Time) { c.flushRoster() })
	default:
		c.flushRoster()
	}
}

// afterRoster calls f when the other entries have been told all that this one knows about its agents.
func (c *control) afterRoster(f func()) {
	if len(c.roster.agents) == 0 {
		f()
		return
	}
	c.roster.then = append(c.roster.then, f)
}

func (c *control) flushRoster() {
	b := c.roster
	c.roster = rosterBatch{sentAt: c.now}
	if len(b.agents) > 0 {
		c.broadcast(&wire.AgentRoster{Agents: b.agents})
	}
	for _, f := range b.then {
		f()
	}
}

func (c *control) hasPeer() bool {
	for _, p := range c.peers {
		if p.link != nil {
			return true
		}
	}
	return false
}
