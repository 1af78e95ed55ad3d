package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against the removal of an entry that cannot reach the store while its links work, and against one that stays
// without a lease afterwards.
func TestLapsedLeaseAloneRemovesNobody(t *testing.T) {
	t.Parallel()
	b := newStoreBench(t)
	nodes := b.start("a", "b", "c")
	before := nodes[0].list()
	b.server.ExpireLeases()
	b.settled()
	nodes[2].store.cut()
	b.Eventually(b.leases, waitLimit, poll).Should(gomega.HaveLen(2))
	b.Consistently(func() wire.EntryList { return nodes[0].list() }, 3*testExpulsionDelay, poll).Should(gomega.Equal(before))
	nodes[2].store.restore()
	b.settled()
	b.Expect(nodes[2].list()).To(gomega.Equal(before))
}

// Guards against a removal before lease and link were both gone for the whole delay, whichever went last, against one
// that takes much longer because the watch waits too long, and against two removals by two members.
func TestLostEntryIsRemovedOnce(t *testing.T) {
	t.Parallel()
	loseLease := func(b *storeBench, n *node) {
		n.store.cut()
		b.server.ExpireLeases()
	}
	loseLink := func(_ *storeBench, n *node) { n.leave() }
	for name, lose := range map[string][2]func(*storeBench, *node){
		"lease last": {loseLink, loseLease},
		"link last":  {loseLease, loseLink},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newStoreBench(t)
			nodes := b.start("a", "b", "c")
			left, lost := nodes[:2], nodes[2]
			before := left[0].list()
			lose[0](b, lost)
			b.Consistently(func() uint64 { return left[0].list().Version }, 2*testExpulsionDelay, poll).Should(gomega.Equal(before.Version))
			lostAt := time.Now()
			lose[1](b, lost)
			for _, n := range left {
				b.Eventually(func() int { return len(n.list().Members) }, waitLimit, poll).Should(gomega.Equal(2))
			}
			b.Expect(time.Since(lostAt)).To(gomega.And(gomega.BeNumerically(">=", testExpulsionDelay), gomega.BeNumerically("<", 5*testExpulsionDelay)))
			b.Consistently(func() uint64 { return left[1].list().Version }, testExpulsionDelay, poll).Should(gomega.Equal(before.Version + 1))
			departed := left[1].list().Departed
			b.Expect(departed).To(gomega.HaveLen(1))
			b.Expect([]any{departed[0].Incarnation, departed[0].Clean}).To(gomega.Equal([]any{lost.incarnation, false}))
		})
	}
}

// Guards against a removal that counts an outage of the store as time in which the lost entry did not renew its lease.
func TestOutageDoesNotCountTowardsTheDelay(t *testing.T) {
	b := newStoreBench(t)
	n := b.add("a", nil)
	n.store.cut() // a proposal ends at once, and changing stays set without a control goroutine
	c := n.control
	list, err := placement.Add(nil, c.self(), c.now)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	list, err = placement.Add(list, wire.Member{ID: "b", Incarnation: 2, Address: "127.0.0.1:1"}, c.now)
	b.Expect(err).NotTo(gomega.HaveOccurred())
	c.adoptList(list)
	c.peerOf("b").stopDialler()
	see := func(after time.Duration) bool {
		c.now = c.now.Add(after)
		s := newSnapshot()
		s.list = list
		c.storeSeen(s)
		return c.changing
	}
	b.Expect(see(time.Minute)).To(gomega.BeFalse())
	b.Expect(see(c.snapshotGap() + time.Millisecond)).To(gomega.BeFalse())
	b.Expect(see(testExpulsionDelay - time.Millisecond)).To(gomega.BeFalse())
	b.Expect(see(time.Millisecond)).To(gomega.BeTrue())
}

// Guards against a cold entry that serves nothing in an outage although another entry is there, and against one that
// becomes a member without the store.
func TestOutageAtStartWithAConfiguredPeer(t *testing.T) {
	t.Parallel()
	for _, id := range []string{"a", "z"} {
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			b := newStoreBench(t)
			running := b.start("m")[0]
			b.put("bench", 0)
			b.inForce("bench", 1, inForceWithin, running)
			cold := b.add(id, func(o *Options) { o.Peers = []string{running.LinkAddress()} })
			cold.store.cut()
			b.run(cold)
			b.inForce("bench", 1, inForceWithin, cold)
			b.Expect(cold.list()).To(gomega.Equal(running.list()))
			b.Expect(cold.list().Members).To(gomega.HaveLen(1))
			cold.store.restore()
			b.settled()
		})
	}
}

// Guards against a watch that asks again and again although nothing is amiss: each answer carries all watched keys.
func TestWatchIsQuietWhileAllIsWell(t *testing.T) {
	t.Parallel()
	b := newStoreBench(t)
	b.start("a", "b")
	watches := func() uint64 { return b.server.Calls().Total["watch"] }
	b.Eventually(func() bool {
		before := watches()
		time.Sleep(4 * testExpulsionDelay / watchWaitShare)
		return watches() == before
	}, waitLimit, poll).Should(gomega.BeTrue())
}
