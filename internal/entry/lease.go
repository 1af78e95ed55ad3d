package entry

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// leaseKey returns the key of the lease of one run of an entry. A former run can hold its key for up to twice the time to
// live after a restart, so runs do not share a key.
func leaseKey(m wire.Member) string {
	return leasePrefix + m.ID + "/" + strconv.FormatUint(m.Incarnation, 10)
}

// leaseHolder is the lease of this run of the entry. It belongs to the goroutine of holdLease.
type leaseHolder struct {
	entry *Entry
	// missing delivers when the watched keys do not show the lease.
	missing <-chan struct{}
	lease   store.LeaseID // empty without one
	bound   bool          // whether the key is known to be bound to the lease
}

// holdLease keeps the entry's lease in the store. The end of the lease stops nothing by itself: the entry takes a new
// one as soon as the store answers.
func (e *Entry) holdLease(ctx context.Context) error {
	h := &leaseHolder{entry: e, missing: e.control.leaseMissing}
	for ctx.Err() == nil {
		delay := min(e.options.LeaseTTL, e.options.ExpulsionDelay) / leaseRenewals
		err := h.step(ctx)
		if err != nil {
			delay = min(delay, storeRetryDelay)
		}
		if ctx.Err() == nil && (err == nil || errors.Is(err, store.ErrUnavailable)) {
			e.storeAnswered(err)
		}
		h.wait(ctx, delay)
	}
	if h.lease != "" {
		_ = e.withStore(context.WithoutCancel(ctx), func(ctx context.Context) error {
			return e.options.Store.ReleaseLease(ctx, h.lease)
		})
	}
	return ctx.Err()
}

// step renews the lease or takes a new one, and binds the key where that is not known to be done. A bind without an
// answer is repeated, which is harmless.
func (h *leaseHolder) step(ctx context.Context) error {
	if h.lease != "" {
		if err := h.renew(ctx); err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
	}
	if h.lease == "" {
		if err := h.create(ctx); err != nil {
			return err
		}
	}
	if h.bound {
		return nil
	}
	return h.bind(ctx)
}

func (h *leaseHolder) renew(ctx context.Context) error {
	sent := h.entry.options.Clock.Now()
	err := h.entry.withStore(ctx, func(ctx context.Context) error {
		return h.entry.options.Store.RenewLease(ctx, h.lease)
	})
	if err == nil {
		h.entry.lease.renewed(h.lease, sent)
	}
	if errors.Is(err, store.ErrNotFound) {
		h.lease, h.bound = "", false
	}
	return err
}

func (h *leaseHolder) create(ctx context.Context) error {
	sent := h.entry.options.Clock.Now()
	err := h.entry.withStore(ctx, func(ctx context.Context) (err error) {
		h.lease, err = h.entry.options.Store.CreateLease(ctx, h.entry.options.LeaseTTL)
		return err
	})
	if err == nil {
		h.entry.lease.renewed(h.lease, sent)
	}
	return err
}

func (h *leaseHolder) bind(ctx context.Context) error {
	self := wire.Member{ID: h.entry.options.ID, Incarnation: h.entry.incarnation}
	value, err := json.Marshal(self.Incarnation)
	if err != nil {
		return eris.Wrap(err, "encode incarnation")
	}
	err = h.entry.withStore(ctx, func(ctx context.Context) error {
		return h.entry.options.Store.BindKey(ctx, h.lease, leaseKey(self), value)
	})
	switch {
	case err == nil:
		h.bound = true
		h.forgetMissing()
	case errors.Is(err, store.ErrNotFound):
		h.lease = ""
	}
	return err
}

// forgetMissing drops a notice that was made before the key was bound.
func (h *leaseHolder) forgetMissing() {
	select {
	case <-h.missing:
	default:
	}
}

// wait ends early when the lease is missing in the store, so that the key is bound again at once.
func (h *leaseHolder) wait(ctx context.Context, d time.Duration) {
	timer := h.entry.options.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	case <-h.missing:
		h.bound = false
	}
}
