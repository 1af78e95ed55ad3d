package agent

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/agent/slots"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// expireInterval is the time between two passes over the start records and homes.
const expireInterval = time.Second

// event is something that the control goroutine reacts to.
type event interface{ apply(c *control) }

// control owns the state of an agent. Its methods are called by the control goroutine only.
type control struct {
	agent     *Agent
	options   *Options
	documents documents
	records   *records.Table
	slots     *slots.Table[records.Ref]
	attempts  map[records.Ref]*attempt // taken and without a result
	held      []*attempt               // wait for a newer document
	acks      []dueAck
	links     map[*link.Link]uint64 // digest of documents that the peer sent last
	homes     map[uint64]*homeState // by incarnation
	targets   targets
	leaving   *leaving
	expireAt  time.Time
	calls     context.Context // ends when the control goroutine ends
}

func newControl(a *Agent) *control {
	c := &control{
		agent:     a,
		options:   &a.options,
		documents: newDocuments(a.options.Services),
		records: records.New(records.Config{
			Retention: a.options.Retention, MaxRecords: a.options.Records, MaxResultBytes: a.options.ResultBytes,
		}),
		slots:    slots.New[records.Ref](min(a.options.Slots, a.options.Connections), a.options.Queue),
		attempts: make(map[records.Ref]*attempt),
		links:    make(map[*link.Link]uint64),
		homes:    make(map[uint64]*homeState),
	}
	c.targets = newTargets(c)
	return c
}

// Serve implements suture.Service.
func (c *control) Serve(ctx context.Context) error {
	defer close(c.agent.done)
	defer c.closeLinks()
	c.calls = ctx
	c.targets.update(c.now())
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
		timer.Reset(c.wakeAt(now).Sub(now))
	}
}

// String implements fmt.Stringer for the supervisor.
func (c *control) String() string { return "agent control" }

func (c *control) now() time.Time { return c.options.Clock.Now() }

// tick does what has become due.
func (c *control) tick(now time.Time) {
	c.releaseOverdue(now)
	c.startWaiting(now)
	c.acknowledge(now)
	if !now.Before(c.expireAt) {
		c.expireAt = now.Add(expireInterval)
		c.records.Expire(now)
		c.expireHomes(now)
		c.targets.expire(now)
	}
	if c.leaving != nil {
		c.leaving.check(c, now)
	}
	c.agent.linked.Store(int64(len(c.links)))
	c.agent.metrics.observe(c)
}

// wakeAt returns the time at which tick has something to do although no event came.
func (c *control) wakeAt(now time.Time) time.Time {
	wake := c.expireAt
	earlier := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	if deadline, ok := c.slots.EarliestDeadline(); ok {
		earlier(deadline)
	}
	if len(c.acks) > 0 {
		earlier(c.acks[0].at)
	}
	for _, a := range c.held {
		earlier(a.holdUntil)
	}
	if c.leaving != nil {
		earlier(now.Add(leaveCheckInterval))
	}
	return wake
}

func (c *control) load() wire.Load {
	load := c.slots.Load()
	return wire.Load{
		Running:     uint16(load.Running),
		RunningLong: uint16(load.RunningLong),
		Queued:      uint16(load.Queued + len(c.held)),
	}
}

func (c *control) closeLinks() {
	for l := range c.links {
		l.Close(link.ErrClosed)
	}
}
