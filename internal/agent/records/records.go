// Package records keeps the start records of an agent: the attempts that it admitted, refused or finished. It decides
// whether a Start may run, so that no task starts twice and an expelled entry starts nothing.
//
// A Table is a state machine without I/O for use by one goroutine. The caller passes in the current time and sends the
// messages that the methods return.
package records

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxClockSkew is the largest expected difference between the clocks of two processes. A Start is refused as expired
// only after its expiry plus maxClockSkew; from then on its home may have discarded the key.
const maxClockSkew = 2 * time.Second

// Defaults of Config.
const (
	// DefaultRetention is the default of Config.Retention.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxRecords covers the default retention window at 150 starts/s, three times the mean rate of an agent at
	// the target load.
	DefaultMaxRecords = 100_000
	// DefaultMaxRefusals bounds the refused attempts that are recorded individually.
	DefaultMaxRefusals = 20_000
	// DefaultMaxResultBytes bounds the size in bytes of the results that are kept to answer duplicates and recoveries.
	DefaultMaxResultBytes = 64 << 20
)

// maxExpiredHomes is the size of Table.highestExpired above which home incarnations that are not members of the list
// are removed from it.
const maxExpiredHomes = 1000

// Config holds the limits of a Table. A field that is zero or negative is replaced by its default.
type Config struct {
	// Retention is how long a record is kept after its attempt finished or was refused; wire.RetentionSlack is added
	// to it. It must be the same at all entries and agents.
	Retention time.Duration
	// MaxRecords is the maximum number of admitted attempts. When it is reached, a Start is refused with
	// wire.RefusedTableFull.
	MaxRecords int
	// MaxRefusals is the maximum number of refused attempts that are recorded individually. When it is reached, the
	// oldest refusal is replaced by a floor for its home: all attempts up to that number count as refused.
	MaxRefusals int
	// MaxResultBytes is the maximum size of the kept results in bytes. When it is exceeded, the oldest results are
	// dropped; their records stay.
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

// Ref identifies an attempt. The number of an attempt is unique within one incarnation of its home, the entry that owns
// the job.
type Ref struct {
	HomeIncarnation uint64
	Attempt         uint64
}

// RefOf returns the Ref of the attempt that a Start requests.
func RefOf(s *wire.Start) Ref {
	return Ref{HomeIncarnation: s.HomeIncarnation, Attempt: s.Attempt}
}

type taskID struct {
	key  wire.KeyHash
	task uint16
}

// record is the state of one admitted attempt.
type record struct {
	ref       Ref
	id        taskID
	taskCount uint16
	keyed     bool
	state     wire.AttemptState
	digest    [16]byte
	// result is nil until the attempt is finished, and again after it was dropped to stay within the byte limit.
	result      *wire.Result
	resultBytes int
	expires     time.Time
	// prevOfHome and nextOfHome link the keyed records of one home.
	prevOfHome, nextOfHome *record
	// collectedOpen is set when an answer to Collect listed the record before the attempt was finished.
	collectedOpen bool
	// superseded is set when a retry replaced the record as the current one of its task. The previous field of the
	// retry points to the replaced record until the retry is finished.
	superseded bool
	previous   *record
}

func (r *record) isFinished() bool {
	return r.state == wire.AttemptDone || r.state == wire.AttemptUnknown
}

// refusalRecord states why an attempt will never start. The reason wire.RefusedNone means that the attempt had not been
// received when its home queried it.
type refusalRecord struct {
	reason wire.RefusalReason
	// duplicateOf is the record of the same task; it is set with the reason wire.RefusedDuplicate only.
	duplicateOf *record
	// differentBody is set when duplicateOf was started with another body under the same key, which the home has since
	// discarded. The result of duplicateOf must not be returned then.
	differentBody bool
}

type refusalExpiry struct {
	ref     Ref
	expires time.Time
}

// Table holds the start records of one agent.
type Table struct {
	cfg Config
	// receivedList is the list of entries as received; effectiveList is the same list with its stop notices applied.
	receivedList, effectiveList *wire.EntryList
	currentByTask               map[taskID]*record
	byAttempt                   map[Ref]*record
	firstByHome                 map[uint64]*record
	finishedByExpiry            fifo[*record]
	withResult                  fifo[*record]
	resultBytes                 int
	refused                     map[Ref]refusalRecord
	refusalsByExpiry            fifo[refusalExpiry]
	refusalFloors               map[uint64]refusalFloor
	// highestExpired holds, for each home incarnation, the highest attempt whose record has expired. An attempt without
	// a record and with a number up to that one may have started.
	highestExpired map[uint64]uint64
	// collectAnswers is the number of answers to Collect so far; each answer carries its number.
	collectAnswers uint64
	// omittedHomes holds the departed home incarnations with a record that an answer to Collect listed before its attempt
	// was finished and that later answers leave out although its task may have started.
	omittedHomes map[uint64]struct{}
}

// refusalFloor replaces the refusals of one home that were discarded because of MaxRefusals: every attempt up to the
// given number that has no record counts as refused.
type refusalFloor struct {
	attempt uint64
	expires time.Time
}

// New returns an empty table without a list of entries.
func New(cfg Config) *Table {
	return &Table{
		cfg:            cfg.withDefaults(),
		currentByTask:  make(map[taskID]*record),
		byAttempt:      make(map[Ref]*record),
		firstByHome:    make(map[uint64]*record),
		refused:        make(map[Ref]refusalRecord),
		refusalFloors:  make(map[uint64]refusalFloor),
		highestExpired: make(map[uint64]uint64),
		omittedHomes:   make(map[uint64]struct{}),
	}
}

// Adopt merges a received list of entries into the current one and reports whether that changed the list. It does when
// the received list has a higher version or reports members that stopped while the store was unreachable. From then on,
// keyed starts of entries that are not members are refused.
func (t *Table) Adopt(list *wire.EntryList) bool {
	var adopted bool
	t.receivedList, adopted = placement.Merge(t.receivedList, list)
	if !adopted {
		return false
	}
	t.effectiveList = placement.ApplyStopNotices(t.receivedList)
	if len(t.highestExpired) > maxExpiredHomes {
		t.pruneHighestExpired()
	}
	t.pruneOmittedHomes()
	return true
}

// List returns the list of entries as merged by Adopt, or nil before the first one. The caller must not change it.
func (t *Table) List() *wire.EntryList { return t.receivedList }

// IsMember reports whether an incarnation of an entry may start keyed jobs under the current list.
func (t *Table) IsMember(id string, incarnation uint64) bool {
	_, ok := placement.Find(t.effectiveList, id, incarnation)
	return ok
}

// Stats holds the sizes of a Table. Records, Open and Refusals count attempts: those with a record, those of them that
// are not finished, and those refused individually. ResultBytes is the size of the kept results.
type Stats struct {
	Records, Open, Refusals, ResultBytes int
}

// Stats returns the current sizes of the table.
func (t *Table) Stats() Stats {
	return Stats{
		Records:     len(t.byAttempt),
		Open:        len(t.byAttempt) - t.finishedByExpiry.len(),
		Refusals:    len(t.refused),
		ResultBytes: t.resultBytes,
	}
}
