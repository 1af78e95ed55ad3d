package entry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// forwardGrace is the time after the deadline for which a forwarded job still waits for the answer of its home. It covers
// cancelGracePeriod at the home and the way back.
const forwardGrace = 250 * time.Millisecond

// forwardRetryDelay is the time before a job that its receiver did not accept is forwarded again. Without it, two entries
// with different lists would send the job back and forth in a tight loop.
const forwardRetryDelay = 20 * time.Millisecond

// forward is a request that waits for the reply of another entry.
type forward struct {
	requestID uint64
	target    wire.Member
	toHolder  bool
	action    wire.ForwardAction
	job       wire.Job
	key       wire.KeyHash
	deadline  time.Time
	timer     *pendingTimer
	reply     func(*wire.ForwardReply)
}

// forwardTo forwards a request to another entry; toHolder is set if that entry is believed to hold the key. The request is
// sent again on every new link until it is answered, which is safe because the receiver recognises the key.
func (c *control) forwardTo(target wire.Member, toHolder bool, s submission) {
	c.lastRequestID++
	f := &forward{
		requestID: c.lastRequestID, target: target, toHolder: toHolder, action: s.action,
		job: s.job, key: s.key, deadline: s.deadline, reply: s.reply,
	}
	c.forwards[f.requestID] = f
	f.timer = c.timers.add(f.deadline.Add(forwardGrace), func(time.Time) {
		c.endForward(f, unknownReply(wire.ReasonHomeUnreachable, "the entry that owns the key did not answer"))
	})
	c.sendForward(f)
}

func (c *control) sendForward(f *forward) {
	p := c.peers[f.target.ID]
	if p == nil || p.link == nil || p.incarnation != f.target.Incarnation {
		return // another run of the entry would answer that it does not hold the key
	}
	job := f.job
	job.BudgetMillis = uint32(max(f.deadline.Sub(c.now).Milliseconds(), 1))
	_ = p.link.Send(&wire.Forward{
		Request: f.requestID, ListVersion: c.list.Version, Action: f.action, Job: job, ForHeldKey: f.toHolder,
	})
	c.metrics.forwards.Add(1)
}

// resendForwards sends the open forwards to a peer again, on a new link.
func (c *control) resendForwards(p *peer) {
	for _, f := range c.forwards {
		if f.target.ID == p.id {
			c.sendForward(f)
		}
	}
}

// endForward answers a forwarded request.
func (c *control) endForward(f *forward, reply *wire.ForwardReply) {
	if c.forwards[f.requestID] == nil {
		return
	}
	delete(c.forwards, f.requestID)
	c.timers.cancel(f.timer)
	f.reply(reply)
}

// handleForwardReply handles the reply of another entry. A forward that the receiver rejects is routed again.
func (c *control) handleForwardReply(m *wire.ForwardReply) {
	if m.List != nil {
		c.adoptList(m.List)
	}
	f := c.forwards[m.Request]
	if f == nil {
		return
	}
	if f.toHolder && m.Status == wire.ForwardNotFound {
		c.table.HolderMissing(f.key, f.target)
		c.rerouteForward(f)
		return
	}
	if m.Status != wire.ForwardNotHome {
		c.endForward(f, m)
		return
	}
	if p := c.peers[f.target.ID]; p != nil && p.link != nil && m.List != nil && c.isOutdatedList(m.List) {
		c.sendList(p.link)
	}
	c.timers.add(c.now.Add(forwardRetryDelay), func(time.Time) { c.rerouteForward(f) })
}

// rerouteForward routes a forwarded request again, after the receiver replied that it is not the home or after a change of
// the list.
func (c *control) rerouteForward(f *forward) {
	if c.forwards[f.requestID] == nil {
		return
	}
	delete(c.forwards, f.requestID)
	c.timers.cancel(f.timer)
	c.routeRequest(submission{action: f.action, job: f.job, key: f.key, deadline: f.deadline, reply: f.reply})
}

// rerouteForwards routes the forwards whose target is no longer a member again, after a change of the list. All other
// forwards stay with their target until it replies.
func (c *control) rerouteForwards() {
	for _, f := range c.forwards {
		if !c.isListed(f.target) {
			c.rerouteForward(f)
		}
	}
}

// handleForward handles a request that another entry forwarded.
func (c *control) handleForward(l *link.Link, m *wire.Forward) {
	reply := func(r *wire.ForwardReply) {
		r.Request = m.Request
		_ = l.Send(r)
	}
	s := submission{
		action: m.Action, job: m.Job, forwarded: true,
		deadline:    c.now.Add(time.Duration(m.Job.BudgetMillis) * time.Millisecond),
		key:         placement.HashKey(m.Job.Service, m.Job.Key),
		listVersion: m.ListVersion, sentToHolder: m.ForHeldKey, reply: reply,
	}
	c.routeRequest(s)
}

// unknownReply returns an answer with the outcome unknown.
func unknownReply(reason wire.Reason, message string) *wire.ForwardReply {
	return &wire.ForwardReply{Status: wire.ForwardAnswered, Answer: &wire.Answer{
		Outcome: wire.OutcomeUnknown, Reason: reason, Message: message,
	}}
}

// notRunReply returns an answer with the outcome not_run.
func notRunReply(reason wire.Reason, message string) *wire.ForwardReply {
	return &wire.ForwardReply{Status: wire.ForwardAnswered, Answer: &wire.Answer{
		Outcome: wire.OutcomeNotRun, Reason: reason, Message: message,
	}}
}
