package entry

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against the removal of an entry that cannot reach the store while its links work, and against such an entry that
// does not take a new lease afterwards.
func TestExpiredLeaseAloneRemovesNoMember(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	nodes := h.start("a", "b", "c")
	before := nodes[0].list()
	h.server.ExpireLeases()
	h.waitUntilInSync()
	nodes[2].store.cut()
	h.Eventually(h.leases, waitLimit, poll).Should(gomega.HaveLen(2))
	h.Consistently(func() wire.EntryList { return nodes[0].list() }, 3*testExpulsionDelay, poll).Should(gomega.Equal(before))
	nodes[2].store.restore()
	h.waitUntilInSync()
	h.Expect(nodes[2].list()).To(gomega.Equal(before))
}

// Guards against a removal before lease and link have both been gone for the whole delay, in either order, against a
// removal that is delayed by a long watch, and against two members that both remove the entry.
func TestLostEntryIsRemovedOnce(t *testing.T) {
	t.Parallel()
	loseLease := func(h *storeHarness, n *node) {
		n.store.cut()
		h.server.ExpireLeases()
	}
	loseLink := func(_ *storeHarness, n *node) { n.isolate() }
	for name, lose := range map[string][2]func(*storeHarness, *node){
		"lease last": {loseLink, loseLease},
		"link last":  {loseLease, loseLink},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newStoreHarness(t)
			nodes := h.start("a", "b", "c")
			remaining, lost := nodes[:2], nodes[2]
			before := remaining[0].list()
			lose[0](h, lost)
			h.Consistently(func() uint64 { return remaining[0].list().Version }, 2*testExpulsionDelay, poll).Should(gomega.Equal(before.Version))
			lostAt := time.Now()
			lose[1](h, lost)
			for _, n := range remaining {
				h.Eventually(func() int { return len(n.list().Members) }, waitLimit, poll).Should(gomega.Equal(2))
			}
			h.Expect(time.Since(lostAt)).To(gomega.And(gomega.BeNumerically(">=", testExpulsionDelay), gomega.BeNumerically("<", 5*testExpulsionDelay)))
			h.Consistently(func() uint64 { return remaining[1].list().Version }, testExpulsionDelay, poll).Should(gomega.Equal(before.Version + 1))
			departed := remaining[1].list().Departed
			h.Expect(departed).To(gomega.HaveLen(1))
			h.Expect([]any{departed[0].Incarnation, departed[0].Clean}).To(gomega.Equal([]any{lost.incarnation, false}))
		})
	}
}

// Guards against counting an outage of the store as time in which the lost entry did not renew its lease.
func TestOutageDoesNotCountTowardsTheDelay(t *testing.T) {
	h := newStoreHarness(t)
	n := h.add("a", nil)
	n.store.cut() // a change of the list fails at once, and changingList stays set without a control goroutine
	c := n.control
	list, err := placement.Add(nil, c.self(), c.now)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	list, err = placement.Add(list, wire.Member{ID: "b", Incarnation: 2, Address: "127.0.0.1:1"}, c.now)
	h.Expect(err).NotTo(gomega.HaveOccurred())
	c.adoptList(list)
	c.peerOf("b").stopDialler()
	removalProposed := func(after time.Duration) bool {
		c.now = c.now.Add(after)
		s := newSnapshot()
		s.list = list
		c.handleSnapshot(s)
		return c.changingList
	}
	h.Expect(removalProposed(time.Minute)).To(gomega.BeFalse())
	h.Expect(removalProposed(c.maxSnapshotGap() + time.Millisecond)).To(gomega.BeFalse())
	h.Expect(removalProposed(testExpulsionDelay - time.Millisecond)).To(gomega.BeFalse())
	h.Expect(removalProposed(time.Millisecond)).To(gomega.BeTrue())
}

// Guards against an entry that starts while the store is unavailable and does not get its documents from a configured peer,
// and against one that becomes a member without the store.
func TestOutageAtStartWithAConfiguredPeer(t *testing.T) {
	t.Parallel()
	for _, id := range []string{"a", "z"} {
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			h := newStoreHarness(t)
			running := h.start("m")[0]
			h.put("bench", 0)
			h.waitUntilInForce("bench", 1, inForceWithin, running)
			starting := h.add(id, func(o *Options) { o.Peers = []string{running.LinkAddress()} })
			starting.store.cut()
			h.run(starting)
			h.waitUntilInForce("bench", 1, inForceWithin, starting)
			h.Expect(starting.list()).To(gomega.Equal(running.list()))
			h.Expect(starting.list().Members).To(gomega.HaveLen(1))
			starting.store.restore()
			h.waitUntilInSync()
		})
	}
}

// Guards against short watches while nothing needs to change. Each answer carries all watched keys.
func TestWatchWaitsLongWhileInSync(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	h.start("a", "b")
	watches := func() uint64 { return h.server.Calls().Total["watch"] }
	h.Eventually(func() bool {
		before := watches()
		time.Sleep(4 * testExpulsionDelay / watchWaitDivisor)
		return watches() == before
	}, waitLimit, poll).Should(gomega.BeTrue())
}

// Guards against a result that the control goroutine writes after its caller has stopped waiting. The race detector reported it while
// the test process got little processor time.
func TestResultsThatComeTooLateAreNotRead(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	nodes := h.start("a", "b")
	h.put("bench", 0)
	h.waitUntilInForce("bench", 1, inForceWithin, nodes...)
	e := nodes[0].Entry
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	e.post(func(*control) { time.Sleep(2 * flushTimeout) })
	e.flushLinks(ctx)
	d, err := e.Dump(ctx)
	h.Expect(err).To(gomega.HaveOccurred())
	h.Expect(d).To(gomega.BeNil())
	time.Sleep(flushTimeout + 500*time.Millisecond)
}
