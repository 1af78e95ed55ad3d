// Package submission keeps the table of submissions of one entry: which keys it runs, which it has answered and which
// another entry holds. After a change of the list of entries it finds out what the former homes of its keys started.
//
// The rule behind everything here: a key that may have been started anywhere is never run by another home.
//
// A Table is a pure state machine for one goroutine. Times are passed in; what is to be sent is returned.
package submission

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Defaults of Config.
const (
	// DefaultRetention is the retention window of the design.
	DefaultRetention = 10 * time.Minute
	// DefaultAgentMemory is how long a silent agent counts as one that may still run work for an expelled entry. It
	// exceeds the hour for which regions can lose contact with each other.
	DefaultAgentMemory = 2 * time.Hour
	// DefaultMaxEntries bounds the table: the window at 400 jobs/s.
	DefaultMaxEntries = 250_000
	// DefaultMaxAnswerBytes bounds the stored answers, in bytes.
	DefaultMaxAnswerBytes = 96 << 20
	// DefaultCollectGrace is how long submissions wait for the answers of agents before they are refused.
	DefaultCollectGrace = 2 * time.Second
)

const (
	// clockSkew is the largest difference between two clocks that a key's time is trusted with.
	clockSkew = 2 * time.Second
	// minRetention keeps the window well above the longest deadline.
	minRetention = 2 * wire.MaxDeadline
	// retryShort is the advice to callers when the state changes within seconds.
	retryShort = time.Second
	// retryLong is the longest advice while someone who is silent may come back at any time.
	retryLong = time.Minute
	// retryFull is the advice when the table is full: entries expire all the time.
	retryFull = 2 * time.Second
	// reaskInterval is the time after which an agent that reported running tasks is asked again.
	reaskInterval = time.Second
)

// ErrRetention means that the retention window is shorter than a job can take.
var ErrRetention = eris.New("retention window is below twice the longest deadline")

// Config holds the bounds of a Table. Zero fields get the defaults.
type Config struct {
	// Retention is the time from the completion of a job during which its key is remembered.
	Retention time.Duration
	// AgentMemory is the time after which an agent that no entry has contact with is taken for dead. Until then
	// inherited keys that it may have started are answered unknown. It is at least Retention.
	AgentMemory time.Duration
	// MaxEntries bounds running and finished submissions; past it new keys are refused.
	MaxEntries int
	// MaxAnswerBytes bounds the stored answers in bytes; past it the oldest are dropped.
	MaxAnswerBytes int
	// CollectGrace is how long a submission waits for agents before it is refused as recovering.
	CollectGrace time.Duration
}

// Validate returns ErrRetention if the window is too short.
func (c Config) Validate() error {
	if c.withDefaults().Retention < minRetention {
		return eris.Wrapf(ErrRetention, "%v, need at least %v", c.Retention, minRetention)
	}
	return nil
}

// DepartedKeep is the time for which a departed entry must stay in the list of entries: until every agent that may
// have worked for it was asked or is taken for dead, and the keys it may have run have expired.
func (c Config) DepartedKeep() time.Duration {
	c = c.withDefaults()
	return c.AgentMemory + c.Retention + wire.RetentionSlack
}

func (c Config) withDefaults() Config {
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	if c.AgentMemory <= 0 {
		c.AgentMemory = DefaultAgentMemory
	}
	c.AgentMemory = max(c.AgentMemory, c.Retention)
	if c.MaxEntries <= 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if c.CollectGrace <= 0 {
		c.CollectGrace = DefaultCollectGrace
	}
	return c
}
