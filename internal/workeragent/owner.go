package workeragent

import (
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxMessageDelay is the largest delay of a message in excess of the fastest one on its link. The entry may have given up an
// offer that took longer.
const maxMessageDelay = runs.OwnerTimeout

// maxRecentEnds is the number of ends that are kept for an entry whose link may have broken before it received them.
const maxRecentEnds = 256

// owner is the state of an entry whose offers this agent accepts.
type owner struct {
	id   string // host id of the entry
	link *link.Link
	log  log.Interface
	// echoedAt is when the last message was sent that the entry has echoed.
	echoedAt time.Time
	// idleEndedAt is when the entry sent the first offer after an idle time of the link.
	idleEndedAt time.Time
	// idleInterval is the interval of heartbeats while the entry has no open offer here. The entry sets it.
	idleInterval       time.Duration
	lastReceivedMicros int64 // SentMicros of the entry's last message, to be echoed
	// minDelayMicros is the smallest difference between the arrival and the sending time of a message on the link, which
	// includes the offset of the clocks.
	minDelayMicros int64
	hasMinDelay    bool
	// highestOffer is the highest offer number received.
	highestOffer uint64
	evacuation   evacuation.Peer
	echoSentAt   time.Time // when the last message with an echo was sent
	loadSentAt   time.Time
	loadPending  bool
	infoPending  bool
	// versionPending is set when the version of the agent's configuration has to be reported at once.
	versionPending bool
	notice         *wire.CatalogNotice // the last one on the link; nil if there was none
	// loadInterval is the shortest interval between two load reports without ends. The entry sets it.
	loadInterval  time.Duration
	demand        []int64 // of the entry, see wire.Heartbeat
	pendingReport wire.RunReport
	recentEnds    []wire.RunEnd // reported again if the entry asks for them on a new link
}

func (o *owner) send(m wire.Message) {
	if o.link == nil {
		return
	}
	if err := o.link.Send(m); err != nil {
		o.log.WithFields(log.Fields{"entry": o.id, "error": err.Error()}).Debug("agent: message not sent, the link is closing")
	}
}

// addEvent adds an event of the table to the next report.
func (o *owner) addEvent(event runs.RunEvent) {
	if event.End == nil {
		o.pendingReport.StartedOffers = append(o.pendingReport.StartedOffers, event.StartedOffer)
		return
	}
	o.pendingReport.Ends = append(o.pendingReport.Ends, *event.End)
	o.recentEnds = append(o.recentEnds, *event.End)
	if len(o.recentEnds) > maxRecentEnds {
		o.recentEnds = o.recentEnds[len(o.recentEnds)-maxRecentEnds:]
	}
}

// flush sends the pending report, with the load. A report of ended or held offers is sent at once, any other only when the
// load has changed and loadInterval has passed.
func (o *owner) flush(now time.Time, load wire.WorkerLoad, info wire.WorkerInfo, loadChanged bool) {
	if o.link == nil {
		o.pendingReport = wire.RunReport{}
		return
	}
	o.loadPending = o.loadPending || loadChanged
	mustSend := len(o.pendingReport.Ends)+len(o.pendingReport.HeldOffers) > 0
	if !mustSend && (!o.loadPending || now.Sub(o.loadSentAt) < o.loadInterval) {
		return
	}
	report := o.pendingReport
	o.pendingReport = wire.RunReport{}
	o.loadPending, o.loadSentAt, o.echoSentAt = false, now, now
	load.Seen = o.highestOffer
	report.Load, report.SentMicros = &load, clock.BootMicros(now)
	if o.infoPending {
		info.Labels = boundLabels(info.Labels)
		report.Info, o.infoPending = &info, false
	}
	for _, part := range splitReport(report) {
		o.send(&part)
	}
}

// splitReport splits a report with more than maxEndsPerReport ends. Only the last part has the other fields that are not times,
// because the load includes all ends.
func splitReport(r wire.RunReport) []wire.RunReport {
	var parts []wire.RunReport
	for len(r.Ends) > maxEndsPerReport {
		parts = append(parts, wire.RunReport{SentMicros: r.SentMicros, Ends: r.Ends[:maxEndsPerReport]})
		r.Ends = r.Ends[maxEndsPerReport:]
	}
	return append(parts, r)
}

const (
	// maxEndsPerReport is the number of ends in one message. An end has up to 250 bytes, most of them its reason, and labels can
	// be in the same message.
	maxEndsPerReport = 24
	// maxLabelBytes is the size of the labels of a worker that are reported. An announcement can have up to 4 MiB.
	maxLabelBytes = 8 << 10
)

// boundLabels returns the first labels that have maxLabelBytes together.
func boundLabels(labels []string) []string {
	size := 0
	for i, label := range labels {
		if size += len(label) + 1; size > maxLabelBytes {
			return labels[:i]
		}
	}
	return labels
}

// excessDelay records the arrival of a message and returns by how much its delay exceeds that of the fastest one on the link.
func (o *owner) excessDelay(at time.Time, sentMicros int64) time.Duration {
	delay := clock.BootMicros(at) - sentMicros
	if !o.hasMinDelay || delay < o.minDelayMicros {
		o.minDelayMicros, o.hasMinDelay = delay, true
	}
	return time.Duration(delay-o.minDelayMicros) * time.Microsecond
}

// lastContact returns when the entry was last known to hear this agent: when the last echoed message was sent, or when the
// first offer after an idle time was, whichever is later.
func (o *owner) lastContact() time.Time { return maxTime(o.echoedAt, o.idleEndedAt) }

// silence returns the time without contact.
func (o *owner) silence(now time.Time) time.Duration { return now.Sub(o.lastContact()) }

// heartbeatInterval returns the longest time between two messages to the entry, which depends on whether it waits for the
// result of an offer.
func (o *owner) heartbeatInterval(busy bool) time.Duration {
	if busy {
		return runs.HeartbeatInterval
	}
	return o.idleInterval
}

// timeout returns the silence after which the entry is dropped.
func (o *owner) timeout(busy bool) time.Duration {
	if busy {
		return runs.OwnerTimeout
	}
	return runs.IdleTimeout(o.idleInterval)
}

// recordTimes records the sending time and the echoed time of a message of the entry.
func (o *owner) recordTimes(sentMicros, echoMicros int64) {
	o.lastReceivedMicros = sentMicros
	if echoMicros > 0 {
		o.echoedAt = maxTime(o.echoedAt, clock.FromBootMicros(echoMicros))
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
			c.log.WithField("entry", o.id).Info("agent: entry has restarted, the runs of its previous process are ended")
			c.dropOwner(now, other, o)
		}
	}
	o := c.owners[id]
	if o == nil {
		o = &owner{id: hello.ID, log: c.log, loadInterval: minLoadInterval, idleInterval: runs.HeartbeatInterval}
		c.owners[id] = o
	}
	if o.link != nil && o.link != e.link {
		o.link.Close(link.ErrClosed)
	}
	o.link, o.hasMinDelay, o.loadPending, o.infoPending, o.loadSentAt = e.link, false, true, true, time.Time{}
	o.versionPending, o.notice = true, nil
	c.catalogs.sender.RemovePeer(id)
	o.evacuation = evacuation.Peer{}
	c.sendEvacuation(now, o, c.evacuation.State())
	c.linksCheckedAt = time.Time{}
	o.echoedAt = maxTime(o.echoedAt, e.dialled) // the handshake proves that the entry was in contact when it began
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
	o.link = nil // its runs continue until runs.OwnerTimeout has passed
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
		delay := o.excessDelay(e.at, m.SentMicros)
		if delay > maxMessageDelay {
			c.log.WithFields(log.Fields{"entry": o.id, "offers": len(m.Offers)}).Warn("agent: offers arrived too late, closing the link")
			o.link.Close(link.ErrSilent)
			return
		}
		o.recordTimes(m.SentMicros, m.LastReceivedMicros)
		if m.EndsIdle {
			o.idleEndedAt = maxTime(o.idleEndedAt, e.at.Add(-delay))
		}
		if len(m.Demand) > 0 {
			o.demand = m.Demand
		}
		c.applyOffers(now, id, o, m)
	case *wire.Heartbeat:
		if o.excessDelay(e.at, m.SentMicros) > maxMessageDelay {
			return
		}
		o.recordTimes(m.SentMicros, m.LastReceivedMicros)
		o.demand = m.Demand
		o.loadInterval = loadInterval(time.Duration(m.LoadIntervalMillis) * time.Millisecond)
		o.idleInterval = idleInterval(time.Duration(m.IdleIntervalMillis) * time.Millisecond)
		o.evacuation.HeardRevision(m.EvacuationRevision)
	case *wire.Evacuations:
		c.applyEvacuations(now, o, m)
	case *wire.CatalogNotice:
		o.notice = m
	case *wire.CatalogPull:
		c.catalogs.sender.AddPull(id, m)
	case *wire.CatalogChunk:
		c.applyChunk(now, id, o, m)
	case *wire.EntryAddresses:
		c.diallers.add(m.Addresses)
	case *wire.JobQuery:
		c.relayJobQuery(id, m)
	case *wire.JobReply:
		if asker := c.owners[runs.Owner(m.Asker)]; asker != nil {
			asker.send(m)
		}
	}
}

// relayJobQuery passes a query about a job on to all other entries.
func (c *control) relayJobQuery(asker runs.Owner, m *wire.JobQuery) {
	m.Asker = uint64(asker)
	for id, o := range c.owners {
		if id != asker {
			o.send(m)
		}
	}
}

func (c *control) applyOffers(now time.Time, id runs.Owner, o *owner, m *wire.Offers) {
	if m.Resume {
		c.linksCheckedAt = time.Time{}
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

// reconcileOffers compares the offers that an entry believes this agent to have with the open ones. It reports which are
// held and how the others ended, and withdraws those that the entry does not list.
func (c *control) reconcileOffers(now time.Time, id runs.Owner, o *owner, outstanding []uint64) {
	listed := make(map[uint64]bool, len(outstanding))
	for _, number := range outstanding {
		listed[number] = true
		o.highestOffer = max(o.highestOffer, number)
		if c.table.HasOffer(id, number) {
			o.pendingReport.HeldOffers = append(o.pendingReport.HeldOffers, number)
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

// recordedEnd returns the end of an offer that is not open. An offer without a recorded end never arrived, because the table
// reports an end for every offer.
func (o *owner) recordedEnd(number uint64) wire.RunEnd {
	for i := len(o.recentEnds) - 1; i >= 0; i-- {
		if o.recentEnds[i].Number == number {
			return o.recentEnds[i]
		}
	}
	return wire.RunEnd{Number: number, Outcome: wire.RunStopped, Reason: "the offer is not known to the agent"}
}
