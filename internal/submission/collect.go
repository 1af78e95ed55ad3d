package submission

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// recoveredEntries returns the departed entries whose keys are recovered from the agents: those that were expelled, and
// those that left clean before the last expulsion, because the expelled entry may have been the one that took their
// answers.
func (t *Table) recoveredEntries() []wire.Departed {
	if t.list == nil {
		return nil
	}
	var last uint64
	for _, d := range t.list.Departed {
		if !d.Clean {
			last = max(last, d.AtVersion)
		}
	}
	var all []wire.Departed
	for _, d := range t.list.Departed {
		if d.AtVersion <= last {
			all = append(all, d)
		}
	}
	return all
}

// recoveredEntry returns the departed entry of an incarnation if its keys are recovered.
func (t *Table) recoveredEntry(incarnation uint64) (d wire.Departed, ok bool) {
	all := t.recoveredEntries()
	i := slices.IndexFunc(all, func(d wire.Departed) bool { return d.Incarnation == incarnation })
	if i < 0 {
		return wire.Departed{}, false
	}
	return all[i], true
}

// collectAll returns the questions to every agent with a link that has not answered, or whose answer listed open tasks.
func (t *Table) collectAll(now time.Time) []CollectFrom {
	t.roster.expire(now)
	var all []CollectFrom
	for _, a := range t.roster.agents {
		if a.connected {
			all = append(all, t.collectFrom(a)...)
		}
	}
	return all
}

func (t *Table) collectFrom(a *agentInfo) []CollectFrom {
	if !t.isActive() {
		return nil
	}
	var all []CollectFrom
	for _, d := range t.recoveredEntries() {
		source := reporter{a.ref, d.Incarnation}
		_, answered := t.round.answered[source]
		if !answered || len(t.recovered.open[source]) > 0 {
			all = append(all, t.question(a.ref, d))
		}
	}
	return all
}

func (t *Table) question(ref AgentRef, d wire.Departed) CollectFrom {
	return CollectFrom{Agent: ref, Message: &wire.Collect{
		List: t.received, Expelled: d.ID, ExpelledIncarnation: d.Incarnation, Round: t.round.number,
	}}
}

func (t *Table) pendingMembers() []wire.Member {
	var all []wire.Member
	for ref := range t.round.members {
		if m, ok := placement.Find(t.list, ref.id, ref.incarnation); ok {
			all = append(all, m)
		}
	}
	return all
}

func (t *Table) pendingAgents(now time.Time) int {
	if t.list == nil || !t.isActive() {
		return 0
	}
	return t.verdict(now).agents
}

// reaskLater plans another question to an agent. If its link is lost meanwhile, AgentConnected asks.
func (t *Table) reaskLater(now time.Time, source reporter) {
	if slices.ContainsFunc(t.round.reasks, func(r reask) bool { return r.source == source }) {
		return
	}
	t.round.reasks = append(t.round.reasks, reask{source, now.Add(reaskInterval)})
}

// Tick returns the questions that are due. Call it at the time that Wake returns, or about once a second.
func (t *Table) Tick(now time.Time) Actions {
	t.expire(now)
	t.settle(now)
	var actions Actions
	for len(t.round.reasks) > 0 && !t.round.reasks[0].at.After(now) {
		source := t.round.reasks[0].source
		t.round.reasks = t.round.reasks[1:]
		a := t.roster.agents[source.agent]
		d, ok := t.recoveredEntry(source.departed)
		if ok && a != nil && a.connected {
			actions.Collect = append(actions.Collect, t.question(source.agent, d))
		}
	}
	return actions
}

// Wake returns the time of the next Tick; zero if none is needed.
func (t *Table) Wake() time.Time {
	if len(t.round.reasks) == 0 {
		return time.Time{}
	}
	return t.round.reasks[0].at
}
