package loadgen

import "time"

// progressInterval is the time between two reports of the progress.
const progressInterval = time.Second

// Progress is the state of a run. Jobs is the number of those that have ended; Faults counts those among them that show
// a broken promise.
type Progress struct {
	Elapsed, Duration                       time.Duration
	Jobs, Complete, NotRun, Unknown, Faults uint64
	InFlight                                int
}

// recordAll records results until the channel is closed and calls report once in each interval.
func (r *recorder) recordAll(results <-chan jobResult, report func()) {
	timer := r.config.Clock.NewTimer(progressInterval)
	defer timer.Stop()
	for {
		select {
		case job, open := <-results:
			if !open {
				return
			}
			r.record(&job)
		case <-timer.C():
			report()
			timer.Reset(progressInterval)
		}
	}
}

// report tells the progress to the caller of Run.
func (r *recorder) report(begin time.Time, inFlight int) {
	if r.config.Progress == nil {
		return
	}
	s := r.result
	r.config.Progress(Progress{
		Elapsed: r.config.Clock.Now().Sub(begin), Duration: r.config.Duration,
		Jobs: s.Jobs, Complete: s.Complete, NotRun: s.FailedNotRun, Unknown: s.FailedUnknown,
		Faults: s.Partial + s.MixedUp + s.Malformed + s.Lost + s.Contradicted, InFlight: inFlight,
	})
}
