package workeragent

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// applyEvacuations applies the evacuated data centres that an entry holds, and confirms them with the next heartbeat.
func (c *control) applyEvacuations(now time.Time, o *owner, m *wire.Evacuations) {
	state := evacuation.NewState(m.Revision, m.DataCentres)
	o.evacuation.HeardState(state)
	o.echoSentAt = time.Time{}
	change := c.evacuation.Apply(time.Now(), state)
	c.agent.options.Metrics.setEvacuation(c.evacuation.Summary())
	if change.IsEmpty() {
		return
	}
	c.evacuationChangedAt = now
	c.agent.options.Metrics.EvacuationChanges.Add(1)
	state = c.evacuation.State()
	wasEvacuated := c.table.Evacuated()
	c.table.SetEvacuated(now, state.Includes(c.agent.options.DataCentre))
	c.loadDirty = true
	message := "agent: evacuated data centres have changed"
	switch {
	case c.table.Evacuated() && !wasEvacuated:
		message = "agent: the data centre is evacuated, nothing starts"
	case wasEvacuated && !c.table.Evacuated():
		message = "agent: the evacuation of the data centre has ended"
	}
	c.log.WithFields(change.Fields(state)).WithField("entry", o.id).Warn(message)
}

// relayEvacuation sends the state to the entries that hold an older one, for example because they cannot reach the store. A new
// link gets it at once, other links after a delay within which most entries learn it from the store.
func (c *control) relayEvacuation(now time.Time) {
	own := c.evacuation.State()
	if now.Sub(c.evacuationChangedAt) < evacuation.RelayDelay {
		return
	}
	for _, o := range c.owners {
		c.sendEvacuation(now, o, own)
	}
}

func (c *control) sendEvacuation(now time.Time, o *owner, own evacuation.State) {
	if o.link == nil || !o.evacuation.Due(now, own) {
		return
	}
	o.evacuation.RecordSent(now, own)
	o.send(&wire.Evacuations{Revision: own.Revision, DataCentres: own.DataCentres})
}
