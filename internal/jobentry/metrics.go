package jobentry

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/catalogsync"
	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
	"github.com/coltsfootspur/coltsfootspur/internal/metrics"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
)

// Metrics holds the counters and histograms of an entry.
type Metrics struct {
	// OffersMade counts tasks that were offered to agents, OffersEnded the offers that agents have reported as ended.
	OffersMade, OffersEnded expvar.Int
	// Complete, Failed, NotRun and GivenUp count answers, CallersLeft the jobs that were cancelled because their callers
	// disconnected.
	Complete, Failed, NotRun, GivenUp, CallersLeft expvar.Int
	// Reservations counts the offers that reserve capacity.
	Reservations expvar.Int
	// WaitMillis is, for each scheduler.SizeClass, the distribution of the time that tasks wait at the entry, in milliseconds.
	WaitMillis [3]*metrics.Histogram
	// Refusals counts answers of NotRun by reason.
	Refusals expvar.Map
	// OffersTo counts offers by the data centre of the worker.
	OffersTo expvar.Map
	// Shares is the last known state of the admission to each service.
	Shares atomic.Pointer[[]scheduler.ShareSummary]
	// MalformedConfigurations counts values of the operator's key that were ignored.
	MalformedConfigurations expvar.Int
	// Catalog counts transfers of the configuration.
	Catalog catalogsync.Metrics
	// EvacuationChanges counts changes of the set of evacuated data centres, EvacuationKeysInvalid the invalid keys that request
	// an evacuation in the store, each once for each of its revisions.
	EvacuationChanges, EvacuationKeysInvalid expvar.Int
	evacuation                               atomic.Pointer[evacuation.Summary]
	// AnswerMillis is the distribution of the time from arrival to answer of complete jobs, in milliseconds.
	AnswerMillis *metrics.Histogram
	// OfferMillis is the distribution of the time from arrival to the first offer, in milliseconds.
	OfferMillis *metrics.Histogram
}

// NewMetrics returns metrics at zero.
func NewMetrics() *Metrics {
	m := &Metrics{AnswerMillis: metrics.NewHistogram(), OfferMillis: metrics.NewHistogram()}
	for i := range m.WaitMillis {
		m.WaitMillis[i] = metrics.NewHistogram()
	}
	m.setEvacuation(evacuation.Summary{DataCentres: []evacuation.DataCentre{}})
	return m
}

// Vars returns the metrics under the names by which they are published.
func (m *Metrics) Vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("offers", &m.OffersMade)
	vars.Set("ends", &m.OffersEnded)
	vars.Set("jobs_complete", &m.Complete)
	vars.Set("jobs_failed", &m.Failed)
	vars.Set("jobs_not_run", &m.NotRun)
	vars.Set("jobs_given_up", &m.GivenUp)
	vars.Set("refusals", &m.Refusals)
	vars.Set("offers_to", &m.OffersTo)
	vars.Set("shares", expvar.Func(func() any { return m.Shares.Load() }))
	vars.Set("callers_left", &m.CallersLeft)
	vars.Set("reservations", &m.Reservations)
	vars.Set("wait_small_ms", m.WaitMillis[scheduler.SmallTask])
	vars.Set("wait_medium_ms", m.WaitMillis[scheduler.MediumTask])
	vars.Set("wait_large_ms", m.WaitMillis[scheduler.LargeTask])
	vars.Set("malformed_configurations", &m.MalformedConfigurations)
	m.Catalog.AddTo(vars)
	vars.Set("evacuation", expvar.Func(func() any { return m.evacuation.Load() }))
	vars.Set("evacuation_changes", &m.EvacuationChanges)
	vars.Set("evacuation_keys_invalid", &m.EvacuationKeysInvalid)
	vars.Set("answer_ms", m.AnswerMillis)
	vars.Set("first_offer_ms", m.OfferMillis)
	return vars
}

func (m *Metrics) recordOffer(o scheduler.AgentMessage) {
	m.OffersMade.Add(1)
	m.WaitMillis[o.Size].Observe(o.Waited.Milliseconds())
	if o.Offer.ReserveMillis > 0 {
		m.Reservations.Add(1)
	}
}

func (m *Metrics) setEvacuation(s evacuation.Summary) { m.evacuation.Store(&s) }

func (m *Metrics) recordAnswer(a scheduler.Answer, now time.Time) {
	if !a.Job.FirstOffer.IsZero() {
		m.OfferMillis.Observe(a.Job.FirstOffer.Sub(a.Job.Arrived).Milliseconds())
	}
	switch a.Outcome {
	case scheduler.Complete:
		m.Complete.Add(1)
		m.AnswerMillis.Observe(now.Sub(a.Job.Arrived).Milliseconds())
	case scheduler.Failed:
		m.Failed.Add(1)
	case scheduler.NotRun, scheduler.Invalid, scheduler.Unreachable:
		m.NotRun.Add(1)
		if a.Outcome == scheduler.NotRun {
			m.Refusals.Add(a.Reason, 1)
		}
	default:
		m.GivenUp.Add(1)
	}
}
