package entry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// forwardGrace is the time beyond the deadline for which a forwarded job waits for its home's answer. It covers the
// settle time at the home and the way back.
const forwardGrace = 250 * time.Millisecond

// forwardRetryDelay is the time before a job that its receiver did not accept is forwarded again, so that two entries
// with different lists do not send it back and forth in a tight loop.
const forwardRetryDelay = 20 * time.Millisecond

// forward is a request that waits for the answer of another entry.
type forward struct {
	request  uint64
	target   wire.Member
	held     bool
	action   wire.ForwardAction
	job      wire.Job
	key      wire.KeyHash
	deadline time.Time
	timer    *timerEntry
	reply    func(*wire.ForwardReply)
}

// forwardTo passes a request on to another entry. The request is sent again on every new link until it is answered, which
// is safe because the home recognises the key.
func (c *control) forwardTo(target wire.Member, held bool, s submission) {
	c.lastRequest++
	f := &forward{
		request: c.lastRequest, target: target, held: held, action: s.action,
		job: s.job, key: s.key, deadline: s.deadline, reply: s.reply,
	}
	c.forwards[f.request] = f
	f.timer = c.timers.add(f.deadline.Add(forwardGrace), func(time.Time) {
		c.endForward(f, unknownReply(wire.ReasonHomeUnreachable, "the entry that owns the key did not answer"))
	})
	c.sendForward(f)
}

func (c *control) sendForward(f *forward) {
	p := c.peers[f.target.ID]
	if p == nil || p.link == nil || p.incarnation != f.target.Incarnation {
		return // a later run of the entry would answer that it does not hold the key
	}
	job := f.job
	job.BudgetMillis = uint32(max(f.deadline.Sub(c.now).Milliseconds(), 1))
	_ = p.link.Send(&wire.Forward{
		Request: f.request, ListVersion: c.list.Version, Action: f.action, Job: job, Held: f.held,
	})
	c.metrics.forwards.Add(1)
}

func (c *control) resendForwards(p *peer) {
	for _, f := range c.forwards {
		if f.target.ID == p.id {
			c.sendForward(f)
		}
	}
}

func (c *control) endForward(f *forward, reply *wire.ForwardReply) {
	if c.forwards[f.request] == nil {
		return
	}
	delete(c.forwards, f.request)
	c.timers.cancel(f.timer)
	f.reply(reply)
}

// forwardAnswered handles the reply of another entry.
func (c *control) forwardAnswered(m *wire.ForwardReply) {
	if m.List != nil {
		c.adoptList(m.List)
	}
	f := c.forwards[m.Request]
	if f == nil {
		return
	}
	if f.held && m.Status == wire.ForwardNotFound {
		c.table.HolderMissing(f.key, f.target)
		c.routeAgain(f)
		return
	}
	if m.Status != wire.ForwardNotHome {
		c.endForward(f, m)
		return
	}
	if p := c.peers[f.target.ID]; p != nil && p.link != nil && m.List != nil && c.lacksNews(m.List) {
		c.sendList(p.link)
	}
	c.timers.add(c.now.Add(forwardRetryDelay), func(time.Time) { c.routeAgain(f) })
}

// routeAgain finds the home of a forwarded request anew, after a reply that the receiver is not it or after a change of
// the list.
func (c *control) routeAgain(f *forward) {
	if c.forwards[f.request] == nil {
		return
	}
	delete(c.forwards, f.request)
	c.timers.cancel(f.timer)
	c.route(submission{action: f.action, job: f.job, key: f.key, deadline: f.deadline, reply: f.reply})
}

// rerouteForwards is called after a change of the list. Requests whose target is no longer a member find a new home;
// all others are sent to the same one again only if it asks for it.
func (c *control) rerouteForwards() {
	for _, f := range c.forwards {
		if !c.isListed(f.target) {
			c.routeAgain(f)
		}
	}
}

// forwardReceived handles a request that another entry passed on.
func (c *control) forwardReceived(l *link.Link, m *wire.Forward) {
	reply := func(r *wire.ForwardReply) {
		r.Request = m.Request
		_ = l.Send(r)
	}
	s := submission{
		action: m.Action, job: m.Job, forwarded: true,
		deadline:    c.now.Add(time.Duration(m.Job.BudgetMillis) * time.Millisecond),
		key:         placement.HashKey(m.Job.Service, m.Job.Key),
		listVersion: m.ListVersion, held: m.Held, reply: reply,
	}
	c.route(s)
}

func unknownReply(reason wire.Reason, message string) *wire.ForwardReply {
	return &wire.ForwardReply{Status: wire.ForwardAnswered, Answer: &wire.Answer{
		Outcome: wire.OutcomeUnknown, Reason: reason, Message: message,
	}}
}

func notRunReply(reason wire.Reason, message string) *wire.ForwardReply {
	return &wire.ForwardReply{Status: wire.ForwardAnswered, Answer: &wire.Answer{
		Outcome: wire.OutcomeNotRun, Reason: reason, Message: message,
	}}
}
