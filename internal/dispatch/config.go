package dispatch

import (
	"slices"
	"time"
)

// Defaults of Config.
const (
	// DefaultQueue is the number of tasks that one entry sends to an agent beyond its slots, to hide a round trip.
	DefaultQueue = 1
	// DefaultConnections bounds the open attempts of one entry at one upstream for the baselines, which bind early.
	DefaultConnections = 64
	// DefaultLongThreshold is the time above which a task counts as long.
	DefaultLongThreshold = 2 * time.Second
	// DefaultMaxWaiting is the largest number of tasks that wait at one entry for one service.
	DefaultMaxWaiting = 50_000
	// shortSlotsDivisor gives the default of ShortSlots: one slot in four.
	shortSlotsDivisor = 4
	// nonUrgentShare is the share of MaxWaiting that tasks which are not urgent can fill.
	nonUrgentShare = 0.8
)

// Kind is what the service document says about one request kind.
type Kind struct {
	// Long marks work that counts as long before anything was learned.
	Long bool
	// MemoryMB and Accelerators are what the kind requires of a worker.
	MemoryMB     uint32
	Accelerators uint16
}

// Ejection is the guard that takes failing upstreams out of the choice.
type Ejection struct {
	// MaxShare is the largest share of the upstreams that can be ejected at a time, from 0 to 1.
	MaxShare float64
	// ErrorRate is the excess over the peers' error rate at which an upstream is ejected, from 0 to 1.
	ErrorRate float64
	// Rest is the time before the first probe; it doubles with each failed probe up to 16 times Rest.
	Rest time.Duration
}

// Retries is the guard that allows another attempt after one that started. Only idempotent tasks are retried.
type Retries struct {
	// Share is the number of retries per first attempt that each team may use.
	Share float64
	// MaxAttempts bounds the started attempts of one task.
	MaxAttempts int
}

// Hedging is the guard that starts a second attempt of a slow idempotent task while slots are idle.
type Hedging struct {
	// Factor times the 95th percentile of the learned time is the age at which the second attempt is sent.
	Factor float64
	// Share is the number of second attempts per first attempt.
	Share float64
}

// Config is the part of a service document that the policy uses. The zero value has every guard off.
type Config struct {
	Kinds map[string]Kind
	// Allowed lists ids or data centres of the upstreams that may serve; empty allows all.
	Allowed []string
	// Queue is the number of tasks sent to an agent beyond its free slots. 0 stands for DefaultQueue, below 0 for none.
	Queue int
	// Connections bounds the open attempts per upstream for the baselines. 0 stands for DefaultConnections.
	Connections int
	// ShortSlots is the number of slots per upstream that long tasks never hold. 0 stands for a quarter, below 0 for
	// none. At least one slot is left to long tasks.
	ShortSlots int
	// LongThreshold is the learned time or age above which a task is long. 0 stands for DefaultLongThreshold.
	LongThreshold time.Duration
	// MaxWaiting bounds the waiting tasks. 0 stands for DefaultMaxWaiting.
	MaxWaiting int
	Ejection   *Ejection
	Retries    *Retries
	Hedging    *Hedging
}

func (c Config) withDefaults() Config {
	if c.Queue == 0 {
		c.Queue = DefaultQueue
	}
	c.Queue = max(c.Queue, 0)
	if c.Connections <= 0 {
		c.Connections = DefaultConnections
	}
	if c.LongThreshold <= 0 {
		c.LongThreshold = DefaultLongThreshold
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	return c
}

// longSlots returns the number of slots that long tasks may hold.
func (c Config) longSlots(slots int) int {
	held := c.ShortSlots
	if held == 0 {
		held = slots / shortSlotsDivisor
	}
	return max(slots-max(held, 0), 1)
}

func (c Config) allows(u Upstream) bool {
	return len(c.Allowed) == 0 || slices.Contains(c.Allowed, u.ID) || slices.Contains(c.Allowed, u.DataCentre)
}

// eligible tells whether the upstream can serve the kind at all.
func (c Config) eligible(u Upstream, name string) bool {
	k := c.Kinds[name]
	if u.Slots <= 0 || u.MemoryMB < k.MemoryMB || u.Accelerators < k.Accelerators {
		return false
	}
	return c.allows(u) && (len(u.Kinds) == 0 || slices.Contains(u.Kinds, name))
}
