package agent

import (
	"expvar"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// metrics are the counters of one agent. Starts are attempts that were taken; every one of them ends as a result.
// Results also count refusals of attempts that were not taken. Resent counts answers to queries.
type metrics struct {
	starts, running, queued, links, records, resent *expvar.Int
	refusals, results                               *expvar.Map
}

func newMetrics(vars *admin.Vars, stats *link.Stats) *metrics {
	vars.Func("control_bytes_sent", func() any { return stats.SentBytes[link.Control].Load() })
	vars.Func("control_bytes_received", func() any { return stats.ReceivedBytes[link.Control].Load() })
	vars.Func("work_bytes_sent", func() any { return stats.SentBytes[link.Work].Load() })
	vars.Func("work_bytes_received", func() any { return stats.ReceivedBytes[link.Work].Load() })
	vars.Func("silent_links", func() any { return stats.Silent.Load() })
	return &metrics{
		starts: vars.Int("starts"), running: vars.Int("running"), queued: vars.Int("queued"),
		links: vars.Int("links"), records: vars.Int("records"), resent: vars.Int("resent"),
		refusals: vars.Map("refusals"), results: vars.Map("results"),
	}
}

// count counts a new result.
func (m *metrics) count(result *wire.Result) {
	m.results.Add(stateName(result.State), 1)
	if result.State == wire.AttemptRefused {
		m.refusals.Add(reasonName(result.Reason), 1)
	}
}

// observe sets the gauges.
func (m *metrics) observe(c *control) {
	load := c.load()
	m.running.Set(int64(load.Running))
	m.queued.Set(int64(load.Queued))
	m.links.Set(int64(len(c.links)))
	m.records.Set(int64(c.records.Stats().Records))
}

var reasonNames = [...]string{
	wire.RefusedNone: "none", wire.RefusedBusy: "busy", wire.RefusedLeaving: "leaving",
	wire.RefusedStaleList: "stale_list", wire.RefusedFenced: "fenced", wire.RefusedCancelled: "cancelled",
	wire.RefusedExpired: "expired", wire.RefusedDuplicate: "duplicate", wire.RefusedInvalid: "invalid",
	wire.RefusedFull: "full", wire.RefusedDown: "down",
}

func reasonName(reason wire.RefusalReason) string {
	if int(reason) < len(reasonNames) {
		return reasonNames[reason]
	}
	return "other"
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
