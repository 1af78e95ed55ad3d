package loadgen

import "time"

// progressInterval is the time between two progress reports.
const progressInterval = time.Second

// Progress is the state of a run. Jobs is the number of finished jobs. Faults is the number of finished jobs that violate
// a guarantee: partial, mixed-up or malformed answers, lost jobs and contradicted answers.
type Progress struct {
	Elapsed, Duration                       time.Duration
	Jobs, Complete, NotRun, Unknown, Faults uint64
	InFlight                                int
}

// recordAll records results until the channel is closed and calls report once per progress interval.
func (r *recorder) recordAll(results <-chan jobResult, report func()) {
	timer := r.config.Clock.NewTimer(progressInterval)
	defer timer.Stop()
	for {
		select {
		case job, open := <-results:
			if !open {
				return
			}
			r.addJob(&job)
		case <-timer.C():
			report()
			timer.Reset(progressInterval)
		}
	}
}

// reportProgress passes the current state to the Progress callback of the configuration.
func (r *recorder) reportProgress(loadStart time.Time, inFlight int) {
	if r.config.Progress == nil {
		return
	}
	s := r.result
	r.config.Progress(Progress{
		Elapsed: r.config.Clock.Now().Sub(loadStart), Duration: r.config.Duration,
		Jobs: s.Jobs, Complete: s.Complete, NotRun: s.FailedNotRun, Unknown: s.FailedUnknown,
		Faults: s.Partial + s.MixedUp + s.Malformed + s.Lost + s.Contradicted, InFlight: inFlight,
	})
}
