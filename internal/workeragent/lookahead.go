package workeragent

import (
	"time"

	"github.com/apex/log"
)

// lookaheadLogInterval is the shortest interval between two log lines about reservations. At peak load there are tens of
// reservations per second.
const lookaheadLogInterval = 10 * time.Second

// recordLookahead publishes the counters of reservations, and logs what has been added to them.
func (c *control) recordLookahead(now time.Time) {
	counters := c.table.Lookahead()
	if last := c.agent.options.Metrics.Lookahead.Load(); last == nil || *last != counters {
		c.agent.options.Metrics.Lookahead.Store(&counters)
	}
	if counters == c.lookahead || now.Sub(c.lookaheadLoggedAt) < lookaheadLogInterval {
		return
	}
	c.log.WithFields(log.Fields{
		"made": counters.Made - c.lookahead.Made, "kept": counters.Kept - c.lookahead.Kept, "expired": counters.Expired - c.lookahead.Expired,
		"released": counters.Released - c.lookahead.Released, "refused": counters.Refused - c.lookahead.Refused,
		"backfilled": counters.Backfilled - c.lookahead.Backfilled,
	}).Info("agent: reservations since the last such line")
	c.lookahead, c.lookaheadLoggedAt = counters, now
}
