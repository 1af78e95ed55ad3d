package consul

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
)

// store guards the data and wakes blocking queries.
type store struct {
	clock clock.Clock

	mu   sync.Mutex
	data data
	// saved is the copy that restore brings back.
	saved data
	// epoch changes with every restore, which ends all blocking queries.
	epoch uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore(c clock.Clock) *store {
	return &store{clock: c, data: newData(), saved: newData(), changed: make(chan struct{})}
}

// update runs change on the data after sessions that are due have ended.
func (s *store) update(change func(d *data)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.data.index
	s.data.expire(s.clock.Now())
	change(&s.data)
	if s.data.index != before {
		s.wake()
	}
}

// wake ends the wait of every blocking query. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot saves the current data for restore.
func (s *store) snapshot() {
	s.update(func(d *data) { s.saved = d.clone() })
}

// restore brings the saved data back. Indexes go back too, as in a store restored from a backup.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = s.saved.clone()
	now := s.clock.Now()
	for id, held := range s.data.sessions {
		held.expires = now.Add(held.ttl)
		s.data.sessions[id] = held
	}
	s.epoch++
	s.wake()
}

// expireAll ends every session at once.
func (s *store) expireAll() {
	s.update(func(d *data) {
		for id := range d.sessions {
			d.destroy(id)
		}
	})
}

// selector reads some keys and their index.
type selector func(d *data) ([]pair, uint64)

// query returns what read selects. With an index above 0 it waits until the index of the selection is higher, until
// wait is over, until the data was restored or until ctx ends.
func (s *store) query(ctx context.Context, read selector, index uint64, wait time.Duration) ([]pair, uint64) {
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	over := index == 0
	epoch := s.currentEpoch()
	for {
		found, at, changed, now := s.look(read)
		if over || at > index || now != epoch {
			return found, at
		}
		select {
		case <-changed:
		case <-timer.C():
			over = true
		case <-ctx.Done():
			over = true
		}
	}
}

func (s *store) currentEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

func (s *store) look(read selector) ([]pair, uint64, <-chan struct{}, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.data.expire(s.clock.Now()) {
		s.wake()
	}
	found, at := read(&s.data)
	return found, at, s.changed, s.epoch
}

// expireLoop ends sessions when they are due, so that blocking queries see it without another call.
func (s *store) expireLoop(ctx context.Context) {
	timer := s.clock.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		next, changed := s.data.nextExpiry(), s.changed
		s.mu.Unlock()
		if !next.IsZero() {
			timer.Reset(max(next.Sub(s.clock.Now()), time.Millisecond))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-timer.C():
			s.update(func(*data) {})
		}
	}
}
