package dispatch

import (
	"slices"
	"time"
)

// Defaults of Config.
const (
	// DefaultAgentQueue is the number of tasks that one entry sends to an agent beyond its slots. A queued task starts as
	// soon as a slot is free, without waiting for a round trip.
	DefaultAgentQueue = 1
	// DefaultConnections is the limit of open attempts of one entry at one upstream for the policies Random and
	// LeastConnections, which assign tasks immediately.
	DefaultConnections = 64
	// DefaultLongThreshold is the service time above which a task counts as long.
	DefaultLongThreshold = 2 * time.Second
	// DefaultMaxWaiting is the limit of tasks that wait at one entry for one service.
	DefaultMaxWaiting = 50_000
	// shortSlotsDivisor sets the default of ShortSlots: one slot in four.
	shortSlotsDivisor = 4
	// nonUrgentShare is the share of MaxWaiting up to which tasks that are not urgent are accepted.
	nonUrgentShare = 0.8
)

// Kind holds the settings of one request kind in the service document.
type Kind struct {
	// Long marks a kind whose tasks count as long before any service time was measured.
	Long bool
	// MemoryMB and Accelerators are the minimum that a worker must have to serve the kind.
	MemoryMB     uint32
	Accelerators uint16
}

// Ejection configures outlier ejection: an upstream that fails more tasks than its peers gets no tasks except probes.
type Ejection struct {
	// MaxShare is the largest share of the upstreams that may be ejected at the same time, from 0 to 1.
	MaxShare float64
	// ErrorRate is the excess over the mean error rate of the other upstreams above which an upstream is ejected, from
	// 0 to 1.
	ErrorRate float64
	// ProbeAfter is the time before the first probe. It doubles with each failed probe, up to 16 times ProbeAfter.
	ProbeAfter time.Duration
}

// Retries configures retries of attempts that started and then failed or were lost. Only idempotent tasks are retried.
type Retries struct {
	// Budget is the retry budget: the number of retries that each team earns per first attempt.
	Budget float64
	// MaxAttempts is the limit of started attempts of one task.
	MaxAttempts int
}

// Hedging configures hedged attempts: a slow idempotent task gets a second attempt while slots are free and no task
// waits.
type Hedging struct {
	// Factor times the 95th percentile of the learned service time is the age at which the second attempt is sent.
	Factor float64
	// Budget is the hedging budget: the number of second attempts per first attempt.
	Budget float64
}

// Config is the part of a service document that a policy uses. The zero value disables ejection, retries and hedging.
type Config struct {
	Kinds map[string]Kind
	// Allowed lists the IDs or data centres of the upstreams that may serve the service; empty allows all.
	Allowed []string
	// AgentQueue is the number of tasks that are sent to an agent beyond its free slots. 0 stands for DefaultAgentQueue, a
	// negative value for none.
	AgentQueue int
	// Connections is the limit of open attempts per upstream for the policies Random and LeastConnections. 0 stands for
	// DefaultConnections.
	Connections int
	// ShortSlots is the number of slots per upstream that long tasks never hold. 0 stands for a quarter of the slots, a
	// negative value for none. Long tasks may always hold at least one slot.
	ShortSlots int
	// LongThreshold is the learned service time or age above which a task counts as long. 0 stands for
	// DefaultLongThreshold.
	LongThreshold time.Duration
	// MaxWaiting is the limit of waiting tasks. 0 stands for DefaultMaxWaiting.
	MaxWaiting int
	Ejection   *Ejection
	Retries    *Retries
	Hedging    *Hedging
}

func (c Config) withDefaults() Config {
	if c.AgentQueue == 0 {
		c.AgentQueue = DefaultAgentQueue
	}
	c.AgentQueue = max(c.AgentQueue, 0)
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

// longSlots returns the number of slots that long tasks may hold at an upstream with the given number of slots.
func (c Config) longSlots(slots int) int {
	reserved := c.ShortSlots
	if reserved == 0 {
		reserved = slots / shortSlotsDivisor
	}
	return max(slots-max(reserved, 0), 1)
}

// allows reports whether Allowed includes the upstream.
func (c Config) allows(u Upstream) bool {
	return len(c.Allowed) == 0 || slices.Contains(c.Allowed, u.ID) || slices.Contains(c.Allowed, u.DataCentre)
}

// eligible reports whether the upstream can serve the kind with the given name.
func (c Config) eligible(u Upstream, name string) bool {
	k := c.Kinds[name]
	if u.Slots <= 0 || u.MemoryMB < k.MemoryMB || u.Accelerators < k.Accelerators {
		return false
	}
	return c.allows(u) && (len(u.Kinds) == 0 || slices.Contains(u.Kinds, name))
}
