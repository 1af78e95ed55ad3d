package entry

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// agentLostTimeout is the time without a link after which the open attempts of an agent end with an unknown outcome.
const agentLostTimeout = 10 * time.Second

// Reasons for which the entry closes a link.
var (
	errLinkReplaced   = eris.New("replaced by a newer link")
	errAgentRestarted = eris.New("agent was restarted")
)

// agentSession is one run of an agent. It survives the loss of a link.
type agentSession struct {
	id        string
	hello     wire.Hello
	link      *link.Link // nil while the agent is not connected
	attempts  map[uint64]*attempt
	leaving   bool
	lostTimer *pendingTimer
}

// checkAgentHello returns why the hello of an agent is refused, or "" when it is accepted.
func (c *control) checkAgentHello(hello *wire.Hello) string {
	s := c.agents[hello.ID]
	if s == nil || s.hello.Incarnation == hello.Incarnation || hello.StartedAt.After(s.hello.StartedAt) {
		return ""
	}
	c.log.WithField("agent", hello.ID).Error("entry: two agents use the same id; refusing the one that started earlier")
	return "a newer agent with the same id is connected"
}

// attachAgent replaces the link of an agent by a new one. If the agent was restarted, it ends the session of the previous
// run first.
func (c *control) attachAgent(l *link.Link) {
	hello := l.Peer().Hello
	s := c.agents[hello.ID]
	if s != nil && s.hello.Incarnation != hello.Incarnation && s.hello.StartedAt.After(hello.StartedAt) {
		l.Close(errAgentRestarted) // a newer run was accepted after this one
		return
	}
	if s != nil && s.hello.Incarnation != hello.Incarnation {
		c.endSessionOfRestartedAgent(s)
		s = nil
	}
	if s == nil {
		s = &agentSession{id: hello.ID, attempts: make(map[uint64]*attempt)}
		c.agents[hello.ID] = s
	}
	if s.link != nil {
		s.link.Close(errLinkReplaced)
	}
	c.timers.cancel(s.lostTimer)
	s.hello, s.link, s.leaving = hello, l, hello.Leaving
	c.updateHeartbeatInterval()
	c.queryAttempts(s)
	c.addAgentToPolicies(s)
	c.sendDocuments(l, hello.Services, hello.DocumentRevisions)
	c.performActions(c.table.AgentAttached(s.agentRef()))
	c.log.WithField("agent", s.id).Info("entry: agent connected")
}

// updateHeartbeatInterval adapts the heartbeat interval of all links to their number, so that the heartbeats of the process
// stay within their budget.
func (c *control) updateHeartbeatInterval() {
	interval := c.targetHeartbeatInterval()
	if interval == c.heartbeatInterval {
		return
	}
	c.heartbeatInterval = interval
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

// targetHeartbeatInterval returns the heartbeat interval for the present number of agents and entries.
func (c *control) targetHeartbeatInterval() time.Duration {
	return link.HeartbeatInterval(len(c.agents) + len(c.peers))
}

// endSessionOfRestartedAgent ends the session of the previous run of an agent. The records of that run were lost with its
// process.
func (c *control) endSessionOfRestartedAgent(s *agentSession) {
	if s.link != nil {
		s.link.Close(errAgentRestarted)
		s.link = nil
	}
	c.removeAgentFromPolicies(s)
	c.dropAgent(s)
}

// detachAgent handles the close of an agent's link. Attempts stay open, because the agent may reconnect and report their
// results.
func (c *control) detachAgent(l *link.Link, cause error) {
	s := c.agents[l.Peer().Hello.ID]
	if s == nil || s.link != l {
		return
	}
	s.link = nil
	c.removeAgentFromPolicies(s)
	timeout := agentLostTimeout
	if s.leaving && len(s.attempts) == 0 {
		timeout = 0
		c.performActions(c.table.AgentGone(c.now, s.agentRef()))
	} else {
		c.performActions(c.table.AgentDisconnected(c.now, s.agentRef()))
	}
	s.lostTimer = c.timers.add(c.now.Add(timeout), func(time.Time) { c.dropAgent(s) })
	c.log.WithField("agent", s.id).WithField("cause", eris.ToString(cause, false)).
		Warn("entry: agent disconnected; its open attempts wait for a new link")
}

// dropAgent ends the open attempts of an agent that did not reconnect. They may have run, so their outcome is unknown.
func (c *control) dropAgent(s *agentSession) {
	c.timers.cancel(s.lostTimer)
	if c.agents[s.id] == s {
		delete(c.agents, s.id)
	}
	for _, a := range s.attempts {
		c.endAttempt(a, dispatch.Result{State: dispatch.Lost}, wire.TaskAnswer{Outcome: wire.OutcomeUnknown})
	}
}

// queryAttempts asks a reconnected agent for the state of its attempts without a result.
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

// addAgentToPolicies makes a connected agent available to the policies of the services that it serves.
func (c *control) addAgentToPolicies(s *agentSession) {
	for _, name := range s.hello.Services {
		if service := c.services[name]; service != nil {
			c.addAgentToPolicy(service, s)
		}
	}
}

// addAgentToPolicy makes an agent available to the policy of a service. It does nothing for an agent that is not connected
// or is leaving.
func (c *control) addAgentToPolicy(service *service, s *agentSession) {
	if s.link == nil || s.leaving {
		return
	}
	service.policy.SetUpstream(c.now, dispatch.Upstream{
		ID: s.id, Incarnation: s.hello.Incarnation, DataCentre: s.hello.DataCentre,
		Slots:    service.document.EffectiveSlots(int(s.hello.Slots)),
		MemoryMB: s.hello.MemoryMB, Accelerators: s.hello.Accelerators,
	})
}

// removeAgentFromPolicies stops the policies from assigning tasks to an agent.
func (c *control) removeAgentFromPolicies(s *agentSession) {
	for _, name := range s.hello.Services {
		if service := c.services[name]; service != nil {
			service.policy.RemoveUpstream(c.now, s.id)
		}
	}
}

// handleAgentMessage handles a message of an agent. Messages of a run that was replaced are ignored.
func (c *control) handleAgentMessage(l *link.Link, m wire.Message) {
	s := c.agents[l.Peer().Hello.ID]
	if s == nil || s.hello.Incarnation != l.Peer().Hello.Incarnation {
		return
	}
	switch m := m.(type) {
	case *wire.Result:
		c.handleAgentResult(s, m)
	case *wire.Accepted:
		s.markAcknowledged(m.Attempts)
	case *wire.QueryReply:
		s.markAcknowledged(m.Queued)
		s.markAcknowledged(m.Running)
	case *wire.Leaving:
		s.leaving = true
		c.removeAgentFromPolicies(s)
		c.log.WithField("agent", s.id).Info("entry: agent is leaving")
	case *wire.Records:
		c.handleAgentRecords(s, m)
	case *wire.DocumentPull:
		c.sendDocuments(l, s.hello.Services, m.Revisions)
	case *wire.Pong:
		c.syncPeer(l, m.ListVersion, m.DocumentDigest)
	case *wire.Ping:
		c.syncPeer(l, m.ListVersion, m.DocumentDigest)
	}
}

// markAcknowledged records that the agent received the starts of these attempts.
func (s *agentSession) markAcknowledged(ids []uint64) {
	for _, id := range ids {
		if a := s.attempts[id]; a != nil {
			a.acknowledged = true
		}
	}
}

// handleAgentResult handles the result of an attempt. A result for an attempt that has already ended is a duplicate.
func (c *control) handleAgentResult(s *agentSession, m *wire.Result) {
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
	a.job.service.policy.ReportLoad(c.now, s.id, load)
}

// convertResult converts the result of an agent to the result for the policy and the outcome of the task.
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
		if m.Status >= minFailureStatus {
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

// minFailureStatus is the lowest HTTP status that the policy counts as a failure of the upstream.
const minFailureStatus = 500

// recordedState returns the state of a task that the agent had already started for an earlier attempt. It is done only if
// the agent kept the answer, and unknown otherwise.
func recordedState(m *wire.Result) wire.AttemptState {
	if m.Recorded == wire.AttemptDone && m.Status != 0 {
		return wire.AttemptDone
	}
	return wire.AttemptUnknown
}
