package entry

import (
	"container/heap"
	"time"
)

// timerEntry is one pending callback of a timerQueue.
type timerEntry struct {
	at    time.Time
	run   func(now time.Time)
	index int
}

// timerQueue holds callbacks of the control goroutine, ordered by time. A cancelled entry is removed at once, so that a
// long deadline does not keep a finished job in memory.
type timerQueue struct{ entries timerHeap }

func (q *timerQueue) add(at time.Time, run func(now time.Time)) *timerEntry {
	e := &timerEntry{at: at, run: run}
	heap.Push(&q.entries, e)
	return e
}

func (q *timerQueue) cancel(e *timerEntry) {
	if e != nil && e.index >= 0 {
		heap.Remove(&q.entries, e.index)
	}
}

// next returns the time of the first entry and false when there is none.
func (q *timerQueue) next() (time.Time, bool) {
	if len(q.entries) == 0 {
		return time.Time{}, false
	}
	return q.entries[0].at, true
}

// fire runs every entry that is due.
func (q *timerQueue) fire(now time.Time) {
	for len(q.entries) > 0 && !q.entries[0].at.After(now) {
		e := heap.Pop(&q.entries).(*timerEntry)
		e.run(now)
	}
}

type timerHeap []*timerEntry

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	e := x.(*timerEntry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *timerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}
