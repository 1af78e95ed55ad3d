package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// verdictAge is how long a verdict is used while no event arrives. Only the passing of time changes it then, and
// only towards fewer refusals.
const verdictAge = time.Second

// verdict summarises what is missing.
type verdict struct {
	at time.Time
	// agents counts agents that may still run work for an expelled entry; waitUntil bounds the wait for them.
	agents    int
	waitUntil time.Time
	// silentSince is the time since which one of them has been silent, the earliest of all.
	silentSince time.Time
	// horizon is the latest time at which records were lost; zero if none matter. Until horizonEnd a key that could
	// have been among them may not be run.
	horizon    time.Time
	horizonEnd time.Time
}

func (t *Table) verdict(now time.Time) verdict {
	if !t.round.dirty && now.Sub(t.round.last.at) < verdictAge {
		return t.round.last
	}
	t.roster.expire(now)
	v := verdict{at: now}
	for _, d := range t.recoveredEntries() {
		t.judge(now, d, &v)
	}
	t.round.last = v
	t.round.dirty = false
	return v
}

// judge adds what is missing about one expelled entry.
func (t *Table) judge(now time.Time, d wire.Departed, v *verdict) {
	if _, heard := t.roster.heard[d.Incarnation]; !heard {
		v.lose(now, t.round.blind[d.Incarnation], t.roster.window)
	}
	for ref, a := range t.roster.agents {
		if _, ok := t.round.answered[reporter{ref, d.Incarnation}]; ok {
			continue
		}
		if a.lost() {
			v.lose(now, a.lostAt, t.roster.window)
			continue
		}
		v.await(t.askedAt(a), t.silentSince(a), t.cfg.CollectGrace)
	}
}

// askedAt is when an agent was asked first in this round, or when the round began if the agent has no link.
func (t *Table) askedAt(a *agentInfo) time.Time {
	if a.connected && a.connectedAt.After(t.round.started) {
		return a.connectedAt
	}
	return t.round.started
}

// silentSince is the time since which an agent could have answered and has not. An agent without a link to any entry
// has been silent since before the round.
func (t *Table) silentSince(a *agentInfo) time.Time {
	if !a.linked() {
		return a.lastSeen
	}
	return t.askedAt(a)
}

func (v *verdict) await(asked, silentSince time.Time, grace time.Duration) {
	v.agents++
	if until := asked.Add(grace); until.After(v.waitUntil) {
		v.waitUntil = until
	}
	if v.silentSince.IsZero() || silentSince.Before(v.silentSince) {
		v.silentSince = silentSince
	}
}

func (v *verdict) lose(now, at time.Time, window time.Duration) {
	end := at.Add(window)
	if !now.Before(end) {
		return
	}
	if at.After(v.horizon) {
		v.horizon = at
	}
	if end.After(v.horizonEnd) {
		v.horizonEnd = end
	}
}
