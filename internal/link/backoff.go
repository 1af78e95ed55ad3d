package link

import (
	"math/rand/v2"
	"time"
)

// minBackoff is the bound of the first delay between two dial attempts.
const minBackoff = 100 * time.Millisecond

// MaxBackoff is the longest delay between two dial attempts. It is shorter than dispatch.UpstreamGrace, so that every agent
// dials a restarted entry while jobs there still wait for upstreams.
const MaxBackoff = 1500 * time.Millisecond

// Backoff computes exponential delays with full jitter, so that many processes that lost the same peer do not reconnect at
// the same moment. The zero value is ready for use. It is not safe for concurrent use.
type Backoff struct{ failedAttempts int }

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	ceiling := min(MaxBackoff, minBackoff<<min(b.failedAttempts, 10))
	b.failedAttempts++
	return time.Duration(rand.Int64N(int64(ceiling))) + time.Millisecond
}

// Reset returns to the shortest delay. It is called after a successful attempt.
func (b *Backoff) Reset() { b.failedAttempts = 0 }
