package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// LateTolerance is how long after the job's deadline an answer may arrive without being counted as late.
const LateTolerance = 500 * time.Millisecond

// Scale, ranges and precision of the histograms.
const (
	slowdownScale              = 1000 // a slowdown of 1 is recorded as 1000
	maxSlowdown                = 1_000_000 * slowdownScale
	maxMicros                  = int64(time.Hour / time.Microsecond)
	histogramSignificantDigits = 3
)

// inTimeCounter counts jobs and how many of them were complete before their deadline.
type inTimeCounter struct{ jobs, inTime uint64 }

func (s *inTimeCounter) add(inTime bool) {
	s.jobs++
	if inTime {
		s.inTime++
	}
}

func (s inTimeCounter) ratio() Ratio { return ratio(s.inTime, s.jobs) }

// recorder aggregates the results of jobs. It is used by one goroutine and is not safe for concurrent use.
type recorder struct {
	config                        *Config
	result                        *Result
	slowdown, shortWait, lag      *hdrhistogram.Histogram
	all, urgent, peak, peakUrgent inTimeCounter
	completeTasks                 uint64
}

func newRecorder(config *Config) *recorder {
	return &recorder{
		config:    config,
		result:    &Result{Service: config.Service.Name, Seed: config.Seed, Reasons: make(map[string]uint64)},
		slowdown:  hdrhistogram.New(1, maxSlowdown, histogramSignificantDigits),
		shortWait: hdrhistogram.New(1, maxMicros, histogramSignificantDigits),
		lag:       hdrhistogram.New(1, maxMicros, histogramSignificantDigits),
	}
}

// addJob adds the result of one finished job.
func (r *recorder) addJob(job *jobResult) {
	r.result.Jobs++
	r.result.Tasks += uint64(len(job.plan.tasks))
	recordClamped(r.lag, job.lag.Microseconds(), maxMicros)
	r.countSubmissions(job)
	final := job.decidingSubmission()
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

// decidingSubmission returns the submission that determines the outcome of the job: the complete one that was answered
// first, else the first one in order that was answered.
func (j *jobResult) decidingSubmission() *submissionResult {
	var final *submissionResult
	for i := range j.submissions {
		s := &j.submissions[i]
		preferred := final == nil || !final.answered
		if final != nil && s.answered && s.outcome == api.OutcomeComplete {
			preferred = preferred || final.outcome != api.OutcomeComplete || s.received.Before(final.received)
		}
		if preferred {
			final = s
		}
	}
	return final
}

// firstFault returns the first fault in the answers to the job, or faultNone.
func (j *jobResult) firstFault() fault {
	for i := range j.submissions {
		if j.submissions[i].fault != faultNone {
			return j.submissions[i].fault
		}
	}
	return faultNone
}

// hasContradiction reports whether a submission that was sent after a complete answer had arrived was answered with not_run.
func (j *jobResult) hasContradiction() bool {
	for i := range j.submissions {
		for k := range j.submissions {
			earlier, later := &j.submissions[i], &j.submissions[k]
			if earlier.answered && earlier.outcome == api.OutcomeComplete && later.answered &&
				later.outcome == api.OutcomeNotRun && later.sent.After(earlier.received) {
				return true
			}
		}
	}
	return false
}

func (r *recorder) countSubmissions(job *jobResult) {
	r.result.Resubmitted += uint64(len(job.submissions) - 1)
	for i := range job.submissions {
		r.result.Retried += uint64(job.submissions[i].retries)
	}
	if job.cancelled {
		r.result.CancelRequested++
	}
	if job.hasContradiction() {
		r.result.Contradicted++
	}
}

// countOutcome counts the job in exactly one class of Result and reports whether it is complete.
func (r *recorder) countOutcome(job *jobResult, final *submissionResult) bool {
	switch found := job.firstFault(); {
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

func (r *recorder) countFailure(job *jobResult, final *submissionResult) {
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
	ideal := plan.idealResponseTime(r.config)
	recordClamped(r.slowdown, int64(float64(response)/float64(ideal)*slowdownScale), maxSlowdown)
	if plan.isShort() {
		recordClamped(r.shortWait, (response - ideal).Microseconds(), maxMicros)
	}
}

func (r *recorder) countInTime(plan *plannedJob, inTime bool) {
	r.all.add(inTime)
	if plan.kind.Urgent {
		r.urgent.add(inTime)
	}
	if plan.atPeak {
		r.peak.add(inTime)
	}
	if plan.atPeak && plan.kind.Urgent {
		r.peakUrgent.add(inTime)
	}
}

// finish computes the percentiles and shares and returns the result.
func (r *recorder) finish(elapsed time.Duration) *Result {
	out := r.result
	out.Seconds = elapsed.Seconds()
	out.SlowdownP50 = scaledPercentile(r.slowdown, 50, slowdownScale)
	out.SlowdownP99 = scaledPercentile(r.slowdown, 99, slowdownScale)
	out.SlowdownP999 = scaledPercentile(r.slowdown, 99.9, slowdownScale)
	const microsPerMilli = 1000
	out.ShortWaitP99 = scaledPercentile(r.shortWait, 99, microsPerMilli)
	out.ArrivalLagP99 = scaledPercentile(r.lag, 99, microsPerMilli)
	out.InTimeShare, out.UrgentInTimeShare = r.all.ratio(), r.urgent.ratio()
	out.PeakInTimeShare, out.PeakUrgentInTimeShare = r.peak.ratio(), r.peakUrgent.ratio()
	out.MessagesWastedPerTask = ratio(0, 0)
	return out
}

// recordClamped adds a value to a histogram, clamped to the histogram's range.
func recordClamped(h *hdrhistogram.Histogram, value, maxValue int64) {
	// RecordValue fails only for a value out of range, which a clamped value never is.
	_ = h.RecordValue(min(max(value, 0), maxValue))
}

func scaledPercentile(h *hdrhistogram.Histogram, percent, scale float64) Ratio {
	if h.TotalCount() == 0 {
		return ratio(0, 0)
	}
	return Ratio(float64(h.ValueAtPercentile(percent)) / scale)
}
