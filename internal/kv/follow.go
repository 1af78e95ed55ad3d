package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/apex/log"
)

// Times between attempts at a store that does not answer. Each call costs, also one without an answer.
const (
	minRetry = 50 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// maxFirstRetry is the longest time between attempts while no keys are known: the process cannot work without them.
	maxFirstRetry = 100 * time.Millisecond
)

// FollowOptions configures Follow.
type FollowOptions struct {
	Store  Store
	Prefix string
	// Wait is the longest time that one watch waits at the store. A connection that goes silent is noticed after it.
	Wait time.Duration
	// OnItems is called with all keys below the prefix, at first and after each change.
	OnItems func(items map[string]Item)
	Log     log.Interface
}

// Follow tells the keys below a prefix until ctx ends. It reads them once and then follows the history of the store; it
// reads them again when the history was dropped.
func Follow(ctx context.Context, o FollowOptions) {
	f := &follower{FollowOptions: o, retry: minRetry}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.failed(ctx, err)
			continue
		}
		if f.failing {
			f.failing = false
			o.Log.WithField("prefix", o.Prefix).Info("store: watch goes on")
		}
		f.retry = minRetry
	}
}

type follower struct {
	FollowOptions
	items    map[string]Item // nil until the keys were read
	revision uint64
	retry    time.Duration
	failing  bool
}

func (f *follower) step(ctx context.Context) error {
	if f.items == nil {
		return f.read(ctx)
	}
	events, revision, err := f.Store.Watch(ctx, f.Prefix, f.revision, f.Wait)
	if errors.Is(err, ErrCompacted) {
		f.Log.WithFields(log.Fields{"prefix": f.Prefix, "revision": f.revision}).Info("store: history was dropped, reading again")
		f.items = nil
		return nil
	}
	if err != nil {
		return err
	}
	f.revision = max(f.revision, revision)
	changed := false
	for _, e := range events {
		changed = f.take(e) || changed
	}
	if changed {
		f.OnItems(f.items)
	}
	return nil
}

// take applies a change unless it is older than what is known.
func (f *follower) take(e Event) bool {
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

// read takes all pages. They are no snapshot, so that the watch begins at the revision of the first one.
func (f *follower) read(ctx context.Context) error {
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
	f.OnItems(items)
	return nil
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.failing {
		f.failing = true
		f.Log.WithFields(log.Fields{"prefix": f.Prefix, "error": err.Error()}).Warn("store: watch failed")
	}
	pause(ctx, f.retry/2+rand.N(f.retry))
	f.retry = min(2*f.retry, maxRetry)
	if f.items == nil {
		f.retry = min(f.retry, maxFirstRetry)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
