package document_test

import (
	"context"
	"fmt"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// fate is what happens to one call of an editor.
type fate int

const (
	fateAnswered fate = iota
	// fateLost: a write takes effect without an answer; a read fails.
	fateLost
	// fateDropped: the call has no effect and no answer.
	fateDropped
	// fateDelayed: a write gets no answer and takes effect later; a read fails.
	fateDelayed
	// fateRefused: the call certainly never reached the store.
	fateRefused
	fates
)

// call is one call that waits for its fate.
type call struct {
	key     string
	write   bool
	value   []byte
	version uint64
	reply   chan answer
}

type answer struct {
	entry store.Entry
	err   error
}

// raceStore holds one record and the index. Each call waits until the test decides its fate, so that the test chooses the interleaving.
type raceStore struct {
	store.Store
	calls chan *call
}

func (s raceStore) Get(_ context.Context, key string) (store.Entry, error) {
	return s.wait(&call{key: key})
}

func (s raceStore) CompareAndSwap(_ context.Context, key string, value []byte, version uint64) error {
	_, err := s.wait(&call{key: key, write: true, value: value, version: version})
	return err
}

func (s raceStore) wait(c *call) (store.Entry, error) {
	c.reply = make(chan answer, 1)
	s.calls <- c
	a := <-c.reply
	return a.entry, a.err
}

// raceData is the content of a raceStore with the log of the writes of the record.
type raceData struct {
	keys map[string]store.Entry
	log  []document.Record
}

func newRaceData() *raceData { return &raceData{keys: map[string]store.Entry{}} }

func (d *raceData) swap(c *call) bool {
	if d.keys[c.key].Version != c.version {
		return false
	}
	if c.key != document.IndexKey {
		record, err := document.DecodeRecord(c.value)
		if err != nil {
			panic(err)
		}
		d.log = append(d.log, record)
	} else if err := d.checkIndex(c.value); err != nil {
		panic(err)
	}
	d.keys[c.key] = store.Entry{Key: c.key, Value: c.value, Version: c.version + 1}
	return true
}

// checkIndex checks that an index that is about to be written goes not back and names a revision that was written.
func (d *raceData) checkIndex(value []byte) error {
	next, err := document.DecodeIndex(value)
	if err != nil {
		return err
	}
	position := next["bench"]
	if position.Revision <= d.indexed() || position.Revision > uint64(len(d.log)) {
		return fmt.Errorf("index goes from %d to %d of %d", d.indexed(), position.Revision, len(d.log))
	}
	if position.EditID != d.log[position.Revision-1].EditID {
		return fmt.Errorf("index names another edit for revision %d", position.Revision)
	}
	return nil
}

// indexed returns the revision in the index.
func (d *raceData) indexed() uint64 {
	if d.keys[document.IndexKey].Version == 0 {
		return 0
	}
	index, err := document.DecodeIndex(d.keys[document.IndexKey].Value)
	if err != nil {
		panic(err)
	}
	return index["bench"].Revision
}

func (d *raceData) read(key string) answer {
	if d.keys[key].Version == 0 {
		return answer{err: store.ErrNotFound}
	}
	return answer{entry: d.keys[key]}
}

// decide executes a call. It returns the write that takes effect later, if any.
func (d *raceData) decide(c *call, f fate) (late *call) {
	switch {
	case f == fateRefused || !c.write && f != fateAnswered:
		c.reply <- answer{err: store.ErrUnavailable}
	case !c.write:
		c.reply <- d.read(c.key)
	case f == fateAnswered:
		a := answer{}
		if !d.swap(c) {
			a.err = store.ErrConflict
		}
		c.reply <- a
	default:
		switch f {
		case fateLost:
			d.swap(c)
		case fateDelayed:
			late = c
		case fateDropped:
		}
		c.reply <- answer{err: store.ErrOutcomeUnknown}
	}
	return late
}

// instantClock is a clock whose timers fire at once.
type instantClock struct{}

func (instantClock) Now() time.Time { return time.Unix(1_700_000_000, 0) }

func (instantClock) NewTimer(time.Duration) clock.Timer { return clock.System{}.NewTimer(0) }
