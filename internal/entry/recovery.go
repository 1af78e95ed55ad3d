package entry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// perform carries out what the table asks for after an event.
func (c *control) perform(a table.Actions) {
	if a.Adopted {
		c.listAdopted()
	}
	if a.Expelled && !c.stopping {
		c.expelled()
	}
	for _, m := range a.Inherit {
		c.sendInherit(m)
	}
	c.collect(a.Collect)
	if a.Roster != nil {
		c.tellRoster(a.Roster)
	}
	if a.Recheck {
		c.recheck()
	}
	c.planTick()
}

func (c *control) sendInherit(m wire.Member) {
	p := c.peers[m.ID]
	if p == nil || p.link == nil || p.incarnation != m.Incarnation {
		return
	}
	_ = p.link.Send(c.table.Inherit())
}

// planTick arranges the next call of the table's Tick.
func (c *control) planTick() {
	wake := c.table.Wake()
	if wake.IsZero() || c.tick != nil && c.tick.index >= 0 && !c.tick.at.After(wake) {
		return
	}
	c.timers.cancel(c.tick)
	c.tick = c.timers.add(wake, func(now time.Time) { c.perform(c.table.Tick(now)) })
}

// adoptList takes a list into use if it is newer than the present one or tells of members that stopped.
func (c *control) adoptList(list *wire.EntryList) {
	if list != nil {
		c.perform(c.table.Adopt(c.now, list))
	}
}

// listAdopted is called when the table has a new list.
func (c *control) listAdopted() {
	c.list = *c.table.List()
	c.entry.versions.list.Store(c.list.Version)
	c.log.WithField("version", c.list.Version).WithField("members", len(c.list.Members)).
		WithField("stopped", len(c.list.Stopped)).
		Info("entry: list of entries changed")
	c.updateDiallers()
	c.updateQuotaPeers()
	c.announceList()
	c.rerouteForwards()
	c.sendHandovers()
}

// announceList sends the list to every connected process. Agents need it at once: they dial a new entry and refuse the
// starts of a removed one, and a link that carries work has no pings that would tell its agent about the version.
func (c *control) announceList() {
	for _, p := range c.peers {
		if p.link != nil {
			c.sendList(p.link)
		}
	}
	for _, s := range c.agents {
		if s.link != nil {
			c.sendList(s.link)
		}
	}
}

// memberOf returns the identity of the entry at the other end of a link.
func memberOf(l *link.Link) wire.Member {
	hello := l.Peer().Hello
	return wire.Member{ID: hello.ID, Incarnation: hello.Incarnation, DataCentre: hello.DataCentre, Region: hello.Region}
}

func (c *control) inheritReceived(l *link.Link, m *wire.Inherit) {
	answer, actions := c.table.InheritReceived(c.now, memberOf(l), m)
	c.perform(actions)
	if answer.Newer != nil {
		_ = l.Send(answer.Newer)
		return
	}
	if answer.Roster != nil {
		_ = l.Send(answer.Roster)
	}
	for _, part := range answer.Parts {
		_ = l.Send(part)
	}
}

func (c *control) inheritedReceived(l *link.Link, m *wire.Inherited) {
	c.perform(c.table.InheritedReceived(c.now, memberOf(l), m))
}

func (c *control) rosterReceived(l *link.Link, m *wire.AgentRoster) {
	c.perform(c.table.RosterReceived(c.now, memberOf(l), m))
}

func (c *control) agentRecords(s *agentSession, m *wire.Records) {
	c.perform(c.table.RecordsReceived(c.now, s.ref(), m))
	if m.Last {
		c.collectEnded(collectKey{s.ref(), m.ExpelledIncarnation})
	}
}

func (s *agentSession) ref() table.AgentRef {
	return table.AgentRef{ID: s.id, Incarnation: s.hello.Incarnation}
}

// handoverReceived takes over finished submissions of a leaving entry.
func (c *control) handoverReceived(l *link.Link, m *wire.Handover) {
	accepted, newer := c.table.HandoverReceived(c.now, m)
	if newer != nil {
		_ = l.Send(newer)
	}
	if accepted {
		_ = l.Send(&wire.HandoverAck{Sequence: m.Sequence})
		c.recheck()
	}
}

func (c *control) handoverConfirmed(l *link.Link, m *wire.HandoverAck) {
	c.table.HandoverAcked(memberOf(l), m)
	c.sendHandovers()
}

// sendHandovers sends finished submissions to their new homes while this entry is leaving.
func (c *control) sendHandovers() {
	for _, h := range c.table.HandoverNext(c.now) {
		p := c.peers[h.To.ID]
		if p != nil && p.link != nil && p.incarnation == h.To.Incarnation {
			_ = p.link.Send(h.Message)
		}
	}
}

// mayStart tells whether this entry may start tasks of a job. A job with a caller's key needs membership, because another
// entry can take the key over once this one was removed.
func (c *control) mayStart(j *job) bool { return j.tableJob == 0 || c.table.MayStart(j.tableJob) }

// membership returns the state of this entry in the list, and false when it is no member.
func (c *control) membership() (wire.MemberState, bool) {
	m, ok := placement.Find(c.effective(), c.options.ID, c.incarnation)
	return m.State, ok
}

// expelled is called when another entry removed this one. Its jobs with a caller's key cannot start another task. The
// run ends gracefully, and the process joins again under a new incarnation.
func (c *control) expelled() {
	c.log.Error("entry: removed from the list of entries by another entry; joining again")
	for _, j := range c.jobs {
		if j.tableJob != 0 && j.hasWaitingTasks() {
			c.failJob(j, failure{reason: wire.ReasonExpelled, message: "the entry lost the ownership of the key"})
		}
	}
	select {
	case c.entry.expulsion <- struct{}{}:
	default:
	}
}

// hasWaitingTasks tells whether a task of the job has neither an outcome nor an open attempt.
func (j *job) hasWaitingTasks() bool {
	for i := range j.tasks {
		if j.tasks[i].answer.Outcome == 0 && len(j.tasks[i].attempts) == 0 {
			return true
		}
	}
	return false
}
