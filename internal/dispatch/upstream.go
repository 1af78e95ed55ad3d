package dispatch

import (
	"math"
	"time"
)

// Parameters of the view of an upstream.
const (
	// coldRoundTrip is assumed for an upstream in the entry's data centre before anything was measured, and
	// remoteRoundTrip for one elsewhere.
	coldRoundTrip   = instant(1 * time.Millisecond)
	remoteRoundTrip = instant(3 * time.Millisecond)
	roundTripWeight = 0.1
	// maxRoundTrip bounds one measurement, which a busy process can distort.
	maxRoundTrip = instant(200 * time.Millisecond)
	// foreignWeight is the weight of a report in the mean load of the other entries.
	foreignWeight = 0.1
)

// openAttempt is one attempt of this entry that has not ended.
type openAttempt struct {
	task  *task
	at    instant
	long  bool
	hedge bool
}

// kindStats is what was learned about one kind at one upstream.
type kindStats struct {
	times   estimate
	success success
	results float64
	// cached is the expected service time, valid for the generation.
	cached     instant
	generation uint64
}

// upstream is the entry's view of one upstream.
type upstream struct {
	Upstream
	index   int // position in engine.ups, -1 when removed
	removed bool
	near    bool
	// attempts are the open attempts of this entry.
	attempts []openAttempt
	// foreign is the load by other entries as of foreignAt; foreignMean is its learned mean.
	foreign, foreignLong, foreignMean float64
	foreignAt                         instant
	roundTrip                         instant
	measured                          bool
	stats                             []kindStats // by kind.index
	speed                             estimate    // of the time relative to the kind's mean: mu is the logarithm of the factor
	success                           success
	restUntil                         instant // gets no work until then, after a refusal
	// failureRestUntil is the same after a failure of an untrusted upstream. The baselines ignore it.
	failureRestUntil      instant
	rest                  instant // last rest, for the backoff
	failureRest, failedAt instant // last rest after a failure, and the time of that failure
	removedAt             instant
	ejection              ejection
	generation            uint64
	idle, open            bool // members of these sets of their pools
	pools                 []membership
}

// membership is the place of an upstream in the sets of one pool; -1 for none.
type membership struct {
	pool       *pool
	idle, open int
}

func (u *upstream) own() int { return len(u.attempts) }

func (u *upstream) take(i int) openAttempt {
	a := u.attempts[i]
	last := len(u.attempts) - 1
	u.attempts[i] = u.attempts[last]
	u.attempts[last] = openAttempt{}
	u.attempts = u.attempts[:last]
	return a
}

// ownLong counts the attempts that are long by what was learned or by their age.
func (u *upstream) ownLong(now, threshold instant) int {
	n := 0
	for i := range u.attempts {
		if u.attempts[i].long || now-u.attempts[i].at > threshold {
			n++
		}
	}
	return n
}

// otherLoad estimates the attempts of other entries. A report loses its value with its age: the estimate returns to
// the mean, and to at most one free slot, so that an upstream that was full once is tried again.
func (u *upstream) otherLoad(now, memory instant) float64 {
	if u.foreign == 0 && u.foreignMean == 0 {
		return 0
	}
	usual := min(u.foreignMean, float64(u.Slots)-1)
	age := float64(now-u.foreignAt) / float64(memory)
	return usual + (u.foreign-usual)/(1+age+age*age)
}

// learnLoad stores a report. Attempts sent less than a round trip ago were not at the agent when it reported.
func (u *upstream) learnLoad(now instant, l Load) {
	arrived, arrivedLong := 0, 0
	for i := range u.attempts {
		if u.attempts[i].at <= now-u.roundTrip {
			arrived++
			if u.attempts[i].long {
				arrivedLong++
			}
		}
	}
	u.foreign = max(float64(int(l.Running)+int(l.Queued)-arrived), 0)
	u.foreignLong = max(float64(int(l.RunningLong)-arrivedLong), 0)
	u.foreignMean += foreignWeight * (u.foreign - u.foreignMean)
	u.foreignAt = now
}

func (u *upstream) learnRoundTrip(d instant) {
	d = min(max(d, 0), maxRoundTrip)
	if !u.measured {
		u.roundTrip, u.measured = d, true
		return
	}
	u.roundTrip += instant(roundTripWeight * float64(d-u.roundTrip))
}

// uncertainty returns the standard deviation of the estimated foreign load. It grows with the age of the report up to
// that of tasks that arrive independently.
func (u *upstream) uncertainty(now, memory instant) float64 {
	if u.foreignMean == 0 {
		return 0
	}
	age := float64(now-u.foreignAt) / float64(memory)
	return math.Sqrt(u.foreignMean * age / (1 + age))
}

// forgetFailures clears what was learned about failures. Without it a restarted agent, whose lost attempts count as
// failures, gets no work for half a minute while others are idle.
func (u *upstream) forgetFailures() {
	u.success = success{}
	for i := range u.stats {
		u.stats[i].success, u.stats[i].results = success{}, 0
	}
	u.failureRest, u.failureRestUntil, u.failedAt = 0, 0, 0
	u.ejection.failures, u.ejection.next = 0, 0 // an ejected upstream is probed at once
}
