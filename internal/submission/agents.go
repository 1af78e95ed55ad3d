package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// AgentConnected notes a link from an agent. Call it before Welcome is sent. The returned roster tells the other
// entries, so that the agent is known to them if this entry is lost.
func (t *Table) AgentConnected(now time.Time, ref AgentRef, startedAt time.Time) Actions {
	a, _ := t.roster.add(now, ref, startedAt)
	if a.lost() && t.roster.superseded(a) {
		return Actions{}
	}
	a.lostAt = time.Time{}
	a.connected = true
	a.connectedAt = now
	a.lastSeen = now
	t.round.dirty = true
	return Actions{
		Roster:  &wire.AgentRoster{Agents: t.runsOf(now, ref.ID)},
		Collect: t.collectFrom(a),
		Recheck: true,
	}
}

// AgentAttached returns the questions to an agent whose new link is now in use. Those that AgentConnected returned could
// not be sent on it, because it was not in use before Welcome.
func (t *Table) AgentAttached(ref AgentRef) Actions {
	a := t.roster.agents[ref]
	if a == nil || !a.connected {
		return Actions{}
	}
	return Actions{Collect: t.collectFrom(a)}
}

// AgentDisconnected notes that the link of an agent is gone and that the agent did not say that it is leaving.
func (t *Table) AgentDisconnected(now time.Time, ref AgentRef) Actions {
	a := t.roster.agents[ref]
	if a == nil || !a.connected {
		return Actions{}
	}
	a.connected = false
	a.lastSeen = now
	return Actions{Roster: &wire.AgentRoster{Agents: []wire.AgentPresence{a.presence(now)}}}
}

// AgentGone notes that an agent ended after a graceful shutdown: it runs nothing and its records are lost.
func (t *Table) AgentGone(now time.Time, ref AgentRef) Actions {
	a := t.roster.agents[ref]
	if a == nil || a.lost() {
		return Actions{}
	}
	t.roster.lose(a, now)
	t.round.dirty = true
	return Actions{Roster: &wire.AgentRoster{Agents: []wire.AgentPresence{a.presence(now)}}, Recheck: true}
}

// RosterReceived takes over the roster of another entry.
func (t *Table) RosterReceived(now time.Time, from wire.Member, m *wire.AgentRoster) Actions {
	changed := false
	if m.Full {
		t.roster.memberLeft(from.ID, now)
	}
	for _, p := range m.Agents {
		if t.roster.learn(now, from.ID, p) {
			changed = true
		}
	}
	if m.Full {
		t.roster.hear(from.Incarnation)
		for _, incarnation := range m.Heard {
			t.roster.hear(incarnation)
		}
	}
	if changed || m.Full {
		t.round.dirty = true
	}
	return Actions{Recheck: changed || m.Full}
}

// FullRoster returns the roster to send to another entry on a new link.
func (t *Table) FullRoster(now time.Time) *wire.AgentRoster {
	t.roster.expire(now)
	m := &wire.AgentRoster{Full: true, Heard: make([]uint64, 0, len(t.roster.heard))}
	for _, a := range t.roster.agents {
		m.Agents = append(m.Agents, a.presence(now))
	}
	for incarnation := range t.roster.heard {
		m.Heard = append(m.Heard, incarnation)
	}
	return m
}

// runsOf returns the presence of every known run of an agent.
func (t *Table) runsOf(now time.Time, id string) []wire.AgentPresence {
	var all []wire.AgentPresence
	for _, a := range t.roster.byID[id] {
		all = append(all, a.presence(now))
	}
	return all
}
