package jobentry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// evacuationRead is a state of the operator's requests from the store.
type evacuationRead struct{ state evacuation.State }

func (e evacuationRead) apply(c *control, now time.Time) { c.applyEvacuation(now, e.state, "store") }

// dataCentresRead holds the names of all data centres in the settings.
type dataCentresRead struct{ names []string }

func (e dataCentresRead) apply(c *control, _ time.Time) { c.scheduler.SetDataCentres(e.names) }

// SetDataCentres sets the names of all data centres of the deployment after the settings have changed.
func (e *Entry) SetDataCentres(names []string) { e.post(dataCentresRead{names: names}) }

// SetEvacuation passes the evacuated data centres from the store. The state is ignored if a newer one is in force.
func (e *Entry) SetEvacuation(s evacuation.State) { e.post(evacuationRead{state: s}) }

// applyEvacuation merges a state from the store or from an agent. If the evacuated data centres change, no more offers are made
// there and all agents are told.
func (c *control) applyEvacuation(now time.Time, next evacuation.State, source string) {
	change := c.evacuation.Apply(time.Now(), next)
	c.entry.options.Metrics.setEvacuation(c.evacuation.Summary())
	if change.IsEmpty() {
		return
	}
	state := c.evacuation.State()
	c.entry.options.Metrics.EvacuationChanges.Add(1)
	c.log.WithFields(change.Fields(state)).WithField("source", source).Warn("entry: evacuated data centres have changed")
	c.scheduler.SetEvacuated(state.DataCentres)
	c.sendEvacuations(now)
}

// sendEvacuations sends the state to all agents that need it.
func (c *control) sendEvacuations(now time.Time) {
	for _, a := range c.agents {
		c.sendEvacuation(now, a)
	}
}

func (c *control) sendEvacuation(now time.Time, a *agentConn) {
	own := c.evacuation.State()
	if a.link == nil || !a.evacuation.Due(now, own) {
		return
	}
	a.evacuation.RecordSent(now, own)
	c.send(a, &wire.Evacuations{Revision: own.Revision, DataCentres: own.DataCentres})
}

// applyReceivedEvacuation applies the state that an agent holds, and confirms it with the next heartbeat.
func (c *control) applyReceivedEvacuation(now time.Time, a *agentConn, m *wire.Evacuations) {
	state := evacuation.NewState(m.Revision, m.DataCentres)
	a.evacuation.HeardState(state)
	a.echoSentAt = time.Time{}
	c.applyEvacuation(now, state, "agent "+string(a.id))
}
