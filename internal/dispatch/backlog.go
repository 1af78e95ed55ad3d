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

// backlog counts the waiting tasks by their key, to find how many are served before a given key. It is a binary indexed
// tree over a ring of buckets: adding and counting take O(log bucketCount).
type backlog struct {
	tree  [bucketCount + 1]int32
	total int
}

func bucketOf(key instant) int { return int(uint64(key/bucketSpan) % bucketCount) }

// add counts n tasks with the key; n is negative when they leave.
func (b *backlog) add(key instant, n int) {
	b.total += n
	for i := bucketOf(key) + 1; i <= bucketCount; i += i & -i {
		b.tree[i] += int32(n)
	}
}

// prefix counts the tasks in the first n buckets.
func (b *backlog) prefix(n int) int {
	sum := 0
	for ; n > 0; n -= n & -n {
		sum += int(b.tree[n])
	}
	return sum
}

// before counts the tasks whose key is not later.
func (b *backlog) before(now, key instant) int {
	if b.total == 0 {
		return 0
	}
	first, last := bucketOf(now-bucketsBack*bucketSpan), bucketOf(key)
	if first <= last {
		return b.prefix(last+1) - b.prefix(first)
	}
	return b.total - b.prefix(first) + b.prefix(last+1)
}
