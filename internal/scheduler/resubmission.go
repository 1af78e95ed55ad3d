package scheduler

import "time"

// Parameters for detecting that a caller has submitted a job before.
const (
	// minEarlierWait is the shortest time that counts as spent on earlier submissions; shorter ones are the latency of the
	// request.
	minEarlierWait = 100 * time.Millisecond
	// shortWaitWeight is the weight of one job in the share of short waits, which therefore covers about the last 32
	// jobs.
	shortWaitWeight = 1.0 / 32
	// maxShortWaitShare is the share of short waits above which the timeout of the queue does not indicate how long its
	// callers wait.
	maxShortWaitShare = 0.7
)

// shortWaitShares holds, for each queue, the share of recent jobs whose callers wait for less than the timeout of the queue.
type shortWaitShares map[string]float64

// earlierWait returns how long the caller of a job has already waited in earlier submissions, and updates the share of its
// queue. A caller that waits for less than the timeout of the queue has spent the rest on earlier submissions: after a loss
// of hosts all callers submit again, and their jobs, which are already late, must not delay jobs that arrive for the first
// time.
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
