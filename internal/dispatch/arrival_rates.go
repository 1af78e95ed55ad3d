package dispatch

import (
	"math/bits"
	"time"
)

// Parameters of arrivalRates.
const (
	// arrivalWindow is the time over which one sample of the rates is taken, arrivalWeight the weight of a new sample.
	arrivalWindow = instant(500 * time.Millisecond)
	arrivalWeight = 0.1
	// horizonBuckets is the number of horizon ranges. Each range is twice as wide as the one before; they start at
	// minHorizon and reach from 100 ms to 25 s and more.
	horizonBuckets = 9
	// minDrainShare is the least share of the drain rate that is assumed to remain for a job, however much work
	// overtakes it.
	minDrainShare = 0.1
)

// arrivalRates measures the rate of accepted work by horizon, the time between the submission of a job and its order
// key. Work that arrives later with a shorter horizon is served first, so a wide or long job gets only a part of the
// drain rate.
type arrivalRates struct {
	windowWork  [1 + horizonBuckets]instant // work accepted in this window; index 0 is urgent work
	rates       [1 + horizonBuckets]float64 // smoothed work per time, indexed like windowWork
	windowStart instant
}

// horizonBucket returns the index of a job in windowWork and rates.
func horizonBucket(j *job) int {
	if j.class == classUrgent {
		return 0
	}
	return 1 + min(bits.Len64(uint64((j.orderKey-j.submitted)/minHorizon)), horizonBuckets-1)
}

// add records the work of an accepted job.
func (a *arrivalRates) add(j *job) {
	a.windowWork[horizonBucket(j)] += j.taskWork * instant(len(j.tasks))
	span := j.submitted - a.windowStart
	if span < arrivalWindow {
		return
	}
	for i, work := range a.windowWork {
		a.rates[i] += arrivalWeight * (float64(work)/float64(span) - a.rates[i])
	}
	a.windowWork, a.windowStart = [1 + horizonBuckets]instant{}, j.submitted
}

// overtakingRate returns the rate of arriving work that is served before a job: urgent work, and work of the horizon
// ranges below that of the job.
func (a *arrivalRates) overtakingRate(j *job) float64 {
	sum := 0.0
	for i := range horizonBucket(j) {
		sum += a.rates[i]
	}
	return sum
}
