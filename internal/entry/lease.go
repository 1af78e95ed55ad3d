package entry

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/platform"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// leaseKey returns the key of the lease of an entry.
func leaseKey(m wire.Member) string { return leasePrefix + m.ID }

// holdLease keeps the entry's lease in the store. The end of the lease stops nothing by itself: the entry takes a new
// one as soon as the store answers.
func (e *Entry) holdLease(ctx context.Context) error {
	var lease platform.LeaseID
	for ctx.Err() == nil {
		var err error
		if lease == "" {
			lease, err = e.takeLease(ctx)
		} else {
			err = e.withStore(ctx, func(ctx context.Context) error { return e.options.Store.RenewLease(ctx, lease) })
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
		return e.options.Store.BindKey(ctx, lease, leaseKey(wire.Member{ID: e.options.ID}), value)
	})
}
