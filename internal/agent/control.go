package agent

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/agent/slots"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// expireInterval is the time between two removals of expired start records, homes and diallers.
const expireInterval = time.Second

// event is a message to the control goroutine, which calls apply.
type event interface{ apply(c *control) }

// control is the state of an agent. After newControl, only the control goroutine accesses it and calls its methods.
type control struct {
	agent           *Agent
	options         *Options
	revisions       documentRevisions
	records         *records.Table
	slots           *slots.Table[records.Ref]
	attempts        map[records.Ref]*attempt // accepted and without a result
	heldForDocument []*attempt               // accepted attempts that wait for a newer document
	pendingAcks     []pendingAck
	links           map[*link.Link]uint64 // open links, with the last document digest from the peer
	homes           map[uint64]*homeState // by incarnation of the entry
	dialTargets     dialTargets
	drain           *drainState // nil until the graceful shutdown begins
	nextExpiryAt    time.Time
	callContext     context.Context // ends when the control goroutine ends
}

func newControl(a *Agent) *control {
	c := &control{
		agent:     a,
		options:   &a.options,
		revisions: newDocumentRevisions(a.options.Services),
		records: records.New(records.Config{
			Retention: a.options.Retention, MaxRecords: a.options.Records, MaxResultBytes: a.options.ResultBytes,
		}),
		slots:    slots.New[records.Ref](min(a.options.Slots, a.options.Connections), a.options.Queue),
		attempts: make(map[records.Ref]*attempt),
		links:    make(map[*link.Link]uint64),
		homes:    make(map[uint64]*homeState),
	}
	c.dialTargets = newDialTargets(c)
	return c
}

// Serve implements suture.Service.
func (c *control) Serve(ctx context.Context) error {
	defer close(c.agent.controlDone)
	defer c.closeLinks()
	c.callContext = ctx
	c.dialTargets.syncWithList(c.now())
	timer := c.options.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.agent.events:
			e.apply(c)
		case <-timer.C():
		}
		now := c.now()
		c.tick(now)
		timer.Reset(c.nextWakeAt(now).Sub(now))
	}
}

// String implements fmt.Stringer for the supervisor.
func (c *control) String() string { return "agent control" }

func (c *control) now() time.Time { return c.options.Clock.Now() }

// tick performs the actions that are due. It runs after each event and at the time of nextWakeAt.
func (c *control) tick(now time.Time) {
	c.releaseOverdueAttempts(now)
	c.startQueued(now)
	c.sendDueAcks(now)
	if !now.Before(c.nextExpiryAt) {
		c.nextExpiryAt = now.Add(expireInterval)
		c.records.Expire(now)
		c.expireHomes(now)
		c.dialTargets.stopDueDiallers(now)
	}
	if c.drain != nil {
		c.drain.checkComplete(c, now)
	}
	c.agent.openLinks.Store(int64(len(c.links)))
	c.agent.metrics.setGauges(c)
}

// nextWakeAt returns the time of the next tick if no event arrives before.
func (c *control) nextWakeAt(now time.Time) time.Time {
	wake := c.nextExpiryAt
	wakeBy := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	if deadline, ok := c.slots.EarliestDeadline(); ok {
		wakeBy(deadline)
	}
	if len(c.pendingAcks) > 0 {
		wakeBy(c.pendingAcks[0].dueAt)
	}
	for _, a := range c.heldForDocument {
		wakeBy(a.holdUntil)
	}
	if c.drain != nil {
		wakeBy(now.Add(drainCheckInterval))
	}
	return wake
}

func (c *control) currentLoad() wire.Load {
	load := c.slots.Load()
	return wire.Load{
		Running:     uint16(load.Running),
		RunningLong: uint16(load.RunningLong),
		Queued:      uint16(load.Queued + len(c.heldForDocument)),
	}
}

func (c *control) closeLinks() {
	for l := range c.links {
		l.Close(link.ErrClosed)
	}
}
