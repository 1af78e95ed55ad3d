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

// leaseKey returns the store key of the lease of one run of an entry. Runs do not share a key, because the previous run can
// hold its key for up to twice the time to live after a restart.
func leaseKey(m wire.Member) string {
	return leasePrefix + m.ID + "/" + strconv.FormatUint(m.Incarnation, 10)
}

// leaseHolder keeps the lease of this run of the entry. Only the goroutine of holdLease accesses it.
type leaseHolder struct {
	entry *Entry
	// missing signals that the watched keys do not show the lease.
	missing <-chan struct{}
	lease   store.LeaseID // empty while there is no lease
	bound   bool          // whether the key is known to be bound to the lease
}

// holdLease keeps the entry's lease in the store and releases it at the end. The loss of the lease does not stop the entry:
// it creates a new one as soon as the store answers.
func (e *Entry) holdLease(ctx context.Context) error {
	h := &leaseHolder{entry: e, missing: e.control.leaseMissing}
	for ctx.Err() == nil {
		delay := min(e.options.LeaseTTL, e.options.ExpulsionDelay) / leaseRenewals
		err := h.ensureLease(ctx)
		if err != nil {
			delay = min(delay, storeRetryDelay)
		}
		if ctx.Err() == nil && (err == nil || errors.Is(err, store.ErrUnavailable)) {
			e.updateStoreState(err)
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

// ensureLease renews the lease or creates a new one, and binds the key unless it is known to be bound. A bind whose answer
// was lost is repeated, which is harmless.
func (h *leaseHolder) ensureLease(ctx context.Context) error {
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

// renew renews the lease. It forgets the lease if the store does not have it any more.
func (h *leaseHolder) renew(ctx context.Context) error {
	sent := h.entry.options.Clock.Now()
	err := h.entry.withStore(ctx, func(ctx context.Context) error {
		return h.entry.options.Store.RenewLease(ctx, h.lease)
	})
	if err == nil {
		h.entry.lease.recordRenewal(h.lease, sent)
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
		h.entry.lease.recordRenewal(h.lease, sent)
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
		h.discardMissingSignal()
	case errors.Is(err, store.ErrNotFound):
		h.lease = ""
	}
	return err
}

// discardMissingSignal drops a signal that was sent before the key was bound.
func (h *leaseHolder) discardMissingSignal() {
	select {
	case <-h.missing:
	default:
	}
}

// wait waits for d. It returns early when the store does not show the lease, so that the key is bound again at once.
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
