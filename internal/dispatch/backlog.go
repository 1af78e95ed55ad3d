package dispatch

import "time"

// Resolution of a backlog. The span of all buckets exceeds the longest deadline of a job plus maxHorizon, so no two
// tasks with keys that are a whole turn apart wait at the same time.
const (
	bucketSpan  = instant(128 * time.Millisecond)
	bucketCount = 1024
	// bucketsBack is the number of buckets before the present that can hold waiting tasks: a deadline of 60 s.
	bucketsBack = 512
)

// backlog sums the expected service times of the waiting tasks by their key, to find how much work is served before a
// given key. It is a binary indexed tree over a ring of buckets: adding and summing take O(log bucketCount).
type backlog struct {
	tree  [bucketCount + 1]instant
	total instant
}

func bucketOf(key instant) int { return int(uint64(key/bucketSpan) % bucketCount) }

// add adds work with the key; the work is negative when a task leaves.
func (b *backlog) add(key, work instant) {
	b.total += work
	for i := bucketOf(key) + 1; i <= bucketCount; i += i & -i {
		b.tree[i] += work
	}
}

// prefix sums the work in the first n buckets.
func (b *backlog) prefix(n int) instant {
	sum := instant(0)
	for ; n > 0; n -= n & -n {
		sum += b.tree[n]
	}
	return sum
}

// before sums the work whose key is not later.
func (b *backlog) before(now, key instant) instant {
	if b.total == 0 {
		return 0
	}
	first, last := bucketOf(now-bucketsBack*bucketSpan), bucketOf(key)
	if first <= last {
		return b.prefix(last+1) - b.prefix(first)
	}
	return b.total - b.prefix(first) + b.prefix(last+1)
}
