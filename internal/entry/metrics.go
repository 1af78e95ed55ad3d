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

// metrics are the metrics of one entry. docs/operators.md describes each of them under its name.
type metrics struct {
	vars *admin.Vars
	// snapshot is the last one that the control goroutine published.
	snapshot atomic.Pointer[metricsSnapshot]

	// jobs counts the final answers of jobs that ran at this entry by outcome, reasons the failed ones by reason.
	// callerAnswers and callerReasons count the answers to the callers of this entry in the same way, including refusals
	// before a job began.
	jobs, reasons, callerAnswers, callerReasons *expvar.Map
	// starts counts the attempts sent to agents; retries and hedges count the ones among them that are retries and hedges.
	// refusedStarts counts the attempts that the agents did not start, by reason.
	starts, retries, hedges *expvar.Int
	refusedStarts           *expvar.Map
	// wasted counts messages that did no useful work, wastedByCause the same messages by cause. lateResults counts results
	// of attempts that had already ended.
	wasted, lateResults *expvar.Int
	wastedByCause       *expvar.Map
	// suspectedLinks counts starts that were not acknowledged in time, forwards the jobs sent to another entry.
	suspectedLinks, forwards *expvar.Int
	// joinedSubmissions counts the requests that waited for a job already running under their key, storedAnswers those that
	// were answered from the table.
	joinedSubmissions, storedAnswers *expvar.Int
	// quotaAdmitted and quotaRefused count tasks by team.
	quotaAdmitted, quotaRefused *expvar.Map
}

// Causes of wasted messages, the keys of wasted_by_cause.
const (
	// wasteRefusedStart: the agent refused to start the attempt.
	wasteRefusedStart = "refused_start"
	// wasteCancelledStart: the attempt was cancelled before it began.
	wasteCancelledStart = "cancelled_start"
	// wasteLostStart: the start was lost with a link.
	wasteLostStart = "lost_start"
	// wasteEndedTask: the result came after its task had got an outcome, for example from the slower one of two hedged
	// attempts.
	wasteEndedTask = "ended_task"
	// wasteRepeatedResult: a result of this attempt had already arrived.
	wasteRepeatedResult = "repeated_result"
	// wasteProbe: a ping was sent because a start was not acknowledged in time.
	wasteProbe = "probe"
)

func newMetrics(e *Entry) *metrics {
	vars := admin.NewVars()
	m := &metrics{
		vars: vars, jobs: vars.Map("jobs"), reasons: vars.Map("reasons"),
		callerAnswers: vars.Map("caller_answers"), callerReasons: vars.Map("caller_reasons"),
		starts: vars.Int("starts"), retries: vars.Int("retries"), hedges: vars.Int("hedges"),
		refusedStarts: vars.Map("refusals"), wasted: vars.Int("wasted_messages"), wastedByCause: vars.Map("wasted_by_cause"),
		lateResults: vars.Int("late_results"), suspectedLinks: vars.Int("suspected_links"), forwards: vars.Int("forwards"),
		joinedSubmissions: vars.Int("joined_submissions"), storedAnswers: vars.Int("stored_answers"),
		quotaAdmitted: vars.Map("quota_admitted_tasks"), quotaRefused: vars.Map("quota_refused_tasks"),
	}
	m.snapshot.Store(&metricsSnapshot{})
	admin.LinkVars(vars, &e.linkStats)
	vars.Func("uptime_seconds", func() any { return e.options.Clock.Now().Sub(e.startedAt).Seconds() })
	vars.Func("goroutines", func() any { return runtime.NumGoroutine() })
	vars.Func("ready", func() any { return e.Ready() })
	vars.Func("requests_in_progress", func() any { return e.inProgress.Load() })
	vars.Func("control_queue", func() any { return len(e.events) })
	vars.Func("store_down", func() any { return e.storeDown.Load() })
	if store, ok := e.options.Store.(storeWithVars); ok {
		vars.Set("store", store.Vars())
	}
	m.registerSnapshotVars(e.options.Clock.Now)
	return m
}

// storeWithVars is a store that counts its calls. The value of Vars is {"calls": {kind: number}, "failed": {kind: number}};
// the kinds are get, list, watch, compare_and_swap, lease_create, lease_bind, lease_renew and lease_release.
type storeWithVars interface{ Vars() expvar.Var }

var outcomeNames = map[wire.Outcome]string{
	wire.OutcomeComplete: "complete", wire.OutcomeNotRun: "not_run", wire.OutcomeUnknown: "unknown",
}

// countAnswer counts the final answer of a job that ran at this entry.
func (m *metrics) countAnswer(a *wire.Answer) {
	m.jobs.Add(outcomeNames[a.Outcome], 1)
	if a.Reason != "" {
		m.reasons.Add(string(a.Reason), 1)
	}
}

// countCallers is a middleware that counts the answers to callers. It reads them from the header fields that every answer
// of the interface carries.
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

// countResult counts the result of an open attempt. It must be called before the result is applied to the task.
func (m *metrics) countResult(r *wire.Result, a *attempt) {
	switch {
	case r.State == wire.AttemptNeverSeen:
		m.refusedStarts.Add(r.Reason.String(), 1)
		m.countWasted(wasteLostStart)
	case r.State == wire.AttemptRefused && r.Reason == wire.RefusedCancelled:
		m.refusedStarts.Add(r.Reason.String(), 1)
		m.countWasted(wasteCancelledStart)
	case r.State == wire.AttemptRefused:
		m.refusedStarts.Add(r.Reason.String(), 1)
		m.countWasted(wasteRefusedStart)
	case a.job.tasks[a.taskIndex].answer.Outcome != 0:
		m.countWasted(wasteEndedTask)
	}
}

// countLateResult counts a result of an attempt that has already ended.
func (m *metrics) countLateResult() {
	m.lateResults.Add(1)
	m.countWasted(wasteRepeatedResult)
}

func (m *metrics) countSuspectedLink() {
	m.suspectedLinks.Add(1)
	m.countWasted(wasteProbe)
}

// countWasted counts a message that did no useful work.
func (m *metrics) countWasted(cause string) {
	m.wasted.Add(1)
	m.wastedByCause.Add(cause, 1)
}

// countQuota counts the tasks of a job that the quota of the team admitted or refused.
func (m *metrics) countQuota(job *wire.Job, admitted bool) {
	if admitted {
		m.quotaAdmitted.Add(job.Team, int64(len(job.Tasks)))
	} else {
		m.quotaRefused.Add(job.Team, int64(len(job.Tasks)))
	}
}

// WastedMessages returns the number of messages that did no useful work since the entry started.
func (e *Entry) WastedMessages() uint64 { return uint64(e.control.metrics.wasted.Value()) }

// milliseconds converts a duration to the unit of the metrics.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
