package link

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay between two attempts to dial.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Backoff computes exponential delays with full jitter, so that many processes that lost the same peer do not come back
// at the same moment. The zero value is ready for use; it is not safe for concurrent use.
type Backoff struct{ failures int }

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	ceiling := min(maxBackoff, minBackoff<<min(b.failures, 10))
	b.failures++
	return time.Duration(rand.Int64N(int64(ceiling))) + time.Millisecond
}

// Reset is called after a successful attempt.
func (b *Backoff) Reset() { b.failures = 0 }
