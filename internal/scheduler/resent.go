package scheduler

import "time"

// Parameters by which an entry recognizes a job that its caller has submitted before.
const (
	// minSpent is the shortest time that counts as spent in earlier submissions; it covers the way of the request.
	minSpent = 100 * time.Millisecond
	// shortWaitWeight is the weight of one job in the share of short waits, which then covers the last 30 or so.
	shortWaitWeight = 1.0 / 32
	// maxShortShare is the share of short waits above which the time of the queue does not describe how long its callers wait.
	maxShortShare = 0.7
)

// waits follows the share of jobs of each queue whose callers wait for less than the time of the queue.
type waits map[string]float64

// spent returns how long the caller of a job has tried before. A caller that waits for less than the time of the queue has
// used up the rest: after a loss of hosts all callers come again, and their jobs, which are late already, must not make those
// late that arrive for the first time.
func (w waits) spent(j *Job) time.Duration {
	spent := j.Queue.Timeout - j.Deadline.Sub(j.Arrived)
	short := spent >= minSpent
	share := w[j.Queue.Name]
	if short {
		share += shortWaitWeight * (1 - share)
	} else {
		share -= shortWaitWeight * share
	}
	w[j.Queue.Name] = share
	if !short || share > maxShortShare {
		return 0
	}
	return spent
}
