package agent

import (
	"expvar"
	"runtime"
	"sync/atomic"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// metrics are the metrics of one agent. docs/operators.md describes each by its name. Starts are attempts that were taken;
// every one of them ends as a result. Results also count refusals of attempts that were not taken. Resent counts answers
// to queries.
type metrics struct {
	starts, running, queued, held, links, records, resent *expvar.Int
	refusals, results                                     *expvar.Map
	// queuedMicros and serviceMicros sum the times of the attempts for which the upstream was called.
	queuedMicros, serviceMicros *expvar.Int
	// figures is what the control goroutine published last.
	figures atomic.Pointer[figures]
}

func newMetrics(a *Agent) *metrics {
	vars := a.vars
	m := &metrics{
		starts: vars.Int("starts"), running: vars.Int("running"), queued: vars.Int("queued"), held: vars.Int("held"),
		links: vars.Int("links"), records: vars.Int("records"), resent: vars.Int("resent"),
		refusals: vars.Map("refusals"), results: vars.Map("results"),
		queuedMicros: vars.Int("queued_us"), serviceMicros: vars.Int("service_us"),
	}
	m.figures.Store(&figures{})
	admin.LinkVars(vars, a.stats)
	vars.Func("uptime_seconds", func() any { return a.options.Clock.Now().Sub(a.startedAt).Seconds() })
	vars.Func("goroutines", func() any { return runtime.NumGoroutine() })
	vars.Func("ready", func() any { return a.ready() == nil })
	vars.Func("upstream_down", func() any { return a.upstreamDown.Load() })
	vars.Func("control_queue", func() any { return len(a.events) })
	vars.Func("list_version", func() any { return a.versions.list.Load() })
	m.publishFigures(vars, a.options.Clock.Now)
	return m
}

// count counts a new result.
func (m *metrics) count(result *wire.Result) {
	m.results.Add(stateName(result.State), 1)
	if result.State == wire.AttemptDone || result.State == wire.AttemptUnknown {
		m.queuedMicros.Add(int64(result.QueuedMicros))
		m.serviceMicros.Add(int64(result.ServiceMicros))
	}
	if result.State == wire.AttemptRefused {
		m.refusals.Add(result.Reason.String(), 1)
	}
}

// observe sets the gauges.
func (m *metrics) observe(c *control) {
	load := c.load()
	m.running.Set(int64(load.Running))
	m.queued.Set(int64(load.Queued))
	m.held.Set(int64(len(c.held)))
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
