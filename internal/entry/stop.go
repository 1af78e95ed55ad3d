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
	// leaveRetryDelay is the delay before the next attempt to change the list or the next check of whether it changed.
	leaveRetryDelay = 100 * time.Millisecond
	// leaveTimeout bounds the wait for the store during a graceful shutdown. After it the entry hands over without the
	// store.
	leaveTimeout = 10 * time.Second
	// flushTimeout bounds the wait for links to send their last messages.
	flushTimeout = 2 * time.Second
)

// stop performs the graceful shutdown: the readiness becomes false for the load balancer, the requests in progress end, and
// finished submissions are handed over to their new homes.
func (e *Entry) stop(ctx context.Context, callerServer *http.Server) {
	e.log.Info("entry: stopping gracefully")
	e.ready.Store(false)
	e.post(func(c *control) { c.stopping = true })
	e.sleep(ctx, e.options.ReadinessDelay)
	leaving := e.leaveList(ctx)
	// Shutdown closes the listener and waits for the requests in progress.
	if err := callerServer.Shutdown(ctx); err != nil {
		e.log.WithField("cause", err.Error()).Error("entry: stop timeout reached with requests in progress; abandoning them")
	}
	e.waitUntilDrained(ctx)
	if leaving {
		e.handOverSubmissions(ctx)
	}
	e.flushLinks(ctx)
	e.log.Info("entry: stopped")
}

// leaveList marks this entry as leaving in the list or, without the store, by a stop notice to the other processes. The
// other entries become the home of its keys. It reports whether the entry is marked.
func (e *Entry) leaveList(ctx context.Context) bool {
	storeCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		var state wire.MemberState
		var member bool
		knownList := new(wire.EntryList)
		if e.call(ctx, func(c *control) { state, member = c.membership(); *knownList = c.list }) != nil {
			e.log.Warn("entry: cannot leave the list of entries; its keys have no owner until the others remove it")
			return false
		}
		if !member || state == wire.MemberLeaving {
			return member
		}
		if e.markLeaving(storeCtx, knownList) != nil {
			e.log.Warn("store: cannot mark this entry as leaving; handing over without the store")
			e.post((*control).stopWithoutStore)
			continue
		}
		e.sleep(ctx, leaveRetryDelay)
	}
}

// markLeaving marks this entry as leaving in the store. It returns errStoreDown or an error of changeList.
func (e *Entry) markLeaving(ctx context.Context, knownList *wire.EntryList) error {
	if e.storeDown.Load() {
		return errStoreDown
	}
	return e.changeList(ctx, knownList, func(current *wire.EntryList, _ uint64) *wire.EntryList {
		next, err := placement.MarkLeaving(current, e.options.ID, e.incarnation)
		if err != nil {
			return nil
		}
		return next
	})
}

// waitUntilDrained waits until no job runs at this entry and no request waits for another entry or for a recovery.
func (e *Entry) waitUntilDrained(ctx context.Context) {
	for {
		var open int
		if e.call(ctx, func(c *control) { open = len(c.jobs) + len(c.forwards) + len(c.waitingRequests) }) != nil || open == 0 {
			return
		}
		e.sleep(ctx, leaveRetryDelay)
	}
}

// handOverSubmissions sends the finished submissions to their new homes. Then it removes this entry from the list, provided
// that the list still has the version for which the handover was completed, or announces to the other processes that the
// handover is done.
func (e *Entry) handOverSubmissions(ctx context.Context) {
	for ctx.Err() == nil {
		var done, clean, member, hasNotice bool
		knownList := new(wire.EntryList)
		err := e.call(ctx, func(c *control) {
			c.sendHandovers()
			done, clean = c.table.HandoverDone()
			_, member = c.membership()
			hasNotice = c.hasStopNotice()
			*knownList = c.list
		})
		if err != nil || !member {
			return
		}
		if done && (hasNotice || e.removeSelf(ctx, knownList, clean) != nil) {
			if !clean {
				e.log.Warn("entry: no other entry can take over the submissions; stopping without a handover")
				return
			}
			e.post((*control).announceHandoverDone)
		}
		e.sleep(ctx, leaveRetryDelay)
	}
	e.log.Error("entry: stop timeout reached before all submissions were handed over; stopping without the rest")
}

// removeSelf removes this entry from the list unless the list changed since knownList. The removal is clean if all
// submissions were handed over.
func (e *Entry) removeSelf(ctx context.Context, knownList *wire.EntryList, clean bool) error {
	err := e.changeList(ctx, knownList, func(current *wire.EntryList, _ uint64) *wire.EntryList {
		if current.Version != knownList.Version {
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

// flushLinks waits until the last messages to agents and entries have been written, at most flushTimeout.
func (e *Entry) flushLinks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	var flushers []interface{ Flush(context.Context) error }
	err := e.call(ctx, func(c *control) {
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
	if err != nil {
		return // the control goroutine may still write the list
	}
	for _, f := range flushers {
		_ = f.Flush(ctx)
	}
}

// closeLinks closes every link and stops the diallers at the end of the run.
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
