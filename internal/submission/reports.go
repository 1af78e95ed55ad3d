package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// reporter is a run of an agent as the source of the records of one departed entry.
type reporter struct {
	agent    AgentRef
	departed uint64
}

// openTask is a task that a reporter listed as queued or running.
type openTask struct {
	key  wire.KeyHash
	task uint16
}

// report is an answer to Collect that arrives in parts.
type report struct {
	answer   uint64
	nextPart uint16
	// listed are the open tasks in the parts so far.
	listed map[openTask]struct{}
}

// RecordsReceived takes over records of a departed entry. A task that the same run of the agent listed as queued or
// running before, and that a whole answer does not list any more, was refused there and does not count any more.
func (t *Table) RecordsReceived(now time.Time, from AgentRef, m *wire.Records) Actions {
	t.expire(now)
	if _, ok := t.recoveredEntry(m.ExpelledIncarnation); !ok || !t.current(m.ListVersion, m.Round) {
		return Actions{}
	}
	source := reporter{from, m.ExpelledIncarnation}
	r := t.round.continueReport(source, m)
	for i := range m.Keys {
		t.mergeKey(now, source, &m.Keys[i], r)
	}
	if !m.Last || r == nil {
		return Actions{}
	}
	t.endReport(now, source, r, m.Expired)
	t.round.dirty = true
	t.settle(now)
	return Actions{Recheck: true}
}

// continueReport returns the answer that a part belongs to. It returns nil if an earlier part of it is missing, or if
// another answer began since, which is then the one that counts.
func (r *round) continueReport(source reporter, m *wire.Records) *report {
	current := r.reports[source]
	if m.Part == 0 {
		current = &report{answer: m.Answer, listed: make(map[openTask]struct{})}
		r.reports[source] = current
	}
	if current == nil || current.answer != m.Answer || current.nextPart != m.Part {
		return nil
	}
	current.nextPart++
	return current
}

// endReport concludes from a whole answer. While the agent has open tasks it is asked again.
func (t *Table) endReport(now time.Time, source reporter, r *report, expired bool) {
	t.round.answered[source] = struct{}{}
	delete(t.round.reports, source)
	if len(r.listed) > 0 {
		t.reaskLater(now, source)
	}
	if !expired {
		t.withdrawUnlisted(source, r.listed)
	}
}

// withdrawUnlisted drops the open tasks of a reporter that its whole answer does not list. The agent lists only keys
// that belong to this entry. Since the search began, this entry can only have lost keys, so the answer covers every key
// that still belongs to it.
func (t *Table) withdrawUnlisted(source reporter, listed map[openTask]struct{}) {
	self, ok := placement.Find(t.list, t.self.ID, t.self.Incarnation)
	if !ok || self.State != wire.MemberActive {
		return
	}
	for task := range t.recovered.open[source] {
		if _, ok := listed[task]; !ok && placement.MayBeHome(t.list, self, task.key) {
			t.recovered.withdraw(source, task)
		}
	}
}
