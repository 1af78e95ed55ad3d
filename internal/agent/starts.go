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
	// ackDelay is the time after which an attempt that has no result yet is acknowledged.
	ackDelay = 100 * time.Millisecond
	// ackBatchWindow is how far before their due time acknowledgements are added to a message that is sent anyway.
	ackBatchWindow = 10 * time.Millisecond
	// maxDocumentWait bounds how long a start is held until the document revision that it names arrives.
	maxDocumentWait = 200 * time.Millisecond
)

// attempt is a start that the agent has accepted and that has no result yet.
type attempt struct {
	ref        records.Ref
	start      *wire.Start
	receivedAt time.Time
	deadline   time.Time
	calledAt   time.Time // zero until the upstream is called
	holdUntil  time.Time
}

// isWaiting reports whether the upstream has not been called yet.
func (a *attempt) isWaiting() bool { return a.calledAt.IsZero() }

// pendingAck is an acknowledgement that is sent at dueAt unless the attempt has a result by then.
type pendingAck struct {
	dueAt time.Time
	ref   records.Ref
}

// startReceived is the event of a Start that arrived on a link.
type startReceived struct {
	link       *link.Link
	start      *wire.Start
	receivedAt time.Time
}

func (e startReceived) apply(c *control) {
	s := e.start
	if s.Home != e.link.Peer().Hello.ID {
		e.link.Close(errWrongHome)
		return
	}
	c.setResultLink(s.HomeIncarnation, e.link)
	if c.drain != nil {
		c.drain.lastStartAt = e.receivedAt
	}
	a := &attempt{ref: records.RefOf(s), start: s, receivedAt: e.receivedAt, deadline: e.receivedAt.Add(budgetOf(s))}
	admission := c.records.Admit(e.receivedAt, s, c.localRefusalReason(a))
	switch admission.Decision {
	case records.Run:
		c.acceptAttempt(a)
	case records.Reply:
		c.agent.metrics.countResult(admission.Result)
		c.sendResult(a.ref.HomeIncarnation, admission.Result)
	case records.AlreadyOpen:
		c.sendToHome(s.HomeIncarnation, &wire.Accepted{Attempts: []uint64{s.Attempt}})
	}
}

// budgetOf returns the time until the deadline of a Start, counted from its arrival.
func budgetOf(s *wire.Start) time.Duration {
	return min(time.Duration(s.BudgetMillis)*time.Millisecond, wire.MaxDeadline)
}

// localRefusalReason returns the reason why the agent itself cannot run an attempt, regardless of its start records, or
// wire.RefusedNone.
func (c *control) localRefusalReason(a *attempt) wire.RefusalReason {
	switch {
	case !slices.Contains(c.options.Services, a.start.Service):
		return wire.RefusedInvalid
	case c.drain != nil:
		return wire.RefusedLeaving
	case a.start.BudgetMillis == 0:
		return wire.RefusedExpired
	case c.slots.WouldRefuse(a.slotTask()), len(c.heldForDocument) >= c.options.Slots+c.options.Queue:
		return wire.RefusedBusy
	default:
		return wire.RefusedNone
	}
}

func (a *attempt) slotTask() slots.Task[records.Ref] {
	s := a.start
	return slots.Task[records.Ref]{ID: a.ref, Service: s.Service, Urgent: s.Urgent, Long: s.Long, Deadline: a.deadline}
}

// acceptAttempt requests a slot for an admitted attempt. If the agent does not have the document revision that the attempt
// names, it pulls the documents and holds the attempt until the revision arrives, for maxDocumentWait at most.
func (c *control) acceptAttempt(a *attempt) {
	c.agent.metrics.starts.Add(1)
	c.attempts[a.ref] = a
	c.pendingAcks = append(c.pendingAcks, pendingAck{a.receivedAt.Add(ackDelay), a.ref})
	if c.revisions.of(a.start.Service) >= a.start.DocumentRevision {
		c.requestSlot(a)
		return
	}
	a.holdUntil = a.receivedAt.Add(maxDocumentWait)
	c.heldForDocument = append(c.heldForDocument, a)
	c.pullDocuments(c.homes[a.ref.HomeIncarnation].link)
}

// requestSlot calls the upstream if a slot is free, and otherwise queues the attempt or refuses it.
func (c *control) requestSlot(a *attempt) {
	switch c.slots.Add(a.slotTask()) {
	case slots.Running:
		c.callUpstream(a)
	case slots.Busy:
		c.refuseAttempt(a, wire.RefusedBusy)
	}
}

// releaseOverdueAttempts requests slots for the held attempts whose document did not arrive within maxDocumentWait.
func (c *control) releaseOverdueAttempts(now time.Time) {
	c.releaseHeldAttempts(func(a *attempt) bool {
		if now.Before(a.holdUntil) {
			return false
		}
		c.options.Log.WithFields(log.Fields{
			"service": a.start.Service, "wanted": a.start.DocumentRevision, "have": c.revisions.of(a.start.Service),
		}).Warn("agent: document did not arrive in time, running the task with the current revision")
		return true
	})
}

// releaseHeldAttempts requests slots for the held attempts for which mayRun returns true.
func (c *control) releaseHeldAttempts(mayRun func(*attempt) bool) {
	if len(c.heldForDocument) == 0 {
		return
	}
	held := c.heldForDocument
	c.heldForDocument = nil
	for _, a := range held {
		if mayRun(a) {
			c.requestSlot(a)
		} else {
			c.heldForDocument = append(c.heldForDocument, a)
		}
	}
}

// startQueued refuses the queued attempts whose deadline has passed and calls the upstream for those that get a slot.
func (c *control) startQueued(now time.Time) {
	ready, expired := c.slots.Dequeue(now)
	for _, task := range expired {
		c.refuseAttempt(c.attempts[task.ID], wire.RefusedExpired)
	}
	for _, task := range ready {
		c.callUpstream(c.attempts[task.ID])
	}
}

// callUpstream calls the upstream in a new goroutine, which posts callEnded. It refuses the attempt if its deadline has
// passed.
func (c *control) callUpstream(a *attempt) {
	a.calledAt = c.now()
	if !a.deadline.After(a.calledAt) {
		c.slots.Release(a.ref)
		c.refuseAttempt(a, wire.RefusedExpired)
		return
	}
	if !c.records.MarkRunning(a.ref) {
		c.options.Log.WithField("attempt", a.ref.Attempt).Error("agent: attempt is not queued in the start records, dropping it")
		c.slots.Release(a.ref)
		delete(c.attempts, a.ref)
		return
	}
	s := a.start
	request := Request{
		Key: s.Key, Task: s.Task, Attempt: s.Attempt,
		Method: s.Method, Path: s.Path, Headers: s.Headers, Body: s.Body,
	}
	ctx, cancel := context.WithTimeout(c.callContext, a.deadline.Sub(a.calledAt))
	agent, client := c.agent, c.options.UpstreamClient
	go func() {
		defer cancel()
		response, err := client.Call(ctx, request)
		agent.post(callEnded{ref: a.ref, response: response, err: err, deadlinePassed: ctx.Err() != nil})
	}()
}

// sendDueAcks sends one Accepted message to each home that has attempts without a result after ackDelay.
func (c *control) sendDueAcks(now time.Time) {
	if len(c.pendingAcks) == 0 || now.Before(c.pendingAcks[0].dueAt) {
		return
	}
	due := make(map[uint64][]uint64)
	for len(c.pendingAcks) > 0 && !now.Add(ackBatchWindow).Before(c.pendingAcks[0].dueAt) {
		ref := c.pendingAcks[0].ref
		c.pendingAcks = c.pendingAcks[1:]
		if c.attempts[ref] != nil {
			due[ref.HomeIncarnation] = append(due[ref.HomeIncarnation], ref.Attempt)
		}
	}
	for incarnation, attempts := range due {
		c.sendToHome(incarnation, &wire.Accepted{Attempts: attempts})
	}
}
