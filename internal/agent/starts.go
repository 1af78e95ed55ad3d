package agent

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/agent/slots"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const (
	// ackDelay is the time after which an attempt without a result is acknowledged.
	ackDelay = 100 * time.Millisecond
	// ackSlack lets one message acknowledge the attempts of the next few milliseconds, too.
	ackSlack = 10 * time.Millisecond
	// documentWait bounds how long a start waits for the document that it names.
	documentWait = 200 * time.Millisecond
)

// attempt is a start that the agent has taken and that has no result yet.
type attempt struct {
	id        records.Ref
	start     *wire.Start
	received  time.Time
	deadline  time.Time
	began     time.Time // zero until the upstream is called
	holdUntil time.Time
}

// waits reports whether the attempt has not begun.
func (a *attempt) waits() bool { return a.began.IsZero() }

type dueAck struct {
	at time.Time
	id records.Ref
}

// startReceived is a Start that arrived on a link.
type startReceived struct {
	link  *link.Link
	start *wire.Start
	at    time.Time
}

func (e startReceived) apply(c *control) {
	s := e.start
	if s.Home != e.link.Peer().Hello.ID {
		e.link.Close(errWrongHome)
		return
	}
	c.route(s.HomeIncarnation, e.link)
	if c.leaving != nil {
		c.leaving.lastStart = e.at
	}
	a := &attempt{id: records.RefOf(s), start: s, received: e.at, deadline: e.at.Add(budget(s))}
	admission := c.records.Admit(e.at, s, c.localReason(a))
	switch admission.Verdict {
	case records.Run:
		c.take(a)
	case records.Reply:
		c.agent.metrics.count(admission.Result)
		c.send(a.id.HomeIncarnation, admission.Result)
	case records.AlreadyOpen:
		c.sendTo(s.HomeIncarnation, &wire.Accepted{Attempts: []uint64{s.Attempt}})
	}
}

func budget(s *wire.Start) time.Duration {
	return min(time.Duration(s.BudgetMillis)*time.Millisecond, wire.MaxDeadline)
}

// localReason returns why the agent itself cannot take an attempt, whatever its records say.
func (c *control) localReason(a *attempt) wire.RefusalReason {
	switch {
	case !slices.Contains(c.options.Services, a.start.Service):
		return wire.RefusedInvalid
	case c.leaving != nil:
		return wire.RefusedLeaving
	case a.start.BudgetMillis == 0:
		return wire.RefusedExpired
	case c.slots.WouldRefuse(a.task()), len(c.held) >= c.options.Slots+c.options.Queue:
		return wire.RefusedBusy
	default:
		return wire.RefusedNone
	}
}

func (a *attempt) task() slots.Task[records.Ref] {
	s := a.start
	return slots.Task[records.Ref]{ID: a.id, Service: s.Service, Urgent: s.Urgent, Long: s.Long, Deadline: a.deadline}
}

// take holds the attempt until its document is there or gives it to the slots.
func (c *control) take(a *attempt) {
	c.agent.metrics.starts.Add(1)
	c.attempts[a.id] = a
	c.acks = append(c.acks, dueAck{a.received.Add(ackDelay), a.id})
	if c.documents.revision(a.start.Service) >= a.start.DocumentRevision {
		c.enqueue(a)
		return
	}
	a.holdUntil = a.received.Add(documentWait)
	c.held = append(c.held, a)
	c.pullDocuments(c.homes[a.id.HomeIncarnation].link)
}

func (c *control) enqueue(a *attempt) {
	switch c.slots.Add(a.task()) {
	case slots.Running:
		c.call(a)
	case slots.Busy:
		c.refuse(a, wire.RefusedBusy)
	}
}

// releaseOverdue lets the attempts run whose document did not arrive in time.
func (c *control) releaseOverdue(now time.Time) {
	c.release(func(a *attempt) bool {
		if now.Before(a.holdUntil) {
			return false
		}
		c.options.Log.WithFields(log.Fields{
			"service": a.start.Service, "wanted": a.start.DocumentRevision, "have": c.documents.revision(a.start.Service),
		}).Warn("agent: document did not arrive in time, running with the former one")
		return true
	})
}

// release gives the held attempts for which ready returns true to the slots.
func (c *control) release(ready func(*attempt) bool) {
	if len(c.held) == 0 {
		return
	}
	held := c.held
	c.held = nil
	for _, a := range held {
		if ready(a) {
			c.enqueue(a)
		} else {
			c.held = append(c.held, a)
		}
	}
}

// startWaiting refuses the waiting attempts whose deadline has passed and calls the upstream for those with a slot.
func (c *control) startWaiting(now time.Time) {
	start, expired := c.slots.Dequeue(now)
	for _, task := range expired {
		c.refuse(c.attempts[task.ID], wire.RefusedExpired)
	}
	for _, task := range start {
		c.call(c.attempts[task.ID])
	}
}

// call starts the call to the upstream in a goroutine of its own.
func (c *control) call(a *attempt) {
	a.began = c.now()
	if !a.deadline.After(a.began) {
		c.slots.Release(a.id)
		c.refuse(a, wire.RefusedExpired)
		return
	}
	if !c.records.Running(a.id) {
		c.options.Log.WithField("attempt", a.id.Attempt).Error("agent: attempt is not open in the start records")
		c.slots.Release(a.id)
		delete(c.attempts, a.id)
		return
	}
	s := a.start
	request := Request{
		Key: s.Key, Task: s.Task, Attempt: s.Attempt,
		Method: s.Method, Path: s.Path, Headers: s.Headers, Body: s.Body,
	}
	ctx, cancel := context.WithTimeout(c.calls, a.deadline.Sub(a.began))
	agent, caller := c.agent, c.options.Caller
	go func() {
		defer cancel()
		response, err := caller.Call(ctx, request)
		agent.post(callEnded{id: a.id, response: response, err: err, expired: ctx.Err() != nil})
	}()
}

// acknowledge sends one Accepted to each home with attempts that have been without a result for ackDelay.
func (c *control) acknowledge(now time.Time) {
	if len(c.acks) == 0 || now.Before(c.acks[0].at) {
		return
	}
	due := make(map[uint64][]uint64)
	for len(c.acks) > 0 && !now.Add(ackSlack).Before(c.acks[0].at) {
		id := c.acks[0].id
		c.acks = c.acks[1:]
		if c.attempts[id] != nil {
			due[id.HomeIncarnation] = append(due[id.HomeIncarnation], id.Attempt)
		}
	}
	for incarnation, attempts := range due {
		c.sendTo(incarnation, &wire.Accepted{Attempts: attempts})
	}
}
