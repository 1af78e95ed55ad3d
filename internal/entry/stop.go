package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Times of a graceful shutdown.
const (
	// leaveRetryDelay is the delay before another try to change the list or to look whether it changed.
	leaveRetryDelay = 100 * time.Millisecond
	// leaveTimeout bounds the wait for the store at a planned stop. After it the entry hands over without the store.
	leaveTimeout = 10 * time.Second
	// flushTimeout bounds the wait for links to send their last messages.
	flushTimeout = 2 * time.Second
)

// stop is the graceful shutdown: the balancer is told first, requests in progress end, and finished submissions are handed
// over to their new homes.
func (e *Entry) stop(ctx context.Context, callers *http.Server) {
	e.log.Info("entry: stopping")
	e.ready.Store(false)
	e.post(func(c *control) { c.stopping = true })
	e.sleep(ctx, e.options.ReadinessDelay)
	leaving := e.leaveList(ctx)
	// Shutdown closes the listener and waits for the requests in progress.
	if err := callers.Shutdown(ctx); err != nil {
		e.log.WithField("cause", err.Error()).Error("entry: stop timeout reached with requests in progress")
	}
	e.waitDrained(ctx)
	if leaving {
		e.handOver(ctx)
	}
	e.flushLinks(ctx)
	e.log.Info("entry: stopped")
}

// leaveList marks this entry as leaving, in the list or, without the store, by a statement to the other entries. They
// become the home of its keys. It reports whether the entry is marked.
func (e *Entry) leaveList(ctx context.Context) bool {
	store, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		var state wire.MemberState
		var member bool
		known := new(wire.EntryList)
		if e.call(ctx, func(c *control) { state, member = c.membership(); *known = c.list }) != nil {
			e.log.Warn("entry: cannot leave the list of entries; its keys stay without an owner until it is removed")
			return false
		}
		if !member || state == wire.MemberLeaving {
			return member
		}
		if e.markLeaving(store, known) != nil {
			e.log.Warn("store: cannot mark this entry as leaving; handing over without the store")
			e.post((*control).stopWithoutStore)
			continue
		}
		e.sleep(ctx, leaveRetryDelay)
	}
}

func (e *Entry) markLeaving(ctx context.Context, known *wire.EntryList) error {
	if e.storeDown.Load() {
		return errStoreDown
	}
	return e.changeList(ctx, known, func(current *wire.EntryList, _ uint64) *wire.EntryList {
		next, err := placement.MarkLeaving(current, e.options.ID, e.incarnation)
		if err != nil {
			return nil
		}
		return next
	})
}

// waitDrained waits until no job runs here and no request waits for another entry.
func (e *Entry) waitDrained(ctx context.Context) {
	for {
		var left int
		if e.call(ctx, func(c *control) { left = len(c.jobs) + len(c.forwards) + len(c.waiting) }) != nil || left == 0 {
			return
		}
		e.sleep(ctx, leaveRetryDelay)
	}
}

// handOver sends the finished submissions to their new homes. Then it removes this entry from the list, under exactly
// the version for which the handover was completed, or states to the other entries that it is done.
func (e *Entry) handOver(ctx context.Context) {
	for ctx.Err() == nil {
		var done, clean, member, stated bool
		known := new(wire.EntryList)
		err := e.call(ctx, func(c *control) {
			c.sendHandovers()
			done, clean = c.table.HandoverDone()
			_, member = c.membership()
			stated = c.statedStop()
			*known = c.list
		})
		if err != nil || !member {
			return
		}
		if done && (stated || e.removeSelf(ctx, known, clean) != nil) {
			if !clean {
				e.log.Warn("entry: no other entry can take over the submissions")
				return
			}
			e.post((*control).stopDone)
		}
		e.sleep(ctx, leaveRetryDelay)
	}
	e.log.Error("entry: stop timeout reached before the submissions were handed over")
}

func (e *Entry) removeSelf(ctx context.Context, known *wire.EntryList, clean bool) error {
	err := e.changeList(ctx, known, func(current *wire.EntryList, _ uint64) *wire.EntryList {
		if current.Version != known.Version {
			return nil
		}
		remove := placement.Expel
		if clean {
			remove = placement.RemoveClean
		}
		next, err := remove(current, e.options.ID, e.incarnation, e.options.Clock.Now())
		if err != nil {
			return nil
		}
		return next
	})
	if err != nil {
		e.log.WithField("cause", eris.ToString(err, false)).Warn("store: cannot remove this entry from the list")
	}
	return err
}

// flushLinks waits until the last messages to agents and entries were written.
func (e *Entry) flushLinks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	var flushers []interface{ Flush(context.Context) error }
	_ = e.call(ctx, func(c *control) {
		for _, p := range c.peers {
			if p.link != nil {
				flushers = append(flushers, p.link)
			}
		}
		for _, s := range c.agents {
			if s.link != nil {
				flushers = append(flushers, s.link)
			}
		}
	})
	for _, f := range flushers {
		_ = f.Flush(ctx)
	}
}

// closeLinks closes every link when the process ends.
func (c *control) closeLinks() {
	for _, p := range c.peers {
		if p.link != nil {
			p.link.Close(ErrStopped)
		}
		if p.stopDialler != nil {
			p.stopDialler()
		}
	}
	for _, s := range c.agents {
		if s.link != nil {
			s.link.Close(ErrStopped)
		}
	}
}
