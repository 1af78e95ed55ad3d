package store

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/httpcall"
)

const (
	// DefaultCallTimeout bounds a call that does not wait. A call takes milliseconds, so a longer silence means that
	// the connection or the store is gone.
	DefaultCallTimeout = 2 * time.Second
	// maxWait is the longest wait that the published protocol allows for a blocking query.
	maxWait = 10 * time.Minute
	// jitterShare is the divisor of the random time that the server may add to the wait of a blocking query.
	jitterShare = 16
	// keepAliveIdle, keepAliveInterval and keepAliveCount let the system close a connection that went silent within 6 s.
	// A waiting watch has no other sign of that before its wait of about a minute is over.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdle is the number of connections kept open: one for the watch and a few for calls.
	maxIdle = 4
)

// Options configures the adapter.
type Options struct {
	// Address is the base URL of the store, for example http://10.0.0.1:8500.
	Address string
	// Token is sent as X-Consul-Token when it is not empty.
	Token string
	// CallTimeout is the longest wait for an answer; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
}

// Consul is a Store over Consul's HTTP API for keys and sessions.
type Consul struct {
	timeout time.Duration
	client  *httpcall.Client
	stats   *stats
}

// NewConsul returns an adapter. It makes no call. The error is ErrRejected for an address that is no http or https URL.
func NewConsul(options Options) (*Consul, error) {
	if options.CallTimeout <= 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	header := http.Header{}
	if options.Token != "" {
		header.Set("X-Consul-Token", options.Token)
	}
	client, err := httpcall.New(httpcall.Options{
		Base: options.Address, DialTimeout: options.CallTimeout, MaxReply: maxReply, MaxIdle: maxIdle, Header: header,
		KeepAlive: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	})
	if err != nil {
		return nil, eris.Wrapf(ErrRejected, "%v", err)
	}
	return &Consul{timeout: options.CallTimeout, client: client, stats: newStats()}, nil
}

// Vars returns the counters of calls and failed calls by kind, for publication with expvar.
func (c *Consul) Vars() expvar.Var { return c.stats.vars }

// Close closes idle connections.
func (c *Consul) Close() { c.client.Close() }

// pair is a key as the protocol transfers it. Value is base64 in JSON.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

func (p pair) entry() Entry {
	return Entry{Key: p.Key, Value: p.Value, Version: p.ModifyIndex, Lease: LeaseID(p.Session)}
}

// Get implements Store. It asks for a consistent read, because edits are decided by it.
func (c *Consul) Get(ctx context.Context, key string) (Entry, error) {
	r, err := c.read(ctx, kindGet, kvPath(key), url.Values{"consistent": {""}}, c.timeout)
	if err != nil {
		return Entry{}, err
	}
	snapshot, err := r.snapshot()
	if err != nil {
		return Entry{}, err
	}
	if len(snapshot.Entries) != 1 {
		return Entry{}, eris.Wrap(ErrNotFound, key)
	}
	return snapshot.Entries[0], nil
}

// List implements Store.
func (c *Consul) List(ctx context.Context, prefix string) (Snapshot, error) {
	r, err := c.read(ctx, kindList, kvPath(prefix), url.Values{"recurse": {""}, "consistent": {""}}, c.timeout)
	if err != nil {
		return Snapshot{}, err
	}
	return r.snapshot()
}

// Watch implements Store with a blocking query.
func (c *Consul) Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (Snapshot, error) {
	wait = min(wait, maxWait)
	query := url.Values{
		"recurse": {""},
		"index":   {strconv.FormatUint(index, 10)},
		"wait":    {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
	}
	r, err := c.read(ctx, kindWatch, kvPath(prefix), query, wait+wait/jitterShare+c.timeout)
	if err != nil {
		return Snapshot{}, err
	}
	return r.snapshot()
}

// CompareAndSwap implements Store.
func (c *Consul) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) error {
	if len(value) > MaxValue {
		return eris.Wrapf(ErrTooLarge, "%s has %d bytes", key, len(value))
	}
	query := url.Values{"cas": {strconv.FormatUint(version, 10)}}
	r, err := c.write(ctx, kindSwap, kvPath(key), query, value)
	if err != nil {
		return err
	}
	return r.accepted(key)
}

// sessionRequest creates a session that depends on its TTL alone and deletes its keys when it ends.
type sessionRequest struct {
	Name       string
	TTL        string
	Behavior   string
	LockDelay  string
	NodeChecks []string
}

// CreateLease implements Store with a session.
func (c *Consul) CreateLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	request := sessionRequest{
		Name: "coltsfootspur", TTL: strconv.FormatInt(ttl.Milliseconds(), 10) + "ms",
		Behavior: "delete", LockDelay: "0s", NodeChecks: []string{},
	}
	body, err := json.Marshal(request)
	if err != nil {
		return "", eris.Wrapf(ErrRejected, "session request: %v", err)
	}
	r, err := c.write(ctx, kindLeaseCreate, "/v1/session/create", nil, body)
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := json.Unmarshal(r.Body, &created); err != nil || created.ID == "" {
		return "", eris.Wrap(ErrOutcomeUnknown, "answer names no session")
	}
	return LeaseID(created.ID), nil
}

// BindKey implements Store by acquiring the key for the session.
func (c *Consul) BindKey(ctx context.Context, lease LeaseID, key string, value []byte) error {
	if len(value) > MaxValue {
		return eris.Wrapf(ErrTooLarge, "%s has %d bytes", key, len(value))
	}
	r, err := c.write(ctx, kindLeaseBind, kvPath(key), url.Values{"acquire": {string(lease)}}, value)
	if err != nil {
		return err
	}
	return r.accepted(key)
}

// RenewLease implements Store.
func (c *Consul) RenewLease(ctx context.Context, lease LeaseID) error {
	_, err := c.write(ctx, kindLeaseRenew, "/v1/session/renew/"+url.PathEscape(string(lease)), nil, nil)
	return err
}

// ReleaseLease implements Store.
func (c *Consul) ReleaseLease(ctx context.Context, lease LeaseID) error {
	_, err := c.write(ctx, kindLeaseRelease, "/v1/session/destroy/"+url.PathEscape(string(lease)), nil, nil)
	if eris.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// kvPath returns the escaped path of a key. Slashes separate the parts of a key and stay as they are.
func kvPath(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return "/v1/kv/" + strings.Join(parts, "/")
}
