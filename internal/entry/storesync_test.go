package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/standin/consul"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against a join that overwrites a concurrent one, so that an entry takes itself for a member although the list in
// the store does not contain it.
func TestSeveralEntriesJoinAtOnce(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	nodes := h.start("a", "b", "c", "d", "e")
	list := nodes[0].list()
	h.Expect(list.Version).To(gomega.BeEquivalentTo(len(nodes)))
	h.Expect(list.Departed).To(gomega.BeEmpty())
	for _, n := range nodes[1:] {
		h.Expect(n.list()).To(gomega.Equal(list))
	}
	h.Expect(h.leases()).To(gomega.HaveLen(len(nodes)))
}

// Guards against a write without an answer that counts as failed or as done without a check, so that an entry joins twice
// or not at all.
func TestLostAnswersOfWrites(t *testing.T) {
	t.Parallel()
	for writes := range 5 {
		for name, f := range map[string]consul.Faults{"lost": {LoseAnswers: writes}, "dropped": {DropWrites: writes}} {
			t.Run(fmt.Sprintf("%s %d", name, writes), func(t *testing.T) {
				t.Parallel()
				h := newStoreHarness(t)
				h.Expect(h.server.SetFaults(f)).To(gomega.Succeed())
				nodes := h.start("a", "b")
				h.Expect(nodes[0].list().Version).To(gomega.BeEquivalentTo(len(nodes)))
				h.Expect(h.leases()).To(gomega.HaveLen(len(nodes)))
			})
		}
	}
}

// bindDroppingStore is a store that drops the first writes of lease keys.
type bindDroppingStore struct {
	store.Store
	drops *atomic.Int64
}

func (s bindDroppingStore) BindKey(ctx context.Context, lease store.LeaseID, key string, value []byte) error {
	if s.drops.Add(-1) >= 0 {
		return store.ErrOutcomeUnknown
	}
	return s.Store.BindKey(ctx, lease, key, value)
}

// Guards against an entry that renews a lease to which its key was never bound.
func TestLostWriteOfALeaseKey(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	n := h.add("a", nil)
	var drops atomic.Int64
	drops.Store(2)
	n.store.Store = bindDroppingStore{n.store.Store, &drops}
	h.run(n)
	h.waitUntilInSync()
	h.Expect(h.leases()).To(gomega.HaveLen(1))
	h.Expect(drops.Load()).To(gomega.BeNumerically("<", 0))
}

// Guards against a lease whose key stays missing although the lease is valid, as after the restore of a store, and against
// a previous run of the entry whose lease key blocks that of the next run.
func TestLeaseKeyIsBoundAgain(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	old, err := h.store.CreateLease(t.Context(), time.Hour)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	previous := wire.Member{ID: "a", Incarnation: 2}
	h.Expect(h.store.BindKey(t.Context(), old, leaseKey(previous), nil)).To(gomega.Succeed())
	n := h.start("a")[0]
	own := leaseKey(wire.Member{ID: "a", Incarnation: n.incarnation})
	h.Expect(h.leases()).To(gomega.ConsistOf(own, leaseKey(previous)))
	h.remove(own)
	h.Eventually(h.leases, waitLimit, poll).Should(gomega.ContainElement(own))
}
