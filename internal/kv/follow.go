package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/apex/log"
)

// Bounds of the backoff between calls to a store that does not answer. A call adds load to the store even if it fails.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxInitialRetryDelay bounds the backoff until the keys have been read once. The process cannot work without them.
	maxInitialRetryDelay = 100 * time.Millisecond
)

// FollowOptions configures Follow.
type FollowOptions struct {
	Store  Store
	Prefix string
	// MaxWatchWait is the longest time that the store holds one watch request open. A dead connection is detected after this
	// time.
	MaxWatchWait time.Duration
	// OnChange is called after the first read and after each change. It must not keep the map of the view.
	OnChange func(v View)
	Log      log.Interface
}

// View holds all keys below a prefix.
type View struct {
	Items map[string]Item
	// Revision is the revision of the store at which the keys had these values: that of the first page if all keys were read,
	// or that of the last of the changes that were applied.
	Revision uint64
	// Changed holds the keys that were written or deleted since the previous view, also those that are as they were before. It is
	// nil if all keys were read, so that the changes since the previous view are not known.
	Changed []string
}

// Follow passes the keys below a prefix to OnChange until ctx ends. It reads all keys once and then watches for changes.
// When the store has compacted the history that the watch needs, or the changes are too large for one answer, it reads all keys
// again, in pages.
func Follow(ctx context.Context, o FollowOptions) {
	f := &follower{FollowOptions: o, retryDelay: minRetryDelay}
	for ctx.Err() == nil {
		if err := f.readOrWatch(ctx); err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		if f.failing {
			f.failing = false
			o.Log.WithField("prefix", o.Prefix).Info("store: reading or watching keys succeeds again")
		}
		f.retryDelay = minRetryDelay
	}
}

type follower struct {
	FollowOptions
	items      map[string]Item // nil until the keys were read
	revision   uint64          // the watch continues after this revision
	retryDelay time.Duration
	failing    bool
}

// readOrWatch makes one step: it reads all keys if there are none yet, otherwise it waits for the next changes.
func (f *follower) readOrWatch(ctx context.Context) error {
	if f.items == nil {
		return f.readAll(ctx)
	}
	events, revision, err := f.Store.Watch(ctx, f.Prefix, f.revision, f.MaxWatchWait)
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrTooLarge) {
		f.Log.WithFields(log.Fields{"prefix": f.Prefix, "revision": f.revision, "cause": err.Error()}).
			Info("store: changes cannot be read one by one, reading all keys again")
		f.items = nil
		return nil
	}
	if err != nil {
		return err
	}
	f.revision = max(f.revision, revision)
	view := View{Items: f.items}
	for _, e := range events {
		if f.applyEvent(e) {
			view.Revision, view.Changed = max(view.Revision, e.Revision), append(view.Changed, e.Key)
		}
	}
	if len(view.Changed) > 0 {
		f.OnChange(view)
	}
	return nil
}

// applyEvent applies a change unless the item already has that revision or a later one. It reports whether it did.
func (f *follower) applyEvent(e Event) bool {
	if old, known := f.items[e.Key]; known && old.Revision >= e.Revision {
		return false
	}
	if e.Deleted {
		delete(f.items, e.Key)
	} else {
		f.items[e.Key] = e.Item
	}
	return true
}

// readAll reads all pages. The pages are not one consistent snapshot: a key may change while they are read. The watch
// therefore starts at the revision of the first page.
func (f *follower) readAll(ctx context.Context) error {
	items, after := make(map[string]Item), ""
	revision := uint64(0)
	for {
		page, err := f.Store.Range(ctx, f.Prefix, after)
		if err != nil {
			return err
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, item := range page.Items {
			if strings.HasPrefix(item.Key, f.Prefix) {
				items[item.Key] = item
				after = item.Key
			}
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	f.items, f.revision = items, revision
	f.OnChange(View{Items: items, Revision: revision})
	return nil
}

// handleFailure logs the first failure in a row and waits before the next attempt.
func (f *follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.failing {
		f.failing = true
		f.Log.WithFields(log.Fields{"prefix": f.Prefix, "error": err.Error()}).Warn("store: reading or watching keys failed, retrying")
	}
	sleep(ctx, f.retryDelay/2+rand.N(f.retryDelay))
	f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
	if f.items == nil {
		f.retryDelay = min(f.retryDelay, maxInitialRetryDelay)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
