package workeragent

import (
	"expvar"
	"sync/atomic"

	"github.com/coltsfootspur/coltsfootspur/internal/catalogsync"
	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
	"github.com/coltsfootspur/coltsfootspur/internal/metrics"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Metrics holds the counters and histograms of an agent.
type Metrics struct {
	// Links is the number of open links.
	Links atomic.Int64
	// Started counts starts that were sent to the worker; Done, Failed, Stopped and NotStarted count offers that ended so.
	Started, Done, Failed, Stopped, NotStarted expvar.Int
	// StartsUnanswered counts starts without an answer, StartsRefused those that the worker refused.
	StartsUnanswered, StartsRefused expvar.Int
	// StopsUnanswered counts stops without an answer, LeasesWithheld the times that the lease ran out because a run did not end.
	StopsUnanswered, LeasesWithheld expvar.Int
	// AnnouncementsNotInForce counts announcements that were outdated or of another incarnation than the one that answers,
	// WorkerIncarnations the incarnations of the worker that have answered a poll.
	AnnouncementsNotInForce, WorkerIncarnations expvar.Int
	// Catalog counts transfers of the configuration.
	Catalog catalogsync.Metrics
	// EvacuationChanges counts changes of the set of evacuated data centres.
	EvacuationChanges expvar.Int
	evacuation        atomic.Pointer[evacuation.Summary]
	// RunMillis is the distribution of the run times of completed tasks, in milliseconds.
	RunMillis *metrics.Histogram
}

// NewMetrics returns metrics at zero.
func NewMetrics() *Metrics {
	m := &Metrics{RunMillis: metrics.NewHistogram()}
	m.setEvacuation(evacuation.Summary{DataCentres: []evacuation.DataCentre{}})
	return m
}

// Vars returns the metrics under the names by which they are published.
func (m *Metrics) Vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("links", expvar.Func(func() any { return m.Links.Load() }))
	vars.Set("starts", &m.Started)
	vars.Set("done", &m.Done)
	vars.Set("failed", &m.Failed)
	vars.Set("stopped", &m.Stopped)
	vars.Set("not_started", &m.NotStarted)
	vars.Set("starts_unanswered", &m.StartsUnanswered)
	vars.Set("starts_refused", &m.StartsRefused)
	vars.Set("stops_unanswered", &m.StopsUnanswered)
	vars.Set("leases_withheld", &m.LeasesWithheld)
	vars.Set("announcements_not_in_force", &m.AnnouncementsNotInForce)
	vars.Set("worker_incarnations", &m.WorkerIncarnations)
	m.Catalog.AddTo(vars)
	vars.Set("evacuation", expvar.Func(func() any { return m.evacuation.Load() }))
	vars.Set("evacuation_changes", &m.EvacuationChanges)
	vars.Set("run_ms", m.RunMillis)
	return vars
}

func (m *Metrics) setEvacuation(s evacuation.Summary) { m.evacuation.Store(&s) }

func (m *Metrics) recordEnd(end *wire.RunEnd) {
	switch end.Outcome {
	case wire.RunDone:
		m.Done.Add(1)
		m.RunMillis.Observe(end.DurationMicros / 1000)
	case wire.RunFailed:
		m.Failed.Add(1)
	case wire.RunStopped:
		m.Stopped.Add(1)
	default:
		m.NotStarted.Add(1)
	}
}

func (m *Metrics) recordStart(err error) {
	switch {
	case err == nil:
	case runs.ProvesNotStarted(err):
		m.StartsRefused.Add(1)
	default:
		m.StartsUnanswered.Add(1)
	}
}
