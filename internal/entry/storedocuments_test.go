package entry

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/consul"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// revisions returns the revision of each record in the store.
func (h *storeHarness) revisions() map[string]uint64 {
	result, err := h.store.List(h.t.Context(), document.Prefix)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	registry := document.NewRegistry()
	registry.ApplySnapshot(result.Entries)
	return registry.Revisions()
}

// Guards against entries that get documents only from the store. An entry that cannot reach it has to get an accepted
// document through its links within the bound.
func TestCutOffEntriesGetDocumentsThroughTheLinks(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	nodes := h.start("a", "b", "c")
	for _, n := range nodes[1:] {
		n.store.cut()
	}
	d := h.put("bench", 0)
	h.waitUntilInForce("bench", d.Revision, inForceWithin, nodes...)
}

// Guards against a store that keeps older data after its restore, and against entries that go back to these data.
func TestRestoredStoreIsRepaired(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"older", "empty"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newStoreHarness(t)
			h.start("a", "b")
			h.put("bench", 0)
			if name == "older" {
				h.server.Snapshot()
			}
			h.put("bench", 1)
			h.put("later", 0)
			h.start("c")
			h.waitUntilInForce("bench", 2, inForceWithin, h.nodes...)
			h.waitUntilInForce("later", 1, inForceWithin, h.nodes...)
			before, index := h.nodes[0].list(), h.index()
			h.server.Restore()
			h.Eventually(h.index, waitLimit, poll).Should(gomega.Equal(index))
			h.Expect(h.revisions()).To(gomega.Equal(map[string]uint64{"bench": 2, "later": 1}))
			h.waitUntilInSync()
			for _, n := range h.nodes {
				h.Expect(n.list()).To(gomega.Equal(before))
				h.Expect([]uint64{n.revision("bench"), n.revision("later")}).To(gomega.Equal([]uint64{2, 1}))
			}
		})
	}
}

// Guards against a restored store that no entry notices: a watch that begins after the store was restored waits for an index above
// that of the data before, and no change comes. It was seen when the store was restored just after a change.
func TestRestoreBetweenWatchesIsNoticed(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	nodes := h.start("a", "b")
	h.put("bench", 0)
	h.waitUntilInForce("bench", 1, inForceWithin, nodes...)
	h.server.Snapshot()
	for _, n := range nodes {
		n.store.watchGate.Lock()
	}
	h.put("bench", 1)
	h.waitUntilInForce("bench", 2, inForceWithin, nodes...)
	index := h.index()
	h.server.Restore()
	for _, n := range nodes {
		n.store.watchGate.Unlock()
	}
	h.Eventually(h.index, waitLimit, poll).Should(gomega.Equal(index))
}

// Guards against an edit that stays unknown because its editor died before it advanced the index, against the loss of a
// single record, and against a check by every entry, or by none when some cannot reach the store.
func TestFullCheckByOneEntryAtATime(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	nodes := h.start("a", "b", "c")
	h.put("other", 0)
	h.waitUntilInForce("other", 1, inForceWithin, nodes...)
	const interval = time.Second
	for i, lost := range nodes[:2] {
		for _, n := range nodes {
			n.runOnControl(func(c *control) {
				c.records.checkInterval = interval
				c.scheduleRecordCheck(c.records.checkInterval)
			})
		}
		service := []string{"first", "second"}[i]
		h.remove(document.Key("other"))
		h.writeRecord(service)
		before, began := h.fullReads(nodes), time.Now()
		h.waitUntilInForce(service, 1, waitLimit, nodes...)
		h.Eventually(h.index, waitLimit, poll).Should(gomega.HaveKey(service))
		h.Eventually(h.revisions, waitLimit, poll).Should(gomega.HaveKey("other"))
		turns := int64(time.Since(began)/interval) + 2 // the turns in progress at both ends of the measurement count as well
		h.Expect(h.fullReads(nodes) - before).To(gomega.BeNumerically("<=", turns))
		lost.store.cut()
		h.Eventually(h.leases, waitLimit, poll).Should(gomega.HaveLen(len(nodes) - 1 - i))
	}
}

// fullReads returns how often all records have been read.
func (h *storeHarness) fullReads(nodes []*node) int64 {
	var reads int64
	for _, n := range nodes {
		reads += n.store.listCalls.Load()
	}
	return reads
}

// writeRecord writes a first revision without advancing the index.
func (h *storeHarness) writeRecord(service string) {
	e := edit(service, 0)
	value, err := json.Marshal(document.Record{Revision: 1, EditID: "x", Author: e.Author, Body: string(e.Body)})
	h.Expect(err).NotTo(gomega.HaveOccurred())
	h.Expect(h.store.CompareAndSwap(h.t.Context(), document.Key(service), value, 0)).To(gomega.Succeed())
}

// Guards against entries that miss the last of many edits in quick succession, or that end with different documents, also
// when answers of the store are lost.
func TestTwoEditorsRace(t *testing.T) {
	t.Parallel()
	const edits = 15
	h := newStoreHarness(t)
	nodes := h.start("a", "b", "c")
	h.Expect(h.server.SetFaults(consul.Faults{LoseAnswers: 5, DropWrites: 2})).To(gomega.Succeed())
	var editors sync.WaitGroup
	for range 2 {
		editors.Add(1)
		go func() {
			defer editors.Done()
			editor := document.NewEditor(h.store, clock.System{})
			for range edits {
				h.putNext(editor)
			}
		}()
	}
	editors.Wait()
	h.waitUntilInForce("bench", 2*edits, inForceWithin, nodes...)
	h.Expect(h.revisions()).To(gomega.Equal(map[string]uint64{"bench": 2 * edits}))
	digests := map[uint64]bool{}
	for _, n := range nodes {
		_, digest := n.versions.Versions()
		digests[digest] = true
	}
	h.Expect(digests).To(gomega.HaveLen(1))
}

// putNext repeats an edit of the service until it is accepted.
func (h *storeHarness) putNext(editor *document.Editor) {
	for {
		record, err := editor.Get(h.t.Context(), "bench")
		if err != nil && !errors.Is(err, document.ErrNotFound) {
			continue
		}
		_, err = editor.Put(h.t.Context(), edit("bench", record.Revision))
		if err == nil {
			return
		}
		if !errors.Is(err, document.ErrConflict) && !errors.Is(err, document.ErrUnreachable) {
			h.t.Errorf("edit: %v", err)
			return
		}
	}
}

// hookedStore calls a hook before each read of a record. If the hook fails, the read returns its error.
type hookedStore struct {
	store.Store
	hook func() error
}

func (s hookedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if strings.HasPrefix(key, document.Prefix) {
		if err := s.hook(); err != nil {
			return store.Entry{}, err
		}
	}
	return s.Store.Get(ctx, key)
}

// startHooked starts a single entry with a hooked store. The entry gets documents only from the store.
func (h *storeHarness) startHooked(hook func() error) *node {
	n := h.add("a", nil)
	n.store.Store = hookedStore{Store: n.store.Store, hook: hook}
	h.run(n)
	h.waitUntilInSync()
	return n
}

// Guards against a document that comes into force only with the next change because the first read of its record failed.
func TestFailedRecordReadIsRepeated(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	var reads atomic.Int64
	n := h.startHooked(func() error {
		if reads.Add(1) <= 2 {
			return store.ErrUnavailable
		}
		return nil
	})
	h.put("bench", 0)
	h.waitUntilInForce("bench", 1, inForceWithin, n)
	h.Expect(reads.Load()).To(gomega.BeNumerically(">", 2))
}

// Guards against a document that comes into force only with the next change because it was accepted while another record
// was being read.
func TestEditDuringARecordReadIsApplied(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	reading, release := make(chan struct{}, 1), make(chan struct{})
	n := h.startHooked(func() error {
		select {
		case reading <- struct{}{}:
		default:
		}
		<-release
		return nil
	})
	h.put("bench", 0)
	<-reading
	h.put("later", 0)
	h.Eventually(func() (shown bool) {
		n.runOnControl(func(c *control) { _, shown = c.snapshot.index["later"] })
		return shown
	}, waitLimit, poll).Should(gomega.BeTrue())
	close(release)
	h.waitUntilInForce("later", 1, inForceWithin, n)
	h.waitUntilInForce("bench", 1, inForceWithin, n)
}
