package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxStatusAge is how long a status is reused while no event arrives. During that time the status changes only because
// time passes, which can only reduce the number of refusals.
const maxStatusAge = time.Second

// recoveryStatus summarizes which answers are missing.
type recoveryStatus struct {
	computedAt time.Time
	// pendingAgents counts agents that may still run tasks of an expelled entry; waitUntil bounds the wait for them.
	pendingAgents int
	waitUntil     time.Time
	// silentSince is the earliest time since which one of them has been silent.
	silentSince time.Time
	// recordsLostAt is the latest time at which relevant records were lost; zero if there are none. Until
	// lostRecordsExpireAt a key that may have been in those records must not run.
	recordsLostAt       time.Time
	lostRecordsExpireAt time.Time
}

func (t *Table) recoveryStatus(now time.Time) recoveryStatus {
	if !t.round.statusOutdated && now.Sub(t.round.lastStatus.computedAt) < maxStatusAge {
		return t.round.lastStatus
	}
	t.roster.expire(now)
	status := recoveryStatus{computedAt: now}
	for _, d := range t.entriesToRecover() {
		t.addDepartedEntry(now, d, &status)
	}
	t.round.lastStatus = status
	t.round.statusOutdated = false
	return status
}

// addDepartedEntry adds what is missing about one departed entry.
func (t *Table) addDepartedEntry(now time.Time, d wire.Departed, status *recoveryStatus) {
	if _, merged := t.roster.mergedRosters[d.Incarnation]; !merged {
		status.addLostRecords(now, t.round.departedSeenAt[d.Incarnation], t.roster.recordLifetime)
	}
	for ref, a := range t.roster.agents {
		if _, ok := t.round.answeredSources[recordSource{ref, d.Incarnation}]; ok {
			continue
		}
		if a.lost() {
			status.addLostRecords(now, a.lostAt, t.roster.recordLifetime)
			continue
		}
		status.addPendingAgent(t.askedAt(a), t.silentSince(a), t.cfg.CollectGrace)
	}
}

// askedAt returns when an agent was first asked in this round, or when the round began if the agent has no link.
func (t *Table) askedAt(a *agentInfo) time.Time {
	if a.connected && a.connectedAt.After(t.round.startedAt) {
		return a.connectedAt
	}
	return t.round.startedAt
}

// silentSince returns the time since which an agent could have answered but has not. For an agent without a link to any
// entry this is the time of its last contact, which can be before the round.
func (t *Table) silentSince(a *agentInfo) time.Time {
	if !a.hasLink() {
		return a.lastSeen
	}
	return t.askedAt(a)
}

func (s *recoveryStatus) addPendingAgent(askedAt, silentSince time.Time, grace time.Duration) {
	s.pendingAgents++
	if until := askedAt.Add(grace); until.After(s.waitUntil) {
		s.waitUntil = until
	}
	if s.silentSince.IsZero() || silentSince.Before(s.silentSince) {
		s.silentSince = silentSince
	}
}

func (s *recoveryStatus) addLostRecords(now, lostAt time.Time, lifetime time.Duration) {
	end := lostAt.Add(lifetime)
	if !now.Before(end) {
		return
	}
	if lostAt.After(s.recordsLostAt) {
		s.recordsLostAt = lostAt
	}
	if end.After(s.lostRecordsExpireAt) {
		s.lostRecordsExpireAt = end
	}
}
