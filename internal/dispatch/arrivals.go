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

// arrivals measures the rate of accepted tasks by their horizon, the time between submission and key. Tasks with a
// shorter horizon that arrive later pass those that wait, so a wide or long job gets only a part of the drain.
type arrivals struct {
	counts [1 + horizonBuckets]int     // in this window; index 0 is urgent work
	rates  [1 + horizonBuckets]float64 // tasks per second
	since  instant
}

func horizonBucket(j *job) int {
	if j.class == classUrgent {
		return 0
	}
	return 1 + min(bits.Len64(uint64((j.key-j.submitted)/minHorizon)), horizonBuckets-1)
}

// add counts the tasks of an accepted job.
func (a *arrivals) add(j *job) {
	a.counts[horizonBucket(j)] += len(j.tasks)
	span := j.submitted - a.since
	if span < arrivalWindow {
		return
	}
	for i, n := range a.counts {
		a.rates[i] += arrivalWeight * (float64(n)/span.seconds() - a.rates[i])
	}
	a.counts, a.since = [1 + horizonBuckets]int{}, j.submitted
}

// passing returns the rate of tasks that pass a job: urgent work, and work with at most half its horizon.
func (a *arrivals) passing(j *job) float64 {
	sum := 0.0
	for i := range horizonBucket(j) {
		sum += a.rates[i]
	}
	return sum
}
