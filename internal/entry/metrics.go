package entry

import (
	"encoding/json"
	"expvar"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// metrics are the counters of one entry.
type metrics struct {
	vars *admin.Vars
	// jobs counts final answers by outcome, reasons the failed ones by reason.
	jobs, reasons *expvar.Map
	// starts counts attempts sent to agents, refusals the ones that were not started by the agent's reason.
	starts   *expvar.Int
	refusals *expvar.Map
	// wasted counts messages that did no useful work: refused starts and results of jobs that had already ended.
	wasted, lateResults *expvar.Int
	// suspects counts starts without a sign of life in time, forwards the jobs passed to another entry.
	suspects, forwards *expvar.Int
	joins, stored      *expvar.Int
}

func newMetrics(e *Entry) *metrics {
	vars := admin.NewVars()
	m := &metrics{
		vars: vars, jobs: vars.Map("jobs"), reasons: vars.Map("reasons"), starts: vars.Int("starts"),
		refusals: vars.Map("refusals"), wasted: vars.Int("wasted_messages"), lateResults: vars.Int("late_results"),
		suspects: vars.Int("suspected_links"), forwards: vars.Int("forwards"),
		joins: vars.Int("joined_submissions"), stored: vars.Int("stored_answers"),
	}
	stats := &e.linkStats
	vars.Func("control_bytes_sent", func() any { return stats.SentBytes[link.Control].Load() })
	vars.Func("control_bytes_received", func() any { return stats.ReceivedBytes[link.Control].Load() })
	vars.Func("work_bytes_sent", func() any { return stats.SentBytes[link.Work].Load() })
	vars.Func("work_bytes_received", func() any { return stats.ReceivedBytes[link.Work].Load() })
	vars.Func("control_frames_sent", func() any { return stats.SentFrames[link.Control].Load() })
	vars.Func("control_frames_received", func() any { return stats.ReceivedFrames[link.Control].Load() })
	vars.Func("work_frames_sent", func() any { return stats.SentFrames[link.Work].Load() })
	vars.Func("work_frames_received", func() any { return stats.ReceivedFrames[link.Work].Load() })
	vars.Func("silent_links", func() any { return stats.Silent.Load() })
	vars.Func("requests_in_progress", func() any { return e.inProgress.Load() })
	vars.Func("store_down", func() any { return e.storeDown.Load() })
	if store, ok := e.options.Store.(storeVars); ok {
		vars.Func("store", func() any { return json.RawMessage(store.Vars().String()) })
	}
	return m
}

// storeVars is a store that counts its calls. The value is {"calls": {kind: number}, "failed": {kind: number}}; the kinds
// are get, list, watch, compare_and_swap, lease_create, lease_bind, lease_renew and lease_release.
type storeVars interface{ Vars() expvar.Var }

var outcomeNames = map[wire.Outcome]string{
	wire.OutcomeComplete: "complete", wire.OutcomeNotRun: "not_run", wire.OutcomeUnknown: "unknown",
}

func (m *metrics) countAnswer(a *wire.Answer) {
	m.jobs.Add(outcomeNames[a.Outcome], 1)
	if a.Reason != "" {
		m.reasons.Add(string(a.Reason), 1)
	}
}

func (m *metrics) countResult(r *wire.Result) {
	if r.State == wire.AttemptRefused || r.State == wire.AttemptNeverSeen {
		m.refusals.Add(r.Reason.String(), 1)
		m.wasted.Add(1)
	}
}

// Wasted returns the number of messages that did no useful work since the entry started.
func (e *Entry) Wasted() uint64 { return uint64(e.control.metrics.wasted.Value()) }
