package entry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// performActions carries out the actions that the table returned for an event.
func (c *control) performActions(a table.Actions) {
	if a.Adopted {
		c.handleListChange()
	}
	if a.Expelled && !c.stopping {
		c.handleExpulsion()
	}
	for _, m := range a.InheritTargets {
		c.sendInheritRequest(m)
	}
	c.requestRecords(a.CollectRequests)
	if a.Roster != nil {
		c.queueRosterUpdate(a.Roster)
	}
	if a.ResubmitWaiting {
		c.retryWaitingRequests()
	}
	c.scheduleTick()
}

// sendInheritRequest asks a member for what it has of the keys that this entry inherits, if this run of the member is
// connected.
func (c *control) sendInheritRequest(m wire.Member) {
	p := c.peers[m.ID]
	if p == nil || p.link == nil || p.incarnation != m.Incarnation {
		return
	}
	_ = p.link.Send(c.table.NewInheritRequest())
}

// scheduleTick sets the timer for the next call of the table's Tick.
func (c *control) scheduleTick() {
	nextTick := c.table.NextTick()
	if nextTick.IsZero() || c.tickTimer != nil && c.tickTimer.index >= 0 && !c.tickTimer.at.After(nextTick) {
		return
	}
	c.timers.cancel(c.tickTimer)
	c.tickTimer = c.timers.add(nextTick, func(now time.Time) { c.performActions(c.table.Tick(now)) })
}

// adoptList passes a list to the table, which adopts it if it is newer than the current one or contains further
// stop notices.
func (c *control) adoptList(list *wire.EntryList) {
	if list != nil {
		c.performActions(c.table.Adopt(c.now, list))
	}
}

// handleListChange is called after the table adopted a new list.
func (c *control) handleListChange() {
	c.list = *c.table.List()
	c.entry.versions.list.Store(c.list.Version)
	c.log.WithField("version", c.list.Version).WithField("members", len(c.list.Members)).
		WithField("stopped", len(c.list.Stopped)).
		Info("entry: list of entries changed")
	c.updateDiallers()
	c.updateQuotaPeers()
	c.broadcastList()
	c.rerouteForwards()
	c.sendHandovers()
}

// broadcastList sends the list to every connected process. Agents need it at once: they dial a new entry and refuse the
// starts of a removed one, and a link that carries traffic sends no pings that would show the new version to its agent.
func (c *control) broadcastList() {
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

// handleInheritRequest answers an entry that asks for the state of the keys that it inherits.
func (c *control) handleInheritRequest(l *link.Link, m *wire.InheritRequest) {
	answer, actions := c.table.InheritRequestReceived(c.now, memberOf(l), m)
	c.performActions(actions)
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

// handleInheritReply handles a part of the answer of another entry to sendInheritRequest.
func (c *control) handleInheritReply(l *link.Link, m *wire.InheritReply) {
	c.performActions(c.table.InheritReplyReceived(c.now, memberOf(l), m))
}

func (c *control) handleRoster(l *link.Link, m *wire.AgentRoster) {
	c.performActions(c.table.RosterReceived(c.now, memberOf(l), m))
}

// handleAgentRecords handles a part of the answer of an agent to a request for records.
func (c *control) handleAgentRecords(s *agentSession, m *wire.Records) {
	c.performActions(c.table.RecordsReceived(c.now, s.agentRef(), m))
	if m.Last {
		c.finishCollectRequest(collectKey{s.agentRef(), m.ExpelledIncarnation})
	}
}

func (s *agentSession) agentRef() table.AgentRef {
	return table.AgentRef{ID: s.id, Incarnation: s.hello.Incarnation}
}

// handleHandover takes over finished submissions of an entry that leaves the list.
func (c *control) handleHandover(l *link.Link, m *wire.Handover) {
	accepted, newer := c.table.HandoverReceived(c.now, m)
	if newer != nil {
		_ = l.Send(newer)
	}
	if accepted {
		_ = l.Send(&wire.HandoverAck{Sequence: m.Sequence})
		c.retryWaitingRequests()
	}
}

func (c *control) handleHandoverAck(l *link.Link, m *wire.HandoverAck) {
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

// mayStart reports whether this entry may start tasks of a job. A job with a caller's key requires membership, because
// another entry can take over the key after this one was removed.
func (c *control) mayStart(j *job) bool { return j.tableJob == 0 || c.table.MayStart(j.tableJob) }

// membership returns the state of this entry in the list, and false when it is not a member.
func (c *control) membership() (wire.MemberState, bool) {
	m, ok := placement.Find(c.effectiveList(), c.options.ID, c.incarnation)
	return m.State, ok
}

// handleExpulsion is called after another entry removed this one from the list. Jobs with a caller's key cannot start
// further tasks. Run ends gracefully with ErrExpelled, so that the process can join again under a new incarnation.
func (c *control) handleExpulsion() {
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

// hasWaitingTasks reports whether a task of the job has neither an outcome nor an open attempt.
func (j *job) hasWaitingTasks() bool {
	for i := range j.tasks {
		if j.tasks[i].answer.Outcome == 0 && len(j.tasks[i].attempts) == 0 {
			return true
		}
	}
	return false
}
