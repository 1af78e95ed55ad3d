package dispatch

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Stats holds statistics of a policy for the state dump. Counters are cumulative since the start of the entry.
type Stats struct {
	Upstreams, Ejected     int
	Ejections              uint64
	Waiting, WaitingUrgent int
	OpenAttempts           int
	Assigned               uint64
	Refused                uint64 // attempts that agents refused to start
	Retries, Hedges        uint64
	Overloaded, NoUpstream uint64 // refused tasks, or jobs if refused at submission
	DeadlineMissed         uint64
	DrainRate              float64 // work per time, roughly slots, that this entry got while tasks waited; 0 if unknown
	// ExpectedWait is the time within which all tasks that wait now are expected to have started.
	ExpectedWait time.Duration
	ByUpstream   []UpstreamStats `json:",omitempty"`
}

// UpstreamStats is the view that the entry has of one upstream. Open counts its own open attempts, Foreign estimates
// those of other entries.
type UpstreamStats struct {
	ID          string
	Open        int
	Foreign     float64
	SuccessRate float64
	RoundTrip   time.Duration
	Ejected     bool
}

func (s *Stats) countRefusals(reason wire.Reason, n uint64) {
	switch reason {
	case wire.ReasonOverloaded:
		s.Overloaded += n
	case wire.ReasonNoUpstream:
		s.NoUpstream += n
	case wire.ReasonDeadline:
		s.DeadlineMissed += n
	}
}

// Stats implements Policy.
func (e *engine) Stats(now time.Time) Stats {
	at := e.instantOf(now)
	s := e.counters
	s.Upstreams = len(e.active)
	s.WaitingUrgent = e.waiting[classUrgent]
	s.Waiting = e.waiting[classUrgent] + e.waiting[classNormal]
	for _, u := range e.upstreams {
		s.OpenAttempts += u.ownAttempts()
	}
	for _, u := range e.active {
		s.ByUpstream = append(s.ByUpstream, UpstreamStats{
			ID: u.ID, Open: u.ownAttempts(), Foreign: u.estimatedForeignLoad(at, e.loadDecay()),
			SuccessRate: u.success.rate(at), RoundTrip: time.Duration(u.roundTrip), Ejected: u.ejection.ejected,
		})
		if u.ejection.ejected {
			s.Ejected++
		}
	}
	for _, p := range e.poolList {
		s.DrainRate += p.drain.rate
		if work := p.backlogOf(classNormal); work > 0 {
			s.ExpectedWait = max(s.ExpectedWait, time.Duration(p.drainTime(e, at, work)))
		}
	}
	return s
}
