package runs

import (
	"math"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
)

// Parameters of the long-term slowdown of a worker.
const (
	// minSampleWeight is the weight of one sample after the first 19 or so. The estimate of a single task is off by about
	// 40%.
	minSampleWeight = 0.05
	// maxSampleSlowdown bounds one sample, so that a single straggler does not make a worker look slow.
	maxSampleSlowdown = 4
	// minEstimate is the shortest estimate that is used as a sample; shorter ones are too imprecise.
	minEstimate = 10 * time.Millisecond
)

// learnedSlowdown is the long-term ratio of the actual to the estimated run time of tasks, averaged as logarithms.
type learnedSlowdown struct {
	samples float64
	meanLog float64
}

func (s *learnedSlowdown) learn(estimate, actual time.Duration) {
	if estimate < minEstimate || actual <= 0 {
		return
	}
	x := math.Log(min(float64(actual)/float64(estimate), maxSampleSlowdown))
	s.samples++
	s.meanLog += max(1/(s.samples+1), minSampleWeight) * (x - s.meanLog)
}

// slowdown returns the ratio of the actual to the estimated run time; 1 without samples.
func (s *learnedSlowdown) slowdown() float64 { return math.Exp(s.meanLog) }

// Parameters of the recent slowdown of a worker.
const (
	// recentDecayTime is the time constant with which old observations lose weight. It is short enough to detect a worker
	// that becomes slow within the run time of the shortest tasks.
	recentDecayTime = 150 * time.Millisecond
	// minRecentTime is the weighted run time, summed over all runs, below which the recent slowdown is unknown.
	minRecentTime = 120 * time.Millisecond
	// recentOverrideFactor is the factor above the long-term slowdown from which the recent slowdown replaces it. Estimates
	// of ten runs together are off by 13%, and stragglers among them add as much again.
	recentOverrideFactor = 1.7
	// slowWorkerFactor is the factor above the long-term slowdown from which runs are moved to other workers.
	slowWorkerFactor = 3
)

// recentSlowdown is the ratio of elapsed to completed estimated run time of the runs in progress, weighted by age.
type recentSlowdown struct {
	work, elapsed float64 // decayed sums, in milliseconds of estimated and of actual run time
	updatedAt     time.Time
}

// observe adds the progress of all runs since the last observation, in milliseconds.
func (s *recentSlowdown) observe(now time.Time, work, elapsed float64) {
	if !s.updatedAt.IsZero() {
		decay := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(recentDecayTime))
		s.work *= decay
		s.elapsed *= decay
	}
	s.updatedAt = now
	s.work += work
	s.elapsed += elapsed
}

// slowdown returns the recent ratio of the actual to the estimated run time, and whether enough was observed to know it.
func (s *recentSlowdown) slowdown() (float64, bool) {
	if s.elapsed < float64(minRecentTime.Milliseconds()) {
		return 0, false
	}
	return s.elapsed / max(s.work, 0.01*s.elapsed), true
}

// maxConsecutiveFailures is the number of consecutive failures after which a worker is put on probation. At most a few
// percent of the tasks fail through their own fault, so four in a row indicate a fault of the worker.
const maxConsecutiveFailures = 4

// health tracks whether the runs of a worker make progress, and puts a faulty worker on probation.
type health struct {
	config              Config
	consecutiveFailures int
	// lastFailedStart is the latest start of a run that has failed. Only a run that started later shows that the worker is sound.
	lastFailedStart time.Time
	progressedAt    time.Time // when a snapshot last showed progress of a run
	snapshotAt      time.Time // when the last snapshot arrived
	backoffUntil    time.Time
	onProbation     bool
}

// admits reports whether the worker may take a task in addition to those it has. A healthy worker takes any number. A worker
// on probation takes none during the backoff, and after it one at a time until one succeeds.
func (h *health) admits(now time.Time, tasks int) bool {
	return !h.onProbation || tasks == 0 && !now.Before(h.backoffUntil)
}

func (h *health) startProbation(now time.Time, d time.Duration) {
	h.onProbation, h.backoffUntil, h.progressedAt = true, now.Add(d), now
}

// recordFailure records the failure of a run that was started at a time. It returns whether the worker is on probation because
// of it.
func (h *health) recordFailure(now, startedAt time.Time) bool {
	if startedAt.After(h.lastFailedStart) {
		h.lastFailedStart = startedAt
	}
	h.consecutiveFailures++
	if h.consecutiveFailures < maxConsecutiveFailures {
		return false
	}
	h.startProbation(now, h.config.FailureBackoff)
	return true
}

// recordSuccess records the success of a run that was started at a time. A run that started before the last one that failed proves
// nothing: a worker that has begun to fail all new runs completes the earlier ones, and looks idle because the new ones end soon.
func (h *health) recordSuccess(startedAt time.Time) {
	if startedAt.Before(h.lastFailedStart) {
		return
	}
	h.consecutiveFailures, h.onProbation = 0, false
}

// recordSnapshot records a snapshot: whether any run made progress, and how many runs it lists.
func (h *health) recordSnapshot(now time.Time, progressed bool, running int) {
	h.snapshotAt = now
	if progressed || running == 0 {
		h.progressedAt = now
	}
}

// stalled reports whether the worker has runs and its snapshots have shown no progress for StallTimeout. Time without a
// snapshot does not count, because nothing is known about the runs then.
func (h *health) stalled(active int) bool {
	return active > 0 && h.snapshotAt.Sub(h.progressedAt) >= h.config.StallTimeout
}

// maxTrackedTasks is the number of tasks whose highest attempt number is kept. A worker starts about 60 tasks per second at
// the target load, so this covers a minute, the time within which a job is submitted again.
const maxTrackedTasks = 4096

// attemptTracker holds the highest attempt number of the most recent tasks on the worker.
type attemptTracker struct {
	highest map[job.TaskID]uint32
	order   []job.TaskID
}

func newAttemptTracker() attemptTracker { return attemptTracker{highest: make(map[job.TaskID]uint32)} }

func (a *attemptTracker) record(r Ref) {
	old, tracked := a.highest[r.Task]
	if !tracked {
		a.order = append(a.order, r.Task)
		if len(a.order) > maxTrackedTasks {
			delete(a.highest, a.order[0])
			a.order = a.order[1:]
		}
	}
	a.highest[r.Task] = max(old, r.Attempt)
}

// next returns the attempt number for a start: at least minimum, and above every number recorded for the task.
func (a *attemptTracker) next(task job.TaskID, minimum uint32) uint32 {
	n := max(a.highest[task]+1, minimum, 1)
	a.record(Ref{Task: task, Attempt: n})
	return n
}
