package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
)

// AnnounceOptions configures an Announcer.
type AnnounceOptions struct {
	Store Store
	Key   string
	Value []byte
	// TTL is the TTL of the lease that the key is bound to. The store deletes the key when the lease is not renewed in time.
	TTL time.Duration
	Log log.Interface
}

// Announcer keeps a key in the store while the process runs. The key is bound to a lease, so that it also disappears after a
// crash.
type Announcer struct {
	options    AnnounceOptions
	lease      int64
	keyWritten bool
	keyMissing chan struct{}
	retryDelay time.Duration
}

// NewAnnouncer returns an announcer. It makes no call to the store; Run does.
func NewAnnouncer(o AnnounceOptions) *Announcer {
	return &Announcer{options: o, keyMissing: make(chan struct{}, 1), retryDelay: minRetryDelay}
}

// ReportPresence records whether a reader of the store finds the key. Run writes a missing key again, because a
// store can lose a key whose lease is still valid.
func (a *Announcer) ReportPresence(present bool) {
	if present {
		return
	}
	select {
	case a.keyMissing <- struct{}{}:
	default:
	}
}

// renewalsPerTTL is the number of renewals within one TTL. Two renewals in a row may fail before the lease expires.
const renewalsPerTTL = 3

// Run writes the key and renews its lease until ctx ends. Then it ends the lease, which deletes the key. Failed calls are
// retried with backoff.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := a.ensureAnnounced(ctx); err != nil {
			a.options.Log.WithFields(log.Fields{"key": a.options.Key, "error": err.Error()}).
				Debug("store: announcing the process failed, retrying")
			sleep(ctx, a.retryDelay/2+rand.N(a.retryDelay))
			a.retryDelay = min(2*a.retryDelay, maxRetryDelay)
			continue
		}
		a.retryDelay = minRetryDelay
		a.waitForRenewal(ctx)
	}
	a.withdraw()
}

// waitForRenewal returns when the lease is due for renewal, when the key was reported missing or when ctx ends.
func (a *Announcer) waitForRenewal(ctx context.Context) {
	timer := time.NewTimer(a.options.TTL / renewalsPerTTL)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.keyMissing:
		if a.keyWritten {
			a.options.Log.WithField("key", a.options.Key).Warn("store: the key of this process is missing, writing it again")
		}
		a.keyWritten = false
	}
}

// ensureAnnounced renews the lease, or creates one if there is none and writes the key.
func (a *Announcer) ensureAnnounced(ctx context.Context) error {
	if a.lease != 0 && a.keyWritten {
		err := a.options.Store.RenewLease(ctx, a.lease)
		if !errors.Is(err, ErrNotFound) {
			return err
		}
		a.options.Log.WithField("key", a.options.Key).Warn("store: the lease of this process has expired, creating a new one")
		a.lease, a.keyWritten = 0, false
	}
	if a.lease == 0 {
		lease, err := a.options.Store.CreateLease(ctx, a.options.TTL)
		if err != nil {
			return err
		}
		a.lease = lease
	}
	_, err := a.options.Store.Do(ctx, Txn{Puts: []Put{{Key: a.options.Key, Value: a.options.Value, Lease: a.lease}}})
	if errors.Is(err, ErrNotFound) {
		a.lease = 0
	}
	if err == nil {
		a.keyWritten = true
		select { // a pending report of a missing key is older than this write
		case <-a.keyMissing:
		default:
		}
		a.options.Log.WithField("key", a.options.Key).Info("store: process announced")
	}
	return err
}

// withdrawTimeout bounds the call that ends the lease when the process stops.
const withdrawTimeout = 300 * time.Millisecond

// withdraw ends the lease, which deletes the key. If the call fails, the key stays until the lease expires.
func (a *Announcer) withdraw() {
	if a.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := a.options.Store.EndLease(ctx, a.lease); err != nil {
		a.options.Log.WithField("error", err.Error()).
			Info("store: ending the lease failed, the key of this process stays until the lease expires")
	}
}
