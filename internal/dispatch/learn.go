package dispatch

import (
	"math"
	"time"
)

// instant is a time in nanoseconds since the policy was created; also used for spans of time.
type instant int64

func (i instant) seconds() float64 { return float64(i) / float64(time.Second) }

func spanOf(seconds float64) instant { return instant(seconds * float64(time.Second)) }

// Parameters of the learned values.
const (
	// coldService is assumed for a kind of which nothing is known.
	coldService = instant(300 * time.Millisecond)
	// coldVariance is the variance of the logarithm of a service time of which nothing is known.
	coldVariance = 0.5
	// minService keeps the logarithm finite.
	minService = instant(50 * time.Microsecond)
	// serviceWeight is the weight of one observation once enough were made.
	serviceWeight = 0.05
	// kindWeight is that for the figures of a kind over all upstreams, which see many more observations.
	kindWeight = 0.01
	// maxVariance bounds the variance, so that one extreme straggler cannot make the mean meaningless.
	maxVariance = 3.0
	// quantile95 is the 95th percentile of the standard normal distribution.
	quantile95 = 1.645
)

// estimate learns the distribution of a duration as a lognormal one. Stragglers many times longer than the rest move
// its mean little, which an average of the plain times would follow.
type estimate struct {
	n        float64
	mu       float64 // mean of the logarithm of the seconds
	variance float64
}

// logSeconds returns the logarithm of a duration in seconds.
func logSeconds(d instant) float64 { return math.Log(max(d, minService).seconds()) }

// addLog learns one value, given as its logarithm, with a final weight of one observation.
func (s *estimate) addLog(x, weight float64) {
	s.n++
	if s.n == 1 {
		s.mu, s.variance = x, coldVariance
		return
	}
	w := max(1/s.n, weight)
	delta := x - s.mu
	s.mu += w * delta
	s.variance = min((1-w)*(s.variance+w*delta*delta), maxVariance)
}

// median returns the 50th percentile.
func (s *estimate) median() instant {
	if s.n == 0 {
		return coldService
	}
	return spanOf(math.Exp(s.mu))
}

// mean returns the mean of the lognormal distribution.
func (s *estimate) mean() instant {
	if s.n == 0 {
		return coldService
	}
	return spanOf(math.Exp(s.mu + s.variance/2))
}

// high returns the 95th percentile.
func (s *estimate) high() instant {
	if s.n == 0 {
		return 4 * coldService
	}
	return spanOf(math.Exp(s.mu + quantile95*math.Sqrt(s.variance)))
}

// Parameters of the success rate.
const (
	// successWeight is the weight of one result: about four failures in a row bring the rate from 1 to 0.3.
	successWeight = 0.25
	// successRecovery is the time constant with which the rate returns to 1 without results, so that a repaired
	// upstream gets work again.
	successRecovery = float64(30 * time.Second)
	// minSuccess keeps the expected completion finite.
	minSuccess = 0.01
	// untrustedSuccess is the rate relative to the peers below which an upstream gets one task at a time.
	untrustedSuccess = 0.5
	// untrustedStreak is the number of failures in a row with the same effect, however long ago they were.
	untrustedStreak = 3
	// failureRest is the time for which an untrusted upstream gets no task after a failure. It doubles with each
	// further failure of an attempt that was sent after the former one, up to maxFailureRest.
	failureRest    = instant(250 * time.Millisecond)
	maxFailureRest = instant(60 * time.Second)
)

// success is a learned success rate. The zero value stands for rate 1.
type success struct {
	failure float64
	at      instant
	streak  int // failures since the last success
}

// add learns one result.
func (s *success) add(now instant, ok bool) {
	f := 1 - s.rate(now)
	sample := 1.0
	s.streak++
	if ok {
		sample, s.streak = 0, 0
	}
	s.failure = f + successWeight*(sample-f)
	s.at = now
}

func (s *success) rate(now instant) float64 {
	if s.failure < 0.001 {
		return 1
	}
	x := float64(now-s.at) / successRecovery
	return max(1-s.failure/(1+x+x*x/2), minSuccess)
}
