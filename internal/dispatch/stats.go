package dispatch

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Stats are figures of a policy. Counters count since the start.
type Stats struct {
	Upstreams, Ejected     int
	Ejections              uint64
	Waiting, WaitingUrgent int
	OpenAttempts           int
	Assigned               uint64
	Refused                uint64 // attempts that an agent did not start
	Retries, Hedges        uint64
	Overloaded, NoUpstream uint64 // tasks or, at submission, jobs
	DeadlineMissed         uint64
	DrainRate              float64 // slots that this entry got while tasks waited; 0 if not known
	// ExpectedWait is the time in which the tasks that wait now are expected to have started.
	ExpectedWait time.Duration
	ByUpstream   []UpstreamStats `json:",omitempty"`
}

// UpstreamStats is the entry's view of one upstream.
type UpstreamStats struct {
	ID          string
	Open        int
	Foreign     float64
	SuccessRate float64
	RoundTrip   time.Duration
	Ejected     bool
}

func (s *Stats) count(reason wire.Reason, n uint64) {
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
	at := e.at(now)
	s := e.counters
	s.Upstreams = len(e.active)
	s.WaitingUrgent = e.waiting[classUrgent]
	s.Waiting = e.waiting[classUrgent] + e.waiting[classNormal]
	for _, u := range e.upstreams {
		s.OpenAttempts += u.own()
	}
	for _, u := range e.active {
		s.ByUpstream = append(s.ByUpstream, UpstreamStats{
			ID: u.ID, Open: u.own(), Foreign: u.otherLoad(at, e.memory()), SuccessRate: u.success.rate(at),
			RoundTrip: time.Duration(u.roundTrip), Ejected: u.ejection.ejected,
		})
		if u.ejection.ejected {
			s.Ejected++
		}
	}
	for _, p := range e.poolList {
		s.DrainRate += p.drain.rate
		if work := p.backlogOf(classNormal); work > 0 {
			s.ExpectedWait = max(s.ExpectedWait, time.Duration(p.timeFor(e, at, work)))
		}
	}
	return s
}
