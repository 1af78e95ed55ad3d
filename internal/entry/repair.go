package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// Times of the repairs of the store.
const (
	// minRepairDelay and maxRepairDelay bound the random delay that spreads the repairs of entries that all see a store with
	// older data. It is long enough for the next snapshot to arrive in case this one was only late.
	minRepairDelay = 500 * time.Millisecond
	maxRepairDelay = 2500 * time.Millisecond
	// advanceTimeout bounds the attempts to advance the index of the documents.
	advanceTimeout = 10 * time.Second
)

func repairDelay() time.Duration { return minRepairDelay + rand.N(maxRepairDelay-minRepairDelay) }

// repairStore repairs the index and the records in the background if the index shows older revisions than the documents of
// this entry. That happens after the store was restored from older data, and when an editor died between writing the record
// and advancing the index.
func (c *control) repairStore() {
	if c.records.repairing || !c.records.loaded || len(c.documents.NewerThanIndex(c.snapshot.index)) == 0 {
		return
	}
	c.records.repairing = true
	go c.entry.repairStore()
}

// repairStore updates the records and then advances the index once for all of them.
func (e *Entry) repairStore() {
	e.sleep(e.background, repairDelay())
	var newer []document.Document
	if e.call(e.background, func(c *control) { newer = c.documents.NewerThanIndex(c.snapshot.index) }) != nil {
		return
	}
	repaired := document.Index{}
	for _, d := range newer {
		if e.repairRecord(d) == nil {
			repaired[d.Service] = d.Position()
		}
	}
	err := e.advanceIndex(repaired)
	e.post(func(c *control) {
		c.records.repairing = false
		if err != nil || len(repaired) < len(newer) {
			c.timers.add(c.now.Add(storeRetryDelay), func(time.Time) { c.repairStore() })
		}
	})
}

// repairRecord writes a document to the store if its record is older or missing. A newer record is applied instead.
func (e *Entry) repairRecord(d document.Document) error {
	record, err := e.readRecord(d.Service)
	if err != nil {
		return err
	}
	repair, needed, err := document.ComputeRepair(d, record)
	if err != nil {
		return err
	}
	if needed {
		return e.writeRepair(repair)
	}
	e.post(func(c *control) { c.applyRecords([]store.Entry{record}) })
	return nil
}

// writeRepairs writes the repairs that a read of all records found to be needed.
func (e *Entry) writeRepairs(repairs []document.Repair) {
	e.sleep(e.background, repairDelay())
	for _, r := range repairs {
		_ = e.writeRepair(r) // the error is logged, and the next check repeats the repair
	}
}

// writeRepair writes a newer revision to the store. If another entry wrote it first, the error is store.ErrConflict and is
// not logged.
func (e *Entry) writeRepair(r document.Repair) error {
	err := e.withStore(e.background, func(ctx context.Context) error {
		return e.options.Store.CompareAndSwap(ctx, r.Key, r.Value, r.Version)
	})
	entry := e.log.WithField("service", r.Service)
	if err == nil {
		entry.Warn("document: wrote a newer revision back to the store")
	} else if !errors.Is(err, store.ErrConflict) {
		entry.WithField("cause", eris.ToString(err, false)).Warn("document: cannot write a newer revision back to the store; trying again later")
	}
	return err
}

// advanceIndex advances the index of the documents to these positions. Positions that the store already has, or newer ones,
// stay.
func (e *Entry) advanceIndex(positions document.Index) error {
	if len(positions) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(e.background, advanceTimeout)
	defer cancel()
	err := document.AdvanceIndex(ctx, e.options.Store, e.options.Clock, positions)
	if err != nil {
		e.log.WithField("cause", eris.ToString(err, false)).Warn("document: cannot advance the index of the documents; trying again")
	}
	return err
}
