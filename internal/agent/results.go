package agent

import (
	"errors"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// callEnded is the event of a call to the upstream that has ended.
type callEnded struct {
	ref            records.Ref
	response       *Response
	err            error
	deadlinePassed bool // the deadline passed before the call ended
}

func (e callEnded) apply(c *control) {
	c.slots.Release(e.ref)
	a := c.attempts[e.ref]
	if a == nil {
		return
	}
	c.updateUpstreamState(e)
	if reason := e.refusalReason(); reason != wire.RefusedNone {
		c.refuseAttempt(a, reason)
		return
	}
	result := e.result()
	result.Attempt = e.ref.Attempt
	result.QueuedMicros = microseconds(a.calledAt.Sub(a.receivedAt))
	result.ServiceMicros = microseconds(c.now().Sub(a.calledAt))
	delete(c.attempts, e.ref)
	c.records.Finish(c.now(), e.ref, result)
	c.agent.metrics.countResult(result)
	c.sendResult(e.ref.HomeIncarnation, result)
}

// refusalReason returns the reason why the attempt counts as not started, or RefusedNone if the upstream may have run it.
func (e callEnded) refusalReason() wire.RefusalReason {
	switch {
	case errors.Is(e.err, ErrInvalidRequest):
		return wire.RefusedInvalid
	case errors.Is(e.err, ErrNotReached) && e.deadlinePassed:
		return wire.RefusedExpired
	case errors.Is(e.err, ErrNotReached):
		return wire.RefusedUpstreamDown
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

// microseconds converts a duration to microseconds, limited to the range of uint32.
func microseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), 1<<32-1))
}

// updateUpstreamState sets and logs whether the upstream is reachable. It ignores a call whose deadline passed before a
// connection was made, because that does not show that the upstream is unreachable, and a call with an invalid request.
func (c *control) updateUpstreamState(e callEnded) {
	down := errors.Is(e.err, ErrNotReached)
	if down && e.deadlinePassed || errors.Is(e.err, ErrInvalidRequest) {
		return
	}
	if c.agent.upstreamDown.Swap(down) == down {
		return
	}
	if down {
		c.options.Log.WithError(e.err).Warn("agent: upstream is unreachable, reporting not ready")
		return
	}
	c.options.Log.Info("agent: upstream is reachable again")
}

// refuseAttempt records and sends the refusal of an attempt of which nothing was sent to the upstream.
func (c *control) refuseAttempt(a *attempt, reason wire.RefusalReason) {
	delete(c.attempts, a.ref)
	result := c.records.Refuse(c.now(), a.ref, reason)
	if result == nil {
		return
	}
	c.agent.metrics.countResult(result)
	c.sendResult(a.ref.HomeIncarnation, result)
}

// sendResult sends a recorded result to its home. The record is kept, so the home can query the result if the message is
// lost.
func (c *control) sendResult(incarnation uint64, result *wire.Result) {
	result.Load = c.currentLoad()
	c.sendToHome(incarnation, result)
	if state := c.homes[incarnation]; state != nil {
		state.markResultSent(c.now())
	}
}

// sendToHome sends a message on the result link of a home, if it has one. A link whose queue is full is closed; the home
// then queries its attempts on a new link.
func (c *control) sendToHome(incarnation uint64, m wire.Message) {
	state := c.homes[incarnation]
	if state == nil || state.link == nil {
		return
	}
	if err := state.link.Send(m); errors.Is(err, link.ErrQueueFull) {
		state.link.Close(err)
	}
}

// cancelReceived is the event of a request not to start some attempts. Attempts that run already are not interrupted.
type cancelReceived struct {
	link       *link.Link
	message    *wire.Cancel
	receivedAt time.Time
}

func (e cancelReceived) apply(c *control) {
	incarnation := e.link.Peer().Hello.Incarnation
	for _, result := range c.records.Cancel(e.receivedAt, incarnation, e.message.Attempts) {
		ref := records.Ref{HomeIncarnation: incarnation, Attempt: result.Attempt}
		if a := c.attempts[ref]; a != nil {
			c.removeWaiting(a)
			delete(c.attempts, ref)
		}
		c.agent.metrics.countResult(result)
		c.sendResult(incarnation, result)
	}
}

// removeWaiting removes a waiting attempt from the queue and from the attempts that are held for a document.
func (c *control) removeWaiting(a *attempt) {
	c.slots.Cancel(a.ref)
	c.heldForDocument = slices.DeleteFunc(c.heldForDocument, func(h *attempt) bool { return h == a })
}

// queryReceived is the event of a request for the state of attempts that are open at their home.
type queryReceived struct {
	link       *link.Link
	message    *wire.Query
	receivedAt time.Time
}

func (e queryReceived) apply(c *control) {
	incarnation := e.link.Peer().Hello.Incarnation
	c.setResultLink(incarnation, e.link)
	reply, results := c.records.Query(e.receivedAt, incarnation, e.message.Attempts)
	for _, result := range results {
		c.agent.metrics.resent.Add(1)
		c.sendResult(incarnation, result)
	}
	c.sendToHome(incarnation, reply)
}
