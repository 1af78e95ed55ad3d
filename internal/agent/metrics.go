package agent

import (
	"expvar"
	"runtime"
	"sync/atomic"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// metrics holds the metrics of one agent; docs/operators.md describes each by its name. starts counts the accepted
// attempts, each of which ends with a result. results also counts refusals of attempts that were not accepted. resent
// counts the results that were sent in reply to queries.
type metrics struct {
	starts, running, queued, heldForDocument, links, records, resent *expvar.Int
	refusals, results                                                *expvar.Map
	// queuedMicros and serviceMicros are the total waiting and service times of the attempts for which the upstream was
	// called, in microseconds.
	queuedMicros, serviceMicros *expvar.Int
	// snapshot is the last one that the control goroutine published.
	snapshot atomic.Pointer[metricsSnapshot]
}

func newMetrics(a *Agent) *metrics {
	vars := a.vars
	m := &metrics{
		starts: vars.Int("starts"), running: vars.Int("running"), queued: vars.Int("queued"), heldForDocument: vars.Int("held"),
		links: vars.Int("links"), records: vars.Int("records"), resent: vars.Int("resent"),
		refusals: vars.Map("refusals"), results: vars.Map("results"),
		queuedMicros: vars.Int("queued_us"), serviceMicros: vars.Int("service_us"),
	}
	m.snapshot.Store(&metricsSnapshot{})
	admin.LinkVars(vars, a.stats)
	vars.Func("uptime_seconds", func() any { return a.options.Clock.Now().Sub(a.startedAt).Seconds() })
	vars.Func("goroutines", func() any { return runtime.NumGoroutine() })
	vars.Func("ready", func() any { return a.checkReady() == nil })
	vars.Func("upstream_down", func() any { return a.upstreamDown.Load() })
	vars.Func("control_queue", func() any { return len(a.events) })
	vars.Func("list_version", func() any { return a.heartbeatVersions.list.Load() })
	m.registerSnapshotMetrics(vars, a.options.Clock.Now)
	return m
}

// countResult updates the counters for a new result.
func (m *metrics) countResult(result *wire.Result) {
	m.results.Add(stateName(result.State), 1)
	if result.State == wire.AttemptDone || result.State == wire.AttemptUnknown {
		m.queuedMicros.Add(int64(result.QueuedMicros))
		m.serviceMicros.Add(int64(result.ServiceMicros))
	}
	if result.State == wire.AttemptRefused {
		m.refusals.Add(result.Reason.String(), 1)
	}
}

// setGauges sets the gauges to the current state of the control goroutine.
func (m *metrics) setGauges(c *control) {
	load := c.currentLoad()
	m.running.Set(int64(load.Running))
	m.queued.Set(int64(load.Queued))
	m.heldForDocument.Set(int64(len(c.heldForDocument)))
	m.links.Set(int64(len(c.links)))
	m.records.Set(int64(c.records.Stats().Records))
}

var stateNames = [...]string{
	wire.AttemptQueued: "queued", wire.AttemptRunning: "running", wire.AttemptDone: "done",
	wire.AttemptRefused: "refused", wire.AttemptUnknown: "unknown", wire.AttemptNeverSeen: "never_seen",
}

func stateName(state wire.AttemptState) string {
	if int(state) < len(stateNames) && stateNames[state] != "" {
		return stateNames[state]
	}
	return "other"
}
