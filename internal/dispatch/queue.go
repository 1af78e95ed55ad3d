package dispatch

// queueItem is one waiting task in a queue. The item is void when the task left the queue since; see task.entry.
type queueItem struct {
	key  instant
	seq  uint64
	task *task
}

func (i queueItem) live() bool { return i.task.entry == i.seq }

// taskQueue is a binary heap ordered by key, then by order of arrival. A task is removed in O(1): its item stays until
// it reaches the head or until more than half of the items are void.
type taskQueue struct {
	items []queueItem
	void  int
}

// minCompaction is the number of void items below which the queue is not compacted.
const minCompaction = 64

func (q *taskQueue) less(a, b int) bool {
	x, y := &q.items[a], &q.items[b]
	return x.key < y.key || x.key == y.key && x.seq < y.seq
}

func (q *taskQueue) push(i queueItem) {
	q.items = append(q.items, i)
	q.up(len(q.items) - 1)
}

// head returns the first task, or nil.
func (q *taskQueue) head() *task {
	for len(q.items) > 0 {
		if i := q.items[0]; i.live() {
			return i.task
		}
		q.removeHead()
		q.void--
	}
	return nil
}

// pop removes the head that head returned.
func (q *taskQueue) pop() { q.removeHead() }

// drop counts one item as void; its task has left the queue.
func (q *taskQueue) drop() {
	q.void++
	if q.void > minCompaction && q.void > len(q.items)/2 {
		q.compact()
	}
}

func (q *taskQueue) compact() {
	kept := q.items[:0]
	for _, i := range q.items {
		if i.live() {
			kept = append(kept, i)
		}
	}
	clear(q.items[len(kept):])
	q.items, q.void = kept, 0
	for i := len(kept)/2 - 1; i >= 0; i-- {
		q.down(i)
	}
}

func (q *taskQueue) removeHead() {
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = queueItem{}
	q.items = q.items[:last]
	q.down(0)
}

func (q *taskQueue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

func (q *taskQueue) down(i int) {
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

// jobTimer is the time at which a job has to be looked at.
type jobTimer struct {
	at  instant
	job *job
}

// timerHeap orders jobs by time. Jobs that have ended are skipped when they reach the head.
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

// next returns the earliest timer of a job that still has waiting tasks.
func (h *timerHeap) next() (jobTimer, bool) {
	for len(h.items) > 0 {
		if h.items[0].job.open > 0 {
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
