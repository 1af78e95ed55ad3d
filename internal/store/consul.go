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
	// DefaultCallTimeout bounds a call that is not a blocking query. A call takes milliseconds, so no answer within this
	// time means that the connection is dead or the store is down.
	DefaultCallTimeout = 2 * time.Second
	// maxWait is the longest wait that the published protocol allows for a blocking query.
	maxWait = 10 * time.Minute
	// waitJitterDivisor gives the random time that the server may add to the wait of a blocking query: up to wait/16.
	waitJitterDivisor = 16
	// keepAliveIdle, keepAliveInterval and keepAliveCount make the operating system close a dead connection within 6 s.
	// Without them, a blocking query on a dead connection would be noticed only when its wait of about a minute is over.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdleConns is the number of idle connections kept open: one for the watch and a few for other calls.
	maxIdleConns = 4
)

// Options configures a Consul client.
type Options struct {
	// Address is the base URL of the store, for example http://10.0.0.1:8500.
	Address string
	// Token is sent in the header X-Consul-Token unless it is empty.
	Token string
	// CallTimeout is the timeout of a call, in addition to the wait of a blocking query; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
}

// Consul implements Store over Consul's HTTP API for keys and sessions.
type Consul struct {
	timeout time.Duration
	client  *httpcall.Client
	stats   *stats
}

// NewConsul returns a client. It makes no call. It returns ErrRejected for an address that is not an http or https URL.
func NewConsul(options Options) (*Consul, error) {
	if options.CallTimeout <= 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	header := http.Header{}
	if options.Token != "" {
		header.Set("X-Consul-Token", options.Token)
	}
	client, err := httpcall.New(httpcall.Options{
		BaseURL: options.Address, DialTimeout: options.CallTimeout, MaxReplyBytes: maxReplyBytes, MaxIdleConns: maxIdleConns, Header: header,
		KeepAlive: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	})
	if err != nil {
		return nil, eris.Wrapf(ErrRejected, "%v", err)
	}
	return &Consul{timeout: options.CallTimeout, client: client, stats: newStats()}, nil
}

// Vars returns the counters of calls and failed calls by kind, to be published with expvar.
func (c *Consul) Vars() expvar.Var { return c.stats.vars }

// Close closes idle connections.
func (c *Consul) Close() { c.client.Close() }

// kvPair is a key in the JSON form of the protocol. Value is encoded as base64.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

func (p kvPair) entry() Entry {
	return Entry{Key: p.Key, Value: p.Value, Version: p.ModifyIndex, Lease: LeaseID(p.Session)}
}

// Get implements Store. It requests a consistent read, because edits of documents depend on the value.
func (c *Consul) Get(ctx context.Context, key string) (Entry, error) {
	r, err := c.read(ctx, kindGet, kvPath(key), url.Values{"consistent": {""}}, c.timeout)
	if err != nil {
		return Entry{}, err
	}
	snapshot, err := r.decodeSnapshot()
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
	return r.decodeSnapshot()
}

// Watch implements Store with a blocking query.
func (c *Consul) Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (Snapshot, error) {
	wait = min(wait, maxWait)
	query := url.Values{
		"recurse": {""},
		"index":   {strconv.FormatUint(index, 10)},
		"wait":    {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
	}
	r, err := c.read(ctx, kindWatch, kvPath(prefix), query, wait+wait/waitJitterDivisor+c.timeout)
	if err != nil {
		return Snapshot{}, err
	}
	return r.decodeSnapshot()
}

// CompareAndSwap implements Store.
func (c *Consul) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) error {
	if len(value) > MaxValue {
		return eris.Wrapf(ErrTooLarge, "value of %s has %d bytes", key, len(value))
	}
	query := url.Values{"cas": {strconv.FormatUint(version, 10)}}
	r, err := c.write(ctx, kindCompareAndSwap, kvPath(key), query, value)
	if err != nil {
		return err
	}
	return r.writeOutcome(key)
}

// sessionRequest is the body of a request for a session. The session ends by its TTL alone, without node checks, and its
// keys are deleted when it ends.
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
		return "", eris.Wrap(ErrOutcomeUnknown, "response contains no session ID")
	}
	return LeaseID(created.ID), nil
}

// BindKey implements Store by acquiring the key for the session.
func (c *Consul) BindKey(ctx context.Context, lease LeaseID, key string, value []byte) error {
	if len(value) > MaxValue {
		return eris.Wrapf(ErrTooLarge, "value of %s has %d bytes", key, len(value))
	}
	r, err := c.write(ctx, kindLeaseBind, kvPath(key), url.Values{"acquire": {string(lease)}}, value)
	if err != nil {
		return err
	}
	return r.writeOutcome(key)
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

// kvPath returns the escaped URL path of a key. Slashes separate the parts of a key and are not escaped.
func kvPath(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return "/v1/kv/" + strings.Join(parts, "/")
}
