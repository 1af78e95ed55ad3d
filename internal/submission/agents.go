package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// AgentConnected records a link from an agent. Call it before Welcome is sent. The returned roster informs the other
// entries, so that they know the agent if this entry is lost.
func (t *Table) AgentConnected(now time.Time, ref AgentRef, startedAt time.Time) Actions {
	a, _ := t.roster.add(now, ref, startedAt)
	if a.lost() && t.roster.superseded(a) {
		return Actions{}
	}
	a.lostAt = time.Time{}
	a.connected = true
	a.connectedAt = now
	a.lastSeen = now
	t.round.statusOutdated = true
	return Actions{
		Roster:          &wire.AgentRoster{Agents: t.presencesOf(now, ref.ID)},
		CollectRequests: t.collectRequestsFor(a),
		ResubmitWaiting: true,
	}
}

// AgentAttached returns the requests to an agent whose new link is now in use. The requests that AgentConnected returned
// could not be sent on that link, because it is not in use before Welcome.
func (t *Table) AgentAttached(ref AgentRef) Actions {
	a := t.roster.agents[ref]
	if a == nil || !a.connected {
		return Actions{}
	}
	return Actions{CollectRequests: t.collectRequestsFor(a)}
}

// AgentDisconnected records that the link of an agent was closed without an announcement that the agent is leaving.
func (t *Table) AgentDisconnected(now time.Time, ref AgentRef) Actions {
	a := t.roster.agents[ref]
	if a == nil || !a.connected {
		return Actions{}
	}
	a.connected = false
	a.lastSeen = now
	return Actions{Roster: &wire.AgentRoster{Agents: []wire.AgentPresence{a.presence(now)}}}
}

// AgentGone records that an agent ended after a graceful shutdown: it runs nothing and its records are lost.
func (t *Table) AgentGone(now time.Time, ref AgentRef) Actions {
	a := t.roster.agents[ref]
	if a == nil || a.lost() {
		return Actions{}
	}
	t.roster.markLost(a, now)
	t.round.statusOutdated = true
	return Actions{Roster: &wire.AgentRoster{Agents: []wire.AgentPresence{a.presence(now)}}, ResubmitWaiting: true}
}

// RosterReceived merges the roster of another entry.
func (t *Table) RosterReceived(now time.Time, from wire.Member, m *wire.AgentRoster) Actions {
	changed := false
	if m.Full {
		t.roster.unlinkMember(from.ID, now)
	}
	for _, p := range m.Agents {
		if t.roster.mergePresence(now, from.ID, p) {
			changed = true
		}
	}
	if m.Full {
		t.roster.markRosterMerged(from.Incarnation)
		for _, incarnation := range m.IncludedRosters {
			t.roster.markRosterMerged(incarnation)
		}
	}
	if changed || m.Full {
		t.round.statusOutdated = true
	}
	return Actions{ResubmitWaiting: changed || m.Full}
}

// FullRoster returns the roster to send to another entry on a new link.
func (t *Table) FullRoster(now time.Time) *wire.AgentRoster {
	t.roster.expire(now)
	m := &wire.AgentRoster{Full: true, IncludedRosters: make([]uint64, 0, len(t.roster.mergedRosters))}
	for _, a := range t.roster.agents {
		m.Agents = append(m.Agents, a.presence(now))
	}
	for incarnation := range t.roster.mergedRosters {
		m.IncludedRosters = append(m.IncludedRosters, incarnation)
	}
	return m
}

// presencesOf returns the presence of every known incarnation of an agent.
func (t *Table) presencesOf(now time.Time, id string) []wire.AgentPresence {
	var all []wire.AgentPresence
	for _, a := range t.roster.byID[id] {
		all = append(all, a.presence(now))
	}
	return all
}
