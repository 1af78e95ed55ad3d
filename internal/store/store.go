// Package store is the client of the platform's key-value service, called the store.
//
// Store is the interface that the rest of the program uses. Consul implements it over Consul's published HTTP API for keys
// and sessions. Support for another store needs another implementation of Store and no other change.
package store

import (
	"context"
	"time"
)

// Prefixes of the keys of the program.
const (
	// Prefix is the beginning of every key.
	Prefix = "coltsfootspur/"
	// WatchPrefix is the beginning of the small keys that entries watch: the list of entries, the leases and the index of
	// the documents. A watch returns every key below its prefix at each change, so large values must not be stored there.
	WatchPrefix = Prefix + "watch/"
)

// MaxValue is the largest value in bytes that the store accepts.
const MaxValue = 1_000_000

// LeaseID identifies a lease. The store issues it.
type LeaseID string

// Entry is one key of the store with its value. It is unrelated to the process role entry.
type Entry struct {
	Key   string
	Value []byte
	// Version changes with every write of the key and is never 0. It is the version that CompareAndSwap takes.
	Version uint64
	// Lease is the lease that the key is bound to; empty for a key without one.
	Lease LeaseID
}

// Snapshot is the state of all keys below a prefix, sorted by key.
type Snapshot struct {
	Entries []Entry
	// Index is the position of the snapshot in the history of the store and is never 0. It is lower than the index of an
	// earlier snapshot if the store has been restored from older data since.
	Index uint64
}

// Store is the platform's key-value service. All methods are safe for concurrent use.
//
// Reads return ErrUnavailable when they get no answer. Writes return ErrUnavailable only if they certainly had no effect,
// and ErrOutcomeUnknown if they get no usable answer and may have taken effect or may still do so.
type Store interface {
	// Get returns one key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the keys below prefix. The snapshot is empty if there are none.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// CompareAndSwap writes value if the key has the given version; version 0 means that the key must not exist.
	// Otherwise it returns ErrConflict. It returns ErrTooLarge for a value of more than MaxValue bytes.
	CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) error
	// CreateLease returns a new lease that ends when it is not renewed for ttl. The store may end it up to one ttl later
	// than that.
	CreateLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// BindKey writes a key that is deleted when the lease ends. It returns ErrConflict while the key is bound to another
	// lease, ErrNotFound when the lease has ended, and ErrTooLarge for a value of more than MaxValue bytes. A call may be
	// repeated.
	BindKey(ctx context.Context, lease LeaseID, key string, value []byte) error
	// RenewLease extends the lease by its ttl. It returns ErrNotFound when the lease has ended.
	RenewLease(ctx context.Context, lease LeaseID) error
	// ReleaseLease ends the lease and deletes its keys. It returns nil if the lease has already ended.
	ReleaseLease(ctx context.Context, lease LeaseID) error
	// Watch returns the keys below prefix as soon as their index differs from the given one, or after wait. It returns at
	// once for index 0. The caller passes the index of the last snapshot, even if it is lower than the one before.
	Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (Snapshot, error)
}
