package jobentry

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// tickInterval is the resolution of deadlines and of the detection of silent agents.
const tickInterval = 20 * time.Millisecond

// forgetAfter is the time after which an agent without contact is forgotten.
const forgetAfter = 30 * time.Second

// event is something that the control goroutine takes.
type event interface {
	apply(c *control, now time.Time)
}

type (
	linkUp   struct{ link *link.Link }
	linkDown struct {
		link  *link.Link
		cause error
	}
	received struct {
		link    *link.Link
		message wire.Message
	}
	catalogRead struct{ catalog *catalog.Catalog }
	entriesRead struct{ addresses []string }
	seedsRead   struct{ addresses []string }
	submitted   struct {
		submission Submission
		waiter     *waiter
	}
	submitterLeft struct {
		job    string
		waiter *waiter
	}
)

// control owns the control state of an entry.
type control struct {
	entry     *Entry
	log       log.Interface
	scheduler *scheduler.Scheduler
	agents    map[scheduler.AgentID]*contact
	// addresses are those of announced entries, seeds those of the settings, which also serve while the store is out.
	addresses, seeds []string
	body             []byte // the encoded catalog
	// behindSince is when an agent first showed a newer catalog, pulledAt when one was last asked for it.
	behindSince, pulledAt time.Time
	// refusing is set at the end of a planned stop: jobs are refused as not run.
	refusing bool
}

// contact is the connection to one agent.
type contact struct {
	id          scheduler.AgentID
	link        *link.Link // nil while the agent is out of contact
	incarnation uint64
	heard       time.Time // when the last message arrived
	heardMicros int64     // the agent's SentMicros of its last message
	sentAt      time.Time // when the last message with an echo was sent
	version     uint64    // of the agent's catalog
	out         wire.Offers
}

func newControl(e *Entry) *control {
	return &control{
		entry: e, log: e.options.Log, agents: make(map[scheduler.AgentID]*contact),
		scheduler: scheduler.New(scheduler.DefaultConfig(e.options.DataCentre)),
	}
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
			c.noteLag(c.entry.options.Clock.Now())
			c.dispatch(nil)
		}
	}
}

// noteLag takes the time of a tick and tells when the entry ceases to keep up with its work and when it does again.
func (c *control) noteLag(now time.Time) {
	o := &c.entry.overload
	if !o.tick(now) {
		return
	}
	fields := log.Fields{"lag_ms": o.mean.Milliseconds(), "open": c.scheduler.Open(), "waiting": c.scheduler.Waiting()}
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

// dispatch applies an event and those that wait behind it, and then sends what follows from them.
func (c *control) dispatch(e event) {
	now := c.entry.options.Clock.Now()
	if e != nil {
		e.apply(c, now)
	}
	for range len(c.entry.events) {
		(<-c.entry.events).apply(c, now)
	}
	c.checkSilence(now)
	c.pullCatalog(now)
	c.scheduler.Advance(now)
	c.flush(now)
	c.beats(now)
	c.entry.serving.Store(int64(c.scheduler.Linked("")))
}

// flush sends the offers and delivers the answers that the scheduler decided on.
func (c *control) flush(now time.Time) {
	offers, answers := c.scheduler.Take()
	for _, o := range offers {
		a := c.agents[o.Agent]
		if a == nil || a.link == nil {
			continue // AgentLost has told the scheduler, or will
		}
		if o.Offer != nil {
			a.out.Offers = append(a.out.Offers, *o.Offer)
			c.entry.options.Metrics.Offers.Add(1)
		} else {
			a.out.Withdraw = append(a.out.Withdraw, o.Withdraw)
		}
	}
	for _, a := range c.agents {
		if len(a.out.Offers)+len(a.out.Withdraw) > 0 {
			c.sendOffers(now, a)
		}
	}
	for _, answer := range answers {
		c.deliver(now, answer)
	}
}

func (c *control) sendOffers(now time.Time, a *contact) {
	m := a.out
	a.out, a.sentAt = wire.Offers{}, now
	m.SentMicros, m.HeardMicros = clock.Micros(now), a.heardMicros
	c.send(a, &m)
}

func (c *control) send(a *contact, m wire.Message) {
	if a.link == nil {
		return
	}
	if err := a.link.Send(m); err != nil {
		c.log.WithFields(log.Fields{"agent": a.id, "error": err.Error()}).Debug("entry: message not sent, the link is closing")
	}
}

func (c *control) deliver(now time.Time, a scheduler.Answer) {
	c.entry.options.Metrics.answered(a, now)
	c.logAnswer(now, a)
	waiters, _ := a.Job.Handle.([]*waiter)
	for _, w := range waiters {
		w.answer <- a
	}
}

func (c *control) logAnswer(now time.Time, a scheduler.Answer) {
	j := a.Job
	fields := log.Fields{
		"job": j.Spec.ID, "queue": j.Queue.Name, "config": j.Catalog, "outcome": outcomeName(a.Outcome), "reason": a.Reason,
		"took_ms": now.Sub(j.Arrived).Milliseconds(), "tasks": j.Spec.TaskCount(), "offers": j.Offered, "began": j.Began,
		"ends": j.Ends, "failures": j.Failures, "budget_ms": j.Deadline.Sub(j.Arrived).Milliseconds(), "agents": c.entry.serving.Load(), "waiting": c.scheduler.Waiting(),
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

func (e submitted) apply(c *control, now time.Time) {
	s := e.submission
	j := &scheduler.Job{
		Spec: s.Job, Queue: s.Queue, Catalog: s.Catalog, Arrived: now, Deadline: s.Deadline, Handle: []*waiter{e.waiter},
	}
	if c.refusing {
		c.deliver(now, scheduler.Answer{Job: j, Outcome: scheduler.NotRun, Reason: "the entry stops", RetryAfter: restartRetry})
		return
	}
	if joined := c.scheduler.Submit(now, j); joined != nil {
		waiters, _ := joined.Handle.([]*waiter)
		joined.Handle = append(waiters, e.waiter)
		joined.Deadline = maxTime(joined.Deadline, s.Deadline)
		c.log.WithField("job", s.Job.ID).Info("entry: job was submitted again and joins the open one")
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
	c.entry.options.Metrics.Left.Add(1)
	c.log.WithFields(log.Fields{
		"job": e.job, "queue": j.Queue.Name, "took_ms": now.Sub(j.Arrived).Milliseconds(), "began": j.Began,
	}).Info("entry: caller left, job is cancelled")
	c.scheduler.Cancel(now, e.job)
}

func (e catalogRead) apply(c *control, _ time.Time) { c.takeCatalog(e.catalog, "store") }

// takeCatalog puts a newer configuration into force and tells the agents.
func (c *control) takeCatalog(next *catalog.Catalog, source string) {
	if !next.Newer(c.entry.Catalog()) {
		return
	}
	body, err := catalog.Encode(next)
	if err != nil {
		c.log.WithError(err).Error("entry: catalog cannot be encoded")
		return
	}
	c.log.WithFields(log.Fields{
		"version": next.Version, "former": catalog.VersionOf(c.entry.Catalog()), "queues": len(next.Queues), "source": source,
	}).Info("entry: configuration is in force")
	c.entry.catalog.Store(next)
	c.body = body
	for _, a := range c.agents {
		if a.version < next.Version {
			c.send(a, &wire.CatalogPush{Version: next.Version, Body: body})
		}
	}
}

func (e entriesRead) apply(c *control, _ time.Time) {
	c.addresses = e.addresses
	c.tellAddresses()
}

func (e seedsRead) apply(c *control, _ time.Time) {
	c.seeds = e.addresses
	c.tellAddresses()
}

// tellAddresses tells all agents where entries accept links.
func (c *control) tellAddresses() {
	for _, a := range c.agents {
		c.sendAddresses(a)
	}
}

func (c *control) sendAddresses(a *contact) {
	addresses := append(slices.Clone(c.addresses), c.seeds...)
	slices.Sort(addresses)
	if addresses = slices.Compact(addresses); len(addresses) > 0 {
		c.send(a, &wire.EntryAddresses{Addresses: addresses})
	}
}
