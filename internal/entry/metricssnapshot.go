package entry

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/quota"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
)

// metricsSnapshot holds the metrics that are computed from the state of the control goroutine. A published snapshot is not
// modified.
type metricsSnapshot struct {
	takenAt               time.Time
	runningJobs, forwards int
	waitingForRecovery    int
	listVersion           uint64
	listMembers           int
	agents, entries       int // number of links
	submissions           table.Stats
	services              map[string]serviceMetrics
	documents             map[string]uint64
	quotas                map[string]quota.State
}

// serviceMetrics holds the metrics of one service. Its counters start at 0 when the first document of the service comes
// into force at this entry.
type serviceMetrics struct {
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

// refreshMetrics publishes a new snapshot. When the control goroutine does not answer before ctx ends, the previous
// snapshot stays, which shows in figures_age_ms.
func (e *Entry) refreshMetrics(ctx context.Context) {
	_ = e.call(ctx, func(c *control) { c.metrics.snapshot.Store(c.metricsSnapshot()) })
}

func (c *control) metricsSnapshot() *metricsSnapshot {
	snap := &metricsSnapshot{
		takenAt: c.now, runningJobs: len(c.jobs), forwards: len(c.forwards), waitingForRecovery: len(c.waitingRequests),
		listVersion: c.list.Version, listMembers: len(c.list.Members),
		submissions: c.table.Stats(c.now), documents: c.documents.Revisions(), quotas: c.quotas.States(c.now),
		services: make(map[string]serviceMetrics, len(c.services)),
	}
	for _, s := range c.agents {
		if s.link != nil {
			snap.agents++
		}
	}
	for _, p := range c.peers {
		if p.link != nil {
			snap.entries++
		}
	}
	for name, s := range c.services {
		snap.services[name] = s.metrics(c.now)
	}
	return snap
}

func (s *service) metrics(now time.Time) serviceMetrics {
	p := s.policy.Stats(now)
	return serviceMetrics{
		Revision: s.revision, Upstreams: p.Upstreams, Ejected: p.Ejected, Ejections: p.Ejections,
		WaitingTasks: p.Waiting, WaitingUrgent: p.WaitingUrgent, ExpectedWaitMs: milliseconds(p.ExpectedWait),
		OpenAttempts: p.OpenAttempts, Starts: p.Assigned, RefusedStarts: p.Refused, Retries: p.Retries, Hedges: p.Hedges,
		Overloaded: p.Overloaded, NoUpstream: p.NoUpstream, DeadlineExceeded: p.DeadlineMissed,
	}
}

// registerSnapshotVars registers the metrics that are read from the published snapshot.
func (m *metrics) registerSnapshotVars(now func() time.Time) {
	add := func(name string, value func(s *metricsSnapshot) any) {
		m.vars.Func(name, func() any { return value(m.snapshot.Load()) })
	}
	add("figures_age_ms", func(s *metricsSnapshot) any {
		if s.takenAt.IsZero() {
			return nil
		}
		return milliseconds(now().Sub(s.takenAt))
	})
	add("running_jobs", func(s *metricsSnapshot) any { return s.runningJobs })
	add("open_forwards", func(s *metricsSnapshot) any { return s.forwards })
	add("waiting_for_recovery", func(s *metricsSnapshot) any { return s.waitingForRecovery })
	add("list_version", func(s *metricsSnapshot) any { return s.listVersion })
	add("list_members", func(s *metricsSnapshot) any { return s.listMembers })
	add("links", func(s *metricsSnapshot) any { return map[string]int{"agent": s.agents, "entry": s.entries} })
	add("document_revisions", func(s *metricsSnapshot) any { return s.documents })
	add("services", func(s *metricsSnapshot) any { return s.services })
	add("quotas", func(s *metricsSnapshot) any { return s.quotas })
	add("submissions", func(s *metricsSnapshot) any { return s.submissionSizes() })
	add("recovery", func(s *metricsSnapshot) any {
		stats := s.submissions
		return map[string]int{"pending_members": stats.PendingMembers, "pending_agents": stats.PendingAgents, "late_records": stats.LateRecords}
	})
}

func (s *metricsSnapshot) submissionSizes() map[string]int {
	stats := s.submissions
	return map[string]int{
		"entries": stats.Entries, "running": stats.Running, "answer_bytes": stats.AnswerBytes, "pointers": stats.Pointers,
		"recovered": stats.Recovered, "known_agents": stats.Agents,
	}
}
