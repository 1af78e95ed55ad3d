package dispatch

import "time"

// Size of a backlog. All buckets together span more than the longest deadline of a job plus maxHorizon, so tasks whose
// keys fall into the same bucket in different turns of the ring never wait at the same time.
const (
	bucketSpan  = instant(128 * time.Millisecond)
	bucketCount = 1024
	// pastBuckets is the number of buckets before the current time that can hold waiting tasks, enough for a deadline
	// of 60 s.
	pastBuckets = 512
)

// backlog sums the expected service times of the waiting tasks by their order key, to find how much work is served
// before a given key. It is a binary indexed tree over a ring of buckets: adding and summing take O(log bucketCount).
type backlog struct {
	tree  [bucketCount + 1]instant
	total instant
}

func bucketOf(key instant) int { return int(uint64(key/bucketSpan) % bucketCount) }

// add adds work at a key. The work is negative when a task leaves the queue.
func (b *backlog) add(key, work instant) {
	b.total += work
	for i := bucketOf(key) + 1; i <= bucketCount; i += i & -i {
		b.tree[i] += work
	}
}

// prefixSum returns the work in the first n buckets.
func (b *backlog) prefixSum(n int) instant {
	sum := instant(0)
	for ; n > 0; n -= n & -n {
		sum += b.tree[n]
	}
	return sum
}

// workBefore returns the work in the buckets up to and including that of the key.
func (b *backlog) workBefore(now, key instant) instant {
	if b.total == 0 {
		return 0
	}
	first, last := bucketOf(now-pastBuckets*bucketSpan), bucketOf(key)
	if first <= last {
		return b.prefixSum(last+1) - b.prefixSum(first)
	}
	return b.total - b.prefixSum(first) + b.prefixSum(last+1)
}
