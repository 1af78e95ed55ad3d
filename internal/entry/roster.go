package entry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// rosterInterval is the shortest time between two messages that announce connected and lost agents to the other entries. A
// message for each agent and peer would cost 146 bytes, of which 104 are TCP and IP headers. When hundreds of agents
// reconnect, the changes of one interval share a message, and a welcome waits for it by at most this time.
const rosterInterval = 100 * time.Millisecond

// rosterBatch collects the changes of the agents that have not been sent to the other entries.
type rosterBatch struct {
	agents []wire.AgentPresence
	// afterSend are called after the message was sent.
	afterSend []func()
	sentAt    time.Time
}

// queueRosterUpdate announces changes of the agents to the other entries: at once, or, within rosterInterval of the last
// message, together with the other changes of that interval.
func (c *control) queueRosterUpdate(m *wire.AgentRoster) {
	if !c.hasConnectedPeer() {
		return // a new link to another entry starts with the full roster
	}
	b := &c.rosterBatch
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

// runAfterRosterSent calls f when all changes of the agents known now have been sent to the other entries.
func (c *control) runAfterRosterSent(f func()) {
	if len(c.rosterBatch.agents) == 0 {
		f()
		return
	}
	c.rosterBatch.afterSend = append(c.rosterBatch.afterSend, f)
}

// flushRoster sends the collected changes and calls the functions that wait for it.
func (c *control) flushRoster() {
	b := c.rosterBatch
	c.rosterBatch = rosterBatch{sentAt: c.now}
	if len(b.agents) > 0 {
		c.broadcast(&wire.AgentRoster{Agents: b.agents})
	}
	for _, f := range b.afterSend {
		f()
	}
}

func (c *control) hasConnectedPeer() bool {
	for _, p := range c.peers {
		if p.link != nil {
			return true
		}
	}
	return false
}
