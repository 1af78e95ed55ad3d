// Package metrics provides metric types that expvar does not have.
package metrics

import (
	"encoding/json"
	"math/bits"
	"strconv"
	"sync/atomic"
)

// buckets is the number of buckets of a Histogram. The last bucket counts all values from 2^(buckets-2).
const buckets = 18

// Histogram counts values in buckets whose bounds are powers of two. It implements expvar.Var and is safe for concurrent
// use.
type Histogram struct {
	count, sum atomic.Int64
	buckets    [buckets]atomic.Int64
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram { return &Histogram{} }

// Observe counts a value. A negative value counts as 0.
func (h *Histogram) Observe(v int64) {
	v = max(v, 0)
	h.count.Add(1)
	h.sum.Add(v)
	h.buckets[min(bits.Len64(uint64(v)), buckets-1)].Add(1)
}

// String implements expvar.Var. The keys of "below" are the exclusive upper bounds of the buckets. Empty buckets are left
// out.
func (h *Histogram) String() string {
	below := make(map[string]int64)
	for i := range h.buckets {
		if n := h.buckets[i].Load(); n > 0 {
			below[strconv.FormatInt(int64(1)<<i, 10)] = n
		}
	}
	text, err := json.Marshal(map[string]any{"count": h.count.Load(), "sum": h.sum.Load(), "below": below})
	if err != nil {
		return "null" // not reached: integers and strings can always be encoded
	}
	return string(text)
}
