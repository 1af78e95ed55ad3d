package records

// fifo is an unbounded first-in, first-out queue. It moves its items to the front of the slice once more than half of
// the slice has been consumed, so that the memory is reused.
type fifo[T any] struct {
	items []T
	head  int
}

func (q *fifo[T]) len() int { return len(q.items) - q.head }

func (q *fifo[T]) push(item T) { q.items = append(q.items, item) }

// front returns the oldest item. The queue must not be empty.
func (q *fifo[T]) front() T { return q.items[q.head] }

// pop removes and returns the oldest item. The queue must not be empty.
func (q *fifo[T]) pop() T {
	var zero T
	item := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if q.head > 64 && q.head*2 > len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
	return item
}
