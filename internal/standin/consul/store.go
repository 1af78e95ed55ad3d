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
	// saved is the copy that snapshot made and restore copies back.
	saved data
	// epoch changes with every restore, which ends all blocking queries.
	epoch uint64
	// changed is closed and replaced at each change of the data.
	changed chan struct{}
}

func newStore(c clock.Clock) *store {
	return &store{clock: c, data: newData(), saved: newData(), changed: make(chan struct{})}
}

// update ends the expired sessions, runs change on the data and wakes blocking queries if either changed anything.
func (s *store) update(change func(d *data)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.data.index
	s.data.expireSessions(s.clock.Now())
	change(&s.data)
	if s.data.index != before {
		s.wakeQueries()
	}
}

// wakeQueries ends the wait of every blocking query. The caller holds the lock.
func (s *store) wakeQueries() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot saves the current data for restore.
func (s *store) snapshot() {
	s.update(func(d *data) { s.saved = d.clone() })
}

// restore replaces the data by a copy of the saved data. Indexes go back too, as in a store that is restored from a backup.
// Every session gets a full TTL again.
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
	s.wakeQueries()
}

// expireAll ends every session at once.
func (s *store) expireAll() {
	s.update(func(d *data) {
		for id := range d.sessions {
			d.destroySession(id)
		}
	})
}

// selector selects some keys of the data and returns them with their index.
type selector func(d *data) ([]pair, uint64)

// query returns the keys that read selects, with their index. If index is above 0, it first waits until the index of the
// selection is above it, the data is restored, wait is over or ctx ends.
func (s *store) query(ctx context.Context, read selector, index uint64, wait time.Duration) ([]pair, uint64) {
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	waitOver := index == 0
	epoch := s.currentEpoch()
	for {
		found, foundIndex, changed, newEpoch := s.readCurrent(read)
		if waitOver || foundIndex > index || newEpoch != epoch {
			return found, foundIndex
		}
		select {
		case <-changed:
		case <-timer.C():
			waitOver = true
		case <-ctx.Done():
			waitOver = true
		}
	}
}

func (s *store) currentEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// readCurrent ends the expired sessions and returns the selected keys with their index, the channel that is closed at the
// next change, and the epoch.
func (s *store) readCurrent(read selector) ([]pair, uint64, <-chan struct{}, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.data.expireSessions(s.clock.Now()) {
		s.wakeQueries()
	}
	found, foundIndex := read(&s.data)
	return found, foundIndex, s.changed, s.epoch
}

// expireLoop ends sessions as soon as they expire, so that blocking queries return without another call to the server.
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
