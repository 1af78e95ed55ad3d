package entry

import (
	"expvar"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// metrics are the metrics of one entry. docs/operators.md describes each by its name.
type metrics struct {
	vars *admin.Vars
	// figures is what the control goroutine published last.
	figures atomic.Pointer[figures]

	// jobs counts final answers of jobs that ran here by outcome, reasons the failed ones by reason. The other two count
	// answers to the callers of this entry, which include refusals before a job began.
	jobs, reasons, callerAnswers, callerReasons *expvar.Map
	// starts counts attempts sent to agents; retries and hedges are those among them. refusals counts the attempts that
	// the agents did not start by reason.
	starts, retries, hedges *expvar.Int
	refusals                *expvar.Map
	// wasted counts messages that did no useful work, and wastedBy the same ones by cause.
	wasted, lateResults *expvar.Int
	wastedBy            *expvar.Map
	// suspects counts starts without a sign of life in time, forwards the jobs passed to another entry.
	suspects, forwards *expvar.Int
	joins, stored      *expvar.Int
	// quotaAdmitted and quotaRefused count tasks by team.
	quotaAdmitted, quotaRefused *expvar.Map
}

// Causes of wasted messages, the keys of wasted_by_cause.
const (
	// wasteRefused: the agent did not start the attempt.
	wasteRefused = "refused_start"
	// wasteCancelled: the attempt was cancelled before it began.
	wasteCancelled = "cancelled_start"
	// wasteNeverSeen: the start was lost with a link.
	wasteNeverSeen = "lost_start"
	// wasteEnded: the result came after its task had got an outcome, as that of the slower of two copies.
	wasteEnded = "ended_task"
	// wasteLate: the result of this attempt had come before.
	wasteLate = "repeated_result"
	// wasteProbe: a ping because a start got no sign of life in time.
	wasteProbe = "probe"
)

func newMetrics(e *Entry) *metrics {
	vars := admin.NewVars()
	m := &metrics{
		vars: vars, jobs: vars.Map("jobs"), reasons: vars.Map("reasons"),
		callerAnswers: vars.Map("caller_answers"), callerReasons: vars.Map("caller_reasons"),
		starts: vars.Int("starts"), retries: vars.Int("retries"), hedges: vars.Int("hedges"),
		refusals: vars.Map("refusals"), wasted: vars.Int("wasted_messages"), wastedBy: vars.Map("wasted_by_cause"),
		lateResults: vars.Int("late_results"), suspects: vars.Int("suspected_links"), forwards: vars.Int("forwards"),
		joins: vars.Int("joined_submissions"), stored: vars.Int("stored_answers"),
		quotaAdmitted: vars.Map("quota_admitted_tasks"), quotaRefused: vars.Map("quota_refused_tasks"),
	}
	m.figures.Store(&figures{})
	admin.LinkVars(vars, &e.linkStats)
	vars.Func("uptime_seconds", func() any { return e.options.Clock.Now().Sub(e.startedAt).Seconds() })
	vars.Func("goroutines", func() any { return runtime.NumGoroutine() })
	vars.Func("ready", func() any { return e.Ready() })
	vars.Func("requests_in_progress", func() any { return e.inProgress.Load() })
	vars.Func("control_queue", func() any { return len(e.events) })
	vars.Func("store_down", func() any { return e.storeDown.Load() })
	if store, ok := e.options.Store.(storeVars); ok {
		vars.Set("store", store.Vars())
	}
	m.publishFigures(e.options.Clock.Now)
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

// countCallers counts what callers get, from the header fields that every answer of the interface carries.
func (m *metrics) countCallers(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := next(c); err != nil {
			c.Error(err)
		}
		header := c.Response().Header()
		outcome := header.Get(api.HeaderOutcome)
		m.callerAnswers.Add(outcome, 1)
		if reason := header.Get(api.HeaderReason); reason != "" && outcome != string(api.OutcomeComplete) {
			m.callerReasons.Add(reason, 1)
		}
		return nil
	}
}

func (m *metrics) countStart(a dispatch.Assignment) {
	m.starts.Add(1)
	if a.Retry {
		m.retries.Add(1)
	}
	if a.Hedge {
		m.hedges.Add(1)
	}
}

// countResult counts the result of an open attempt. It is called before the task gets its outcome.
func (m *metrics) countResult(r *wire.Result, a *attempt) {
	switch {
	case r.State == wire.AttemptNeverSeen:
		m.refusals.Add(r.Reason.String(), 1)
		m.waste(wasteNeverSeen)
	case r.State == wire.AttemptRefused && r.Reason == wire.RefusedCancelled:
		m.refusals.Add(r.Reason.String(), 1)
		m.waste(wasteCancelled)
	case r.State == wire.AttemptRefused:
		m.refusals.Add(r.Reason.String(), 1)
		m.waste(wasteRefused)
	case a.job.tasks[a.index].answer.Outcome != 0:
		m.waste(wasteEnded)
	}
}

// countLateResult counts a result of an attempt that has already ended.
func (m *metrics) countLateResult() {
	m.lateResults.Add(1)
	m.waste(wasteLate)
}

func (m *metrics) countSuspect() {
	m.suspects.Add(1)
	m.waste(wasteProbe)
}

func (m *metrics) waste(cause string) {
	m.wasted.Add(1)
	m.wastedBy.Add(cause, 1)
}

// countQuota counts the tasks of a job that the quota of the team admitted or refused.
func (m *metrics) countQuota(job *wire.Job, admitted bool) {
	if admitted {
		m.quotaAdmitted.Add(job.Team, int64(len(job.Tasks)))
	} else {
		m.quotaRefused.Add(job.Team, int64(len(job.Tasks)))
	}
}

// Wasted returns the number of messages that did no useful work since the entry started.
func (e *Entry) Wasted() uint64 { return uint64(e.control.metrics.wasted.Value()) }

// milliseconds is the unit of durations in the metrics.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
