// Package records keeps the start records of an agent: which attempts it admitted, refused or finished. It decides
// whether a Start may run, so that no task starts twice and no expelled entry starts anything.
//
// A Table is a pure state machine for one goroutine. Times are passed in; messages are returned, not sent.
package records

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// clockSkew is the largest difference that is expected between two clocks. It is allowed for before a Start that was
// read late is refused: the home may have forgotten the key by then.
const clockSkew = 2 * time.Second

// Defaults of Config.
const (
	// DefaultRetention is the retention window of the design.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxRecords holds the window at 150 starts/s, three times the mean of an agent at the target load.
	DefaultMaxRecords = 100_000
	// DefaultMaxRefusals bounds the refused attempts that are kept one by one.
	DefaultMaxRefusals = 20_000
	// DefaultMaxResultBytes bounds the results kept for duplicates and for recovery, in bytes.
	DefaultMaxResultBytes = 64 << 20
)

// maxForgotten is the number of home incarnations past which those that are no members are pruned from the record of
// expired attempts.
const maxForgotten = 1000

// Config holds the bounds of a Table. Zero fields get the defaults.
type Config struct {
	// Retention is the retention window; the same for all entries and agents.
	Retention time.Duration
	// MaxRecords bounds the started attempts; past it a Start is refused with RefusedFull.
	MaxRecords int
	// MaxRefusals bounds the refused attempts; past it the oldest are replaced by a floor per home.
	MaxRefusals int
	// MaxResultBytes bounds the kept results in bytes; past it the oldest results are dropped.
	MaxResultBytes int
}

func (c Config) withDefaults() Config {
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	if c.MaxRecords <= 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxRefusals <= 0 {
		c.MaxRefusals = DefaultMaxRefusals
	}
	if c.MaxResultBytes <= 0 {
		c.MaxResultBytes = DefaultMaxResultBytes
	}
	return c
}

// Ref identifies an attempt: its number is unique within the incarnation of its home.
type Ref struct {
	HomeIncarnation uint64
	Attempt         uint64
}

// RefOf returns the reference of the attempt of a Start.
func RefOf(s *wire.Start) Ref {
	return Ref{HomeIncarnation: s.HomeIncarnation, Attempt: s.Attempt}
}

type taskID struct {
	key  wire.KeyHash
	task uint16
}

type record struct {
	ref    Ref
	id     taskID
	tasks  uint16
	keyed  bool
	state  wire.AttemptState
	digest [16]byte
	// result is nil until the attempt is over, and after its answer was dropped.
	result  *wire.Result
	bytes   int
	expires time.Time
	// prev and next link the keyed records of one home.
	prev, next *record
	// collected is set when an answer to Collect listed the record before it was over.
	collected bool
	// superseded is set when a retry of the same task replaced the record; former points back from that retry while
	// it is open.
	superseded bool
	former     *record
}

func (r *record) over() bool {
	return r.state == wire.AttemptDone || r.state == wire.AttemptUnknown
}

// refusal is a recorded refusal. RefusedNone stands for an attempt that was never seen.
type refusal struct {
	reason wire.RefusalReason
	// of is the record that made the attempt a duplicate.
	of *record
	// foreign is set when that record belongs to another body under the same key, which the home has forgotten. Its
	// answer must not be given.
	foreign bool
}

type refusalExpiry struct {
	ref     Ref
	expires time.Time
}

// Table holds the start records of one agent.
type Table struct {
	cfg Config
	// received is the list as it came; list is what the statements in it make of it.
	received, list *wire.EntryList
	byTask         map[taskID]*record
	byAttempt      map[Ref]*record
	byHome         map[uint64]*record
	finished       fifo[*record]
	withResult     fifo[*record]
	bytes          int
	refused        map[Ref]refusal
	refusals       fifo[refusalExpiry]
	floors         map[uint64]floor
	// forgotten has, for each home incarnation, the highest attempt whose record has expired. An attempt up to it that
	// has no record may have been started.
	forgotten map[uint64]uint64
	// answers counts the answers to Collect.
	answers uint64
	// expired has the departed home incarnations for which a record is missing from later answers to Collect that was
	// collected before it was over, although its task may have started.
	expired map[uint64]struct{}
}

// floor replaces refusals that were forgotten for lack of space.
type floor struct {
	attempt uint64
	expires time.Time
}

// New returns an empty table without a list of entries.
func New(cfg Config) *Table {
	return &Table{
		cfg:       cfg.withDefaults(),
		byTask:    make(map[taskID]*record),
		byAttempt: make(map[Ref]*record),
		byHome:    make(map[uint64]*record),
		refused:   make(map[Ref]refusal),
		floors:    make(map[uint64]floor),
		forgotten: make(map[uint64]uint64),
		expired:   make(map[uint64]struct{}),
	}
}

// Adopt takes over a list with a higher version, or with news of members that stopped without the store, and reports
// whether it did. From then on starts of entries that are no member of it are refused.
func (t *Table) Adopt(list *wire.EntryList) bool {
	var adopted bool
	t.received, adopted = placement.Merge(t.received, list)
	if !adopted {
		return false
	}
	t.list = placement.Effective(t.received)
	if len(t.forgotten) > maxForgotten {
		t.pruneForgotten()
	}
	t.pruneExpired()
	return true
}

// List returns the highest list that was adopted; nil before the first. It must not be changed.
func (t *Table) List() *wire.EntryList { return t.received }

// IsMember tells whether an entry may start keyed jobs under the list in use.
func (t *Table) IsMember(id string, incarnation uint64) bool {
	_, ok := placement.Find(t.list, id, incarnation)
	return ok
}

// Stats are the sizes of a Table.
type Stats struct {
	Records, Open, Refusals, ResultBytes int
}

// Stats returns the current sizes.
func (t *Table) Stats() Stats {
	return Stats{
		Records:     len(t.byAttempt),
		Open:        len(t.byAttempt) - t.finished.len(),
		Refusals:    len(t.refused),
		ResultBytes: t.bytes,
	}
}
