package consul

import (
	"sync"
	"time"
)

// rateWindow is the number of whole seconds over which rates are measured.
const rateWindow = 10

// Calls counts calls by kind: get, list, watch, put, acquire, delete, session_create, session_renew, session_destroy.
type Calls struct {
	// Total is the number of calls since the start of the server.
	Total map[string]uint64 `json:"total"`
	// PerSecond is the mean rate over the last ten whole seconds.
	PerSecond map[string]float64 `json:"per_second"`
}

type callCounter struct {
	mu    sync.Mutex
	total map[string]uint64
	// buckets is a ring of counts by second. A bucket is cleared when it is reused for a later second.
	buckets [rateWindow + 1]struct {
		second int64
		counts map[string]uint64
	}
}

func newCallCounter() *callCounter { return &callCounter{total: map[string]uint64{}} }

func (c *callCounter) count(kind string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total[kind]++
	second := now.Unix()
	b := &c.buckets[second%int64(len(c.buckets))]
	if b.second != second || b.counts == nil {
		b.second = second
		b.counts = map[string]uint64{}
	}
	b.counts[kind]++
}

func (c *callCounter) snapshot(now time.Time) Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := Calls{Total: map[string]uint64{}, PerSecond: map[string]float64{}}
	for kind, n := range c.total {
		result.Total[kind] = n
	}
	for _, b := range c.buckets {
		age := now.Unix() - b.second
		if age < 1 || age > rateWindow {
			continue
		}
		for kind, n := range b.counts {
			result.PerSecond[kind] += float64(n) / rateWindow
		}
	}
	return result
}
