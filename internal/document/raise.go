package document

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// RaiseIndex raises the index in the store until it shows at least the wanted positions, and lowers none. It tries again
// after conflicts, lost answers and failed calls until ctx ends. Errors: ErrUnreachable, ErrConflict and ErrUnclear for
// the last try, and ErrRefused.
func RaiseIndex(ctx context.Context, s store.Store, c clock.Clock, wanted Index) error {
	wait := firstWait
	for {
		err := raiseOnce(ctx, s, wanted)
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		// The random wait lets editors that all change the index at the same time get through one by one.
		if !sleep(ctx, c, rand.N(wait)) {
			return err
		}
		wait = min(2*wait, maxWait)
	}
}

// raiseOnce makes one try. The read at its begin shows whether a former try without an answer took effect.
func raiseOnce(ctx context.Context, s store.Store, wanted Index) error {
	index, version, err := readIndex(ctx, s)
	if err != nil {
		return err
	}
	raised, changed := index.raisedTo(wanted)
	if !changed {
		return nil
	}
	value, err := raised.encode()
	if err != nil {
		return err
	}
	err = s.CompareAndSwap(ctx, IndexKey, value, version)
	if errors.Is(err, store.ErrConflict) {
		return eris.Wrap(ErrConflict, "index")
	}
	return convert(err)
}

// readIndex returns the index with its version in the store. A missing index is empty. So is one that cannot be decoded:
// it is replaced, and the entries raise what the replacement lacks.
func readIndex(ctx context.Context, s store.Store) (Index, uint64, error) {
	entry, err := s.Get(ctx, IndexKey)
	if errors.Is(err, store.ErrNotFound) {
		return Index{}, 0, nil
	}
	if err != nil {
		return nil, 0, convert(err)
	}
	index, err := DecodeIndex(entry.Value)
	if err != nil {
		return Index{}, entry.Version, nil
	}
	return index, entry.Version, nil
}

// sleep waits and reports whether ctx is still in force.
func sleep(ctx context.Context, c clock.Clock, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	timer := c.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C():
		return true
	}
}
