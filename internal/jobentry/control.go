package jobentry

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// tickInterval is the resolution of deadlines and of the detection of silent agents.
const tickInterval = 20 * time.Millisecond

// forgetAgentAfter is the time without contact after which an agent is forgotten.
const forgetAgentAfter = 30 * time.Second

// event is applied to the control state by the control goroutine.
type event interface {
	apply(c *control, now time.Time)
}

type (
	// linkUp is a link that an agent has opened.
	linkUp struct{ link *link.Link }
	// linkDown is a closed link.
	linkDown struct {
		link  *link.Link
		cause error
	}
	// received is a message on a link.
	received struct {
		link    *link.Link
		message wire.Message
	}
	// entriesRead holds the link addresses of all announced entries.
	entriesRead struct{ addresses []string }
	// seedsRead holds the link addresses of entries in the settings.
	seedsRead struct{ addresses []string }
	// jobSubmitted is a job whose submitter waits for the answer.
	jobSubmitted struct {
		submission Submission
		waiter     *waiter
	}
	// submitterLeft means that a submitter no longer waits.
	submitterLeft struct {
		job    string
		waiter *waiter
	}
)

// control is the control state of an entry. Only the control goroutine accesses it.
type control struct {
	entry     *Entry
	log       log.Interface
	scheduler *scheduler.Scheduler
	agents    map[scheduler.AgentID]*agentConn
	// addresses are the link addresses of announced entries, seeds those in the settings, which also work during an outage
	// of the store.
	addresses, seeds []string
	catalogs         catalogState
	// linksCheckedAt is when the links of all agents were last checked.
	linksCheckedAt time.Time
	evacuation     evacuation.Tracker // the operator's requests to evacuate data centres
	// jobQueries holds the queries to other entries that wait for a reply, by number.
	jobQueries map[uint64]chan<- *wire.JobReply
	// refusingJobs is true at the end of a planned stop: new jobs are answered with NotRun.
	refusingJobs bool
	// peaks holds, for each service, whether jobs are refused by share; sharesCheckedAt is when that was last looked at.
	peaks           map[string]*peak
	sharesCheckedAt time.Time
}

// agentConn is the state of the connection to one agent.
type agentConn struct {
	id                 scheduler.AgentID
	link               *link.Link // nil while the agent is out of contact
	incarnation        uint64
	dataCentre         string
	lastReceivedAt     time.Time // when the last message arrived
	lastReceivedMicros int64     // SentMicros of the agent's last message, to be echoed
	echoSentAt         time.Time // when the last message with an echo was sent
	// busy is true while the entry has open offers at the agent; idleEndedAt is when it made the first one after an idle time.
	busy         bool
	idleEndedAt  time.Time
	pending      wire.Offers
	evacuation   evacuation.Peer
	demandSentAt time.Time // when the last message with the demand of this entry was sent
}

func newControl(e *Entry) *control {
	config := scheduler.DefaultConfig(e.options.DataCentre)
	config.AdmitByShares = e.options.AdmitByShares
	c := &control{
		entry: e, log: e.options.Log, agents: make(map[scheduler.AgentID]*agentConn), jobQueries: make(map[uint64]chan<- *wire.JobReply), peaks: make(map[string]*peak),
		scheduler: scheduler.New(config), catalogs: newCatalogState(e.options.CatalogBytesPerSecond),
	}
	c.scheduler.SetDataCentres(e.options.DataCentres)
	return c
}

func (c *control) run(ctx context.Context) {
	defer close(c.entry.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.closeLinks()
			return
		case e := <-c.entry.events:
			c.dispatch(e)
		case <-ticker.C:
			c.recordLag(c.entry.options.Clock.Now())
			c.dispatch(nil)
		}
	}
}

// recordLag records a tick, and logs when the entry becomes overloaded and when it has recovered.
func (c *control) recordLag(now time.Time) {
	o := &c.entry.overload
	if !o.recordTick(now) {
		return
	}
	fields := log.Fields{"lag_ms": o.meanLag.Milliseconds(), "open": c.scheduler.OpenJobs(), "waiting": c.scheduler.WaitingTasks()}
	if o.busy.Load() {
		c.log.WithFields(fields).Warn("entry: processor does not keep up, not ready for new connections")
	} else {
		c.log.WithFields(fields).Info("entry: processor keeps up again")
	}
}

func (c *control) closeLinks() {
	for _, a := range c.agents {
		if a.link != nil {
			a.link.Close(link.ErrClosed)
		}
	}
}

// dispatch applies an event and those that are queued behind it, and then sends the resulting messages and answers.
func (c *control) dispatch(e event) {
	now := c.entry.options.Clock.Now()
	if e != nil {
		e.apply(c, now)
	}
	for range len(c.entry.events) {
		(<-c.entry.events).apply(c, now)
	}
	checkLinks := now.Sub(c.linksCheckedAt) >= linkCheckInterval
	if checkLinks { // before anything is decided, because the process may have been paused
		c.linksCheckedAt = now
		c.closeSilentLinks(now)
		c.syncCatalog(now)
	}
	c.scheduler.Advance(now)
	c.flush(now)
	c.sendChunks(now)
	if checkLinks {
		c.sendHeartbeats(now)
		c.logShares(now)
		c.sendEvacuations(now)
		c.entry.allEvacuated.Store(c.scheduler.AllEvacuated())
		c.entry.availableAgents.Store(int64(c.scheduler.AvailableAgents("")))
	}
}

// linkCheckInterval is the interval at which the links of all agents are checked. Doing so after each event would cost more
// processor time than the events of an entry with 160 agents.
const linkCheckInterval = 10 * time.Millisecond

// flush sends the offers and withdrawals and delivers the answers that the scheduler has produced.
func (c *control) flush(now time.Time) {
	offers, answers := c.scheduler.TakeOutput()
	var recipients []*agentConn
	for _, o := range offers {
		a := c.agents[o.Agent]
		if a == nil || a.link == nil {
			continue // the scheduler gets AgentLost, which makes the message obsolete
		}
		if len(a.pending.Offers)+len(a.pending.Withdraw) == 0 {
			recipients = append(recipients, a)
		}
		if o.Offer != nil {
			a.pending.Offers = append(a.pending.Offers, *o.Offer)
			c.entry.options.Metrics.recordOffer(o)
			c.entry.options.Metrics.OffersTo.Add(a.dataCentre, 1)
		} else {
			a.pending.Withdraw = append(a.pending.Withdraw, o.Withdraw)
		}
	}
	for _, a := range recipients {
		c.sendOffers(now, a)
	}
	for _, answer := range answers {
		c.deliverAnswer(now, answer)
	}
}

func (c *control) sendOffers(now time.Time, a *agentConn) {
	m := a.pending
	a.pending, a.echoSentAt = wire.Offers{}, now
	m.SentMicros, m.LastReceivedMicros = clock.BootMicros(now), a.lastReceivedMicros
	m.EndsIdle = !a.busy && len(m.Offers) > 0
	if m.EndsIdle {
		a.idleEndedAt = now
	}
	a.busy = c.scheduler.HasOpenOffers(a.id)
	if now.Sub(a.demandSentAt) >= runs.HeartbeatInterval {
		a.demandSentAt, m.Demand = now, c.scheduler.Demand(now, a.id)
	}
	for _, part := range splitOffers(m) {
		c.send(a, &part)
	}
}

// maxMessageBytes is the size in bytes from which a message is split. A larger one delays what is sent behind it, and its parts
// show the agent earlier that the link works.
const maxMessageBytes = 12 << 10

// splitOffers splits a message whose offers exceed maxMessageBytes together. Only the first part has the other fields that are
// not times.
func splitOffers(m wire.Offers) []wire.Offers {
	var parts []wire.Offers
	for {
		size, n := 0, 0
		for n < len(m.Offers) && (n == 0 || size+m.Offers[n].EncodedBytes() <= maxMessageBytes) {
			size += m.Offers[n].EncodedBytes()
			n++
		}
		part := m
		part.Offers = m.Offers[:n]
		parts = append(parts, part)
		if n == len(m.Offers) {
			return parts
		}
		m = wire.Offers{SentMicros: m.SentMicros, LastReceivedMicros: m.LastReceivedMicros, Offers: m.Offers[n:]}
	}
}

func (c *control) send(a *agentConn, m wire.Message) {
	if a == nil || a.link == nil {
		return
	}
	if err := a.link.Send(m); err != nil {
		c.log.WithFields(log.Fields{"agent": a.id, "error": err.Error()}).Debug("entry: message not sent, the link is closing")
	}
}

func (c *control) deliverAnswer(now time.Time, a scheduler.Answer) {
	c.entry.options.Metrics.recordAnswer(a, now)
	c.logAnswer(now, a)
	waiters, _ := a.Job.Handle.([]*waiter)
	for _, w := range waiters {
		w.answer <- a
	}
}

func (c *control) logAnswer(now time.Time, a scheduler.Answer) {
	j := a.Job
	fields := log.Fields{
		"job": j.Spec.ID, "queue": j.Queue.Name, "config": j.CatalogVersion, "outcome": outcomeName(a.Outcome), "reason": a.Reason,
		"took_ms": now.Sub(j.Arrived).Milliseconds(), "tasks": j.Spec.TaskCount(), "offers": j.OffersMade, "reserved": j.Reservations, "began": j.TasksStarted,
		"ends": j.OffersEnded, "failures": j.RunFailures, "budget_ms": j.Deadline.Sub(j.Arrived).Milliseconds(), "agents": c.entry.availableAgents.Load(), "waiting": c.scheduler.WaitingTasks(),
	}
	if !j.FirstOffer.IsZero() {
		fields["first_offer_ms"] = j.FirstOffer.Sub(j.Arrived).Milliseconds()
	}
	c.log.WithFields(fields).Info("entry: job answered")
}

func outcomeName(o scheduler.Outcome) string {
	switch o {
	case scheduler.Complete:
		return "complete"
	case scheduler.Failed:
		return "failed"
	case scheduler.NotRun:
		return "not_run"
	case scheduler.Invalid:
		return "invalid"
	case scheduler.Unreachable:
		return "unreachable"
	default:
		return "given_up"
	}
}

func (e jobSubmitted) apply(c *control, now time.Time) {
	s := e.submission
	j := &scheduler.Job{
		Spec: s.Job, Queue: s.Queue, CatalogVersion: s.CatalogVersion, Arrived: now, Deadline: s.Deadline,
		Handle: []*waiter{e.waiter},
	}
	if c.refusingJobs {
		c.deliverAnswer(now, scheduler.Answer{Job: j, Outcome: scheduler.NotRun, Reason: "the entry stops", RetryAfter: restartRetryAfter})
		return
	}
	if joined := c.scheduler.Submit(now, j); joined != nil {
		waiters, _ := joined.Handle.([]*waiter)
		joined.Handle = append(waiters, e.waiter)
		joined.Deadline = maxTime(joined.Deadline, s.Deadline)
		c.log.WithField("job", s.Job.ID).Info("entry: resubmitted job joins the open one")
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e submitterLeft) apply(c *control, now time.Time) {
	j := c.scheduler.Job(e.job)
	if j == nil {
		return
	}
	waiters, _ := j.Handle.([]*waiter)
	waiters = slices.DeleteFunc(waiters, func(w *waiter) bool { return w == e.waiter })
	j.Handle = waiters
	if len(waiters) > 0 {
		return
	}
	c.entry.options.Metrics.CallersLeft.Add(1)
	c.log.WithFields(log.Fields{
		"job": e.job, "queue": j.Queue.Name, "took_ms": now.Sub(j.Arrived).Milliseconds(), "began": j.TasksStarted,
	}).Info("entry: caller left, job is cancelled")
	c.scheduler.Cancel(now, e.job)
}

func (e entriesRead) apply(c *control, _ time.Time) {
	c.addresses = e.addresses
	c.broadcastAddresses()
}

func (e seedsRead) apply(c *control, _ time.Time) {
	c.seeds = e.addresses
	c.broadcastAddresses()
}

// broadcastAddresses sends the link addresses of all entries to all agents.
func (c *control) broadcastAddresses() {
	for _, a := range c.agents {
		c.sendAddresses(a)
	}
}

func (c *control) sendAddresses(a *agentConn) {
	if addresses := mergeAddresses(c.seeds, c.addresses); len(addresses) > 0 {
		c.send(a, &wire.EntryAddresses{Addresses: addresses})
	}
}

// mergeAddresses returns the distinct addresses of both lists, as far as they fit into one message. Other clients of the store
// can write any number of addresses, so the seeds come first.
func mergeAddresses(seeds, announced []string) []string {
	var merged []string
	size, known := 0, make(map[string]bool)
	for _, address := range slices.Concat(seeds, announced) {
		if known[address] {
			continue
		}
		if size += len(address) + addressOverhead; size > maxMessageBytes {
			break
		}
		known[address] = true
		merged = append(merged, address)
	}
	return merged
}

// addressOverhead is the size in bytes of an encoded address besides its text.
const addressOverhead = 3
