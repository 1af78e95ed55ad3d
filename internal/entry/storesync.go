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
	// watchWait is the maximum duration of one watch while the store and the list are in sync. Each answer carries all
	// watched keys, so a shorter wait costs bytes on every entry.
	watchWait = 55 * time.Second
	// confirmWait is the maximum duration of the watch after one that returned a change. If the store was restored from older data
	// before that watch began, its index is below the one that the watch waits for, and the watch returns only when its wait is over.
	confirmWait = 4 * time.Second
	// watchWaitDivisor is the divisor of the expulsion delay that gives the duration of a watch while a lease is missing: an
	// expulsion needs successive snapshots without the lease.
	watchWaitDivisor = 2
	// minWatchWait limits the rate of watches that wait for the end of a delay.
	minWatchWait = 10 * time.Millisecond
	// watchMarginDivisor is the divisor of the duration of a watch that gives the time by which its answer may be late. The
	// documented protocol of Consul adds up to a sixteenth.
	watchMarginDivisor = 8
	// storeTimeout bounds every call to the store other than a watch.
	storeTimeout = 3 * time.Second
	// storeRetryDelay is the delay after a call that failed.
	storeRetryDelay = time.Second
	// leaseRenewals is the number of renewals within the shorter one of the time to live and the expulsion delay. The
	// expulsion delay counts because a renewal proves the ownership of keys for only half of it.
	leaseRenewals = 3
)

// snapshot is the result of one read of the watched keys.
type snapshot struct {
	list   *wire.EntryList
	leases map[string]store.LeaseID // by leaseKey
	index  document.Index
	// restored is set when the store shows a lower modification index than before, which means that it was restored from
	// older data.
	restored bool
}

func newSnapshot() *snapshot { return &snapshot{leases: make(map[string]store.LeaseID)} }

// hasLease reports whether the snapshot shows the lease of this run of a member.
func (s *snapshot) hasLease(m wire.Member) bool {
	_, ok := s.leases[leaseKey(m)]
	return ok
}

// watchStore watches the keys and passes every snapshot to the control goroutine.
func (e *Entry) watchStore(ctx context.Context) error {
	var index uint64
	wait := watchWait
	for ctx.Err() == nil {
		result, err := e.watchOnce(ctx, index, wait)
		e.updateStoreState(err)
		if err != nil {
			e.sleep(ctx, storeRetryDelay)
			continue
		}
		s := e.parseSnapshot(result.Entries)
		s.restored = result.Index < index
		changed := result.Index != index
		index = result.Index
		nextWait := make(chan time.Duration, 1)
		e.post(func(c *control) { nextWait <- c.handleSnapshot(s) })
		select {
		case wait = <-nextWait:
		case <-e.stopped:
		}
		if changed {
			wait = min(wait, confirmWait)
		}
	}
	return ctx.Err()
}

// watchOnce waits up to wait for a change of the watched keys after the index and returns them.
func (e *Entry) watchOnce(ctx context.Context, index uint64, wait time.Duration) (store.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+wait/watchMarginDivisor+storeTimeout)
	defer cancel()
	return e.options.Store.Watch(ctx, store.WatchPrefix, index, wait)
}

// updateStoreState records whether a call reached the store, and logs when the store becomes unavailable or available
// again.
func (e *Entry) updateStoreState(err error) {
	down := err != nil
	if e.storeDown.Swap(down) == down {
		return
	}
	if down {
		e.log.WithField("cause", eris.ToString(err, false)).Warn("store: not available; work goes on without it")
	} else {
		e.log.Info("store: available again")
	}
}

// parseSnapshot decodes the watched keys. A list or an index that cannot be decoded counts as missing. Such an index is
// then replaced; such a list is left to the operators, because its version determines which entries may start work.
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
				Error("store: cannot decode the value of a key; treating it as missing")
		}
	}
	return s
}

// withStore makes a call to the store with storeTimeout.
func (e *Entry) withStore(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return call(ctx)
}

// listChange computes a new list from the current one, given the version in the store. It returns nil when there is nothing
// to change.
type listChange func(current *wire.EntryList, stored uint64) *wire.EntryList

// changeList applies a change to the list in the store by compare-and-swap. Each attempt starts by reading the list. If a
// previous write whose answer was lost did take effect, the change then finds nothing left to do. A store that was restored
// from older data returns a list older than knownList; the change is then based on knownList, so that versions never
// decrease.
func (e *Entry) changeList(ctx context.Context, knownList *wire.EntryList, change listChange) error {
	for {
		current, version, err := e.readList(ctx)
		if err != nil {
			return err
		}
		stored := current.Version
		current, _ = placement.PickNewer(current, knownList)
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

// readList reads the list from the store. A list that does not exist yet is empty and has the version 0.
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
