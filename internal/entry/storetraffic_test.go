package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Size of the deployment for which the traffic to the store is bounded.
const (
	targetServices    = 120
	targetEntries     = 12
	targetRecordBytes = 14_000
	// maxEditBytes is the maximum number of bytes that one entry may exchange with the store for one edit. At 2,100 edits a
	// day it amounts to about 1.5 KB/s.
	maxEditBytes = 60_000
)

// countingProxy forwards connections to the store and counts their bytes in both directions.
type countingProxy struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func newCountingProxy(t *testing.T, url string) *countingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	c := &countingProxy{listener: listener, target: strings.TrimPrefix(url, "http://")}
	t.Cleanup(func() { _ = listener.Close() })
	go c.accept()
	return c
}

func (c *countingProxy) accept() {
	for {
		client, err := c.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", c.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		go c.copyConn(client, server)
		go c.copyConn(server, client)
	}
}

func (c *countingProxy) copyConn(to, from net.Conn) {
	_, _ = io.Copy(io.MultiWriter(to, c), from)
	_ = to.Close()
	_ = from.Close()
}

// Write implements io.Writer.
func (c *countingProxy) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}

// countBytes returns the number of bytes transferred while f runs.
func (c *countingProxy) countBytes(f func()) int64 {
	before := c.bytes.Load()
	f()
	return c.bytes.Load() - before
}

// writeTargetDeployment writes the records, the index, the list and the leases of the target deployment.
func (h *storeHarness) writeTargetDeployment() {
	index := document.Index{}
	for i := range targetServices {
		service := fmt.Sprintf("service-with-a-name-%03d", i)
		record := h.targetRecord(service)
		value, err := json.Marshal(record)
		h.Expect(err).NotTo(gomega.HaveOccurred())
		h.Expect(len(value)).To(gomega.BeNumerically("~", targetRecordBytes, targetRecordBytes/20))
		h.Expect(h.store.CompareAndSwap(h.t.Context(), document.Key(service), value, 0)).To(gomega.Succeed())
		index[service] = record.Document(service).Position()
	}
	h.Expect(document.AdvanceIndex(h.t.Context(), h.store, clock.System{}, index)).To(gomega.Succeed())
	h.writeTargetList()
}

// targetRecord returns a record with a full history.
func (h *storeHarness) targetRecord(service string) document.Record {
	edit := edit(service, 0)
	body := string(edit.Body) + "# " + strings.Repeat("x", 475) + "\n"
	editedAt := time.Unix(1_700_000_000, 0).UTC()
	const revision = 100
	record := document.Record{Revision: revision, EditID: fmt.Sprintf("0f1e2d3c-4b5a-6978-8796-%012d", revision), Author: "ada", EditedAt: editedAt, Body: body}
	for i := uint64(1); i <= document.MaxHistory; i++ {
		id := fmt.Sprintf("0f1e2d3c-4b5a-6978-8796-%012d", revision-i)
		record.History = append(record.History, document.PastRevision{Revision: revision - i, EditID: id, Author: "ada", EditedAt: editedAt, Body: body})
	}
	return record
}

// writeTargetList writes a list whose other members hold leases but do not run. The entry under test has the highest id, so
// that it dials none of them.
func (h *storeHarness) writeTargetList() {
	list := &wire.EntryList{}
	lease, err := h.store.CreateLease(h.t.Context(), time.Hour)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range targetEntries - 1 {
		m := wire.Member{
			ID: fmt.Sprintf("entry-%02d", i), Incarnation: 1<<63 + uint64(i), Address: fmt.Sprintf("10.20.30.%d:8081", i),
			DataCentre: "data-centre-1", Region: "region-1",
		}
		list, err = placement.Add(list, m, time.Now())
		h.Expect(err).NotTo(gomega.HaveOccurred())
		value, err := json.Marshal(m.Incarnation)
		h.Expect(err).NotTo(gomega.HaveOccurred())
		h.Expect(h.store.BindKey(h.t.Context(), lease, leaseKey(m), value)).To(gomega.Succeed())
	}
	value, err := json.Marshal(list)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	h.Expect(h.store.CompareAndSwap(h.t.Context(), listKey, value, 0)).To(gomega.Succeed())
}

// Guards against an edit of one service that makes every entry read the records of all services.
func TestBytesOfOneEditAtTheTarget(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	h.writeTargetDeployment()
	counter := newCountingProxy(t, h.server.URL())
	store, err := store.NewConsul(store.Options{Address: "http://" + counter.listener.Addr().String()})
	h.Expect(err).NotTo(gomega.HaveOccurred())
	n := h.add("entry-99", func(o *Options) { o.LeaseTTL = time.Minute })
	n.store.Store = store
	h.run(n)
	const edits = 5
	service := "service-with-a-name-007"
	h.waitUntilInForce(service, 100, waitLimit, n)
	h.Eventually(func() bool {
		inSync := false
		n.runOnControl(func(c *control) { inSync = c.isInSync(c.snapshot) && len(c.list.Members) == targetEntries })
		return inSync
	}, waitLimit, poll).Should(gomega.BeTrue())
	gets, lists := n.store.recordGets.Load(), n.store.listCalls.Load()
	bytes := counter.countBytes(func() {
		for i := range uint64(edits) {
			h.put(service, 100+i)
			h.waitUntilInForce(service, 101+i, waitLimit, n)
		}
	})
	t.Logf("bytes per edit: %d", bytes/edits)
	h.Expect(bytes / edits).To(gomega.BeNumerically("<", maxEditBytes))
	h.Expect(n.store.recordGets.Load() - gets).To(gomega.BeEquivalentTo(edits))
	h.Expect(n.store.listCalls.Load() - lists).To(gomega.BeZero())
}

// Guards against calls to the store that are missing in the metrics of the entry.
func TestCallsToTheStoreAreInTheMetrics(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	n := h.add("a", func(o *Options) { o.Store = h.store })
	h.run(n)
	h.waitUntilInSync()
	type calls struct{ Calls, Failed map[string]int }
	counted := func(g gomega.Gomega) calls {
		var c calls
		g.Expect(json.Unmarshal([]byte(n.control.metrics.vars.Get("store").String()), &c)).To(gomega.Succeed())
		return c
	}
	// The lease is bound concurrently with the other calls, possibly after the entry is in sync.
	h.Eventually(func(g gomega.Gomega) {
		for _, kind := range []string{"watch", "list", "get", "compare_and_swap", "lease_create", "lease_bind"} {
			g.Expect(counted(g).Calls).To(gomega.HaveKey(kind))
		}
	}, waitLimit, poll).Should(gomega.Succeed())
	h.Expect(counted(h.WithT).Failed).To(gomega.BeEmpty())
}
