package submission

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// AgentRef identifies one incarnation of an agent.
type AgentRef struct {
	ID          string
	Incarnation uint64
}

// agentInfo describes one incarnation of an agent as far as it is known to this entry.
type agentInfo struct {
	ref       AgentRef
	startedAt time.Time
	// connected is true while the agent has a link to this entry. linkedMembers holds the ids of the other members to
	// which it has a link.
	connected     bool
	connectedAt   time.Time
	linkedMembers map[string]struct{}
	lastSeen      time.Time
	// lostAt is the time at which this entry, or the one that reported it, learned that the incarnation had ended; zero
	// before.
	lostAt time.Time
}

func (a *agentInfo) lost() bool { return !a.lostAt.IsZero() }

func (a *agentInfo) hasLink() bool { return a.connected || len(a.linkedMembers) > 0 }

// roster holds the agents that may have started tasks, as seen by this entry or by another one.
type roster struct {
	agents map[AgentRef]*agentInfo
	byID   map[string][]*agentInfo
	// mergedRosters holds the incarnations of the entries whose complete roster was merged into this one.
	mergedRosters  map[uint64]struct{}
	silentTimeout  time.Duration
	recordLifetime time.Duration
}

func (r *roster) init(cfg Config) {
	r.agents = make(map[AgentRef]*agentInfo)
	r.byID = make(map[string][]*agentInfo)
	r.mergedRosters = make(map[uint64]struct{})
	r.silentTimeout = cfg.SilentAgentTimeout
	r.recordLifetime = cfg.Retention + wire.RetentionSlack
}

func (r *roster) markRosterMerged(incarnation uint64) { r.mergedRosters[incarnation] = struct{}{} }

// add returns the agent, adding it if it is new. Incarnations that started before another one of the same agent are
// marked as lost.
func (r *roster) add(now time.Time, ref AgentRef, startedAt time.Time) (a *agentInfo, isNew bool) {
	if a := r.agents[ref]; a != nil {
		return a, false
	}
	a = &agentInfo{ref: ref, startedAt: startedAt, linkedMembers: make(map[string]struct{}), lastSeen: now}
	r.agents[ref] = a
	incarnations := append(r.byID[ref.ID], a)
	r.byID[ref.ID] = incarnations
	for _, incarnation := range incarnations {
		if r.superseded(incarnation) {
			r.markLost(incarnation, now)
		}
	}
	return a, true
}

func (r *roster) markLost(a *agentInfo, at time.Time) {
	if a.lost() {
		return
	}
	a.lostAt = at
	a.connected = false
	clear(a.linkedMembers)
}

// superseded reports whether a later incarnation of the same agent is known.
func (r *roster) superseded(a *agentInfo) bool {
	return slices.ContainsFunc(r.byID[a.ref.ID], func(other *agentInfo) bool { return other.startedAt.After(a.startedAt) })
}

// expire removes agents that are no longer relevant: lost ones after recordLifetime, silent ones after silentTimeout.
func (r *roster) expire(now time.Time) {
	for ref, a := range r.agents {
		lostLongAgo := a.lost() && now.Sub(a.lostAt) >= r.recordLifetime
		silentTooLong := !a.lost() && !a.hasLink() && now.Sub(a.lastSeen) >= r.silentTimeout
		if lostLongAgo || silentTooLong {
			r.remove(ref, a)
		}
	}
}

func (r *roster) remove(ref AgentRef, a *agentInfo) {
	delete(r.agents, ref)
	kept := slices.DeleteFunc(r.byID[ref.ID], func(other *agentInfo) bool { return other == a })
	if len(kept) == 0 {
		delete(r.byID, ref.ID)
		return
	}
	r.byID[ref.ID] = kept
}

// unlinkMember removes the links between agents and a member.
func (r *roster) unlinkMember(id string, now time.Time) {
	for _, a := range r.agents {
		if _, ok := a.linkedMembers[id]; ok {
			delete(a.linkedMembers, id)
			a.lastSeen = now
		}
	}
}

// presence returns the state of the agent as it is reported to other entries.
func (a *agentInfo) presence(now time.Time) wire.AgentPresence {
	p := wire.AgentPresence{ID: a.ref.ID, Incarnation: a.ref.Incarnation, StartedAt: a.startedAt}
	switch {
	case a.lost():
		p.Gone = true
		p.SilentMillis = silentMillis(now.Sub(a.lostAt))
	case !a.connected && len(a.linkedMembers) > 0:
		p.SilentMillis = 1
	case !a.connected:
		p.SilentMillis = silentMillis(now.Sub(a.lastSeen))
	}
	return p
}

// silentMillis converts a duration to milliseconds. The result is at least 1, because 0 means connected.
func silentMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 1), math.MaxUint32))
}

// mergePresence merges what another entry reported about an agent. It returns true if the change is relevant for
// recovery.
func (r *roster) mergePresence(now time.Time, from string, p wire.AgentPresence) bool {
	silence := time.Duration(p.SilentMillis) * time.Millisecond
	if (p.Gone && silence >= r.recordLifetime) || silence >= r.silentTimeout {
		return false
	}
	a, isNew := r.add(now, AgentRef{p.ID, p.Incarnation}, p.StartedAt)
	seen := now.Add(-silence)
	switch {
	case p.Gone && !a.lost():
		r.markLost(a, seen)
		return true
	case a.lost():
		return isNew
	case silence == 0:
		a.linkedMembers[from] = struct{}{}
		a.lastSeen = now
	default:
		delete(a.linkedMembers, from)
		if isNew || seen.After(a.lastSeen) {
			a.lastSeen = seen
		}
	}
	return isNew
}
