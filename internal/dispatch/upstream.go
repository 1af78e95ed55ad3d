package dispatch

import (
	"math"
	"time"
)

// Parameters of the view of an upstream.
const (
	// defaultRoundTrip is the round trip assumed for an upstream in the data centre of the entry before the first
	// measurement, defaultRemoteRoundTrip that for an upstream in another data centre.
	defaultRoundTrip       = instant(1 * time.Millisecond)
	defaultRemoteRoundTrip = instant(3 * time.Millisecond)
	// roundTripWeight is the weight of a new measurement in the smoothed round trip.
	roundTripWeight = 0.1
	// maxRoundTrip bounds one measurement, which a delay in a busy process can distort.
	maxRoundTrip = instant(200 * time.Millisecond)
	// foreignWeight is the weight of a report in the mean load by other entries.
	foreignWeight = 0.1
)

// openAttempt is one attempt of this entry that has not ended.
type openAttempt struct {
	task   *task
	sentAt instant
	long   bool
	hedge  bool
}

// kindStats holds the estimates of one kind at one upstream.
type kindStats struct {
	serviceTimes durationEstimate
	success      successRate
	results      float64 // results recorded in success, up to 20
	// cachedService is the expected service time, valid while cachedGeneration is current.
	cachedService    instant
	cachedGeneration uint64
}

// upstream is the view that the entry has of one upstream.
type upstream struct {
	Upstream
	index          int // position in engine.active, -1 when removed
	removed        bool
	sameDataCentre bool
	// attempts holds the open attempts of this entry.
	attempts []openAttempt
	// reportedForeign is the foreign load, that is, the number of attempts of other entries, as of reportedAt.
	// reportedForeignLong counts the long ones among them, and meanForeign is the smoothed mean of the foreign load.
	reportedForeign, reportedForeignLong, meanForeign float64
	reportedAt                                        instant
	roundTrip                                         instant
	roundTripMeasured                                 bool
	stats                                             []kindStats // by kind.index
	// relativeTime estimates the service time relative to the mean of the kind. mu is the logarithm of the factor.
	relativeTime durationEstimate
	success      successRate
	backoffUntil instant // gets no work until then, after a refused attempt
	// failureBackoffUntil is the same after a failure while untrusted. Random and LeastConnections ignore it.
	failureBackoffUntil           instant
	backoff                       instant // last backoff after a refusal
	failureBackoff, lastFailureAt instant // last backoff after a failure, and the time of the last failure while untrusted
	removedAt                     instant
	ejection                      ejection
	timesGeneration               uint64 // changes with each observed service time
	hasFreeSlot, accepting        bool   // membership in withFreeSlot and accepting of its pools
	pools                         []membership
}

// membership holds the index of an upstream in the sets of one pool; -1 for not a member.
type membership struct {
	pool                          *pool
	freeSlotIndex, acceptingIndex int
}

// ownAttempts returns the number of open attempts of this entry.
func (u *upstream) ownAttempts() int { return len(u.attempts) }

// removeAttempt removes an open attempt by its index and returns it.
func (u *upstream) removeAttempt(i int) openAttempt {
	a := u.attempts[i]
	last := len(u.attempts) - 1
	u.attempts[i] = u.attempts[last]
	u.attempts[last] = openAttempt{}
	u.attempts = u.attempts[:last]
	return a
}

// ownLongAttempts returns the number of attempts that were sent as long or whose age is above the threshold.
func (u *upstream) ownLongAttempts(now, threshold instant) int {
	n := 0
	for i := range u.attempts {
		if u.attempts[i].long || now-u.attempts[i].sentAt > threshold {
			n++
		}
	}
	return n
}

// estimatedForeignLoad estimates the open attempts of other entries. With the age of the report, the estimate returns
// to the mean. That mean is capped below the number of slots, so that an upstream that was full once is tried again.
func (u *upstream) estimatedForeignLoad(now, decay instant) float64 {
	if u.reportedForeign == 0 && u.meanForeign == 0 {
		return 0
	}
	typical := min(u.meanForeign, float64(u.Slots)-1)
	age := float64(now-u.reportedAt) / float64(decay)
	return typical + (u.reportedForeign-typical)/(1+age+age*age)
}

// learnLoad records a report. Attempts that were sent less than a round trip ago had not reached the agent when it
// reported.
func (u *upstream) learnLoad(now instant, l Load) {
	arrived, arrivedLong := 0, 0
	for i := range u.attempts {
		if u.attempts[i].sentAt <= now-u.roundTrip {
			arrived++
			if u.attempts[i].long {
				arrivedLong++
			}
		}
	}
	u.reportedForeign = max(float64(int(l.Running)+int(l.Queued)-arrived), 0)
	u.reportedForeignLong = max(float64(int(l.RunningLong)-arrivedLong), 0)
	u.meanForeign += foreignWeight * (u.reportedForeign - u.meanForeign)
	u.reportedAt = now
}

func (u *upstream) learnRoundTrip(d instant) {
	d = min(max(d, 0), maxRoundTrip)
	if !u.roundTripMeasured {
		u.roundTrip, u.roundTripMeasured = d, true
		return
	}
	u.roundTrip += instant(roundTripWeight * float64(d-u.roundTrip))
}

// foreignLoadDeviation returns the standard deviation of the estimated foreign load. It grows with the age of the
// report, up to that of attempts that arrive independently.
func (u *upstream) foreignLoadDeviation(now, decay instant) float64 {
	if u.meanForeign == 0 {
		return 0
	}
	age := float64(now-u.reportedAt) / float64(decay)
	return math.Sqrt(u.meanForeign * age / (1 + age))
}

// resetFailures clears the recorded failures. Without it, a restarted agent would get no work for half a minute while
// others have free slots, because its lost attempts count as failures.
func (u *upstream) resetFailures() {
	u.success = successRate{}
	for i := range u.stats {
		u.stats[i].success, u.stats[i].results = successRate{}, 0
	}
	u.failureBackoff, u.failureBackoffUntil, u.lastFailureAt = 0, 0, 0
	u.ejection.failedProbes, u.ejection.nextProbe = 0, 0 // if the upstream is ejected, it is probed at once
}
