package entry

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/platform"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Keys in the store.
const (
	listKey        = platform.Prefix + "entries"
	leasePrefix    = platform.Prefix + "leases/entries/"
	documentPrefix = platform.Prefix + "services/"
)

// Times of the calls to the store.
const (
	// watchWait bounds one waiting watch, so that a removed lease is confirmed by a later snapshot in time.
	watchWait = 5 * time.Second
	// storeTimeout bounds every other call.
	storeTimeout = 3 * time.Second
	// storeRetryDelay is the delay after a call that failed.
	storeRetryDelay = time.Second
	// leaseRenewals is the number of renewals within one time to live.
	leaseRenewals = 3
)

// snapshot is what one read of the store showed.
type snapshot struct {
	list      *wire.EntryList
	leases    map[string]uint64 // entry id to incarnation
	ownLease  platform.LeaseID  // under which the lease key of this entry is held
	documents []platform.Entry
}

// watchStore follows the store and hands every snapshot to the control goroutine.
func (e *Entry) watchStore(ctx context.Context) error {
	var index uint64
	for ctx.Err() == nil {
		waiting, cancel := context.WithTimeout(ctx, watchWait+storeTimeout)
		seen, err := e.options.Store.Watch(waiting, platform.Prefix, index, watchWait)
		cancel()
		if err != nil {
			e.storeAnswered(err)
			e.sleep(ctx, storeRetryDelay)
			continue
		}
		e.storeAnswered(nil)
		index = seen.Index
		s := parseSnapshot(seen.Entries, e.options.ID)
		e.post(func(c *control) { c.storeSeen(s) })
	}
	return ctx.Err()
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

func parseSnapshot(entries []platform.Entry, self string) *snapshot {
	s := &snapshot{leases: make(map[string]uint64)}
	for _, entry := range entries {
		switch {
		case entry.Key == listKey:
			list := new(wire.EntryList)
			if json.Unmarshal(entry.Value, list) == nil {
				s.list = list
			}
		case strings.HasPrefix(entry.Key, leasePrefix):
			var incarnation uint64
			if json.Unmarshal(entry.Value, &incarnation) == nil {
				id := strings.TrimPrefix(entry.Key, leasePrefix)
				s.leases[id] = incarnation
				if id == self {
					s.ownLease = entry.Lease
				}
			}
		case strings.HasPrefix(entry.Key, documentPrefix):
			s.documents = append(s.documents, entry)
		}
	}
	return s
}

// holdLease keeps the entry's lease in the store. The end of the lease stops nothing by itself: the entry takes a new
// one as soon as the store answers.
func (e *Entry) holdLease(ctx context.Context) error {
	var lease platform.LeaseID
	for ctx.Err() == nil {
		var err error
		sent := e.options.Clock.Now()
		if lease == "" {
			lease, err = e.takeLease(ctx)
		} else {
			err = e.withStore(ctx, func(ctx context.Context) error { return e.options.Store.RenewLease(ctx, lease) })
		}
		if err == nil {
			e.lease.renewed(lease, sent)
		}
		delay := e.options.LeaseTTL / leaseRenewals
		if err != nil {
			delay = min(delay, storeRetryDelay)
		}
		if errors.Is(err, platform.ErrNotFound) {
			lease = ""
		}
		e.sleep(ctx, delay)
	}
	if lease != "" {
		_ = e.withStore(context.WithoutCancel(ctx), func(ctx context.Context) error {
			return e.options.Store.ReleaseLease(ctx, lease)
		})
	}
	return ctx.Err()
}

func (e *Entry) takeLease(ctx context.Context) (lease platform.LeaseID, err error) {
	err = e.withStore(ctx, func(ctx context.Context) error {
		lease, err = e.options.Store.CreateLease(ctx, e.options.LeaseTTL)
		return err
	})
	if err != nil {
		return "", err
	}
	value, err := json.Marshal(e.incarnation)
	if err != nil {
		return "", eris.Wrap(err, "encode incarnation")
	}
	return lease, e.withStore(ctx, func(ctx context.Context) error {
		return e.options.Store.BindKey(ctx, lease, leasePrefix+e.options.ID, value)
	})
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
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrOutcomeUnknown):
			continue
		default:
			return err
		}
	}
}

// readList reads the list from the store. A list that does not exist yet is empty.
func (e *Entry) readList(ctx context.Context) (list *wire.EntryList, version uint64, err error) {
	list = new(wire.EntryList)
	var entry platform.Entry
	err = e.withStore(ctx, func(ctx context.Context) error {
		entry, err = e.options.Store.Get(ctx, listKey)
		return err
	})
	if errors.Is(err, platform.ErrNotFound) {
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
