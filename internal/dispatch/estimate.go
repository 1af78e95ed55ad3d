package dispatch

import (
	"math"
	"time"
)

// instant is a time in nanoseconds since the policy was created. It is also used for durations.
type instant int64

func (i instant) seconds() float64 { return float64(i) / float64(time.Second) }

func fromSeconds(seconds float64) instant { return instant(seconds * float64(time.Second)) }

// Parameters of the learned service times.
const (
	// defaultService is the service time assumed for a kind without observations.
	defaultService = instant(300 * time.Millisecond)
	// defaultVariance is the variance of the logarithm of the service time assumed before enough observations exist.
	defaultVariance = 0.5
	// minService is the lower bound of an observation; it keeps the logarithm finite.
	minService = instant(50 * time.Microsecond)
	// serviceWeight is the lower bound of the weight of a new observation at one upstream.
	serviceWeight = 0.05
	// kindWeight is the same bound for the times of a kind at all upstreams, which get many more observations.
	kindWeight = 0.01
	// maxVariance bounds the variance, so that one extreme straggler cannot make the mean meaningless.
	maxVariance = 3.0
	// normalQuantile95 is the 95th percentile of the standard normal distribution.
	normalQuantile95 = 1.645
)

// durationEstimate estimates a lognormal distribution of durations. Stragglers many times longer than the rest change
// its mean little, whereas they would dominate an average of the durations themselves.
type durationEstimate struct {
	n        float64 // number of observations
	mu       float64 // mean of the logarithm of the duration in seconds
	variance float64 // variance of that logarithm
}

// logSeconds returns the logarithm of a duration in seconds.
func logSeconds(d instant) float64 { return math.Log(max(d, minService).seconds()) }

// addLog adds one observation, given as the logarithm of seconds. The first observations are averaged; later ones have
// the given weight.
func (s *durationEstimate) addLog(x, weight float64) {
	s.n++
	if s.n == 1 {
		s.mu, s.variance = x, defaultVariance
		return
	}
	w := max(1/s.n, weight)
	delta := x - s.mu
	s.mu += w * delta
	s.variance = min((1-w)*(s.variance+w*delta*delta), maxVariance)
}

// median returns the 50th percentile of the distribution.
func (s *durationEstimate) median() instant {
	if s.n == 0 {
		return defaultService
	}
	return fromSeconds(math.Exp(s.mu))
}

// mean returns the mean of the lognormal distribution.
func (s *durationEstimate) mean() instant {
	if s.n == 0 {
		return defaultService
	}
	return fromSeconds(math.Exp(s.mu + s.variance/2))
}

// percentile95 returns the 95th percentile of the distribution.
func (s *durationEstimate) percentile95() instant {
	if s.n == 0 {
		return 4 * defaultService
	}
	return fromSeconds(math.Exp(s.mu + normalQuantile95*math.Sqrt(s.variance)))
}

// Parameters of the success rate.
const (
	// successWeight is the weight of one result: four consecutive failures lower the rate from 1 to about 0.3.
	successWeight = 0.25
	// successRecovery is the time constant in nanoseconds with which the rate returns to 1 without results, so that a
	// repaired upstream gets work again.
	successRecovery = float64(30 * time.Second)
	// minSuccessRate is the lower bound of a rate; it keeps the expected completion finite.
	minSuccessRate = 0.01
	// untrustedSuccessRate is the success rate relative to the other upstreams below which an upstream gets one task at
	// a time.
	untrustedSuccessRate = 0.5
	// untrustedFailureStreak is the number of consecutive failures that have the same effect, however long ago they
	// occurred.
	untrustedFailureStreak = 3
	// minFailureBackoff is the time for which an untrusted upstream gets no task after a failure. It doubles with each
	// failure of an attempt that was sent after the previous failure, up to maxFailureBackoff.
	minFailureBackoff = instant(250 * time.Millisecond)
	maxFailureBackoff = instant(60 * time.Second)
)

// successRate is an exponentially weighted success rate. The zero value stands for a rate of 1.
type successRate struct {
	failureRate   float64 // as of updatedAt
	updatedAt     instant
	failureStreak int // consecutive failures since the last success
}

// add records one result.
func (s *successRate) add(now instant, ok bool) {
	f := 1 - s.rate(now)
	sample := 1.0
	s.failureStreak++
	if ok {
		sample, s.failureStreak = 0, 0
	}
	s.failureRate = f + successWeight*(sample-f)
	s.updatedAt = now
}

// rate returns the success rate at the given time, between minSuccessRate and 1.
func (s *successRate) rate(now instant) float64 {
	if s.failureRate < 0.001 {
		return 1
	}
	x := float64(now-s.updatedAt) / successRecovery
	return max(1-s.failureRate/(1+x+x*x/2), minSuccessRate)
}
