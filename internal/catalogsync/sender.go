package catalogsync

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const (
	// MaxChunk is the largest body of one chunk in bytes. It occupies a link of 19 Mbit/s for 3.4 ms.
	MaxChunk = 8 << 10
	// DefaultRate is the byte rate of a sender whose link rate is not known: 4 Mbit/s.
	DefaultRate = 4e6 / 8
	// chunkOverhead is the size in bytes of the fields of a chunk besides its body, and of the headers of WebSocket, TCP and IP
	// of its packets.
	chunkOverhead = 500
	// burstTime is the time for which an idle sender accumulates its budget. It is a tick of the control goroutines.
	burstTime = 20 * time.Millisecond
)

// RateOfLink returns the byte rate of a sender on a link of a rate in Mbit/s: a quarter of it, so that a transfer leaves the
// link to heartbeats and offers. It returns DefaultRate if the rate of the link is 0.
func RateOfLink(megabits float64) float64 {
	if megabits <= 0 {
		return DefaultRate
	}
	return megabits * 1e6 / 8 / 4
}

// Reply is a chunk for a peer.
type Reply[P comparable] struct {
	Peer  P
	Chunk *wire.CatalogChunk
}

// Sender answers the pulls of all peers of a process within one byte rate. Among the peers that wait, the one whose transfer is
// furthest goes first, so that the first copies are complete early and can be pulled from.
type Sender[P comparable] struct {
	rate     float64 // bytes per second
	tokens   float64 // bytes that may be sent now; negative after a chunk that used more
	filledAt time.Time
	snapshot *Snapshot
	queue    []P // peers with a pull, in the order of their first unanswered pull
	pulls    map[P]*wire.CatalogPull
}

// NewSender returns a sender with a rate in bytes per second.
func NewSender[P comparable](rate float64) *Sender[P] {
	return &Sender[P]{rate: rate, pulls: make(map[P]*wire.CatalogPull)}
}

// SetSnapshot sets the snapshot from which pulls are answered.
func (s *Sender[P]) SetSnapshot(snapshot *Snapshot) { s.snapshot = snapshot }

// AddPull queues a pull. It replaces an unanswered one of the same peer, which the peer no longer waits for.
func (s *Sender[P]) AddPull(peer P, m *wire.CatalogPull) {
	if s.pulls[peer] == nil {
		s.queue = append(s.queue, peer)
	}
	s.pulls[peer] = m
}

// RemovePeer drops the pull of a peer whose link is closed.
func (s *Sender[P]) RemovePeer(peer P) {
	delete(s.pulls, peer)
	s.queue = slices.DeleteFunc(s.queue, func(other P) bool { return other == peer })
}

// Waiting returns the number of unanswered pulls.
func (s *Sender[P]) Waiting() int { return len(s.pulls) }

// TakeReplies returns the chunks that can be sent now.
func (s *Sender[P]) TakeReplies(now time.Time) []Reply[P] {
	if len(s.queue) == 0 {
		return nil
	}
	s.tokens = min(s.tokens+s.rate*now.Sub(s.filledAt).Seconds(), s.rate*burstTime.Seconds())
	s.filledAt = now
	var replies []Reply[P]
	for len(s.queue) > 0 && s.tokens > 0 {
		peer := s.queue[0]
		for _, other := range s.queue[1:] {
			if s.pulls[other].Offset > s.pulls[peer].Offset {
				peer = other
			}
		}
		pull := s.pulls[peer]
		s.RemovePeer(peer)
		chunk := s.chunk(pull)
		s.tokens -= float64(len(chunk.Body) + chunkOverhead)
		replies = append(replies, Reply[P]{Peer: peer, Chunk: chunk})
	}
	return replies
}

// chunk answers a pull. If the snapshot is newer than the requested one, the answer is its first chunk; if it is older, the
// answer has no body.
func (s *Sender[P]) chunk(pull *wire.CatalogPull) *wire.CatalogChunk {
	version := VersionOf(s.snapshot)
	if version < pull.Version || version == 0 {
		return &wire.CatalogChunk{Version: version}
	}
	offset := int(pull.Offset)
	if version > pull.Version || offset >= len(s.snapshot.Body) {
		offset = 0
	}
	end := min(offset+MaxChunk, len(s.snapshot.Body))
	return &wire.CatalogChunk{
		Version: version, Digest: s.snapshot.Digest, Size: uint32(len(s.snapshot.Body)), Offset: uint32(offset),
		Body: s.snapshot.Body[offset:end],
	}
}
