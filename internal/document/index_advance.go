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

// AdvanceIndex merges positions into the index in the store. It never replaces a newer position. It retries with a random,
// growing wait after conflicts, lost answers and failed calls until ctx ends, and then returns the error of the last
// attempt: ErrUnreachable, ErrConflict or ErrOutcomeUnknown. It returns ErrRefused at once.
func AdvanceIndex(ctx context.Context, s store.Store, c clock.Clock, positions Index) error {
	wait := initialRetryWait
	for {
		err := tryAdvanceIndex(ctx, s, positions)
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		// The random wait spreads the retries of editors that conflict because all of them change the index.
		if !sleep(ctx, c, rand.N(wait)) {
			return err
		}
		wait = min(2*wait, maxRetryWait)
	}
}

// tryAdvanceIndex makes one attempt. If an earlier attempt without an answer took effect, the read at the start shows that
// there is nothing left to write.
func tryAdvanceIndex(ctx context.Context, s store.Store, positions Index) error {
	index, version, err := readIndex(ctx, s)
	if err != nil {
		return err
	}
	merged, changed := index.merge(positions)
	if !changed {
		return nil
	}
	value, err := merged.encode()
	if err != nil {
		return err
	}
	err = s.CompareAndSwap(ctx, IndexKey, value, version)
	if errors.Is(err, store.ErrConflict) {
		return eris.Wrap(ErrConflict, "index")
	}
	return convertStoreError(err)
}

// readIndex returns the index and its version in the store. A missing index is returned as an empty one. So is an index that
// cannot be decoded: the caller replaces it, and the entries add the positions that the replacement lacks.
func readIndex(ctx context.Context, s store.Store) (Index, uint64, error) {
	entry, err := s.Get(ctx, IndexKey)
	if errors.Is(err, store.ErrNotFound) {
		return Index{}, 0, nil
	}
	if err != nil {
		return nil, 0, convertStoreError(err)
	}
	index, err := DecodeIndex(entry.Value)
	if err != nil {
		return Index{}, entry.Version, nil
	}
	return index, entry.Version, nil
}

// sleep waits for d. It returns false if ctx ends first.
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
