package agent

import (
	"errors"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// callEnded is the end of a call to the upstream.
type callEnded struct {
	id       records.Ref
	response *Response
	err      error
	expired  bool // the deadline passed during the call
}

func (e callEnded) apply(c *control) {
	c.slots.Release(e.id)
	a := c.attempts[e.id]
	if a == nil {
		return
	}
	c.noteReachable(e)
	if reason := e.refusal(); reason != wire.RefusedNone {
		c.refuse(a, reason)
		return
	}
	result := e.result()
	result.Attempt = e.id.Attempt
	result.QueuedMicros = micros(a.began.Sub(a.received))
	result.ServiceMicros = micros(c.now().Sub(a.began))
	delete(c.attempts, e.id)
	c.records.Finish(c.now(), e.id, result)
	c.agent.metrics.count(result)
	c.send(e.id.HomeIncarnation, result)
}

// refusal returns why the attempt counts as not started, or RefusedNone when the upstream may have run it.
func (e callEnded) refusal() wire.RefusalReason {
	switch {
	case errors.Is(e.err, ErrInvalidRequest):
		return wire.RefusedInvalid
	case errors.Is(e.err, ErrNotReached) && e.expired:
		return wire.RefusedExpired
	case errors.Is(e.err, ErrNotReached):
		return wire.RefusedDown
	default:
		return wire.RefusedNone
	}
}

func (e callEnded) result() *wire.Result {
	if e.err != nil {
		return &wire.Result{State: wire.AttemptUnknown, Error: e.err.Error()}
	}
	r := e.response
	return &wire.Result{State: wire.AttemptDone, Status: r.Status, Headers: r.Headers, Body: r.Body}
}

func micros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), 1<<32-1))
}

// noteReachable logs when the upstream becomes unreachable or reachable. A call that ends before a connection was made
// because its own deadline passed tells nothing.
func (c *control) noteReachable(e callEnded) {
	down := errors.Is(e.err, ErrNotReached)
	if down && e.expired || errors.Is(e.err, ErrInvalidRequest) {
		return
	}
	if c.agent.upstreamDown.Swap(down) == down {
		return
	}
	if down {
		c.options.Log.WithError(e.err).Warn("agent: upstream is not reachable")
		return
	}
	c.options.Log.Info("agent: upstream is reachable again")
}

// refuse ends an attempt of which nothing was sent to the upstream.
func (c *control) refuse(a *attempt, reason wire.RefusalReason) {
	delete(c.attempts, a.id)
	result := c.records.Refuse(c.now(), a.id, reason)
	if result == nil {
		return
	}
	c.agent.metrics.count(result)
	c.send(a.id.HomeIncarnation, result)
}

// send sends a recorded result to its home. The record stays, so a lost message is answered by a later Query.
func (c *control) send(incarnation uint64, result *wire.Result) {
	result.Load = c.load()
	c.sendTo(incarnation, result)
	if state := c.homes[incarnation]; state != nil {
		state.noteResult(c.now())
	}
}

// sendTo sends a message on the newest link of a home. A link that takes no more messages is closed, so that the home
// queries its attempts on a new one.
func (c *control) sendTo(incarnation uint64, m wire.Message) {
	state := c.homes[incarnation]
	if state == nil || state.link == nil {
		return
	}
	if err := state.link.Send(m); errors.Is(err, link.ErrQueueFull) {
		state.link.Close(err)
	}
}

// cancelReceived asks for attempts not to start. Running ones go on.
type cancelReceived struct {
	link    *link.Link
	message *wire.Cancel
	at      time.Time
}

func (e cancelReceived) apply(c *control) {
	incarnation := e.link.Peer().Hello.Incarnation
	for _, result := range c.records.Cancel(e.at, incarnation, e.message.Attempts) {
		id := records.Ref{HomeIncarnation: incarnation, Attempt: result.Attempt}
		if a := c.attempts[id]; a != nil {
			c.drop(a)
			delete(c.attempts, id)
		}
		c.agent.metrics.count(result)
		c.send(incarnation, result)
	}
}

// drop removes an attempt that waits from the queue or from those that wait for a document.
func (c *control) drop(a *attempt) {
	c.slots.Cancel(a.id)
	c.held = slices.DeleteFunc(c.held, func(h *attempt) bool { return h == a })
}

// queryReceived asks for the state of open attempts.
type queryReceived struct {
	link    *link.Link
	message *wire.Query
	at      time.Time
}

func (e queryReceived) apply(c *control) {
	incarnation := e.link.Peer().Hello.Incarnation
	c.route(incarnation, e.link)
	reply, results := c.records.Query(e.at, incarnation, e.message.Attempts)
	for _, result := range results {
		c.agent.metrics.resent.Add(1)
		c.send(incarnation, result)
	}
	c.sendTo(incarnation, reply)
}
