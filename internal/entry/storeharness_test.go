package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/consul"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Times of the tests, shorter than the defaults.
const (
	testLeaseTTL       = 2 * time.Second
	testExpulsionDelay = time.Second
	// inForceWithin is the bound within which an accepted document is in force everywhere.
	inForceWithin = 4 * time.Second
	// waitLimit bounds waits whose duration is not under test.
	waitLimit = 15 * time.Second
	poll      = 10 * time.Millisecond
	testToken = "link"
)

// storeHarness runs a stand-in store and a number of entries in the test process.
type storeHarness struct {
	*gomega.WithT
	t       *testing.T
	server  *consul.Server
	store   *store.Consul
	editor  *document.Editor
	network *network
	nodes   []*node
}

func newStoreHarness(t *testing.T) *storeHarness {
	g := gomega.NewWithT(t)
	server, err := consul.Start("127.0.0.1:0", consul.Options{MinTTL: testLeaseTTL})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(server.Close)
	store, err := store.NewConsul(store.Options{Address: server.URL()})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	return &storeHarness{
		WithT: g, t: t, server: server, store: store, editor: document.NewEditor(store, clock.System{}),
		network: newNetwork(),
	}
}

// node is an entry whose connections a test can cut.
type node struct {
	*Entry
	store *cuttableStore
}

// add creates an entry that is not running yet.
func (h *storeHarness) add(id string, change func(o *Options)) *node {
	store, err := store.NewConsul(store.Options{Address: h.server.URL()})
	h.Expect(err).NotTo(gomega.HaveOccurred())
	h.t.Cleanup(store.Close)
	n := &node{store: &cuttableStore{Store: store}}
	dialer := &testDialer{network: h.network}
	options := Options{
		ID: id, CallerAddress: "127.0.0.1:0", LinkAddress: "127.0.0.1:0", LeaseTTL: testLeaseTTL,
		ExpulsionDelay: testExpulsionDelay, ReadinessDelay: -1, StopTimeout: time.Second, Store: n.store,
		Dialer: dialer, LinkToken: testToken, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
	if change != nil {
		change(&options)
	}
	n.Entry, err = New(options)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	dialer.self = n.LinkAddress()
	h.nodes = append(h.nodes, n)
	return n
}

// run runs an entry until the end of the test.
func (h *storeHarness) run(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.Run(ctx)
	}()
	h.t.Cleanup(func() {
		cancel()
		n.store.restore()
		<-ended
	})
}

// start starts entries and waits until all of them are in sync.
func (h *storeHarness) start(ids ...string) []*node {
	var started []*node
	for _, id := range ids {
		started = append(started, h.add(id, nil))
	}
	for _, n := range started {
		h.run(n)
	}
	h.waitUntilInSync()
	return started
}

// waitUntilInSync waits until all entries agree with the store, hold their leases and are linked with each other.
func (h *storeHarness) waitUntilInSync() {
	h.t.Helper()
	h.Eventually(func() bool {
		for _, n := range h.nodes {
			if !n.isInSync(len(h.nodes)) {
				return false
			}
		}
		return true
	}, waitLimit, poll).Should(gomega.BeTrue())
}

func (n *node) isInSync(members int) bool {
	inSync := false
	n.runOnControl(func(c *control) {
		linked := 0
		for _, p := range c.peers {
			if p.link != nil {
				linked++
			}
		}
		inSync = c.isInSync(c.snapshot) && c.records.loaded && len(c.list.Members) == members && linked == members-1
	})
	return inSync
}

// runOnControl runs f in the control goroutine of a running entry.
func (n *node) runOnControl(f func(c *control)) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if err := n.call(ctx, f); err != nil {
		panic(err)
	}
}

func (n *node) list() (list wire.EntryList) {
	n.runOnControl(func(c *control) { list = c.list })
	return list
}

// revision returns the revision of a service that is in force.
func (n *node) revision(service string) (revision uint64) {
	n.runOnControl(func(c *control) {
		if s := c.services[service]; s != nil {
			revision = s.revision
		}
	})
	return revision
}

// isolate cuts the links of the entry permanently.
func (n *node) isolate() { d := n.options.Dialer.(*testDialer); d.network.isolate(d.self) }

// put writes a revision of a service and returns it.
func (h *storeHarness) put(service string, expectedRevision uint64) document.Document {
	h.t.Helper()
	d, err := h.editor.Put(h.t.Context(), edit(service, expectedRevision))
	h.Expect(err).NotTo(gomega.HaveOccurred())
	return d
}

func edit(service string, expectedRevision uint64) document.Edit {
	body := fmt.Sprintf("service: %s\nteam: t\nkinds: [{name: k}]\n# %d\n", service, expectedRevision)
	return document.Edit{Service: service, ExpectedRevision: expectedRevision, Author: "ada", Body: []byte(body)}
}

// waitUntilInForce waits until the revision is in force at all given entries.
func (h *storeHarness) waitUntilInForce(service string, revision uint64, within time.Duration, nodes ...*node) {
	h.t.Helper()
	for _, n := range nodes {
		h.Eventually(func() uint64 { return n.revision(service) }, within, poll).Should(gomega.Equal(revision), n.options.ID)
	}
}

// index returns the index in the store.
func (h *storeHarness) index() document.Index {
	entry, err := h.store.Get(context.Background(), document.IndexKey)
	if err != nil {
		return nil
	}
	index, err := document.DecodeIndex(entry.Value)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	return index
}

// leases returns the keys of the leases in the store.
func (h *storeHarness) leases() []string {
	result, err := h.store.List(context.Background(), leasePrefix)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	var keys []string
	for _, entry := range result.Entries {
		keys = append(keys, entry.Key)
	}
	return keys
}

// remove deletes a key of the store.
func (h *storeHarness) remove(key string) {
	request, err := http.NewRequest(http.MethodDelete, h.server.URL()+"/v1/kv/"+key, nil)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	h.Expect(response.Body.Close()).To(gomega.Succeed())
}

// cuttableStore is the connection of one entry to the store. While it is cut, calls fail at once.
type cuttableStore struct {
	store.Store
	mu          sync.Mutex
	isCut       bool
	cancelCalls []context.CancelFunc
	// listCalls counts the reads of all records, recordGets those of one record.
	listCalls, recordGets atomic.Int64
	// watchGate holds back the watches that begin while a test has locked it.
	watchGate sync.RWMutex
}

func (s *cuttableStore) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCut = true
	for _, cancel := range s.cancelCalls {
		cancel()
	}
	s.cancelCalls = nil
}

func (s *cuttableStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCut = false
}

func (s *cuttableStore) do(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	if s.isCut {
		s.mu.Unlock()
		return store.ErrUnavailable
	}
	s.cancelCalls = append(s.cancelCalls, cancel)
	s.mu.Unlock()
	return call(ctx)
}

func (s *cuttableStore) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = s.do(ctx, func(ctx context.Context) (err error) {
		if strings.HasPrefix(key, document.Prefix) {
			s.recordGets.Add(1)
		}
		entry, err = s.Store.Get(ctx, key)
		return err
	})
	return entry, err
}

func (s *cuttableStore) List(ctx context.Context, prefix string) (result store.Snapshot, err error) {
	err = s.do(ctx, func(ctx context.Context) (err error) {
		s.listCalls.Add(1)
		result, err = s.Store.List(ctx, prefix)
		return err
	})
	return result, err
}

func (s *cuttableStore) awaitGate() {
	s.watchGate.RLock()
	defer s.watchGate.RUnlock()
}

func (s *cuttableStore) Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (result store.Snapshot, err error) {
	s.awaitGate()
	err = s.do(ctx, func(ctx context.Context) (err error) {
		result, err = s.Store.Watch(ctx, prefix, index, wait)
		return err
	})
	return result, err
}

func (s *cuttableStore) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64) error {
	return s.do(ctx, func(ctx context.Context) error { return s.Store.CompareAndSwap(ctx, key, value, version) })
}

func (s *cuttableStore) CreateLease(ctx context.Context, ttl time.Duration) (id store.LeaseID, err error) {
	err = s.do(ctx, func(ctx context.Context) (err error) { id, err = s.Store.CreateLease(ctx, ttl); return err })
	return id, err
}

func (s *cuttableStore) BindKey(ctx context.Context, lease store.LeaseID, key string, value []byte) error {
	return s.do(ctx, func(ctx context.Context) error { return s.Store.BindKey(ctx, lease, key, value) })
}

func (s *cuttableStore) RenewLease(ctx context.Context, lease store.LeaseID) error {
	return s.do(ctx, func(ctx context.Context) error { return s.Store.RenewLease(ctx, lease) })
}

// network lets a test cut the links of an entry.
type network struct {
	mu       sync.Mutex
	isolated map[string]bool
	// refusing has the isolated addresses whose host refuses connections; the hosts of other isolated addresses do not
	// answer.
	refusing map[string]bool
	conns    []testConn
}

type testConn struct {
	link.Conn
	from, to string
}

func newNetwork() *network {
	return &network{isolated: make(map[string]bool), refusing: make(map[string]bool)}
}

// isolate closes the links of an entry and prevents new ones.
func (n *network) isolate(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = true
	for _, c := range n.conns {
		if c.from == address || c.to == address {
			_ = c.Close()
		}
	}
}

// refuse isolates an entry and makes its host refuse connections.
func (n *network) refuse(address string) {
	n.isolate(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing[address] = true
}

// testDialer dials for the entry with the link address self.
type testDialer struct {
	network *network
	self    string
}

// Probe implements link.Prober.
func (d *testDialer) Probe(_ context.Context, address string) error {
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	switch {
	case d.network.refusing[address]:
		return link.ErrConnectionRefused
	case d.network.isolated[d.self] || d.network.isolated[address]:
		return link.ErrDial
	}
	return nil
}

func (d *testDialer) Dial(ctx context.Context, address string) (link.Conn, error) {
	d.network.mu.Lock()
	cut := d.network.isolated[d.self] || d.network.isolated[address]
	d.network.mu.Unlock()
	if cut {
		return nil, link.ErrDial
	}
	conn, err := link.WebSocketDialer{Token: testToken}.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	if d.network.isolated[d.self] || d.network.isolated[address] {
		_ = conn.Close()
		return nil, link.ErrDial
	}
	c := testConn{Conn: conn, from: d.self, to: address}
	d.network.conns = append(d.network.conns, c)
	return c, nil
}
