package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// recordSource is one incarnation of an agent as the source of records about one departed entry.
type recordSource struct {
	agent    AgentRef
	departed uint64
}

// openTask is a task that an agent listed as queued or running.
type openTask struct {
	key  wire.KeyHash
	task uint16
}

// report is an answer to Collect that arrives in parts.
type report struct {
	answerNumber uint64
	nextPart     uint16
	// openTasks are the open tasks in the parts received so far.
	openTasks map[openTask]struct{}
}

// RecordsReceived merges an agent's records about a departed entry. A task that the same incarnation of the agent listed
// earlier as queued or running, and that a later complete answer does not list, was refused by the agent and is removed.
func (t *Table) RecordsReceived(now time.Time, from AgentRef, m *wire.Records) Actions {
	t.expire(now)
	if _, ok := t.entryToRecover(m.ExpelledIncarnation); !ok || !t.isCurrentAnswer(m.ListVersion, m.Round) {
		return Actions{}
	}
	source := recordSource{from, m.ExpelledIncarnation}
	r := t.round.acceptPart(source, m)
	for i := range m.Keys {
		t.mergeKey(now, source, &m.Keys[i], r)
	}
	if !m.Last || r == nil {
		return Actions{}
	}
	t.finishReport(now, source, r, m.Incomplete)
	t.round.statusOutdated = true
	t.finishRecoveryIfComplete(now)
	return Actions{ResubmitWaiting: true}
}

// acceptPart returns the report to which a part belongs. It returns nil if an earlier part is missing, or if a newer
// answer has begun and replaced the report.
func (r *recoveryRound) acceptPart(source recordSource, m *wire.Records) *report {
	current := r.reports[source]
	if m.Part == 0 {
		current = &report{answerNumber: m.Answer, openTasks: make(map[openTask]struct{})}
		r.reports[source] = current
	}
	if current == nil || current.answerNumber != m.Answer || current.nextPart != m.Part {
		return nil
	}
	current.nextPart++
	return current
}

// finishReport evaluates a complete answer. While the agent has open tasks it is asked again.
func (t *Table) finishReport(now time.Time, source recordSource, r *report, incomplete bool) {
	t.round.answeredSources[source] = struct{}{}
	delete(t.round.reports, source)
	if len(r.openTasks) > 0 {
		t.scheduleCollect(now, source)
	}
	if !incomplete {
		t.withdrawUnlisted(source, r.openTasks)
	}
}

// withdrawUnlisted removes the open tasks of a source that its complete answer does not list. The agent lists only keys
// that belong to this entry. Since the round began, this entry can only have lost keys, so the answer covers every key
// that still belongs to it.
func (t *Table) withdrawUnlisted(source recordSource, listed map[openTask]struct{}) {
	self, ok := placement.Find(t.effectiveList, t.self.ID, t.self.Incarnation)
	if !ok || self.State != wire.MemberActive {
		return
	}
	for task := range t.recovered.openBySource[source] {
		if _, ok := listed[task]; !ok && placement.MayBeHome(t.effectiveList, self, task.key) {
			t.recovered.withdraw(source, task)
		}
	}
}
