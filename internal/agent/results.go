package agent

import (
	"errors"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// callEnded is the end of a call to the upstream.
type callEnded struct {
	id       attemptID
	response *Response
	err      error
	expired  bool // the deadline passed during the call
}

func (e callEnded) apply(c *control) {
	c.slots.Done(e.id)
	a := c.attempts[e.id]
	if a == nil {
		return
	}
	result := e.result()
	result.QueuedMicros = micros(a.began.Sub(a.received))
	result.ServiceMicros = micros(c.now().Sub(a.began))
	c.noteReachable(!errors.Is(e.err, ErrNotReached) || e.expired, e.err)
	c.finish(e.id, result)
}

// result converts the answer or the error of the upstream.
func (e callEnded) result() *wire.Result {
	switch {
	case e.err == nil:
		r := e.response
		return &wire.Result{State: wire.AttemptDone, Status: r.Status, Headers: r.Headers, Body: r.Body}
	case errors.Is(e.err, ErrInvalidRequest):
		return &wire.Result{State: wire.AttemptRefused, Reason: wire.RefusedInvalid, Error: e.err.Error()}
	case errors.Is(e.err, ErrNotReached) && e.expired:
		return &wire.Result{State: wire.AttemptRefused, Reason: wire.RefusedExpired}
	case errors.Is(e.err, ErrNotReached):
		return &wire.Result{State: wire.AttemptRefused, Reason: wire.RefusedDown, Error: e.err.Error()}
	default:
		return &wire.Result{State: wire.AttemptUnknown, Error: e.err.Error()}
	}
}

func micros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), 1<<32-1))
}

// noteReachable logs when the upstream becomes unreachable or reachable.
func (c *control) noteReachable(reachable bool, cause error) {
	if c.agent.upstreamDown.Swap(!reachable) == !reachable {
		return
	}
	if reachable {
		c.options.Log.Info("agent: upstream is reachable again")
		return
	}
	c.options.Log.WithError(cause).Warn("agent: upstream is not reachable")
}

func (c *control) refuse(id attemptID, reason wire.RefusalReason) {
	c.finish(id, &wire.Result{State: wire.AttemptRefused, Reason: reason})
}

// finish records the result of an attempt and sends it.
func (c *control) finish(id attemptID, result *wire.Result) {
	result.Attempt = id.number
	if result.State == wire.AttemptRefused {
		c.countRefusal(result.Reason)
	}
	c.records.Finish(c.now(), id, result)
	delete(c.attempts, id)
	c.send(id, result)
}

// send sends a recorded result to its home. The record stays, so a lost message is answered by a later Query.
func (c *control) send(id attemptID, recorded *wire.Result) {
	result := *recorded
	result.Attempt = id.number
	result.Load = c.load()
	if result.Reason == wire.RefusedStaleList || result.Reason == wire.RefusedFenced {
		result.List = c.list
	}
	c.agent.metrics.countResult(result.State)
	c.sendTo(id.home, &result)
	c.homes[id.home].noteResult(c.now())
}

// sendTo sends a message on the newest link of a home. A link that takes no more messages is closed, so that the home
// queries its attempts on a new one.
func (c *control) sendTo(h home, m wire.Message) {
	state := c.homes[h]
	if state == nil || state.link == nil {
		return
	}
	if err := state.link.Send(m); errors.Is(err, link.ErrQueueFull) {
		state.link.Close(err)
	}
}

func (c *control) countRefusal(reason wire.RefusalReason) { c.agent.metrics.countRefusal(reason) }

// cancelReceived removes attempts that have not started.
type cancelReceived struct {
	home    home
	message *wire.Cancel
}

func (e cancelReceived) apply(c *control) {
	for _, number := range e.message.Attempts {
		id := attemptID{e.home, number}
		a := c.attempts[id]
		switch {
		case a == nil:
			c.cancelUnseen(id)
		case a.began.IsZero():
			c.drop(a)
			c.refuse(id, wire.RefusedCancelled)
		}
	}
}

// cancelUnseen records the cancellation of an attempt whose Start has not arrived, so that it cannot start later.
func (c *control) cancelUnseen(id attemptID) {
	if _, ok := c.records.Lookup(id); !ok {
		c.refuse(id, wire.RefusedCancelled)
	}
}

// drop removes an attempt that waits.
func (c *control) drop(a *attempt) {
	c.slots.Cancel(a.id)
	for i, h := range c.held {
		if h == a {
			c.held = append(c.held[:i:i], c.held[i+1:]...)
			return
		}
	}
}

// queryReceived asks for the state of open attempts.
type queryReceived struct {
	home    home
	message *wire.Query
	at      time.Time
}

func (e queryReceived) apply(c *control) {
	reply := &wire.QueryReply{}
	for _, number := range e.message.Attempts {
		id := attemptID{e.home, number}
		a := c.attempts[id]
		switch {
		case a == nil:
			result, _ := c.records.Query(e.at, id)
			c.send(id, result)
		case a.began.IsZero():
			reply.Queued = append(reply.Queued, number)
		default:
			reply.Running = append(reply.Running, number)
		}
	}
	if len(reply.Queued)+len(reply.Running) > 0 {
		c.sendTo(e.home, reply)
	}
}
