package entry

import (
	"container/heap"
	"time"
)

// pendingTimer is one callback of a timerQueue that is still to run.
type pendingTimer struct {
	at       time.Time
	callback func(now time.Time)
	index    int
}

// timerQueue holds the timers of the control goroutine, ordered by time. A cancelled timer is removed at once, so that a
// long deadline does not keep a finished job in memory.
type timerQueue struct{ pending timerHeap }

// add schedules a callback. It can be cancelled until it has run.
func (q *timerQueue) add(at time.Time, callback func(now time.Time)) *pendingTimer {
	t := &pendingTimer{at: at, callback: callback}
	heap.Push(&q.pending, t)
	return t
}

// cancel removes a timer. It does nothing for nil or a timer that has run or was cancelled.
func (q *timerQueue) cancel(t *pendingTimer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&q.pending, t.index)
	}
}

// nextAt returns the time of the earliest timer, or false when there is none.
func (q *timerQueue) nextAt() (time.Time, bool) {
	if len(q.pending) == 0 {
		return time.Time{}, false
	}
	return q.pending[0].at, true
}

// runDue runs the callback of every timer that is due.
func (q *timerQueue) runDue(now time.Time) {
	for len(q.pending) > 0 && !q.pending[0].at.After(now) {
		t := heap.Pop(&q.pending).(*pendingTimer)
		t.callback(now)
	}
}

type timerHeap []*pendingTimer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*pendingTimer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
