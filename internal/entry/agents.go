package entry

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// agentLostAfter is the time without a link after which the open attempts of an agent are given up as unknown.
const agentLostAfter = 10 * time.Second

// Causes for which the entry closes the link of an agent.
var (
	errReplaced  = eris.New("replaced by a newer link")
	errRestarted = eris.New("agent was restarted")
)

// agentSession is one run of an agent. It outlives its links.
type agentSession struct {
	id        string
	hello     wire.Hello
	link      *link.Link // nil while the agent is not connected
	attempts  map[uint64]*attempt
	leaving   bool
	lostTimer *timerEntry
}

// refusesAgent returns why the hello of an agent is refused, or "".
func (c *control) refusesAgent(hello *wire.Hello) string {
	s := c.agents[hello.ID]
	if s == nil || s.hello.Incarnation == hello.Incarnation || hello.StartedAt.After(s.hello.StartedAt) {
		return ""
	}
	c.log.WithField("agent", hello.ID).Error("entry: two agents claim the same id; refusing the older one")
	return "a newer agent with the same id is connected"
}

// attachAgent takes a new link of an agent into use.
func (c *control) attachAgent(l *link.Link) {
	hello := l.Peer().Hello
	s := c.agents[hello.ID]
	if s != nil && s.hello.Incarnation != hello.Incarnation && s.hello.StartedAt.After(hello.StartedAt) {
		l.Close(errRestarted) // a newer run was welcomed after this one
		return
	}
	if s != nil && s.hello.Incarnation != hello.Incarnation {
		c.replaceAgent(s)
		s = nil
	}
	if s == nil {
		s = &agentSession{id: hello.ID, attempts: make(map[uint64]*attempt)}
		c.agents[hello.ID] = s
	}
	if s.link != nil {
		s.link.Close(errReplaced)
	}
	c.timers.cancel(s.lostTimer)
	s.hello, s.link, s.leaving = hello, l, hello.Leaving
	c.updateHeartbeats()
	c.queryAttempts(s)
	c.offerAgent(s)
	c.sendDocuments(l, hello.Services, hello.DocumentRevisions)
	c.perform(c.table.AgentAttached(s.ref()))
	c.log.WithField("agent", s.id).Info("entry: agent connected")
}

// updateHeartbeats lengthens the interval of all links when their number grows, so that the heartbeats of the process stay
// within their budget.
func (c *control) updateHeartbeats() {
	interval := c.heartbeat()
	if interval == c.interval {
		return
	}
	c.interval = interval
	for _, s := range c.agents {
		if s.link != nil {
			s.link.SetHeartbeat(interval)
		}
	}
	for _, p := range c.peers {
		if p.link != nil {
			p.link.SetHeartbeat(interval)
		}
	}
}

func (c *control) heartbeat() time.Duration {
	return link.HeartbeatInterval(len(c.agents) + len(c.peers))
}

// replaceAgent ends the session of an agent that was restarted. Its records are gone with it.
func (c *control) replaceAgent(s *agentSession) {
	if s.link != nil {
		s.link.Close(errRestarted)
		s.link = nil
	}
	c.withdrawAgent(s)
	c.dropAgent(s)
}

// detachAgent notes that a link of an agent has closed. Attempts stay open: the agent may come back and report them.
func (c *control) detachAgent(l *link.Link, cause error) {
	s := c.agents[l.Peer().Hello.ID]
	if s == nil || s.link != l {
		return
	}
	s.link = nil
	c.withdrawAgent(s)
	wait := agentLostAfter
	if s.leaving && len(s.attempts) == 0 {
		wait = 0
		c.perform(c.table.AgentGone(c.now, s.ref()))
	} else {
		c.perform(c.table.AgentDisconnected(c.now, s.ref()))
	}
	s.lostTimer = c.timers.add(c.now.Add(wait), func(time.Time) { c.dropAgent(s) })
	c.log.WithField("agent", s.id).WithField("cause", eris.ToString(cause, false)).Warn("entry: agent disconnected")
}

// dropAgent gives up the open attempts of an agent that did not come back. They may have run.
func (c *control) dropAgent(s *agentSession) {
	c.timers.cancel(s.lostTimer)
	if c.agents[s.id] == s {
		delete(c.agents, s.id)
	}
	for _, a := range s.attempts {
		c.endAttempt(a, dispatch.Result{State: dispatch.Lost}, wire.TaskAnswer{Outcome: wire.OutcomeUnknown})
	}
}

// queryAttempts asks a reconnected agent what became of the attempts that have no result.
func (c *control) queryAttempts(s *agentSession) {
	if len(s.attempts) == 0 {
		return
	}
	ids := make([]uint64, 0, len(s.attempts))
	for id := range s.attempts {
		ids = append(ids, id)
	}
	_ = s.link.Send(&wire.Query{Attempts: ids})
}

// offerAgent makes a connected agent known to the policies of its services.
func (c *control) offerAgent(s *agentSession) {
	for _, name := range s.hello.Services {
		if service := c.services[name]; service != nil {
			c.offerTo(service, s)
		}
	}
}

func (c *control) offerTo(service *service, s *agentSession) {
	if s.link == nil || s.leaving {
		return
	}
	service.policy.SetUpstream(c.now, dispatch.Upstream{
		ID: s.id, Run: s.hello.Incarnation, DataCentre: s.hello.DataCentre, Slots: service.document.SlotsOf(int(s.hello.Slots)),
		MemoryMB: s.hello.MemoryMB, Accelerators: s.hello.Accelerators,
	})
}

func (c *control) withdrawAgent(s *agentSession) {
	for _, name := range s.hello.Services {
		if service := c.services[name]; service != nil {
			service.policy.RemoveUpstream(c.now, s.id)
		}
	}
}

// agentMessage handles a message of an agent.
func (c *control) agentMessage(l *link.Link, m wire.Message) {
	s := c.agents[l.Peer().Hello.ID]
	if s == nil || s.hello.Incarnation != l.Peer().Hello.Incarnation {
		return
	}
	switch m := m.(type) {
	case *wire.Result:
		c.agentResult(s, m)
	case *wire.Accepted:
		s.acknowledge(m.Attempts)
	case *wire.QueryReply:
		s.acknowledge(m.Queued)
		s.acknowledge(m.Running)
	case *wire.Leaving:
		s.leaving = true
		c.withdrawAgent(s)
		c.log.WithField("agent", s.id).Info("entry: agent is leaving")
	case *wire.Records:
		c.agentRecords(s, m)
	case *wire.DocumentPull:
		c.sendDocuments(l, s.hello.Services, m.Revisions)
	case *wire.Pong:
		c.comparePeer(l, m.ListVersion, m.DocumentDigest)
	case *wire.Ping:
		c.comparePeer(l, m.ListVersion, m.DocumentDigest)
	}
}

func (s *agentSession) acknowledge(ids []uint64) {
	for _, id := range ids {
		if a := s.attempts[id]; a != nil {
			a.acked = true
		}
	}
}

// agentResult handles the result of an attempt. A result for an attempt that has already ended is a duplicate.
func (c *control) agentResult(s *agentSession, m *wire.Result) {
	if m.List != nil {
		c.adoptList(m.List)
		if m.List.Version < c.list.Version && s.link != nil {
			c.sendList(s.link)
		}
	}
	a := s.attempts[m.Attempt]
	if a == nil {
		c.metrics.countLateResult()
		return
	}
	result, answer := convertResult(m)
	c.metrics.countResult(m, a)
	c.endAttempt(a, result, answer)
	load := dispatch.Load{Running: m.Load.Running, RunningLong: m.Load.RunningLong, Queued: m.Load.Queued}
	a.job.service.policy.Report(c.now, s.id, load)
}

// convertResult turns the result of an agent into that of the policy and the outcome of the task.
func convertResult(m *wire.Result) (dispatch.Result, wire.TaskAnswer) {
	result := dispatch.Result{
		Reason:  m.Reason,
		Queued:  time.Duration(m.QueuedMicros) * time.Microsecond,
		Service: time.Duration(m.ServiceMicros) * time.Microsecond,
	}
	state := m.State
	if state == wire.AttemptRefused && m.Reason == wire.RefusedDuplicate {
		state = recordedState(m)
	}
	switch state {
	case wire.AttemptDone:
		result.State = dispatch.Succeeded
		if m.Status >= failureStatus {
			result.State = dispatch.Failed
		}
		return result, wire.TaskAnswer{
			Outcome: wire.OutcomeComplete, Status: m.Status, Headers: m.Headers, Body: m.Body,
		}
	case wire.AttemptRefused, wire.AttemptNeverSeen:
		result.State = dispatch.Refused
		return result, wire.TaskAnswer{Outcome: wire.OutcomeNotRun}
	default:
		result.State = dispatch.Lost
		return result, wire.TaskAnswer{Outcome: wire.OutcomeUnknown}
	}
}

// failureStatus is the lowest HTTP status that counts as a failure of the upstream itself.
const failureStatus = 500

// recordedState is the state of a task that the agent had already started for an earlier attempt. It counts as done only
// if the answer was kept.
func recordedState(m *wire.Result) wire.AttemptState {
	if m.Recorded == wire.AttemptDone && m.Status != 0 {
		return wire.AttemptDone
	}
	return wire.AttemptUnknown
}
