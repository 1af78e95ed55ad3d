// Package submission keeps the table of submissions of one entry: the keys that it runs, the keys that it has answered
// and the keys that another entry holds. After a change of the list of entries it recovers what the previous homes of its
// keys started.
//
// Invariant: a key that may have been started anywhere is never run by another home.
//
// A Table is a deterministic state machine without locks, for use by one goroutine. The caller passes in the time and
// sends the messages that the methods return.
package submission

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Defaults of Config.
const (
	// DefaultRetention is the default of Config.Retention.
	DefaultRetention = 10 * time.Minute
	// DefaultSilentAgentTimeout is how long a silent agent counts as one that may still run tasks of an expelled entry. It
	// exceeds the one hour for which regions can lose contact with each other.
	DefaultSilentAgentTimeout = 2 * time.Hour
	// DefaultMaxSubmissions is the number of jobs in the default retention window at 400 jobs/s, rounded up.
	DefaultMaxSubmissions = 250_000
	// DefaultMaxAnswerBytes bounds the stored answers, in bytes.
	DefaultMaxAnswerBytes = 96 << 20
	// DefaultCollectGrace is how long submissions wait for the answers of agents before they are refused.
	DefaultCollectGrace = 2 * time.Second
)

const (
	// maxClockSkew is the largest assumed difference between the clock that created a key and the clock of this entry.
	maxClockSkew = 2 * time.Second
	// minRetention keeps the window well above the longest deadline.
	minRetention = 2 * wire.MaxDeadline
	// minRetryAfter is the retry delay for callers when the state is expected to change within seconds.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the retry delay while a silent peer may come back at any time.
	maxRetryAfter = time.Minute
	// tableFullRetryAfter is the retry delay when the table is full. It is short because entries expire continuously.
	tableFullRetryAfter = 2 * time.Second
	// collectRetryInterval is the time after which an agent that reported open tasks is asked again.
	collectRetryInterval = time.Second
)

// ErrRetentionTooShort is returned when the retention window is below twice the longest deadline, so that a job could
// outlast it.
var ErrRetentionTooShort = eris.New("retention window is below twice the longest deadline")

// Config holds the limits of a Table. A zero field means its default.
type Config struct {
	// Retention is how long a key is remembered after the completion of its job.
	Retention time.Duration
	// SilentAgentTimeout is the time after which an agent without contact to any entry is presumed dead. Until then
	// inherited keys that it may have started are answered with outcome unknown. It is raised to Retention if it is lower.
	SilentAgentTimeout time.Duration
	// MaxSubmissions bounds the number of running and finished submissions. When it is reached, new keys are refused.
	MaxSubmissions int
	// MaxAnswerBytes bounds the stored answers in bytes. When it is exceeded, the oldest answers are dropped.
	MaxAnswerBytes int
	// CollectGrace is how long a submission waits for agents before it is refused as recovering.
	CollectGrace time.Duration
}

// Validate returns ErrRetentionTooShort if the retention window is too short.
func (c Config) Validate() error {
	if c.withDefaults().Retention < minRetention {
		return eris.Wrapf(ErrRetentionTooShort, "retention %v, minimum %v", c.Retention, minRetention)
	}
	return nil
}

// DepartedRetention is how long a departed entry must stay in the list of entries: until every agent that may have run tasks
// for it was asked or is presumed dead, and the keys that it may have run have expired.
func (c Config) DepartedRetention() time.Duration {
	c = c.withDefaults()
	return c.SilentAgentTimeout + c.Retention + wire.RetentionSlack
}

func (c Config) withDefaults() Config {
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	if c.SilentAgentTimeout <= 0 {
		c.SilentAgentTimeout = DefaultSilentAgentTimeout
	}
	c.SilentAgentTimeout = max(c.SilentAgentTimeout, c.Retention)
	if c.MaxSubmissions <= 0 {
		c.MaxSubmissions = DefaultMaxSubmissions
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if c.CollectGrace <= 0 {
		c.CollectGrace = DefaultCollectGrace
	}
	return c
}
