// Package catalogsync decides how the configuration reaches the processes that cannot read it from the store. Entries read the
// store and notify a few agents, the holders, of a new version. A holder pulls the encoded configuration from an entry in
// chunks, and an entry that has an older version for some time pulls it from a holder in the same way. A sender answers pulls
// within a byte rate, so that heartbeats and offers on the same host are not delayed.
//
// The types of this package make decisions only: they have no goroutines, clocks or connections. None is safe for concurrent use.
package catalogsync

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// MaxBody is the largest encoded configuration in bytes. The store accepts values up to 1 MB, and encoding makes them smaller.
const MaxBody = 2 << 20

// Digest is the SHA-256 digest of an encoded configuration.
type Digest = [sha256.Size]byte

// Snapshot is one encoded version of the configuration. It is immutable.
type Snapshot struct {
	Version uint64
	Digest  Digest
	Body    []byte
}

// NewSnapshot returns a snapshot of an encoded configuration, with its digest.
func NewSnapshot(version uint64, body []byte) *Snapshot {
	return &Snapshot{Version: version, Digest: sha256.Sum256(body), Body: body}
}

// Notice returns the message that announces the snapshot to a holder.
func (s *Snapshot) Notice() *wire.CatalogNotice {
	return &wire.CatalogNotice{Version: s.Version, Digest: s.Digest, Size: uint32(len(s.Body))}
}

// VersionOf returns the version of a snapshot, or 0 if s is nil.
func VersionOf(s *Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}

// Rank orders the peers of a process by rendezvous hashing: each process prefers the peer of the lowest rank, so that the
// processes spread over the peers without agreement.
func Rank(self, peer string) uint64 { return xxhash.Sum64String(self + "\x00" + peer) }
