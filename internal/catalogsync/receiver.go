package catalogsync

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"hash"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const (
	// EntryDelay is how long an entry with an older version waits for the store before it pulls from a holder. A store read of
	// 1 MB takes up to 0.6 s on the slowest link, most take below 100 ms.
	EntryDelay = 400 * time.Millisecond
	// HolderDelay is how long a holder waits after the first notice, so that it chooses among the entries by rank and not all
	// holders pull from the entry that was first.
	HolderDelay = 50 * time.Millisecond
	// PullTimeout is the time without a chunk after which a transfer is resumed from another peer. It doubles with each
	// timeout in a row, up to maxPullTimeout, so that transfers proceed when all senders are busy.
	PullTimeout    = 300 * time.Millisecond
	maxPullTimeout = 2400 * time.Millisecond
	// rejectionTime is how long a peer whose chunk or body was malformed is not asked again.
	rejectionTime = 5 * time.Second
)

// ErrChunk means that a chunk or a received body is malformed or does not match its digest.
var ErrChunk = eris.New("malformed chunk of the configuration")

// Source is a peer that has a newer version. Digest is the digest that it has announced, or zero if it is not known.
type Source[P comparable] struct {
	Peer    P
	Version uint64
	Digest  Digest
	Rank    uint64
}

// Pull is a request for the next chunk of a transfer. Resumed is set when it goes to another peer than the one before.
type Pull[P comparable] struct {
	Peer    P
	Message *wire.CatalogPull
	Resumed bool
}

// Receiver pulls a snapshot from one source at a time, with one outstanding pull. It continues at another source if the link
// breaks or an answer is late.
type Receiver[P comparable] struct {
	delay       time.Duration
	behindSince time.Time // zero while no source has a newer version

	version   uint64 // of the transfer; 0 while there is none
	digest    Digest
	hasDigest bool
	size      int
	body      []byte
	hash      hash.Hash

	source      P
	outstanding bool
	pulledAt    time.Time
	timeout     time.Duration
	blocked     map[P]time.Time // sources that are not asked before a time
}

// NewReceiver returns a receiver that pulls when it has been behind a source for delay, or at once if it has nothing.
func NewReceiver[P comparable](delay time.Duration) *Receiver[P] {
	return &Receiver[P]{delay: delay, timeout: PullTimeout, blocked: make(map[P]time.Time)}
}

// Advance returns the pull to be sent now, or nil. own is the version that the process has or is decoding, and sources are the
// linked peers with a newer one.
func (r *Receiver[P]) Advance(now time.Time, own uint64, sources []Source[P]) *Pull[P] {
	if r.version != 0 && r.version <= own {
		r.reset(0)
		r.outstanding = false
	}
	if len(sources) == 0 {
		r.behindSince, r.outstanding = time.Time{}, false
		return nil
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	if own > 0 && now.Sub(r.behindSince) < r.delay {
		return nil
	}
	resumed := false
	if r.outstanding {
		listed := slices.ContainsFunc(sources, func(s Source[P]) bool { return s.Peer == r.source })
		if listed && now.Sub(r.pulledAt) < r.timeout {
			return nil
		}
		r.block(r.source, now.Add(PullTimeout))
		r.timeout = min(2*r.timeout, maxPullTimeout)
		r.outstanding, resumed = false, true
	}
	next, ok := r.chooseSource(now, sources)
	if !ok {
		return nil
	}
	pull := r.pull(now, next)
	pull.Resumed = resumed
	return pull
}

// chooseSource returns the source of the lowest rank among those that have the newest version or the one of the transfer. A
// transfer whose version or digest no source has any more begins anew.
func (r *Receiver[P]) chooseSource(now time.Time, sources []Source[P]) (P, bool) {
	newest := slices.MaxFunc(sources, func(a, b Source[P]) int { return cmp.Compare(a.Version, b.Version) }).Version
	if r.version < newest {
		r.reset(newest)
	}
	fits := func(s Source[P]) bool {
		return s.Version >= r.version && (!r.hasDigest || s.Digest == (Digest{}) || s.Digest == r.digest)
	}
	if !slices.ContainsFunc(sources, fits) {
		r.reset(newest)
	}
	var best *Source[P]
	for i, s := range sources {
		if fits(s) && now.After(r.blocked[s.Peer]) && (best == nil || s.Rank < best.Rank) {
			best = &sources[i]
		}
	}
	if best == nil {
		var none P
		return none, false
	}
	return best.Peer, true
}

func (r *Receiver[P]) pull(now time.Time, peer P) *Pull[P] {
	r.source, r.outstanding, r.pulledAt = peer, true, now
	return &Pull[P]{Peer: peer, Message: &wire.CatalogPull{Version: r.version, Offset: uint32(len(r.body))}}
}

// HandleChunk applies a chunk. It returns the next pull, or the snapshot when it is complete, or ErrChunk when the transfer
// has to begin anew at another source. A chunk that was not requested, or no longer is, has no effect.
func (r *Receiver[P]) HandleChunk(now time.Time, peer P, m *wire.CatalogChunk) (*Pull[P], *Snapshot, error) {
	if !r.outstanding || peer != r.source {
		return nil, nil, nil
	}
	switch {
	case m.Version == r.version && int(m.Offset) == len(r.body):
	case m.Version > r.version && m.Offset == 0:
		r.reset(m.Version)
	case m.Version < r.version && len(m.Body) == 0:
		r.outstanding = false
		r.block(peer, now.Add(PullTimeout)) // the source no longer has the version, for example after a restart
		return nil, nil, nil
	default:
		return nil, nil, nil // an answer to an earlier pull
	}
	r.outstanding = false
	if err := r.add(m); err != nil {
		return nil, nil, r.fail(now, peer, err)
	}
	r.timeout = PullTimeout
	if len(r.body) < r.size {
		return r.pull(now, peer), nil, nil
	}
	if !bytes.Equal(r.hash.Sum(nil), r.digest[:]) {
		return nil, nil, r.fail(now, peer, eris.Wrap(ErrChunk, "the body does not match its digest"))
	}
	done := &Snapshot{Version: r.version, Digest: r.digest, Body: r.body}
	r.reset(0)
	return nil, done, nil
}

// Reject blocks a source whose body could not be decoded.
func (r *Receiver[P]) Reject(now time.Time, peer P) { r.block(peer, now.Add(rejectionTime)) }

func (r *Receiver[P]) fail(now time.Time, peer P, err error) error {
	r.block(peer, now.Add(rejectionTime))
	r.reset(0)
	return err
}

// add appends the body of a chunk to the transfer.
func (r *Receiver[P]) add(m *wire.CatalogChunk) error {
	if !r.hasDigest {
		r.digest, r.size, r.hasDigest = m.Digest, int(m.Size), true
	}
	switch {
	case m.Size > MaxBody || int(m.Size) != r.size:
		return eris.Wrapf(ErrChunk, "size %d, expected %d and at most %d", m.Size, r.size, MaxBody)
	case m.Digest != r.digest:
		return eris.Wrap(ErrChunk, "the digest differs from that of earlier chunks")
	case len(m.Body) == 0 || len(m.Body) > MaxChunk || len(r.body)+len(m.Body) > r.size:
		return eris.Wrapf(ErrChunk, "body of %d bytes at offset %d of %d", len(m.Body), m.Offset, r.size)
	}
	r.body = append(r.body, m.Body...)
	r.hash.Write(m.Body)
	return nil
}

// reset begins a transfer of a version; 0 is none.
func (r *Receiver[P]) reset(version uint64) {
	r.version, r.digest, r.hasDigest, r.size, r.body = version, Digest{}, false, 0, nil
	if version != 0 {
		r.hash = sha256.New()
	}
}

// block keeps a source from being asked before a time. Blocks that are over are dropped, so that sources that never return
// take no memory.
func (r *Receiver[P]) block(peer P, until time.Time) {
	for other, end := range r.blocked {
		if end.Before(until.Add(-2 * rejectionTime)) {
			delete(r.blocked, other)
		}
	}
	r.blocked[peer] = until
}
