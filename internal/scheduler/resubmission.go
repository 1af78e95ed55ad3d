package scheduler

import "time"

// Parameters by which an entry recognizes a job that its caller has submitted before.
const (
	// minEarlierWait is the shortest time that counts as spent in earlier submissions; it covers the way of the request.
	minEarlierWait = 100 * time.Millisecond
	// shortWaitWeight is the weight of one job in the share of short waits, which then covers the last 30 or so.
	shortWaitWeight = 1.0 / 32
	// maxShortWaitShare is the share of short waits above which the time of the queue does not describe how long its callers wait.
	maxShortWaitShare = 0.7
)

// shortWaitShares follows the share of jobs of each queue whose callers wait for less than the time of the queue.
type shortWaitShares map[string]float64

// earlierWait returns how long the caller of a job has tried before. A caller that waits for less than the time of the queue has
// used up the rest: after a loss of hosts all callers come again, and their jobs, which are late already, must not make those
// late that arrive for the first time.
func (w shortWaitShares) earlierWait(j *Job) time.Duration {
	waited := j.Queue.Timeout - j.Deadline.Sub(j.Arrived)
	isShort := waited >= minEarlierWait
	share := w[j.Queue.Name]
	if isShort {
		share += shortWaitWeight * (1 - share)
	} else {
		share -= shortWaitWeight * share
	}
	w[j.Queue.Name] = share
	if !isShort || share > maxShortWaitShare {
		return 0
	}
	return waited
}
