package agent

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
)

// metricsSnapshot holds metrics that are computed from the state of the control goroutine. It is immutable once published.
type metricsSnapshot struct {
	takenAt  time.Time
	slots    int
	records  records.Stats
	homes    int
	services map[string]serviceMetrics
}

// serviceMetrics holds the document revision of one service and the numbers of its waiting and running attempts.
type serviceMetrics struct {
	Revision uint64 `json:"revision"`
	Queued   int    `json:"queued"`
	Running  int    `json:"running"`
}

// snapshotRequested is the event that requests a new snapshot. done is closed when it is published.
type snapshotRequested struct{ done chan<- struct{} }

func (e snapshotRequested) apply(c *control) {
	c.agent.metrics.snapshot.Store(c.takeMetricsSnapshot())
	close(e.done)
}

func (c *control) takeMetricsSnapshot() *metricsSnapshot {
	snapshot := &metricsSnapshot{
		takenAt: c.now(), slots: min(c.options.Slots, c.options.Connections), records: c.records.Stats(), homes: len(c.homes),
		services: make(map[string]serviceMetrics, len(c.revisions)),
	}
	for service, revision := range c.revisions {
		snapshot.services[service] = serviceMetrics{Revision: revision}
	}
	for _, a := range c.attempts {
		counts := snapshot.services[a.start.Service]
		if a.isWaiting() {
			counts.Queued++
		} else {
			counts.Running++
		}
		snapshot.services[a.start.Service] = counts
	}
	return snapshot
}

// refreshMetrics publishes a new snapshot. If the control goroutine does not reply before ctx ends, the previous snapshot
// stays published, which the metric figures_age_ms shows.
func (a *Agent) refreshMetrics(ctx context.Context) {
	done := make(chan struct{})
	select {
	case a.events <- snapshotRequested{done}:
	case <-a.controlDone:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-a.controlDone:
	case <-ctx.Done():
	}
}

// registerSnapshotMetrics registers the metrics that are read from the published snapshot.
func (m *metrics) registerSnapshotMetrics(vars *admin.Vars, now func() time.Time) {
	add := func(name string, value func(snapshot *metricsSnapshot) any) {
		vars.Func(name, func() any { return value(m.snapshot.Load()) })
	}
	add("figures_age_ms", func(snapshot *metricsSnapshot) any {
		if snapshot.takenAt.IsZero() {
			return nil
		}
		return float64(now().Sub(snapshot.takenAt)) / float64(time.Millisecond)
	})
	add("slots", func(snapshot *metricsSnapshot) any { return snapshot.slots })
	add("homes", func(snapshot *metricsSnapshot) any { return snapshot.homes })
	add("services", func(snapshot *metricsSnapshot) any { return snapshot.services })
	add("start_records", func(snapshot *metricsSnapshot) any {
		r := snapshot.records
		return map[string]int{"all": r.Records, "open": r.Open, "refusals": r.Refusals, "result_bytes": r.ResultBytes}
	})
}
