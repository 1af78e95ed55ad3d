package entry

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/quota"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
)

// figures are the metrics that the control goroutine owns. A published value does not change any more.
type figures struct {
	at                    time.Time
	runningJobs, forwards int
	waitingForRecovery    int
	listVersion           uint64
	listMembers           int
	agents, entries       int // links
	submissions           table.Stats
	services              map[string]serviceFigures
	documents             map[string]uint64
	quotas                map[string]quota.State
}

// serviceFigures are the metrics of one service. The counters count since its first document came into force here.
type serviceFigures struct {
	Revision         uint64  `json:"revision"`
	Upstreams        int     `json:"upstreams"`
	Ejected          int     `json:"ejected_upstreams"`
	Ejections        uint64  `json:"ejections"`
	WaitingTasks     int     `json:"waiting_tasks"`
	WaitingUrgent    int     `json:"waiting_urgent_tasks"`
	ExpectedWaitMs   float64 `json:"expected_wait_ms"`
	OpenAttempts     int     `json:"open_attempts"`
	Starts           uint64  `json:"starts"`
	RefusedStarts    uint64  `json:"refused_starts"`
	Retries          uint64  `json:"retries"`
	Hedges           uint64  `json:"hedges"`
	Overloaded       uint64  `json:"overloaded"`
	NoUpstream       uint64  `json:"no_upstream"`
	DeadlineExceeded uint64  `json:"deadline_exceeded"`
}

// refreshMetrics publishes the figures as they are now. When the control goroutine does not answer until ctx ends, the
// former ones stay, and figures_age_ms shows it.
func (e *Entry) refreshMetrics(ctx context.Context) {
	_ = e.call(ctx, func(c *control) { c.metrics.figures.Store(c.figures()) })
}

func (c *control) figures() *figures {
	f := &figures{
		at: c.now, runningJobs: len(c.jobs), forwards: len(c.forwards), waitingForRecovery: len(c.waiting),
		listVersion: c.list.Version, listMembers: len(c.list.Members),
		submissions: c.table.Stats(c.now), documents: c.documents.Revisions(), quotas: c.quotas.States(c.now),
		services: make(map[string]serviceFigures, len(c.services)),
	}
	for _, s := range c.agents {
		if s.link != nil {
			f.agents++
		}
	}
	for _, p := range c.peers {
		if p.link != nil {
			f.entries++
		}
	}
	for name, s := range c.services {
		f.services[name] = s.figures(c.now)
	}
	return f
}

func (s *service) figures(now time.Time) serviceFigures {
	p := s.policy.Stats(now)
	return serviceFigures{
		Revision: s.revision, Upstreams: p.Upstreams, Ejected: p.Ejected, Ejections: p.Ejections,
		WaitingTasks: p.Waiting, WaitingUrgent: p.WaitingUrgent, ExpectedWaitMs: milliseconds(p.ExpectedWait),
		OpenAttempts: p.OpenAttempts, Starts: p.Assigned, RefusedStarts: p.Refused, Retries: p.Retries, Hedges: p.Hedges,
		Overloaded: p.Overloaded, NoUpstream: p.NoUpstream, DeadlineExceeded: p.DeadlineMissed,
	}
}

// publishFigures adds the metrics that are read from the published figures.
func (m *metrics) publishFigures(now func() time.Time) {
	add := func(name string, value func(f *figures) any) {
		m.vars.Func(name, func() any { return value(m.figures.Load()) })
	}
	add("figures_age_ms", func(f *figures) any {
		if f.at.IsZero() {
			return nil
		}
		return milliseconds(now().Sub(f.at))
	})
	add("running_jobs", func(f *figures) any { return f.runningJobs })
	add("open_forwards", func(f *figures) any { return f.forwards })
	add("waiting_for_recovery", func(f *figures) any { return f.waitingForRecovery })
	add("list_version", func(f *figures) any { return f.listVersion })
	add("list_members", func(f *figures) any { return f.listMembers })
	add("links", func(f *figures) any { return map[string]int{"agent": f.agents, "entry": f.entries} })
	add("document_revisions", func(f *figures) any { return f.documents })
	add("services", func(f *figures) any { return f.services })
	add("quotas", func(f *figures) any { return f.quotas })
	add("submissions", func(f *figures) any { return f.submissionSizes() })
	add("recovery", func(f *figures) any {
		s := f.submissions
		return map[string]int{"pending_members": s.PendingMembers, "pending_agents": s.PendingAgents, "late_records": s.LateRecords}
	})
}

func (f *figures) submissionSizes() map[string]int {
	s := f.submissions
	return map[string]int{
		"entries": s.Entries, "running": s.Running, "answer_bytes": s.AnswerBytes, "pointers": s.Pointers,
		"recovered": s.Recovered, "known_agents": s.Agents,
	}
}
