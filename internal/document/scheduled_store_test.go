package document_test

import (
	"context"
	"fmt"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// callOutcome is the outcome that the test chooses for one store call.
type callOutcome int

const (
	outcomeAnswered callOutcome = iota
	// outcomeAnswerLost: a write takes effect but its answer is lost; a read fails.
	outcomeAnswerLost
	// outcomeDropped: a write has no effect and no answer; a read fails.
	outcomeDropped
	// outcomeDelayed: a write gets no answer and takes effect later; a read fails.
	outcomeDelayed
	// outcomeUnavailable: the call fails and certainly has no effect.
	outcomeUnavailable
	outcomeCount
)

// storeCall is one call that waits until the test chooses its outcome.
type storeCall struct {
	key     string
	isWrite bool
	value   []byte
	version uint64
	reply   chan storeReply
}

type storeReply struct {
	entry store.Entry
	err   error
}

// scheduledStore passes each call to the test and waits for the reply, so that the test chooses the interleaving. Each
// editor has its own scheduledStore.
type scheduledStore struct {
	store.Store
	calls chan *storeCall
}

func (s scheduledStore) Get(_ context.Context, key string) (store.Entry, error) {
	return s.submit(&storeCall{key: key})
}

func (s scheduledStore) CompareAndSwap(_ context.Context, key string, value []byte, version uint64) error {
	_, err := s.submit(&storeCall{key: key, isWrite: true, value: value, version: version})
	return err
}

// submit passes a call to the test and waits for its reply.
func (s scheduledStore) submit(c *storeCall) (store.Entry, error) {
	c.reply = make(chan storeReply, 1)
	s.calls <- c
	reply := <-c.reply
	return reply.entry, reply.err
}

// storeContent is the content that all scheduledStores share: one record and the index, and all versions of the record in
// the order of the writes.
type storeContent struct {
	keys   map[string]store.Entry
	writes []document.Record
}

func newStoreContent() *storeContent { return &storeContent{keys: map[string]store.Entry{}} }

func (s *storeContent) compareAndSwap(c *storeCall) bool {
	if s.keys[c.key].Version != c.version {
		return false
	}
	if c.key != document.IndexKey {
		record, err := document.DecodeRecord(c.value)
		if err != nil {
			panic(err)
		}
		s.writes = append(s.writes, record)
	} else if err := s.checkIndex(c.value); err != nil {
		panic(err)
	}
	s.keys[c.key] = store.Entry{Key: c.key, Value: c.value, Version: c.version + 1}
	return true
}

// checkIndex checks an index before it is written: its revision must be newer than the stored one and must be that of a
// written record.
func (s *storeContent) checkIndex(value []byte) error {
	next, err := document.DecodeIndex(value)
	if err != nil {
		return err
	}
	position := next["bench"]
	if position.Revision <= s.indexedRevision() || position.Revision > uint64(len(s.writes)) {
		return fmt.Errorf("index goes from revision %d to %d, and %d were written", s.indexedRevision(), position.Revision, len(s.writes))
	}
	if position.EditID != s.writes[position.Revision-1].EditID {
		return fmt.Errorf("index has another edit id for revision %d", position.Revision)
	}
	return nil
}

// indexedRevision returns the revision in the stored index; 0 without one.
func (s *storeContent) indexedRevision() uint64 {
	if s.keys[document.IndexKey].Version == 0 {
		return 0
	}
	index, err := document.DecodeIndex(s.keys[document.IndexKey].Value)
	if err != nil {
		panic(err)
	}
	return index["bench"].Revision
}

func (s *storeContent) read(key string) storeReply {
	if s.keys[key].Version == 0 {
		return storeReply{err: store.ErrNotFound}
	}
	return storeReply{entry: s.keys[key]}
}

// complete replies to a call with the chosen outcome. It returns the call if it is a write that takes effect later.
func (s *storeContent) complete(c *storeCall, outcome callOutcome) (delayed *storeCall) {
	switch {
	case outcome == outcomeUnavailable || !c.isWrite && outcome != outcomeAnswered:
		c.reply <- storeReply{err: store.ErrUnavailable}
	case !c.isWrite:
		c.reply <- s.read(c.key)
	case outcome == outcomeAnswered:
		reply := storeReply{}
		if !s.compareAndSwap(c) {
			reply.err = store.ErrConflict
		}
		c.reply <- reply
	default:
		switch outcome {
		case outcomeAnswerLost:
			s.compareAndSwap(c)
		case outcomeDelayed:
			delayed = c
		case outcomeDropped:
		}
		c.reply <- storeReply{err: store.ErrOutcomeUnknown}
	}
	return delayed
}

// instantClock is a clock whose timers fire at once.
type instantClock struct{}

func (instantClock) Now() time.Time { return time.Unix(1_700_000_000, 0) }

func (instantClock) NewTimer(time.Duration) clock.Timer { return clock.System{}.NewTimer(0) }
