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

// maxHeldUp is by how much a message may take longer than the fastest one on its link. An order that was held up for
// longer may have been given up by the entry.
const maxHeldUp = runs.OwnerSilence

// endMemory is the number of ends that are kept for an entry whose link broke before it got them.
const endMemory = 256

// owner is an entry as the agent knows it.
type owner struct {
	id   string // of the entry
	link *link.Link
	log  log.Interface
	// echoed is when the last message was sent that the entry has echoed. The runs of the entry end when it is too old.
	echoed      time.Time
	heardMicros int64 // the entry's SentMicros of its last message
	// fastest is the smallest difference between arrival and sending in microseconds.
	fastest    int64
	hasFastest bool
	// highest is the highest offer number that was received.
	highest  uint64
	sentAt   time.Time // when the last message with a time was sent
	loadAt   time.Time
	loadOwed bool
	infoOwed bool
	// loadInterval is the least time between two load reports without ends; the entry sets it.
	loadInterval time.Duration
	report       wire.RunReport
	ends         []wire.RunEnd // the latest ends, for a resumed link
}

func (o *owner) send(m wire.Message) {
	if o.link == nil {
		return
	}
	if err := o.link.Send(m); err != nil {
		o.log.WithFields(log.Fields{"entry": o.id, "error": err.Error()}).Debug("agent: message not sent, the link is closing")
	}
}

// take collects a message for the next report.
func (o *owner) take(m runs.Message) {
	if m.End == nil {
		o.report.Began = append(o.report.Began, m.Began)
		return
	}
	o.report.Ends = append(o.report.Ends, *m.End)
	o.ends = append(o.ends, *m.End)
	if len(o.ends) > endMemory {
		o.ends = o.ends[len(o.ends)-endMemory:]
	}
}

// flush sends what was collected, with the load. A load without ends is sent at most once in the interval.
func (o *owner) flush(now time.Time, load wire.WorkerLoad, info wire.WorkerInfo, changed bool) {
	if o.link == nil {
		o.report = wire.RunReport{}
		return
	}
	o.loadOwed = o.loadOwed || changed
	ends := len(o.report.Ends)+len(o.report.Held) > 0
	if !ends && (!o.loadOwed || now.Sub(o.loadAt) < o.loadInterval) {
		return
	}
	report := o.report
	o.report = wire.RunReport{}
	o.loadOwed, o.loadAt, o.sentAt = false, now, now
	load.Seen = o.highest
	report.Load, report.SentMicros = &load, clock.Micros(now)
	if o.infoOwed {
		report.Info, o.infoOwed = &info, false
	}
	o.send(&report)
}

// heldUp notes the arrival of a message and reports whether it was on its way for too long.
func (o *owner) heldUp(at time.Time, sentMicros int64) bool {
	delay := clock.Micros(at) - sentMicros
	if !o.hasFastest || delay < o.fastest {
		o.fastest, o.hasFastest = delay, true
	}
	return time.Duration(delay-o.fastest)*time.Microsecond > maxHeldUp
}

// hear takes the times of a message of the entry.
func (o *owner) hear(sentMicros, echoMicros int64) {
	o.heardMicros = sentMicros
	if echoMicros > 0 {
		o.echoed = maxTime(o.echoed, clock.FromMicros(echoMicros))
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
	o.link, o.hasFastest, o.loadOwed, o.infoOwed, o.loadAt = e.link, false, true, true, time.Time{}
	o.echoed = maxTime(o.echoed, e.dialled) // the handshake that began then has proved the contact
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
		if o.heldUp(e.at, m.SentMicros) {
			c.log.WithFields(log.Fields{"entry": o.id, "offers": len(m.Offers)}).Warn("agent: offers were held up, link is closed")
			o.link.Close(link.ErrSilent)
			return
		}
		o.hear(m.SentMicros, m.HeardMicros)
		c.takeOffers(now, id, o, m)
	case *wire.Beat:
		if o.heldUp(e.at, m.SentMicros) {
			return
		}
		o.hear(m.SentMicros, m.HeardMicros)
		o.loadInterval = loadInterval(time.Duration(m.LoadMillis) * time.Millisecond)
	case *wire.CatalogPush:
		c.takeCatalog(o, m)
	case *wire.CatalogPull:
		c.relay(o)
	case *wire.EntryAddresses:
		c.dials.add(m.Addresses)
	}
}

func (c *control) takeOffers(now time.Time, id runs.Owner, o *owner, m *wire.Offers) {
	if m.Resume {
		c.resume(now, id, o, m.Outstanding)
	}
	for _, offer := range m.Offers {
		o.highest = max(o.highest, offer.Number)
		c.table.Offer(now, id, offer)
	}
	for _, number := range m.Withdraw {
		c.table.Withdraw(now, id, number)
	}
	c.loadDirty = true
}

// resume compares the offers that an entry believes to be here with those that are.
func (c *control) resume(now time.Time, id runs.Owner, o *owner, outstanding []uint64) {
	listed := make(map[uint64]bool, len(outstanding))
	for _, number := range outstanding {
		listed[number] = true
		o.highest = max(o.highest, number)
		if c.table.Has(id, number) {
			o.report.Held = append(o.report.Held, number)
			continue
		}
		o.report.Ends = append(o.report.Ends, o.endOf(number))
	}
	for _, number := range c.table.Numbers(id) {
		if !listed[number] {
			c.table.Withdraw(now, id, number)
		}
	}
}

// endOf returns the recorded end of an offer. One without a record never arrived: the table answers every offer.
func (o *owner) endOf(number uint64) wire.RunEnd {
	for i := len(o.ends) - 1; i >= 0; i-- {
		if o.ends[i].Number == number {
			return o.ends[i]
		}
	}
	return wire.RunEnd{Number: number, Outcome: wire.RunStopped, Reason: "the offer is not known to the agent"}
}

// takeCatalog takes a newer catalog and tells all entries at once that it can be asked for.
func (c *control) takeCatalog(o *owner, m *wire.CatalogPush) {
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
		other.sentAt = time.Time{}
	}
	c.log.WithFields(log.Fields{"entry": o.id, "version": decoded.Version}).Info("agent: catalog received")
}
