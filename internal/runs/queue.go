package runs

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
)

// ReportedPriorities is the number of priorities that a load report distinguishes; lower priorities are added to the last
// one.
const ReportedPriorities = 4

// queue holds the tasks that wait to be started, and the sum of their needs.
type queue struct {
	runs  []*run
	needs job.Resources
}

func (q *queue) Len() int { return len(q.runs) }

func (q *queue) push(r *run) {
	q.runs = append(q.runs, r)
	q.needs = q.needs.Add(r.needs)
}

// sort orders the queue by tier, then by priority, then by latest start time. The queue is short, because entries hold back
// tasks that would wait for long.
func (q *queue) sort(now time.Time) {
	slices.SortStableFunc(q.runs, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(a.tierAt(now), b.tierAt(now)), cmp.Compare(a.offer.Priority, b.offer.Priority), a.latestStart.Compare(b.latestStart),
		)
	})
}

func (q *queue) remove(r *run) {
	if i := slices.Index(q.runs, r); i >= 0 {
		q.runs = slices.Delete(q.runs, i, i+1)
		q.needs = q.needs.Sub(r.needs)
	}
}

// workByPriority returns the waiting work of each priority, in milliseconds of run time on a worker of the given capacity.
func (q *queue) workByPriority(milliCPU int64) []int64 {
	if len(q.runs) == 0 || milliCPU == 0 {
		return nil
	}
	w := make([]int64, ReportedPriorities)
	for _, r := range q.runs {
		w[min(max(r.offer.Priority, 0), ReportedPriorities-1)] += r.needs.MilliCPU * max(r.offer.EstimateMillis, 1)
	}
	for i := range w {
		w[i] /= milliCPU
	}
	return w
}
