package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// LateTolerance is how long after its deadline an answer may arrive before it counts as late.
const LateTolerance = 500 * time.Millisecond

// Ranges and precision of the histograms.
const (
	slowdownUnit   = 1000 // a slowdown of 1 is recorded as 1000
	highestRatio   = 1_000_000 * slowdownUnit
	highestMicros  = int64(time.Hour / time.Microsecond)
	histogramDigit = 3
)

// share counts jobs and those of them that were complete in time.
type share struct{ jobs, inTime uint64 }

func (s *share) count(inTime bool) {
	s.jobs++
	if inTime {
		s.inTime++
	}
}

func (s share) ratio() Ratio { return ratio(s.inTime, s.jobs) }

// recorder sums up the results of jobs. One goroutine owns it.
type recorder struct {
	config                          *Config
	result                          *Result
	slowdown, shortWait, lag        *hdrhistogram.Histogram
	all, urgent, crest, crestUrgent share
	completeTasks                   uint64
}

func newRecorder(config *Config) *recorder {
	return &recorder{
		config:    config,
		result:    &Result{Service: config.Service.Name, Seed: config.Seed, Reasons: make(map[string]uint64)},
		slowdown:  hdrhistogram.New(1, highestRatio, histogramDigit),
		shortWait: hdrhistogram.New(1, highestMicros, histogramDigit),
		lag:       hdrhistogram.New(1, highestMicros, histogramDigit),
	}
}

// record adds one job.
func (r *recorder) record(job *jobResult) {
	r.result.Jobs++
	r.result.Tasks += uint64(len(job.plan.tasks))
	record(r.lag, job.lag.Microseconds(), highestMicros)
	r.countCopies(job)
	final := job.final()
	response := final.received.Sub(job.arrival) + 2*r.config.ClientDelay
	complete := r.countOutcome(job, final)
	inTime := complete && response <= job.plan.kind.Deadline
	if final.answered && response > job.plan.kind.Deadline+LateTolerance {
		r.result.Late++
	}
	if complete {
		r.completeTasks += uint64(len(job.plan.tasks))
		r.result.UpstreamErrors += uint64(final.upstreamErrors)
		r.recordResponse(job.plan, response)
	}
	if !job.cancelled {
		r.countInTime(job.plan, inTime)
	}
}

// final returns the copy that decides the outcome: the first complete one, else the first one that was answered.
func (j *jobResult) final() *copyResult {
	var final *copyResult
	for i := range j.copies {
		c := &j.copies[i]
		better := final == nil || !final.answered
		if final != nil && c.answered && c.outcome == api.OutcomeComplete {
			better = better || final.outcome != api.OutcomeComplete || c.received.Before(final.received)
		}
		if better {
			final = c
		}
	}
	return final
}

// fault returns the first fault in any answer to the job.
func (j *jobResult) fault() fault {
	for i := range j.copies {
		if j.copies[i].found != faultNone {
			return j.copies[i].found
		}
	}
	return faultNone
}

// contradicted reports whether a submission that was sent after the job was complete was answered with not_run.
func (j *jobResult) contradicted() bool {
	for i := range j.copies {
		for k := range j.copies {
			earlier, later := &j.copies[i], &j.copies[k]
			if earlier.answered && earlier.outcome == api.OutcomeComplete && later.answered &&
				later.outcome == api.OutcomeNotRun && later.sent.After(earlier.received) {
				return true
			}
		}
	}
	return false
}

func (r *recorder) countCopies(job *jobResult) {
	r.result.Resubmitted += uint64(len(job.copies) - 1)
	for i := range job.copies {
		r.result.Retried += uint64(job.copies[i].retries)
	}
	if job.cancelled {
		r.result.CancelRequested++
	}
	if job.contradicted() {
		r.result.Contradicted++
	}
}

// countOutcome puts the job into exactly one class and reports whether it is complete.
func (r *recorder) countOutcome(job *jobResult, final *copyResult) bool {
	switch found := job.fault(); {
	case found == faultPartial:
		r.result.Partial++
	case found == faultMixedUp:
		r.result.MixedUp++
	case found == faultMalformed:
		r.result.Malformed++
	case !final.answered:
		r.result.Lost++
	case final.outcome == api.OutcomeComplete:
		r.result.Complete++
		return true
	default:
		r.countFailure(job, final)
	}
	return false
}

func (r *recorder) countFailure(job *jobResult, final *copyResult) {
	r.result.Reasons[string(final.reason)]++
	if final.outcome == api.OutcomeNotRun {
		r.result.FailedNotRun++
	} else {
		r.result.FailedUnknown++
	}
	if job.cancelled && final.reason == wire.ReasonCancelled {
		r.result.Cancelled++
	}
}

func (r *recorder) recordResponse(plan *plannedJob, response time.Duration) {
	ideal := plan.ideal(r.config)
	record(r.slowdown, int64(float64(response)/float64(ideal)*slowdownUnit), highestRatio)
	if plan.short() {
		record(r.shortWait, (response - ideal).Microseconds(), highestMicros)
	}
}

func (r *recorder) countInTime(plan *plannedJob, inTime bool) {
	r.all.count(inTime)
	if plan.kind.Urgent {
		r.urgent.count(inTime)
	}
	if plan.crest {
		r.crest.count(inTime)
	}
	if plan.crest && plan.kind.Urgent {
		r.crestUrgent.count(inTime)
	}
}

// finish computes the measures and returns the result.
func (r *recorder) finish(elapsed time.Duration) *Result {
	out := r.result
	out.Seconds = elapsed.Seconds()
	out.SlowdownP50 = quantile(r.slowdown, 50, slowdownUnit)
	out.SlowdownP99 = quantile(r.slowdown, 99, slowdownUnit)
	out.SlowdownP999 = quantile(r.slowdown, 99.9, slowdownUnit)
	const microsPerMilli = 1000
	out.ShortWaitP99 = quantile(r.shortWait, 99, microsPerMilli)
	out.ArrivalLagP99 = quantile(r.lag, 99, microsPerMilli)
	out.InTimeShare, out.UrgentInTimeShare = r.all.ratio(), r.urgent.ratio()
	out.CrestInTimeShare, out.CrestUrgentInTimeShare = r.crest.ratio(), r.crestUrgent.ratio()
	out.MessagesWastedPerTask = ratio(0, 0)
	return out
}

// record adds a value, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, value, highest int64) {
	// A clamped value is always in range, so the error cannot occur.
	_ = h.RecordValue(min(max(value, 0), highest))
}

func quantile(h *hdrhistogram.Histogram, percent, unit float64) Ratio {
	if h.TotalCount() == 0 {
		return ratio(0, 0)
	}
	return Ratio(float64(h.ValueAtPercentile(percent)) / unit)
}
