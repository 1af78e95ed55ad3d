package jobentry

import (
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

func (e linkUp) apply(c *control, now time.Time) {
	hello := e.link.Peer().Hello
	id := scheduler.AgentID(hello.ID)
	a := c.agents[id]
	if a == nil {
		a = &agentConn{id: id}
		c.agents[id] = a
	}
	if a.link != nil {
		old := a.link
		a.link = nil
		c.reportAgentLost(now, a, "a newer link is open")
		old.Close(link.ErrClosed)
	}
	a.dataCentre, a.demandSentAt = hello.DataCentre, time.Time{}
	sameProcess := a.incarnation == hello.Incarnation
	a.link, a.incarnation, a.lastReceivedAt, a.lastReceivedMicros = e.link, hello.Incarnation, now, 0
	a.pending, a.echoSentAt, a.idleEndedAt = wire.Offers{}, time.Time{}, time.Time{}
	c.catalogs.holders.AddAgent(string(id), hello.DataCentre)
	a.evacuation = evacuation.Peer{}
	c.log.WithFields(log.Fields{
		"agent": id, "incarnation": hello.Incarnation, "data_centre": hello.DataCentre, "same_process": sameProcess,
	}).Info("entry: link to an agent is open")
	c.scheduler.AgentConnected(now, id, hello.Incarnation, hello.DataCentre)
	a.busy = c.scheduler.HasOpenOffers(id)
	c.sendEvacuation(now, a) // before any offer
	c.send(a, &wire.Offers{SentMicros: clock.BootMicros(now), Resume: true, Outstanding: c.scheduler.OutstandingOffers(id)})
	c.sendAddresses(a)
}

func (e linkDown) apply(c *control, now time.Time) {
	a := c.agents[scheduler.AgentID(e.link.Peer().Hello.ID)]
	if a == nil || a.link != e.link {
		return
	}
	a.link = nil
	c.reportAgentLost(now, a, e.cause.Error())
}

// reportAgentLost reports to the scheduler that an agent is out of contact and when its runs have ended.
func (c *control) reportAgentLost(now time.Time, a *agentConn, cause string) {
	c.catalogs.holders.RemoveAgent(string(a.id))
	c.catalogs.sender.RemovePeer(string(a.id))
	runsEndedAt := maxTime(a.lastReceivedAt, a.idleEndedAt).Add(runs.RunsEndedAfter)
	c.log.WithFields(log.Fields{
		"agent": a.id, "cause": cause, "heard_ms": now.Sub(a.lastReceivedAt).Milliseconds(),
		"tasks": len(c.scheduler.OutstandingOffers(a.id)), "over_in_ms": runsEndedAt.Sub(now).Milliseconds(),
	}).Warn("entry: agent is out of contact, its tasks wait until its runs have ended")
	c.scheduler.AgentLost(now, a.id, runsEndedAt)
}

// isSilent reports whether the link of an agent counts as dead. While offers are open, the agent sends a message at least
// every runs.HeartbeatInterval.
func (a *agentConn) isSilent(now time.Time, idleInterval time.Duration) bool {
	if a.busy {
		return now.Sub(maxTime(a.lastReceivedAt, a.idleEndedAt)) >= runs.OwnerTimeout
	}
	return now.Sub(a.lastReceivedAt) >= runs.IdleTimeout(idleInterval)
}

// closeSilentLinks closes the links of silent agents, and forgets agents that stay away.
func (c *control) closeSilentLinks(now time.Time) {
	idleInterval := runs.IdleHeartbeatInterval(len(c.agents))
	for id, a := range c.agents {
		silent := now.Sub(a.lastReceivedAt)
		switch {
		case a.link != nil && a.isSilent(now, idleInterval):
			l := a.link
			a.link = nil
			c.reportAgentLost(now, a, "the agent is silent")
			l.Close(link.ErrSilent)
		case a.link == nil && silent >= forgetAgentAfter:
			c.scheduler.ForgetAgent(id)
			delete(c.agents, id)
		}
	}
}

// sendHeartbeats sends a heartbeat on each link without a recent message. It proves that the link works, and carries the
// version of the configuration and the intervals of load reports and of heartbeats.
func (c *control) sendHeartbeats(now time.Time) {
	idleInterval := runs.IdleHeartbeatInterval(len(c.agents))
	for _, a := range c.agents {
		if a.link == nil {
			continue
		}
		a.busy = c.scheduler.HasOpenOffers(a.id)
		if since := now.Sub(a.echoSentAt); since < runs.HeartbeatInterval || !a.busy && since < idleInterval {
			continue
		}
		a.echoSentAt, a.demandSentAt = now, now
		c.send(a, &wire.Heartbeat{
			SentMicros: clock.BootMicros(now), LastReceivedMicros: a.lastReceivedMicros, CatalogVersion: catalog.VersionOf(c.entry.Catalog()),
			LoadIntervalMillis: uint32(len(c.agents)) * 1000 / maxLoadReportsPerSecond,
			Demand:             c.scheduler.Demand(now, a.id), IdleIntervalMillis: uint32(idleInterval.Milliseconds()), EvacuationRevision: c.evacuation.State().Revision,
		})
	}
}

// maxLoadReportsPerSecond is the number of load reports without ends that an entry accepts per second, so that their cost
// does not grow with the number of agents. Up to 10 agents can report at their shortest interval of 20 ms.
const maxLoadReportsPerSecond = 500

func (e received) apply(c *control, now time.Time) {
	a := c.agents[scheduler.AgentID(e.link.Peer().Hello.ID)]
	if a == nil || a.link != e.link {
		return
	}
	a.lastReceivedAt = now
	c.scheduler.AgentHeard(now, a.id)
	switch m := e.message.(type) {
	case *wire.RunReport:
		a.lastReceivedMicros = m.SentMicros
		c.applyReport(now, a, m)
	case *wire.Heartbeat:
		a.lastReceivedMicros = m.SentMicros
		c.catalogs.holders.ReportVersion(string(a.id), m.CatalogVersion)
		a.evacuation.HeardRevision(m.EvacuationRevision)
	case *wire.Evacuations:
		c.applyReceivedEvacuation(now, a, m)
	case *wire.CatalogPull:
		c.catalogs.sender.AddPull(string(a.id), m)
	case *wire.CatalogChunk:
		c.applyChunk(now, a, m)
	case *wire.JobQuery:
		c.answerJobQuery(a, m)
	case *wire.JobReply:
		c.applyJobReply(m)
	}
}

func (c *control) applyReport(now time.Time, a *agentConn, m *wire.RunReport) {
	for _, number := range m.HeldOffers {
		c.scheduler.ResumeOffer(a.id, number)
	}
	for _, number := range m.StartedOffers {
		c.scheduler.HandleRunStarted(number)
	}
	for _, end := range m.Ends {
		c.entry.options.Metrics.OffersEnded.Add(1)
		c.scheduler.HandleRunEnd(now, a.id, end)
	}
	if m.Info != nil {
		c.scheduler.SetWorker(now, a.id, *m.Info)
	}
	if m.Load != nil && !c.scheduler.ReportLoad(now, a.id, *m.Load) {
		c.log.WithFields(log.Fields{"agent": a.id, "incarnation": a.incarnation, "fence": m.Load.Fence}).
			Info("entry: load of a replaced agent process is ignored")
	}
}
