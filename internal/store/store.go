// Package store is the client of the platform's key-value service, called the store.
//
// Store is the narrow interface that the rest of the program uses. Consul implements it over the HTTP API for keys and
// sessions that Consul publishes. Another store needs another implementation and no other change.
package store

import (
	"context"
	"time"
)

// Prefixes of the keys of the program.
const (
	// Prefix begins every key.
	Prefix = "coltsfootspur/"
	// WatchPrefix begins the small keys that entries watch: list of entries, leases and index of the documents. A watch
	// returns every key below its prefix at each change, so nothing large belongs there.
	WatchPrefix = Prefix + "watch/"
)

// MaxValue is the largest value in bytes that the store accepts.
const MaxValue = 1_000_000

// LeaseID names a lease. It is issued by the store.
type LeaseID string

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Version changes with every write of the key and is never 0. CompareAndSwap expects it.
	Version uint64
	// Lease is the lease that the key is bound to; empty for a key without one.
	Lease LeaseID
}

// Snapshot is the state of all keys below a prefix, sorted by key.
type Snapshot struct {
	Entries []Entry
	// Index is the position of the snapshot in the history of the store, never 0. It is lower than that of an earlier
	// snapshot when the store was restored from older data.
	Index uint64
}

// Store is the platform's key-value service. All methods can be called from several goroutines.
//
// Reads return ErrUnavailable when no answer came. Writes return ErrUnavailable only if they certainly had no effect,
// and ErrOutcomeUnknown if the answer is missing, so that the write may have taken effect or may still do so.
type Store interface {
	// Get returns one key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the keys below prefix. A prefix without keys is an empty snapshot.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// CompareAndSwap writes value if the version of the key is still the given one; version 0 means that the key must
	// not exist. Otherwise it returns ErrConflict. A value above MaxValue is ErrTooLarge.
	CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) error
	// CreateLease returns a new lease that ends when it was not renewed for ttl. The store may end it up to one
	// further ttl later.
	CreateLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// BindKey writes a key that is deleted when the lease ends. It returns ErrConflict while the key is bound to
	// another lease and ErrNotFound when the lease has ended. Repeating a call is harmless.
	BindKey(ctx context.Context, lease LeaseID, key string, value []byte) error
	// RenewLease extends the lease by its ttl. It returns ErrNotFound when the lease has ended.
	RenewLease(ctx context.Context, lease LeaseID) error
	// ReleaseLease ends the lease and deletes its keys. An ended lease is no error.
	ReleaseLease(ctx context.Context, lease LeaseID) error
	// Watch returns the keys below prefix as soon as their index differs from the given one, or after wait. Index 0
	// returns at once. The caller passes the index of the last snapshot, also when that was lower than the one before.
	Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (Snapshot, error)
}
