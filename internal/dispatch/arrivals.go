package dispatch

import (
	"math/bits"
	"time"
)

// Parameters of arrivals.
const (
	arrivalWindow = instant(500 * time.Millisecond)
	arrivalWeight = 0.1
	// horizonBuckets are powers of two of minHorizon: 100 ms to 25 s and more.
	horizonBuckets = 9
	// minDrainShare of the drain is assumed for a job however much work passes it.
	minDrainShare = 0.1
)

// arrivals measures the rate of accepted work by its horizon, the time between submission and key. Work with a shorter
// horizon that arrives later passes what waits, so a wide or long job gets only a part of the drain.
type arrivals struct {
	sums  [1 + horizonBuckets]instant // work in this window; index 0 is urgent work
	rates [1 + horizonBuckets]float64 // work per time
	since instant
}

func horizonBucket(j *job) int {
	if j.class == classUrgent {
		return 0
	}
	return 1 + min(bits.Len64(uint64((j.key-j.submitted)/minHorizon)), horizonBuckets-1)
}

// add adds the work of an accepted job.
func (a *arrivals) add(j *job) {
	a.sums[horizonBucket(j)] += j.work * instant(len(j.tasks))
	span := j.submitted - a.since
	if span < arrivalWindow {
		return
	}
	for i, work := range a.sums {
		a.rates[i] += arrivalWeight * (float64(work)/float64(span) - a.rates[i])
	}
	a.sums, a.since = [1 + horizonBuckets]instant{}, j.submitted
}

// passing returns the rate of work that passes a job: urgent work, and work with at most half its horizon.
func (a *arrivals) passing(j *job) float64 {
	sum := 0.0
	for i := range horizonBucket(j) {
		sum += a.rates[i]
	}
	return sum
}
