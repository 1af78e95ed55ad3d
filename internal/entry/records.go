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

// Times of the reads of the document records in the store.
const (
	// fullCheckInterval is the mean time between two reads of all records by one entry. It bounds the time for which an
	// edit stays unknown whose editor died before it advanced the index. The entries take turns, because 120 records of
	// 14 KB take 2.3 MB to read; one entry that did so every 10 min would use 3.8 of its 5 KB/s.
	fullCheckInterval = 30 * time.Minute
	// checkJitterShare is the fraction by which the interval varies at random in both directions.
	checkJitterShare = 0.1
	// checkDelayAfterRestore is the time between the restore of a store and the next check. By then the entries hold leases
	// again, so that exactly one of them has the turn to check.
	checkDelayAfterRestore = 10 * time.Second
)

// recordSync is the state of the synchronisation with the document records in the store. All records are read at the start;
// later the index shows which ones to read.
type recordSync struct {
	checkInterval time.Duration
	// loaded is set when all records have been read once.
	loaded bool
	// checking, fetching and repairing are set while such an operation runs in the background.
	checking, fetching, repairing bool
	checkTimer                    *pendingTimer
}

// syncRecords reads the records that are newer than the documents of this entry, and repairs the store if its records are
// older.
func (c *control) syncRecords(s *snapshot) {
	if !c.records.loaded {
		c.checkRecords()
		return
	}
	if s.restored {
		c.scheduleRecordCheck(checkDelayAfterRestore)
	}
	c.fetchRecords()
	c.repairStore()
}

// scheduleRecordCheck schedules the next read of all records. Only the entry that has the turn carries it out; the others
// get the changes from that entry.
func (c *control) scheduleRecordCheck(after time.Duration) {
	c.timers.cancel(c.records.checkTimer)
	jitter := 1 + checkJitterShare*(2*c.random.Float64()-1)
	at := c.now.Add(time.Duration(float64(after) * jitter))
	c.records.checkTimer = c.timers.add(at, func(time.Time) {
		if c.hasCheckTurn() {
			c.checkRecords()
			return
		}
		c.scheduleRecordCheck(c.records.checkInterval)
	})
}

// hasCheckTurn reports whether it is the turn of this entry to read all records for the others. The active members that
// reach the store, as their leases show, take turns by the time of day. Differing clocks can skip or repeat a turn, which
// is harmless.
func (c *control) hasCheckTurn() bool {
	var candidates []wire.Member
	for _, m := range c.list.Members {
		if m.State == wire.MemberActive && c.snapshot.hasLease(m) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	slices.SortFunc(candidates, func(a, b wire.Member) int { return strings.Compare(a.ID, b.ID) })
	turn := c.now.UnixNano() / int64(c.records.checkInterval)
	return candidates[turn%int64(len(candidates))].Incarnation == c.incarnation
}

// checkRecords reads all records in the background unless such a read is already running.
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
	e.post(func(c *control) { c.handleAllRecords(all.Entries, err) })
}

// handleAllRecords applies all records of the store and repairs the ones that are older than the documents of this entry.
func (c *control) handleAllRecords(entries []store.Entry, err error) {
	c.records.checking = false
	if err != nil {
		c.log.WithField("cause", eris.ToString(err, false)).Warn("document: cannot read the records of the store; trying again")
		c.timers.add(c.now.Add(storeRetryDelay), func(time.Time) { c.checkRecords() })
		return
	}
	c.records.loaded = true
	c.scheduleRecordCheck(c.records.checkInterval)
	c.applyRecords(entries)
	repairs, err := c.documents.ComputeRepairs(entries)
	if err != nil {
		c.log.WithField("cause", eris.ToString(err, false)).Error("document: cannot compute repairs of the store")
	}
	if len(repairs) > 0 {
		go c.entry.writeRepairs(repairs)
	}
	c.fetchRecords()
	c.repairStore()
}

// applyRecords applies records of the store.
func (c *control) applyRecords(entries []store.Entry) {
	changes, problems := c.documents.ApplySnapshot(entries)
	for _, problem := range problems {
		c.log.WithField("cause", eris.ToString(problem, false)).Error("document: cannot decode a record of the store; ignoring it")
	}
	for _, change := range changes {
		c.applyDocumentChange(change)
	}
}

// fetchRecords reads the records for which the index shows a newer revision, in the background.
func (c *control) fetchRecords() {
	s := c.snapshot
	services := c.documents.Outdated(s.index)
	if c.records.fetching || !c.records.loaded || len(services) == 0 {
		return
	}
	c.records.fetching = true
	go c.entry.fetchRecords(services, func(c *control, failed bool) {
		c.records.fetching = false
		if failed {
			c.timers.add(c.now.Add(storeRetryDelay), func(time.Time) { c.fetchRecords() })
		} else if c.snapshot != s {
			c.fetchRecords()
		}
	})
}

// fetchRecords reads the records of the services one after the other. It skips a service whose document another entry has
// sent in the meantime.
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
				Warn("document: cannot read a record of the store; trying again")
			failed = true
			continue
		}
		e.post(func(c *control) { c.applyRecords([]store.Entry{record}) })
	}
	e.post(func(c *control) { done(c, failed) })
}

// isOutdated reports whether the index shows a newer revision of the service.
func (c *control) isOutdated(service string) bool {
	return len(c.documents.Outdated(document.Index{service: c.snapshot.index[service]})) > 0
}

// readRecord returns the record of a service. Its version is 0 if it does not exist.
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
