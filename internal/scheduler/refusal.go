package scheduler

import (
	"math"
	"slices"
	"time"
)

// Parameters of refusals.
const (
	// settledAfter is the time without a new worker after which the entry knows the workers of a service. After a start, workers
	// announce themselves within 1.5 s of each other.
	settledAfter = 2 * time.Second
	// unfitRetryAfter is when a caller should retry a job that fits no worker. Workers are added or replaced within seconds.
	unfitRetryAfter = 10 * time.Second
	// offerRateWindow is the time constant of the rate at which waiting work is offered. It spans several run times of the
	// longest common tasks, which otherwise change the rate from one moment to the next.
	offerRateWindow = 2 * time.Second
	// minRateAge is how long tasks must have waited without a break before the rate of offers is known.
	minRateAge = 100 * time.Millisecond
	// arrivalRateWindow is the time constant of the rate at which work arrives. It is short, so that the end of a peak counts
	// before jobs that can then be served are refused.
	arrivalRateWindow = 500 * time.Millisecond
	// maxTimeToOffer bounds the expected time to offer work.
	maxTimeToOffer = time.Hour
	// minBacklogAge is how long tasks must have waited without a break before jobs are refused. A peak of less than a second
	// ends before, and the jobs in excess are served after it.
	minBacklogAge = 2 * time.Second
	// refusalSafetyFactor is by how much the expected wait must exceed the time that a job has. Estimates of single tasks are
	// off by 40%.
	refusalSafetyFactor = 2
	// refusalInterval is the interval at which the expected waits are compared with the deadlines.
	refusalInterval = 50 * time.Millisecond
	// maxOverloadRetryAfter bounds the retry hint of an overloaded entry; load peaks last for seconds.
	maxOverloadRetryAfter = 10 * time.Second
)

// backlog measures how fast work arrives at the entry and how fast the entry offers it to agents, in thousandths of a core
// times milliseconds.
type backlog struct {
	// arrived is the work of submitted jobs, offered that of the tasks offered while others waited.
	arrived, offered decayedRate

	since     time.Time // since when tasks have waited without a break; zero if none waits
	checkedAt time.Time
}

func (t *task) work() float64 {
	return float64(max(t.step.Needs.MilliCPU, 1)) * float64(max(t.step.Estimate.Milliseconds(), 1))
}

// decayedRate is a rate of work whose past counts less with time.
type decayedRate struct {
	sum       float64
	updatedAt time.Time
}

func (r *decayedRate) add(now time.Time, window time.Duration, work float64) {
	r.sum = r.perNanosecond(now, window)*float64(window) + work
	r.updatedAt = now
}

// perNanosecond returns the work per nanosecond.
func (r *decayedRate) perNanosecond(now time.Time, window time.Duration) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-float64(now.Sub(r.updatedAt))/float64(window)) / float64(window)
}

func (b *backlog) recordJob(now time.Time, j *Job) {
	b.arrived.add(now, arrivalRateWindow, j.work())
}

func (b *backlog) recordOffer(now time.Time, t *task) {
	b.offered.add(now, offerRateWindow, t.work())
}

// recordPass records the number of tasks that still wait after a pass.
func (b *backlog) recordPass(now time.Time, waiting int) {
	switch {
	case waiting == 0:
		b.since = time.Time{}
	case b.since.IsZero():
		b.since, b.offered = now, decayedRate{}
	}
}

// offerRate returns the rate at which work is offered while tasks wait, per nanosecond.
func (b *backlog) offerRate(now time.Time) float64 {
	observed := 1 - math.Exp(-float64(now.Sub(b.since))/float64(offerRateWindow)) // share of the window
	return b.offered.perNanosecond(now, offerRateWindow) / observed
}

// timeToOffer returns the time that it takes to offer an amount of work. It is 0 until tasks have waited for long enough to
// know it.
func (b *backlog) timeToOffer(now time.Time, work float64) time.Duration {
	if b.since.IsZero() || now.Sub(b.since) < minRateAge {
		return 0
	}
	return timeFor(work, b.offerRate(now))
}

// timeUntilReached returns the time until a task is offered that comes after an amount of work. Jobs that arrive later go before
// a task whose result would be too late to be useful.
func (b *backlog) timeUntilReached(now time.Time, t *task, workBefore float64) time.Duration {
	rate := b.offerRate(now)
	if t.job.tier == lastTier {
		rate -= b.arrived.perNanosecond(now, arrivalRateWindow)
	}
	return timeFor(workBefore, rate)
}

// timeFor returns the time that an amount of work takes at a rate per nanosecond.
func timeFor(work, rate float64) time.Duration {
	if work == 0 {
		return 0
	}
	if work <= rate*float64(maxTimeToOffer) {
		return time.Duration(work / rate)
	}
	return maxTimeToOffer
}

// refuseHopeless refuses the waiting jobs of which no task was offered yet and none will be before the deadline, because the
// work before them takes much longer than the time that they have.
//
// It answers a demand above the capacity that lasts for seconds. Without it, callers whose jobs come last wait until
// their deadline for a refusal that was certain earlier, and cannot go elsewhere.
func (s *Scheduler) refuseHopeless(now time.Time) {
	b := &s.backlog
	b.recordPass(now, s.waiting.Len())
	if b.since.IsZero() || now.Sub(b.since) < minBacklogAge || now.Sub(b.checkedAt) < refusalInterval {
		return
	}
	b.checkedAt = now
	before := 0.0
	refused := make(map[*Job]time.Duration)
	for _, t := range s.waiting.tasks {
		if _, isRefused := refused[t.job]; isRefused {
			continue
		}
		wait := b.timeUntilReached(now, t, before)
		if t.job.OffersMade == 0 && wait > refusalSafetyFactor*t.timeToStart(now) {
			refused[t.job] = wait
			continue
		}
		before += t.work()
	}
	for j, wait := range refused {
		s.answerJob(j, NotRun, "the work before it takes longer than its caller waits", min(max(wait, overloadRetryAfter), maxOverloadRetryAfter))
	}
}

// timeToStart returns the time within which a task must start to end before the deadline, if it takes half of its estimate.
func (t *task) timeToStart(now time.Time) time.Duration {
	return max(t.job.Deadline.Sub(now)-t.step.Estimate/2, 0)
}

// refuseUnfit refuses a job that no worker of its service can ever run, because a task needs more than each of them has or a
// label that none has. It returns whether the job was refused.
func (s *Scheduler) refuseUnfit(now time.Time, j *Job) bool {
	if j.fits || j.OffersMade > 0 {
		return false
	}
	reason := s.unfitReason(j)
	j.fits = reason == ""
	if j.fits || s.AvailableAgents(j.Queue.Service) == 0 || now.Sub(s.workerAddedAt) < settledAfter {
		return false
	}
	s.answerJob(j, NotRun, reason, unfitRetryAfter)
	return true
}

// unfitReason returns why no known worker can run a job, or an empty string. Workers whose agents are out of contact count,
// because they may come back.
func (s *Scheduler) unfitReason(j *Job) string {
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		isLargeEnough, hasLabel := false, false
		for _, a := range s.agentList {
			if a.worker.Service != j.Queue.Service || !step.Needs.FitsIn(a.capacity()) {
				continue
			}
			isLargeEnough = true
			hasLabel = hasLabel || step.Label == "" || slices.Contains(a.worker.Labels, step.Label)
		}
		switch {
		case !isLargeEnough:
			return "a task needs more than any worker of the service has"
		case !hasLabel:
			return "no worker of the service that is large enough has the label"
		}
	}
	return ""
}
