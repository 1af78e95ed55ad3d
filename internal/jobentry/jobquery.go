package jobentry

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const (
	// jobQueryTimeout is how long an entry waits for another one to say that it has a job. A reply takes two hops each way; each
	// process on it can pause for 100 ms.
	jobQueryTimeout = 250 * time.Millisecond
	// maxQueryAgents is the number of agents that pass a query on, because one of them can lack a link to the entry that has the
	// job.
	maxQueryAgents = 3
	// maxQueriedID is the longest id in bytes that is asked for. It is the default limit of the header section of a request, and
	// agents pass a query on to all entries.
	maxQueriedID = 16 << 10
)

// HasOpenJob reports whether a job with the id is open at this entry or at another one in contact.
func (e *Entry) HasOpenJob(ctx context.Context, id string) bool {
	found := make(chan bool, 1)
	isOpen := e.runInControl(ctx, func(c *control, _ time.Time) { found <- c.scheduler.Job(id) != nil }) && <-found
	return isOpen || e.askOtherEntries(ctx, wire.JobQuery{Job: id})
}

// CancelJob ends a job that is open at this entry or at another one in contact: its submitters get the answer GivenUp. It returns
// false if no such job is found.
func (e *Entry) CancelJob(ctx context.Context, id string) bool {
	found := make(chan bool, 1)
	isOpen := e.runInControl(ctx, func(c *control, _ time.Time) {
		found <- c.scheduler.GiveUp(id, "cancelled by the caller")
	}) && <-found
	return isOpen || e.askOtherEntries(ctx, wire.JobQuery{Job: id, Cancel: true})
}

// askOtherEntries sends a query to the other entries, through agents, because entries have no links to each other. It returns whether
// one of them has the job.
func (e *Entry) askOtherEntries(ctx context.Context, q wire.JobQuery) bool {
	if len(q.Job) > maxQueriedID {
		return false
	}
	q.Number = e.lastJobQuery.Add(1)
	replied := make(chan struct{}, 1)
	e.post(query{run: func(c *control, _ time.Time) { c.sendJobQuery(q, replied) }, done: make(chan struct{})})
	defer e.post(query{run: func(c *control, _ time.Time) { delete(c.jobQueries, q.Number) }, done: make(chan struct{})})
	timeout := time.NewTimer(jobQueryTimeout)
	defer timeout.Stop()
	select {
	case <-replied:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	case <-e.done:
	}
	return false
}

func (c *control) sendJobQuery(q wire.JobQuery, replied chan<- struct{}) {
	c.jobQueries[q.Number] = replied
	sent := 0
	for _, a := range c.agents {
		if a.link != nil && sent < maxQueryAgents {
			c.send(a, &q)
			sent++
		}
	}
}

// answerJobQuery replies to the query of another entry if the job is open here. The query can arrive through several agents.
func (c *control) answerJobQuery(a *agentConn, m *wire.JobQuery) {
	j := c.scheduler.Job(m.Job)
	if j == nil {
		return
	}
	if m.Cancel {
		c.log.WithFields(log.Fields{"job": m.Job, "agent": a.id}).Info("entry: job is cancelled through another entry")
		c.scheduler.GiveUp(m.Job, "cancelled by the caller")
	}
	c.send(a, &wire.JobReply{Asker: m.Asker, Number: m.Number})
}

func (c *control) applyJobReply(m *wire.JobReply) {
	replied := c.jobQueries[m.Number]
	if replied == nil {
		return // another reply to the same query came first
	}
	delete(c.jobQueries, m.Number)
	replied <- struct{}{}
}
