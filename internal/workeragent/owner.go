package workeragent

import (
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxMessageDelay is by how much a message may take longer than the fastest one on its link. An order that was held up for
// longer may have been given up by the entry.
const maxMessageDelay = runs.OwnerTimeout

// maxRecentEnds is the number of ends that are kept for an entry whose link broke before it got them.
const maxRecentEnds = 256

// owner is an entry as the agent knows it.
type owner struct {
	id   string // of the entry
	link *link.Link
	log  log.Interface
	// echoedAt is when the last message was sent that the entry has echoed. The runs of the entry end when it is too old.
	echoedAt    time.Time
	heardMicros int64 // the entry's SentMicros of its last message
	// minDelayMicros is the smallest difference between arrival and sending in microseconds.
	minDelayMicros int64
	hasMinDelay    bool
	// highestOffer is the highest offer number that was received.
	highestOffer uint64
	echoSentAt   time.Time // when the last message with a time was sent
	loadSentAt   time.Time
	loadPending  bool
	infoPending  bool
	// loadInterval is the least time between two load reports without ends; the entry sets it.
	loadInterval  time.Duration
	pendingReport wire.RunReport
	recentEnds    []wire.RunEnd // the latest ends, for a resumed link
}

func (o *owner) send(m wire.Message) {
	if o.link == nil {
		return
	}
	if err := o.link.Send(m); err != nil {
		o.log.WithFields(log.Fields{"entry": o.id, "error": err.Error()}).Debug("agent: message not sent, the link is closing")
	}
}

// addEvent collects a message for the next report.
func (o *owner) addEvent(event runs.RunEvent) {
	if event.End == nil {
		o.pendingReport.Began = append(o.pendingReport.Began, event.BeganOffer)
		return
	}
	o.pendingReport.Ends = append(o.pendingReport.Ends, *event.End)
	o.recentEnds = append(o.recentEnds, *event.End)
	if len(o.recentEnds) > maxRecentEnds {
		o.recentEnds = o.recentEnds[len(o.recentEnds)-maxRecentEnds:]
	}
}

// flush sends what was collected, with the load. A load without ends is sent at most once in the interval.
func (o *owner) flush(now time.Time, load wire.WorkerLoad, info wire.WorkerInfo, changed bool) {
	if o.link == nil {
		o.pendingReport = wire.RunReport{}
		return
	}
	o.loadPending = o.loadPending || changed
	ends := len(o.pendingReport.Ends)+len(o.pendingReport.Held) > 0
	if !ends && (!o.loadPending || now.Sub(o.loadSentAt) < o.loadInterval) {
		return
	}
	report := o.pendingReport
	o.pendingReport = wire.RunReport{}
	o.loadPending, o.loadSentAt, o.echoSentAt = false, now, now
	load.Seen = o.highestOffer
	report.Load, report.SentMicros = &load, clock.Micros(now)
	if o.infoPending {
		report.Info, o.infoPending = &info, false
	}
	o.send(&report)
}

// isDelayed notes the arrival of a message and reports whether it was on its way for too long.
func (o *owner) isDelayed(at time.Time, sentMicros int64) bool {
	delay := clock.Micros(at) - sentMicros
	if !o.hasMinDelay || delay < o.minDelayMicros {
		o.minDelayMicros, o.hasMinDelay = delay, true
	}
	return time.Duration(delay-o.minDelayMicros)*time.Microsecond > maxMessageDelay
}

// recordTimes takes the times of a message of the entry.
func (o *owner) recordTimes(sentMicros, echoMicros int64) {
	o.heardMicros = sentMicros
	if echoMicros > 0 {
		o.echoedAt = maxTime(o.echoedAt, clock.FromMicros(echoMicros))
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e linkUp) apply(c *control, now time.Time) {
	hello := e.link.Peer().Hello
	id := runs.Owner(hello.Incarnation)
	for other, o := range c.owners {
		if o.id == hello.ID && other != id {
			c.log.WithField("entry", o.id).Info("agent: entry has restarted, the runs of its former process are ended")
			c.dropOwner(now, other, o)
		}
	}
	o := c.owners[id]
	if o == nil {
		o = &owner{id: hello.ID, log: c.log, loadInterval: minLoadInterval}
		c.owners[id] = o
	}
	if o.link != nil && o.link != e.link {
		o.link.Close(link.ErrClosed)
	}
	o.link, o.hasMinDelay, o.loadPending, o.infoPending, o.loadSentAt = e.link, false, true, true, time.Time{}
	o.echoedAt = maxTime(o.echoedAt, e.dialled) // the handshake that began then has proved the contact
	c.log.WithFields(log.Fields{"entry": o.id, "incarnation": hello.Incarnation}).Info("agent: link to an entry is open")
	c.agent.options.Metrics.Links.Add(1)
}

func (e linkDown) apply(c *control, _ time.Time) {
	hello := e.link.Peer().Hello
	c.agent.options.Metrics.Links.Add(-1)
	o := c.owners[runs.Owner(hello.Incarnation)]
	if o == nil || o.link != e.link {
		return
	}
	o.link = nil // its runs stay until the silence time has passed
	c.log.WithFields(log.Fields{"entry": o.id, "cause": e.cause.Error()}).Warn("agent: link to an entry is lost")
}

func (e received) apply(c *control, now time.Time) {
	id := runs.Owner(e.link.Peer().Hello.Incarnation)
	o := c.owners[id]
	if o == nil || o.link != e.link {
		return
	}
	switch m := e.message.(type) {
	case *wire.Offers:
		if o.isDelayed(e.at, m.SentMicros) {
			c.log.WithFields(log.Fields{"entry": o.id, "offers": len(m.Offers)}).Warn("agent: offers were held up, link is closed")
			o.link.Close(link.ErrSilent)
			return
		}
		o.recordTimes(m.SentMicros, m.HeardMicros)
		c.applyOffers(now, id, o, m)
	case *wire.Beat:
		if o.isDelayed(e.at, m.SentMicros) {
			return
		}
		o.recordTimes(m.SentMicros, m.HeardMicros)
		o.loadInterval = loadInterval(time.Duration(m.LoadMillis) * time.Millisecond)
	case *wire.CatalogPush:
		c.applyCatalog(o, m)
	case *wire.CatalogPull:
		c.sendCatalog(o)
	case *wire.EntryAddresses:
		c.diallers.add(m.Addresses)
	}
}

func (c *control) applyOffers(now time.Time, id runs.Owner, o *owner, m *wire.Offers) {
	if m.Resume {
		c.reconcileOffers(now, id, o, m.Outstanding)
	}
	for _, offer := range m.Offers {
		o.highestOffer = max(o.highestOffer, offer.Number)
		c.table.AddOffer(now, id, offer)
	}
	for _, number := range m.Withdraw {
		c.table.WithdrawOffer(now, id, number)
	}
	c.loadDirty = true
}

// reconcileOffers compares the offers that an entry believes to be here with those that are.
func (c *control) reconcileOffers(now time.Time, id runs.Owner, o *owner, outstanding []uint64) {
	listed := make(map[uint64]bool, len(outstanding))
	for _, number := range outstanding {
		listed[number] = true
		o.highestOffer = max(o.highestOffer, number)
		if c.table.HasOffer(id, number) {
			o.pendingReport.Held = append(o.pendingReport.Held, number)
			continue
		}
		o.pendingReport.Ends = append(o.pendingReport.Ends, o.recordedEnd(number))
	}
	for _, number := range c.table.OfferNumbers(id) {
		if !listed[number] {
			c.table.WithdrawOffer(now, id, number)
		}
	}
}

// recordedEnd returns the recorded end of an offer. One without a record never arrived: the table answers every offer.
func (o *owner) recordedEnd(number uint64) wire.RunEnd {
	for i := len(o.recentEnds) - 1; i >= 0; i-- {
		if o.recentEnds[i].Number == number {
			return o.recentEnds[i]
		}
	}
	return wire.RunEnd{Number: number, Outcome: wire.RunStopped, Reason: "the offer is not known to the agent"}
}

// applyCatalog takes a newer catalog and tells all entries at once that it can be asked for.
func (c *control) applyCatalog(o *owner, m *wire.CatalogPush) {
	if m.Version <= catalog.VersionOf(c.catalog) {
		return
	}
	decoded, err := catalog.Decode(m.Body)
	if err != nil {
		c.log.WithError(err).Error("agent: catalog cannot be decoded")
		return
	}
	c.catalog = decoded
	for _, other := range c.owners {
		other.echoSentAt = time.Time{}
	}
	c.log.WithFields(log.Fields{"entry": o.id, "version": decoded.Version}).Info("agent: catalog received")
}
