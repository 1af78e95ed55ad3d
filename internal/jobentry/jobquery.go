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

// FindOpenJob reports whether a job with the id is open at this entry or at another one in contact, and whether a task of it has started.
func (e *Entry) FindOpenJob(ctx context.Context, id string) (open, started bool) {
	found := make(chan *wire.JobReply, 1)
	ran := e.runInControl(ctx, func(c *control, _ time.Time) { found <- c.describeJob(id) })
	if ran {
		if reply := <-found; reply != nil {
			return true, reply.Started
		}
	}
	reply := e.askOtherEntries(ctx, wire.JobQuery{Job: id})
	return reply != nil, reply != nil && reply.Started
}

// describeJob returns the reply to a query for a job, without the fields that identify the query, or nil if the job is not open here.
func (c *control) describeJob(id string) *wire.JobReply {
	j := c.scheduler.Job(id)
	if j == nil {
		return nil
	}
	return &wire.JobReply{Started: j.TasksStarted > 0}
}

// CancelJob ends a job that is open at this entry or at another one in contact: its submitters get the answer GivenUp. It returns
// false if no such job is found.
func (e *Entry) CancelJob(ctx context.Context, id string) bool {
	found := make(chan bool, 1)
	isOpen := e.runInControl(ctx, func(c *control, _ time.Time) {
		found <- c.scheduler.GiveUp(id, "cancelled by the caller")
	}) && <-found
	return isOpen || e.askOtherEntries(ctx, wire.JobQuery{Job: id, Cancel: true}) != nil
}

// askOtherEntries sends a query to the other entries, through agents, because entries have no links to each other. It returns the
// reply of the one that has the job, or nil if none has arrived in time.
func (e *Entry) askOtherEntries(ctx context.Context, q wire.JobQuery) *wire.JobReply {
	if len(q.Job) > maxQueriedID {
		return nil
	}
	q.Number = e.lastJobQuery.Add(1)
	replied := make(chan *wire.JobReply, 1)
	e.post(query{run: func(c *control, _ time.Time) { c.sendJobQuery(q, replied) }, done: make(chan struct{})})
	defer e.post(query{run: func(c *control, _ time.Time) { delete(c.jobQueries, q.Number) }, done: make(chan struct{})})
	timeout := time.NewTimer(jobQueryTimeout)
	defer timeout.Stop()
	select {
	case reply := <-replied:
		return reply
	case <-timeout.C:
	case <-ctx.Done():
	case <-e.done:
	}
	return nil
}

func (c *control) sendJobQuery(q wire.JobQuery, replied chan<- *wire.JobReply) {
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
	reply := c.describeJob(m.Job)
	if reply == nil {
		return
	}
	if m.Cancel {
		c.log.WithFields(log.Fields{"job": m.Job, "agent": a.id}).Info("entry: job is cancelled through another entry")
		c.scheduler.GiveUp(m.Job, "cancelled by the caller")
	}
	reply.Asker, reply.Number = m.Asker, m.Number
	c.send(a, reply)
}

func (c *control) applyJobReply(m *wire.JobReply) {
	replied := c.jobQueries[m.Number]
	if replied == nil {
		return // another reply to the same query came first
	}
	delete(c.jobQueries, m.Number)
	replied <- m
}
