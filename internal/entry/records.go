package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Times of the reads and repairs of records.
const (
	// fullCheckInterval is the mean time between two reads of all records by one entry. It bounds how long an edit whose
	// editor died before it raised the index stays unknown. The entries take turns: 120 records of 14 KB are 2.3 MB, which
	// every 10 min by one entry would be 3.8 of its 5 KB/s.
	fullCheckInterval = 30 * time.Minute
	// checkJitter is the share by which the interval varies at random.
	checkJitter = 0.1
	// checkAfterRestore is the time until the check that follows the restore of a store. By then leases are taken again,
	// so that one entry knows that the check is its own.
	checkAfterRestore = 10 * time.Second
)

// records is the state of the reads of records. All records are read at the start; later the index tells which to read.
type records struct {
	interval time.Duration
	// loaded is set when all records were read once.
	loaded bool
	// checking, fetching and repairing are set while such calls are under way.
	checking, fetching, repairing bool
	nextCheck                     *timerEntry
}

// indexSeen reads the records that are newer than the documents here, and repairs a store that shows older ones.
func (c *control) indexSeen(s *snapshot) {
	if !c.records.loaded {
		c.checkRecords()
		return
	}
	if s.wentBack {
		c.planCheck(checkAfterRestore)
	}
	c.fetchRecords()
	c.repairStore()
}

// planCheck plans the next read of all records. Only one entry carries it out, and the others learn from that one.
func (c *control) planCheck(after time.Duration) {
	c.timers.cancel(c.records.nextCheck)
	jitter := 1 + checkJitter*(2*c.random.Float64()-1)
	at := c.now.Add(time.Duration(float64(after) * jitter))
	c.records.nextCheck = c.timers.add(at, func(time.Time) {
		if c.isChecker() {
			c.checkRecords()
			return
		}
		c.planCheck(c.records.interval)
	})
}

// isChecker tells whether it is the turn of this entry to read all records for the others. The active members that reach
// the store, as their leases show, take turns by the time of day. Clocks that differ make a turn fall out or come twice,
// which is harmless.
func (c *control) isChecker() bool {
	var able []wire.Member
	for _, m := range c.list.Members {
		if m.State == wire.MemberActive && c.seen.holds(m) {
			able = append(able, m)
		}
	}
	if len(able) == 0 {
		return false
	}
	slices.SortFunc(able, func(a, b wire.Member) int { return strings.Compare(a.ID, b.ID) })
	turn := c.now.UnixNano() / int64(c.records.interval)
	return able[turn%int64(len(able))].Incarnation == c.incarnation
}

// checkRecords reads all records in the background.
func (c *control) checkRecords() {
	if c.records.checking {
		return
	}
	c.records.checking = true
	go c.entry.readRecords()
}

func (e *Entry) readRecords() {
	var all store.Snapshot
	err := e.withStore(e.background, func(ctx context.Context) (err error) {
		all, err = e.options.Store.List(ctx, document.Prefix)
		return err
	})
	e.post(func(c *control) { c.recordsRead(all.Entries, err) })
}

// recordsRead applies all records of the store and repairs those that are older.
func (c *control) recordsRead(entries []store.Entry, err error) {
	c.records.checking = false
	if err != nil {
		c.log.WithField("cause", eris.ToString(err, false)).Warn("document: cannot read the records of the store")
		c.timers.add(c.now.Add(storeRetryDelay), func(time.Time) { c.checkRecords() })
		return
	}
	c.records.loaded = true
	c.planCheck(c.records.interval)
	c.recordsSeen(entries)
	repairs, err := c.documents.Repairs(entries)
	if err != nil {
		c.log.WithField("cause", eris.ToString(err, false)).Error("document: cannot compute repairs of the store")
	}
	if len(repairs) > 0 {
		go c.entry.writeRepairs(repairs)
	}
	c.fetchRecords()
	c.repairStore()
}

// recordsSeen applies records of the store.
func (c *control) recordsSeen(entries []store.Entry) {
	changes, problems := c.documents.ApplySnapshot(entries)
	for _, problem := range problems {
		c.log.WithField("cause", eris.ToString(problem, false)).Error("document: cannot read a document of the store")
	}
	for _, change := range changes {
		c.documentChanged(change)
	}
}

// fetchRecords reads the records that the index shows at a newer revision.
func (c *control) fetchRecords() {
	s := c.seen
	services := c.documents.Outdated(s.index)
	if c.records.fetching || !c.records.loaded || len(services) == 0 {
		return
	}
	c.records.fetching = true
	go c.entry.fetchRecords(services, func(c *control, failed bool) {
		c.records.fetching = false
		if failed {
			c.timers.add(c.now.Add(storeRetryDelay), func(time.Time) { c.fetchRecords() })
		} else if c.seen != s {
			c.fetchRecords()
		}
	})
}

// fetchRecords reads one record after the other. It leaves out a service of which another entry pushed the document
// meanwhile.
func (e *Entry) fetchRecords(services []string, done func(c *control, failed bool)) {
	failed := false
	for _, service := range services {
		var outdated bool
		if e.call(e.background, func(c *control) { outdated = c.isOutdated(service) }) != nil {
			return
		}
		if !outdated {
			continue
		}
		record, err := e.readRecord(service)
		if err != nil {
			e.log.WithField("service", service).WithField("cause", eris.ToString(err, false)).
				Warn("document: cannot read a record of the store")
			failed = true
			continue
		}
		e.post(func(c *control) { c.recordsSeen([]store.Entry{record}) })
	}
	e.post(func(c *control) { done(c, failed) })
}

func (c *control) isOutdated(service string) bool {
	return len(c.documents.Outdated(document.Index{service: c.seen.index[service]})) > 0
}

// readRecord returns the key of a record. Its version is 0 if it does not exist.
func (e *Entry) readRecord(service string) (record store.Entry, err error) {
	err = e.withStore(e.background, func(ctx context.Context) (err error) {
		record, err = e.options.Store.Get(ctx, document.Key(service))
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return store.Entry{}, nil
	}
	return record, err
}
