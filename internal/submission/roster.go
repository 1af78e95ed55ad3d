package submission

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// AgentRef identifies one run of an agent.
type AgentRef struct {
	ID          string
	Incarnation uint64
}

// agentInfo is what this entry knows about one run of an agent.
type agentInfo struct {
	ref       AgentRef
	startedAt time.Time
	// connected is set while the agent has a link to this entry; via lists the members that have one.
	connected   bool
	connectedAt time.Time
	via         map[string]struct{}
	lastSeen    time.Time
	// lostAt is when this entry, or the one that told it, learned that the run is over; zero before.
	lostAt time.Time
}

func (a *agentInfo) lost() bool { return !a.lostAt.IsZero() }

func (a *agentInfo) linked() bool { return a.connected || len(a.via) > 0 }

// roster lists the agents that may have started tasks: seen by this entry or by another one.
type roster struct {
	agents map[AgentRef]*agentInfo
	byID   map[string][]*agentInfo
	// heard has the incarnations of the entries whose agents are all in this roster.
	heard  map[uint64]struct{}
	memory time.Duration
	window time.Duration
}

func (r *roster) init(cfg Config) {
	r.agents = make(map[AgentRef]*agentInfo)
	r.byID = make(map[string][]*agentInfo)
	r.heard = make(map[uint64]struct{})
	r.memory = cfg.AgentMemory
	r.window = cfg.Retention + wire.RetentionSlack
}

func (r *roster) hear(incarnation uint64) { r.heard[incarnation] = struct{}{} }

// add returns the agent and settles which runs of it are over: those that started before another one.
func (r *roster) add(now time.Time, ref AgentRef, startedAt time.Time) (a *agentInfo, isNew bool) {
	if a := r.agents[ref]; a != nil {
		return a, false
	}
	a = &agentInfo{ref: ref, startedAt: startedAt, via: make(map[string]struct{}), lastSeen: now}
	r.agents[ref] = a
	runs := append(r.byID[ref.ID], a)
	r.byID[ref.ID] = runs
	for _, run := range runs {
		if r.superseded(run) {
			r.lose(run, now)
		}
	}
	return a, true
}

func (r *roster) lose(a *agentInfo, at time.Time) {
	if a.lost() {
		return
	}
	a.lostAt = at
	a.connected = false
	clear(a.via)
}

// superseded tells whether a later run of the same agent is known.
func (r *roster) superseded(a *agentInfo) bool {
	return slices.ContainsFunc(r.byID[a.ref.ID], func(run *agentInfo) bool { return run.startedAt.After(a.startedAt) })
}

// expire forgets agents that no longer matter: lost ones after the window, silent ones after the memory.
func (r *roster) expire(now time.Time) {
	for ref, a := range r.agents {
		over := a.lost() && now.Sub(a.lostAt) >= r.window
		silent := !a.lost() && !a.linked() && now.Sub(a.lastSeen) >= r.memory
		if over || silent {
			r.forget(ref, a)
		}
	}
}

func (r *roster) forget(ref AgentRef, a *agentInfo) {
	delete(r.agents, ref)
	kept := slices.DeleteFunc(r.byID[ref.ID], func(run *agentInfo) bool { return run == a })
	if len(kept) == 0 {
		delete(r.byID, ref.ID)
		return
	}
	r.byID[ref.ID] = kept
}

// memberLeft forgets which agents are linked to a member.
func (r *roster) memberLeft(id string, now time.Time) {
	for _, a := range r.agents {
		if _, ok := a.via[id]; ok {
			delete(a.via, id)
			a.lastSeen = now
		}
	}
}

// presence is the agent as this entry tells others.
func (a *agentInfo) presence(now time.Time) wire.AgentPresence {
	p := wire.AgentPresence{ID: a.ref.ID, Incarnation: a.ref.Incarnation, StartedAt: a.startedAt}
	switch {
	case a.lost():
		p.Gone = true
		p.SilentMillis = millis(now.Sub(a.lostAt))
	case !a.connected && len(a.via) > 0:
		p.SilentMillis = 1
	case !a.connected:
		p.SilentMillis = millis(now.Sub(a.lastSeen))
	}
	return p
}

// millis rounds up to at least 1, because 0 stands for connected.
func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 1), math.MaxUint32))
}

// learn takes over what another entry tells about an agent. It reports whether anything changed that matters for
// recovery.
func (r *roster) learn(now time.Time, from string, p wire.AgentPresence) bool {
	silent := time.Duration(p.SilentMillis) * time.Millisecond
	if (p.Gone && silent >= r.window) || silent >= r.memory {
		return false
	}
	a, isNew := r.add(now, AgentRef{p.ID, p.Incarnation}, p.StartedAt)
	seen := now.Add(-silent)
	switch {
	case p.Gone && !a.lost():
		r.lose(a, seen)
		return true
	case a.lost():
		return isNew
	case silent == 0:
		a.via[from] = struct{}{}
		a.lastSeen = now
	default:
		delete(a.via, from)
		if isNew || seen.After(a.lastSeen) {
			a.lastSeen = seen
		}
	}
	return isNew
}
