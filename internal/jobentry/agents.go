package jobentry

import (
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/clock"
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
	sameProcess := a.incarnation == hello.Incarnation
	a.link, a.incarnation, a.lastHeard, a.heardMicros = e.link, hello.Incarnation, now, 0
	a.catalogVersion, a.pending, a.echoSentAt = 0, wire.Offers{}, time.Time{}
	c.log.WithFields(log.Fields{
		"agent": id, "incarnation": hello.Incarnation, "data_centre": hello.DataCentre, "same_process": sameProcess,
	}).Info("entry: link to an agent is open")
	c.scheduler.AgentConnected(id, hello.Incarnation, hello.DataCentre)
	c.send(a, &wire.Offers{SentMicros: clock.Micros(now), Resume: true, Outstanding: c.scheduler.OutstandingOffers(id)})
	if c.encodedCatalog != nil {
		c.send(a, &wire.CatalogPush{Version: catalog.VersionOf(c.entry.Catalog()), Body: c.encodedCatalog})
	}
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

// reportAgentLost tells the scheduler that an agent is out of contact, and when its runs are over.
func (c *control) reportAgentLost(now time.Time, a *agentConn, cause string) {
	runsEndedAt := a.lastHeard.Add(runs.RunsEndedAfter)
	c.log.WithFields(log.Fields{
		"agent": a.id, "cause": cause, "heard_ms": now.Sub(a.lastHeard).Milliseconds(),
		"tasks": len(c.scheduler.OutstandingOffers(a.id)), "over_in_ms": runsEndedAt.Sub(now).Milliseconds(),
	}).Warn("entry: agent is out of contact")
	c.scheduler.AgentLost(now, a.id, runsEndedAt)
}

// closeSilentLinks closes the links of agents from which nothing was heard, and forgets those that stay away.
func (c *control) closeSilentLinks(now time.Time) {
	for id, a := range c.agents {
		silent := now.Sub(a.lastHeard)
		switch {
		case a.link != nil && silent >= runs.OwnerTimeout:
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

// sendHeartbeats proves to each agent that the link works, and carries the version of the configuration.
func (c *control) sendHeartbeats(now time.Time) {
	for _, a := range c.agents {
		if a.link == nil || now.Sub(a.echoSentAt) < runs.HeartbeatInterval {
			continue
		}
		a.echoSentAt = now
		c.send(a, &wire.Beat{
			SentMicros: clock.Micros(now), HeardMicros: a.heardMicros, CatalogVersion: catalog.VersionOf(c.entry.Catalog()),
			LoadMillis: uint32(len(c.agents)) * 1000 / maxLoadReportsPerSecond,
		})
	}
}

// maxLoadReportsPerSecond is the number of load reports without ends that an entry takes in a second, so that their cost does not grow with
// the number of agents. With up to 12 agents it leaves each its shortest interval of 20 ms.
const maxLoadReportsPerSecond = 600

func (e received) apply(c *control, now time.Time) {
	a := c.agents[scheduler.AgentID(e.link.Peer().Hello.ID)]
	if a == nil || a.link != e.link {
		return
	}
	a.lastHeard = now
	switch m := e.message.(type) {
	case *wire.RunReport:
		a.heardMicros = m.SentMicros
		c.applyReport(now, a, m)
	case *wire.Beat:
		a.heardMicros, a.catalogVersion = m.SentMicros, m.CatalogVersion
	case *wire.CatalogPush:
		c.applyPushedCatalog(a, m)
	}
}

func (c *control) applyReport(now time.Time, a *agentConn, m *wire.RunReport) {
	for _, number := range m.Held {
		c.scheduler.ResumeOffer(a.id, number)
	}
	for _, number := range m.Began {
		c.scheduler.HandleRunBegan(number)
	}
	for _, end := range m.Ends {
		c.entry.options.Metrics.OffersEnded.Add(1)
		c.scheduler.HandleRunEnd(now, a.id, end)
	}
	if m.Info != nil {
		c.scheduler.SetWorker(a.id, *m.Info)
	}
	if m.Load != nil && !c.scheduler.ReportLoad(now, a.id, *m.Load) {
		c.log.WithFields(log.Fields{"agent": a.id, "incarnation": a.incarnation, "fence": m.Load.Fence}).
			Info("entry: load of a replaced agent process is ignored")
	}
}

// Times of the transfer of the configuration from agents.
const (
	// catalogPullDelay is the time that an entry which serves by an older configuration gives the store to show it the newer one.
	catalogPullDelay = 150 * time.Millisecond
	// catalogPullRetryInterval is the time after which another agent is asked.
	catalogPullRetryInterval = 100 * time.Millisecond
)

// pullCatalog asks one agent for a configuration that is newer than that of the entry: the store may turn the entry away, or
// may have shown the configuration to another entry first. An entry without any asks at once.
func (c *control) pullCatalog(now time.Time) {
	own := catalog.VersionOf(c.entry.Catalog())
	var newest *agentConn
	for _, a := range c.agents {
		if a.link != nil && a.catalogVersion > own && (newest == nil || a.catalogVersion > newest.catalogVersion) {
			newest = a
		}
	}
	switch {
	case newest == nil:
		c.catalogBehindSince = time.Time{}
		return
	case c.catalogBehindSince.IsZero():
		c.catalogBehindSince = now
	}
	if own > 0 && now.Sub(c.catalogBehindSince) < catalogPullDelay || now.Sub(c.catalogPulledAt) < catalogPullRetryInterval {
		return
	}
	c.catalogPulledAt = now
	c.send(newest, &wire.CatalogPull{})
}

func (c *control) applyPushedCatalog(a *agentConn, m *wire.CatalogPush) {
	if m.Version <= catalog.VersionOf(c.entry.Catalog()) {
		return
	}
	decoded, err := catalog.Decode(m.Body)
	if err != nil {
		c.log.WithError(err).Error("entry: catalog of an agent cannot be decoded")
		return
	}
	a.catalogVersion = decoded.Version
	c.applyCatalog(decoded, "agent "+string(a.id))
}
