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
		a = &contact{id: id}
		c.agents[id] = a
	}
	if a.link != nil {
		old := a.link
		a.link = nil
		c.lost(now, a, "a newer link is open")
		old.Close(link.ErrClosed)
	}
	sameProcess := a.incarnation == hello.Incarnation
	a.link, a.incarnation, a.heard, a.heardMicros = e.link, hello.Incarnation, now, 0
	a.version, a.out, a.sentAt = 0, wire.Offers{}, time.Time{}
	c.log.WithFields(log.Fields{
		"agent": id, "incarnation": hello.Incarnation, "data_centre": hello.DataCentre, "same_process": sameProcess,
	}).Info("entry: link to an agent is open")
	c.scheduler.AgentUp(id, hello.Incarnation, hello.DataCentre)
	c.send(a, &wire.Offers{SentMicros: clock.Micros(now), Resume: true, Outstanding: c.scheduler.Outstanding(id)})
	if c.body != nil {
		c.send(a, &wire.CatalogPush{Version: catalog.VersionOf(c.entry.Catalog()), Body: c.body})
	}
	c.sendAddresses(a)
}

func (e linkDown) apply(c *control, now time.Time) {
	a := c.agents[scheduler.AgentID(e.link.Peer().Hello.ID)]
	if a == nil || a.link != e.link {
		return
	}
	a.link = nil
	c.lost(now, a, e.cause.Error())
}

// lost tells the scheduler that an agent is out of contact, and when its runs are over.
func (c *control) lost(now time.Time, a *contact, cause string) {
	overAt := a.heard.Add(runs.OverAfter)
	c.log.WithFields(log.Fields{
		"agent": a.id, "cause": cause, "heard_ms": now.Sub(a.heard).Milliseconds(),
		"tasks": len(c.scheduler.Outstanding(a.id)), "over_in_ms": overAt.Sub(now).Milliseconds(),
	}).Warn("entry: agent is out of contact")
	c.scheduler.AgentLost(now, a.id, overAt)
}

// checkSilence closes the links of agents from which nothing was heard, and forgets those that stay away.
func (c *control) checkSilence(now time.Time) {
	for id, a := range c.agents {
		silent := now.Sub(a.heard)
		switch {
		case a.link != nil && silent >= runs.OwnerSilence:
			l := a.link
			a.link = nil
			c.lost(now, a, "the agent is silent")
			l.Close(link.ErrSilent)
		case a.link == nil && silent >= forgetAfter:
			c.scheduler.Forget(id)
			delete(c.agents, id)
		}
	}
}

// beats proves to each agent that the link works, and carries the version of the configuration.
func (c *control) beats(now time.Time) {
	for _, a := range c.agents {
		if a.link == nil || now.Sub(a.sentAt) < runs.BeatInterval {
			continue
		}
		a.sentAt = now
		c.send(a, &wire.Beat{
			SentMicros: clock.Micros(now), HeardMicros: a.heardMicros, CatalogVersion: catalog.VersionOf(c.entry.Catalog()),
			LoadMillis: uint32(len(c.agents)) * 1000 / maxLoads,
		})
	}
}

// maxLoads is the number of load reports without ends that an entry takes in a second, so that their cost does not grow with
// the number of agents. With up to 12 agents it leaves each its shortest interval of 20 ms.
const maxLoads = 600

func (e received) apply(c *control, now time.Time) {
	a := c.agents[scheduler.AgentID(e.link.Peer().Hello.ID)]
	if a == nil || a.link != e.link {
		return
	}
	a.heard = now
	switch m := e.message.(type) {
	case *wire.RunReport:
		a.heardMicros = m.SentMicros
		c.takeReport(now, a, m)
	case *wire.Beat:
		a.heardMicros, a.version = m.SentMicros, m.CatalogVersion
	case *wire.CatalogPush:
		c.takePushed(a, m)
	}
}

func (c *control) takeReport(now time.Time, a *contact, m *wire.RunReport) {
	for _, number := range m.Held {
		c.scheduler.AgentResumed(a.id, number)
	}
	for _, number := range m.Began {
		c.scheduler.Began(number)
	}
	for _, end := range m.Ends {
		c.entry.options.Metrics.Ends.Add(1)
		c.scheduler.End(now, a.id, end)
	}
	if m.Info != nil {
		c.scheduler.SetWorker(a.id, *m.Info)
	}
	if m.Load != nil && !c.scheduler.Report(now, a.id, *m.Load) {
		c.log.WithFields(log.Fields{"agent": a.id, "incarnation": a.incarnation, "fence": m.Load.Fence}).
			Info("entry: load of a replaced agent process is ignored")
	}
}

// Times of the transfer of the configuration from agents.
const (
	// pullDelay is the time that an entry which serves by an older configuration gives the store to show it the newer one.
	pullDelay = 150 * time.Millisecond
	// pullRetry is the time after which another agent is asked.
	pullRetry = 100 * time.Millisecond
)

// pullCatalog asks one agent for a configuration that is newer than that of the entry: the store may turn the entry away, or
// may have shown the configuration to another entry first. An entry without any asks at once.
func (c *control) pullCatalog(now time.Time) {
	own := catalog.VersionOf(c.entry.Catalog())
	var newest *contact
	for _, a := range c.agents {
		if a.link != nil && a.version > own && (newest == nil || a.version > newest.version) {
			newest = a
		}
	}
	switch {
	case newest == nil:
		c.behindSince = time.Time{}
		return
	case c.behindSince.IsZero():
		c.behindSince = now
	}
	if own > 0 && now.Sub(c.behindSince) < pullDelay || now.Sub(c.pulledAt) < pullRetry {
		return
	}
	c.pulledAt = now
	c.send(newest, &wire.CatalogPull{})
}

func (c *control) takePushed(a *contact, m *wire.CatalogPush) {
	if m.Version <= catalog.VersionOf(c.entry.Catalog()) {
		return
	}
	decoded, err := catalog.Decode(m.Body)
	if err != nil {
		c.log.WithError(err).Error("entry: catalog of an agent cannot be decoded")
		return
	}
	a.version = decoded.Version
	c.takeCatalog(decoded, "agent "+string(a.id))
}
