package dispatch

// queueItem is one waiting task in a queue. The item is stale if the task has left the queue or was queued again since;
// see task.queueSeq.
type queueItem struct {
	key  instant
	seq  uint64
	task *task
}

func (i queueItem) isLive() bool { return i.task.queueSeq == i.seq }

// taskQueue is a binary heap ordered by key, then by order of arrival. Removing a task takes O(1): its item becomes
// stale and stays until it reaches the head or until more than half of the items are stale.
type taskQueue struct {
	items      []queueItem
	staleItems int
}

// minStaleItems is the number of stale items up to which the queue is not compacted.
const minStaleItems = 64

func (q *taskQueue) less(a, b int) bool {
	x, y := &q.items[a], &q.items[b]
	return x.key < y.key || x.key == y.key && x.seq < y.seq
}

func (q *taskQueue) push(i queueItem) {
	q.items = append(q.items, i)
	q.siftUp(len(q.items) - 1)
}

// head returns the first task, or nil if the queue is empty.
func (q *taskQueue) head() *task {
	for len(q.items) > 0 {
		if i := q.items[0]; i.isLive() {
			return i.task
		}
		q.removeHead()
		q.staleItems--
	}
	return nil
}

// pop removes the task that head returned.
func (q *taskQueue) pop() { q.removeHead() }

// markStale counts one item as stale. The caller has already cleared queueSeq of its task.
func (q *taskQueue) markStale() {
	q.staleItems++
	if q.staleItems > minStaleItems && q.staleItems > len(q.items)/2 {
		q.compact()
	}
}

// compact removes the stale items.
func (q *taskQueue) compact() {
	kept := q.items[:0]
	for _, i := range q.items {
		if i.isLive() {
			kept = append(kept, i)
		}
	}
	clear(q.items[len(kept):])
	q.items, q.staleItems = kept, 0
	for i := len(kept)/2 - 1; i >= 0; i-- {
		q.siftDown(i)
	}
}

func (q *taskQueue) removeHead() {
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = queueItem{}
	q.items = q.items[:last]
	q.siftDown(0)
}

func (q *taskQueue) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

func (q *taskQueue) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.items) {
			return
		}
		if child+1 < len(q.items) && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			return
		}
		q.items[i], q.items[child] = q.items[child], q.items[i]
		i = child
	}
}

// jobTimer holds a time at which the deadline or the grace time of a job is checked.
type jobTimer struct {
	at  instant
	job *job
}

// timerHeap is a heap of timers ordered by time. Timers of jobs that have ended are skipped when they reach the head.
type timerHeap struct{ items []jobTimer }

func (h *timerHeap) push(at instant, j *job) {
	h.items = append(h.items, jobTimer{at, j})
	for i := len(h.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if h.items[parent].at <= h.items[i].at {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

// next returns the earliest timer of a job with tasks that have not ended.
func (h *timerHeap) next() (jobTimer, bool) {
	for len(h.items) > 0 {
		if h.items[0].job.openTasks > 0 {
			return h.items[0], true
		}
		h.pop()
	}
	return jobTimer{}, false
}

func (h *timerHeap) pop() {
	last := len(h.items) - 1
	h.items[0] = h.items[last]
	h.items[last] = jobTimer{}
	h.items = h.items[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return
		}
		if child+1 < last && h.items[child+1].at < h.items[child].at {
			child++
		}
		if h.items[i].at <= h.items[child].at {
			return
		}
		h.items[i], h.items[child] = h.items[child], h.items[i]
		i = child
	}
}
