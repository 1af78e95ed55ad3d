package entry

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Keys in the store. All of them are watched.
const (
	listKey     = store.WatchPrefix + "entries"
	leasePrefix = store.WatchPrefix + "leases/"
)

// Times of the calls to the store.
const (
	// watchWait bounds one waiting watch while nothing is amiss. Each answer carries all watched keys, so a shorter wait
	// costs bytes on every entry.
	watchWait = 55 * time.Second
	// watchWaitShare is the divisor of the expulsion delay that gives the wait while a lease is missing: the expulsion
	// needs successive snapshots without the lease.
	watchWaitShare = 2
	// minWatchWait bounds the rate of reads that wait for the end of a delay.
	minWatchWait = 10 * time.Millisecond
	// watchMargin is the divisor of the wait that gives the time by which an answer may be late. The published protocol
	// adds up to a sixteenth of the wait.
	watchMargin = 8
	// storeTimeout bounds every other call.
	storeTimeout = 3 * time.Second
	// storeRetryDelay is the delay after a call that failed.
	storeRetryDelay = time.Second
	// leaseRenewals is the number of renewals within one time to live and within one expulsion delay. A renewal proves the
	// ownership of keys for half the expulsion delay only.
	leaseRenewals = 3
)

// snapshot is what one read of the watched keys showed.
type snapshot struct {
	list   *wire.EntryList
	leases map[string]store.LeaseID // by leaseKey
	index  document.Index
	// wentBack is set when the store shows an earlier position than before: it was restored from older data.
	wentBack bool
}

func newSnapshot() *snapshot { return &snapshot{leases: make(map[string]store.LeaseID)} }

// holds reports whether the lease of this run of a member is there.
func (s *snapshot) holds(m wire.Member) bool {
	_, ok := s.leases[leaseKey(m)]
	return ok
}

// watchStore follows the watched keys and hands every snapshot to the control goroutine.
func (e *Entry) watchStore(ctx context.Context) error {
	var index uint64
	wait := watchWait
	for ctx.Err() == nil {
		seen, err := e.watchOnce(ctx, index, wait)
		e.storeAnswered(err)
		if err != nil {
			e.sleep(ctx, storeRetryDelay)
			continue
		}
		s := e.parseSnapshot(seen.Entries)
		s.wentBack = seen.Index < index
		index = seen.Index
		next := make(chan time.Duration, 1)
		e.post(func(c *control) { next <- c.storeSeen(s) })
		select {
		case wait = <-next:
		case <-e.stopped:
		}
	}
	return ctx.Err()
}

func (e *Entry) watchOnce(ctx context.Context, index uint64, wait time.Duration) (store.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+wait/watchMargin+storeTimeout)
	defer cancel()
	return e.options.Store.Watch(ctx, store.WatchPrefix, index, wait)
}

// storeAnswered logs when the store goes away and when it comes back.
func (e *Entry) storeAnswered(err error) {
	down := err != nil
	if e.storeDown.Swap(down) == down {
		return
	}
	if down {
		e.log.WithField("cause", eris.ToString(err, false)).Warn("store: not available; work goes on without it")
	} else {
		e.log.Info("store: available")
	}
}

// parseSnapshot decodes the watched keys. A list or an index that cannot be decoded counts as missing. The index is then
// replaced; a list is left to the operators, because its version decides who may start work.
func (e *Entry) parseSnapshot(entries []store.Entry) *snapshot {
	s := newSnapshot()
	for _, entry := range entries {
		var err error
		switch {
		case entry.Key == listKey:
			list := new(wire.EntryList)
			if err = json.Unmarshal(entry.Value, list); err == nil {
				s.list = list
			}
		case entry.Key == document.IndexKey:
			s.index, err = document.DecodeIndex(entry.Value)
		case strings.HasPrefix(entry.Key, leasePrefix):
			s.leases[entry.Key] = entry.Lease
		}
		if err != nil {
			e.log.WithField("key", entry.Key).WithField("cause", eris.ToString(err, false)).
				Error("store: a key cannot be decoded")
		}
	}
	return s
}

func (e *Entry) withStore(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return call(ctx)
}

// listChange computes a new list from the current one, given the version in the store. It returns nil when there is
// nothing to change.
type listChange func(current *wire.EntryList, stored uint64) *wire.EntryList

// changeList applies a change to the list in the store by compare-and-swap. The read that begins each try shows whether
// a write without an answer took effect, because the change then finds nothing left to do. A store that was restored from
// older data shows an older list than known; the change is then based on known, so that versions never go back.
func (e *Entry) changeList(ctx context.Context, known *wire.EntryList, change listChange) error {
	for {
		current, version, err := e.readList(ctx)
		if err != nil {
			return err
		}
		stored := current.Version
		current, _ = placement.Newer(current, known)
		next := change(current, stored)
		if next == nil {
			e.post(func(c *control) { c.adoptList(current) })
			return nil
		}
		value, err := json.Marshal(next)
		if err != nil {
			return eris.Wrap(err, "encode list of entries")
		}
		err = e.withStore(ctx, func(ctx context.Context) error {
			return e.options.Store.CompareAndSwap(ctx, listKey, value, version)
		})
		switch {
		case err == nil:
			e.post(func(c *control) { c.adoptList(next) })
			return nil
		case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrOutcomeUnknown):
			continue
		default:
			return err
		}
	}
}

// readList reads the list from the store. A list that does not exist yet is empty.
func (e *Entry) readList(ctx context.Context) (list *wire.EntryList, version uint64, err error) {
	list = new(wire.EntryList)
	var entry store.Entry
	err = e.withStore(ctx, func(ctx context.Context) error {
		entry, err = e.options.Store.Get(ctx, listKey)
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return list, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if err := json.Unmarshal(entry.Value, list); err != nil {
		return nil, 0, eris.Wrap(err, "decode list of entries")
	}
	return list, entry.Version, nil
}
