package submission

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// entriesToRecover returns the departed entries whose keys are recovered from the agents: those that were expelled, and
// those that departed cleanly before the last expulsion, because the expelled entry may have received their answers.
func (t *Table) entriesToRecover() []wire.Departed {
	if t.effectiveList == nil {
		return nil
	}
	var lastExpulsion uint64
	for _, d := range t.effectiveList.Departed {
		if !d.Clean {
			lastExpulsion = max(lastExpulsion, d.AtVersion)
		}
	}
	var all []wire.Departed
	for _, d := range t.effectiveList.Departed {
		if d.AtVersion <= lastExpulsion {
			all = append(all, d)
		}
	}
	return all
}

// entryToRecover returns the departed entry with this incarnation if its keys are recovered.
func (t *Table) entryToRecover(incarnation uint64) (d wire.Departed, ok bool) {
	all := t.entriesToRecover()
	i := slices.IndexFunc(all, func(d wire.Departed) bool { return d.Incarnation == incarnation })
	if i < 0 {
		return wire.Departed{}, false
	}
	return all[i], true
}

// collectRequests returns the requests to every connected agent that has not answered or whose answer listed open tasks.
func (t *Table) collectRequests(now time.Time) []CollectRequest {
	t.roster.expire(now)
	var all []CollectRequest
	for _, a := range t.roster.agents {
		if a.connected {
			all = append(all, t.collectRequestsFor(a)...)
		}
	}
	return all
}

func (t *Table) collectRequestsFor(a *agentInfo) []CollectRequest {
	if !t.isActive() {
		return nil
	}
	var all []CollectRequest
	for _, d := range t.entriesToRecover() {
		source := recordSource{a.ref, d.Incarnation}
		_, answered := t.round.answeredSources[source]
		if !answered || len(t.recovered.openBySource[source]) > 0 {
			all = append(all, t.collectRequest(a.ref, d))
		}
	}
	return all
}

func (t *Table) collectRequest(ref AgentRef, d wire.Departed) CollectRequest {
	return CollectRequest{Agent: ref, Message: &wire.Collect{
		List: t.receivedList, Expelled: d.ID, ExpelledIncarnation: d.Incarnation, Round: t.round.number,
	}}
}

func (t *Table) pendingMembers() []wire.Member {
	var all []wire.Member
	for ref := range t.round.pendingMembers {
		if m, ok := placement.Find(t.effectiveList, ref.id, ref.incarnation); ok {
			all = append(all, m)
		}
	}
	return all
}

func (t *Table) pendingAgents(now time.Time) int {
	if t.effectiveList == nil || !t.isActive() {
		return 0
	}
	return t.recoveryStatus(now).pendingAgents
}

// scheduleCollect schedules another request to an agent. If its link is lost in the meantime, AgentConnected returns the
// request.
func (t *Table) scheduleCollect(now time.Time, source recordSource) {
	if slices.ContainsFunc(t.round.scheduledCollects, func(r scheduledCollect) bool { return r.source == source }) {
		return
	}
	t.round.scheduledCollects = append(t.round.scheduledCollects, scheduledCollect{source, now.Add(collectRetryInterval)})
}

// Tick returns the requests that are due. Call it at the time that NextTick returns, or about once per second.
func (t *Table) Tick(now time.Time) Actions {
	t.expire(now)
	t.finishRecoveryIfComplete(now)
	var actions Actions
	for len(t.round.scheduledCollects) > 0 && !t.round.scheduledCollects[0].dueAt.After(now) {
		source := t.round.scheduledCollects[0].source
		t.round.scheduledCollects = t.round.scheduledCollects[1:]
		a := t.roster.agents[source.agent]
		d, ok := t.entryToRecover(source.departed)
		if ok && a != nil && a.connected {
			actions.CollectRequests = append(actions.CollectRequests, t.collectRequest(source.agent, d))
		}
	}
	return actions
}

// NextTick returns the time at which Tick has to be called next; zero if no call is needed.
func (t *Table) NextTick() time.Time {
	if len(t.round.scheduledCollects) == 0 {
		return time.Time{}
	}
	return t.round.scheduledCollects[0].dueAt
}
