package document_test

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/platform"
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
	write   bool
	value   []byte
	version uint64
	reply   chan answer
}

type answer struct {
	entry platform.Entry
	err   error
}

// raceStore holds one key. Each call waits until the test decides its fate, so that the test chooses the interleaving.
type raceStore struct {
	platform.Store
	calls chan *call
}

func (s raceStore) Get(context.Context, string) (platform.Entry, error) {
	return s.wait(&call{})
}

func (s raceStore) CompareAndSwap(_ context.Context, _ string, value []byte, version uint64) error {
	_, err := s.wait(&call{write: true, value: value, version: version})
	return err
}

func (s raceStore) wait(c *call) (platform.Entry, error) {
	c.reply = make(chan answer, 1)
	s.calls <- c
	a := <-c.reply
	return a.entry, a.err
}

// raceData is the key of a raceStore with the log of its writes.
type raceData struct {
	entry platform.Entry
	log   []document.Record
}

func (d *raceData) swap(c *call) bool {
	if d.entry.Version != c.version {
		return false
	}
	record, err := document.DecodeRecord(c.value)
	if err != nil {
		panic(err)
	}
	d.entry = platform.Entry{Key: "k", Value: c.value, Version: d.entry.Version + 1}
	d.log = append(d.log, record)
	return true
}

func (d *raceData) read() answer {
	if d.entry.Version == 0 {
		return answer{err: platform.ErrNotFound}
	}
	return answer{entry: d.entry}
}

// decide executes a call. It returns the write that takes effect later, if any.
func (d *raceData) decide(c *call, f fate) (late *call) {
	switch {
	case f == fateRefused || !c.write && f != fateAnswered:
		c.reply <- answer{err: platform.ErrUnavailable}
	case !c.write:
		c.reply <- d.read()
	case f == fateAnswered:
		a := answer{}
		if !d.swap(c) {
			a.err = platform.ErrConflict
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
		c.reply <- answer{err: platform.ErrOutcomeUnknown}
	}
	return late
}

// instantClock is a clock whose timers fire at once.
type instantClock struct{}

func (instantClock) Now() time.Time { return time.Unix(1_700_000_000, 0) }

func (instantClock) NewTimer(time.Duration) clock.Timer { return clock.System{}.NewTimer(0) }
