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

// The target deployment.
const (
	targetServices = 120
	targetEntries  = 12
	targetRecord   = 14_000
	// maxEditBytes is the most that one entry may spend on one edit. At 2,100 edits a day it makes about 1.5 KB/s.
	maxEditBytes = 60_000
)

// byteCounter passes connections to the store on and counts their bytes in both directions.
type byteCounter struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func newByteCounter(t *testing.T, url string) *byteCounter {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	c := &byteCounter{listener: listener, target: strings.TrimPrefix(url, "http://")}
	t.Cleanup(func() { _ = listener.Close() })
	go c.accept()
	return c
}

func (c *byteCounter) accept() {
	for {
		near, err := c.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", c.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		go c.pass(near, far)
		go c.pass(far, near)
	}
}

func (c *byteCounter) pass(to, from net.Conn) {
	_, _ = io.Copy(io.MultiWriter(to, c), from)
	_ = to.Close()
	_ = from.Close()
}

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}

// during returns the bytes that are counted while f runs.
func (c *byteCounter) during(f func()) int64 {
	before := c.bytes.Load()
	f()
	return c.bytes.Load() - before
}

// fillTarget writes the records, the index, the list and the leases of the target deployment.
func (b *storeBench) fillTarget() {
	index := document.Index{}
	for i := range targetServices {
		service := fmt.Sprintf("service-with-a-name-%03d", i)
		record := b.targetRecord(service)
		value, err := json.Marshal(record)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(len(value)).To(gomega.BeNumerically("~", targetRecord, targetRecord/20))
		b.Expect(b.store.CompareAndSwap(b.t.Context(), document.Key(service), value, 0)).To(gomega.Succeed())
		index[service] = record.Document(service).Position()
	}
	b.Expect(document.RaiseIndex(b.t.Context(), b.store, clock.System{}, index)).To(gomega.Succeed())
	b.fillList()
}

// targetRecord returns a record with a full history.
func (b *storeBench) targetRecord(service string) document.Record {
	edit := edit(service, 0)
	body := string(edit.Body) + "# " + strings.Repeat("x", 475) + "\n"
	at := time.Unix(1_700_000_000, 0).UTC()
	const revision = 100
	record := document.Record{Revision: revision, EditID: fmt.Sprintf("0f1e2d3c-4b5a-6978-8796-%012d", revision), Author: "ada", At: at, Body: body}
	for i := uint64(1); i <= document.MaxHistory; i++ {
		id := fmt.Sprintf("0f1e2d3c-4b5a-6978-8796-%012d", revision-i)
		record.History = append(record.History, document.Past{Revision: revision - i, EditID: id, Author: "ada", At: at, Body: body})
	}
	return record
}

// fillList writes a list whose other members hold leases but do not run. The entry under test is the last by name, so
// that it dials nobody.
func (b *storeBench) fillList() {
	list := &wire.EntryList{}
	lease, err := b.store.CreateLease(b.t.Context(), time.Hour)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range targetEntries - 1 {
		m := wire.Member{
			ID: fmt.Sprintf("entry-%02d", i), Incarnation: 1<<63 + uint64(i), Address: fmt.Sprintf("10.20.30.%d:8081", i),
			DataCentre: "data-centre-1", Region: "region-1",
		}
		list, err = placement.Add(list, m, time.Now())
		b.Expect(err).NotTo(gomega.HaveOccurred())
		value, err := json.Marshal(m.Incarnation)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(b.store.BindKey(b.t.Context(), lease, leaseKey(m), value)).To(gomega.Succeed())
	}
	value, err := json.Marshal(list)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	b.Expect(b.store.CompareAndSwap(b.t.Context(), listKey, value, 0)).To(gomega.Succeed())
}

// Guards against an edit of one service that makes every entry read the records of all services.
func TestBytesOfOneEditAtTheTarget(t *testing.T) {
	t.Parallel()
	b := newStoreBench(t)
	b.fillTarget()
	counter := newByteCounter(t, b.server.URL())
	store, err := store.NewConsul(store.Options{Address: "http://" + counter.listener.Addr().String()})
	b.Expect(err).NotTo(gomega.HaveOccurred())
	n := b.add("entry-99", func(o *Options) { o.LeaseTTL = time.Minute })
	n.store.Store = store
	b.run(n)
	const edits = 5
	service := "service-with-a-name-007"
	b.inForce(service, 100, waitLimit, n)
	b.Eventually(func() bool {
		settled := false
		n.in(func(c *control) { settled = c.isSettled(c.seen) && len(c.list.Members) == targetEntries })
		return settled
	}, waitLimit, poll).Should(gomega.BeTrue())
	gets, lists := n.store.gets.Load(), n.store.lists.Load()
	bytes := counter.during(func() {
		for i := range uint64(edits) {
			b.put(service, 100+i)
			b.inForce(service, 101+i, waitLimit, n)
		}
	})
	t.Logf("bytes per edit: %d", bytes/edits)
	b.Expect(bytes / edits).To(gomega.BeNumerically("<", maxEditBytes))
	b.Expect(n.store.gets.Load() - gets).To(gomega.BeEquivalentTo(edits))
	b.Expect(n.store.lists.Load() - lists).To(gomega.BeZero())
}

// Guards against calls to the store that do not show in the metrics of the entry.
func TestCallsToTheStoreAreInTheMetrics(t *testing.T) {
	t.Parallel()
	b := newStoreBench(t)
	n := b.add("a", func(o *Options) { o.Store = b.store })
	b.run(n)
	b.settled()
	type calls struct{ Calls, Failed map[string]int }
	counted := func(g gomega.Gomega) calls {
		var c calls
		g.Expect(json.Unmarshal([]byte(n.control.metrics.vars.Get("store").String()), &c)).To(gomega.Succeed())
		return c
	}
	// The lease is bound besides the other calls, so it can come after the entry is settled.
	b.Eventually(func(g gomega.Gomega) {
		for _, kind := range []string{"watch", "list", "get", "compare_and_swap", "lease_create", "lease_bind"} {
			g.Expect(counted(g).Calls).To(gomega.HaveKey(kind))
		}
	}, waitLimit, poll).Should(gomega.Succeed())
	b.Expect(counted(b.WithT).Failed).To(gomega.BeEmpty())
}
