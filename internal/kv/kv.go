// Package kv defines the interface of a key-value store with revisions, transactions, leases and watches over the history
// of changes. On top of it, Follow mirrors the keys below a prefix and Announcer registers the process under a key.
package kv

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Store.
var (
	// ErrUnavailable means that a read got no answer, or that a write certainly had no effect.
	ErrUnavailable = eris.New("store is not available")
	// ErrOutcomeUnknown means that a write got no usable answer: it may have taken effect or may still do so.
	ErrOutcomeUnknown = eris.New("outcome of a write to the store is unknown")
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = eris.New("not found in the store")
	// ErrConflict means that a condition of a transaction does not hold. Nothing was written.
	ErrConflict = eris.New("key does not have the expected revision")
	// ErrCompacted means that the store no longer has the history after the given revision.
	ErrCompacted = eris.New("history was compacted by the store")
	// ErrTooLarge means that an answer to a read is larger than the client accepts.
	ErrTooLarge = eris.New("answer of the store is too large")
	// ErrRejected means that the store does not accept the request itself.
	ErrRejected = eris.New("store rejected the request")
)

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of the last change
	Lease    int64  // the lease that the key is bound to; 0 for none
}

// Event is a change of a key. For a deletion, Deleted is set and Revision is that of the deletion.
type Event struct {
	Item
	Deleted bool
}

// Page is a part of the keys below a prefix, in ascending order.
type Page struct {
	Items    []Item
	More     bool   // there are keys after the last one of this page
	Revision uint64 // of the store when the page was read
}

// Condition is the revision that a key must have for a transaction to be carried out; 0 means that it must not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a key. A key with a lease is deleted when the lease ends; Lease 0 binds it to none.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is an atomic transaction: the writes and deletions are carried out together if all conditions hold, or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Store is a key-value store. All methods are safe for concurrent use. Reads return ErrUnavailable without an answer. Writes
// return ErrUnavailable only if they certainly had no effect, and otherwise ErrOutcomeUnknown.
type Store interface {
	// Get returns a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns one page of the keys below prefix that sort after the key after. An empty after returns the first page.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes below prefix after the given revision as soon as there is one, or no events once wait is
	// over, and the revision to continue from. It returns ErrCompacted when the store no longer has that history, and
	// ErrTooLarge when the changes do not fit into one answer.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Do carries out a transaction and returns its revision. It returns ErrConflict when a condition does not hold and
	// ErrNotFound when a lease of a Put has ended.
	Do(ctx context.Context, txn Txn) (uint64, error)
	// CreateLease returns the id of a new lease, which ends when it is not renewed for ttl.
	CreateLease(ctx context.Context, ttl time.Duration) (int64, error)
	// RenewLease extends the lease by its ttl. It returns ErrNotFound when it has ended.
	RenewLease(ctx context.Context, lease int64) error
	// EndLease ends the lease and deletes its keys.
	EndLease(ctx context.Context, lease int64) error
}
