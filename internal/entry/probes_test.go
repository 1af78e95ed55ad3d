package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// markLeaving marks an entry as leaving in the store, as its graceful shutdown does, and waits until the others have the
// list.
func (h *storeHarness) markLeaving(n *node, others ...*node) {
	knownList := n.list()
	h.Expect(n.changeList(h.t.Context(), &knownList, func(current *wire.EntryList, _ uint64) *wire.EntryList {
		next, err := placement.MarkLeaving(current, n.options.ID, n.incarnation)
		if err != nil {
			return nil
		}
		return next
	})).To(gomega.Succeed())
	for _, other := range others {
		h.Eventually(func() uint64 { return other.list().Version }, waitLimit, poll).Should(gomega.Equal(knownList.Version + 1))
	}
}

// Guards against the removal of an entry before its lease has expired when the end of its process is not certain, and
// against waiting for the expiry when it is. The lease of the lost entry is valid when the entry is lost.
func TestRemovalIsSoonOnlyAfterAProofOfTheEnd(t *testing.T) {
	t.Parallel()
	type setting struct {
		h         *storeHarness
		lost      *node
		remaining []*node
	}
	const lost = "c"
	for name, test := range map[string]struct {
		lose func(s setting)
		soon bool
	}{
		"refused": {func(s setting) {
			s.lost.store.cut()
			s.h.network.refuse(s.lost.LinkAddress())
		}, true},
		"newer run": {func(s setting) {
			s.lost.store.cut()
			s.h.network.isolate(s.lost.LinkAddress())
			newer := s.h.add(lost, func(o *Options) { o.Peers = []string{s.remaining[0].LinkAddress()} })
			newer.store.cut() // with the store, it would replace its previous run itself
			s.h.run(newer)
		}, true},
		"no answer": {func(s setting) {
			s.lost.store.cut()
			s.h.network.isolate(s.lost.LinkAddress())
		}, false},
		"refused after an announced stop": {func(s setting) {
			s.lost.runOnControl((*control).stopWithoutStore)
			for _, n := range s.remaining {
				s.h.Eventually(func() int { return len(n.list().Stopped) }, waitLimit, poll).Should(gomega.Equal(1))
			}
			s.lost.store.cut()
			s.h.network.refuse(s.lost.LinkAddress())
		}, false},
		"refused while leaving": {func(s setting) {
			s.h.markLeaving(s.lost, s.remaining...)
			s.lost.store.cut()
			s.h.network.refuse(s.lost.LinkAddress())
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newStoreHarness(t)
			nodes := h.start("a", "b", lost)
			s := setting{h: h, lost: nodes[2], remaining: nodes[:2]}
			lostAt := time.Now()
			test.lose(s)
			for _, n := range s.remaining {
				h.Eventually(func() bool { l := n.list(); return isListed(&l, s.lost) }, waitLimit, poll).Should(gomega.BeFalse())
			}
			elapsed := time.Since(lostAt)
			t.Logf("removed after %v", elapsed)
			if test.soon {
				h.Expect(elapsed).To(gomega.BeNumerically("<", testLeaseTTL))
			} else {
				h.Expect(elapsed).To(gomega.BeNumerically(">=", testLeaseTTL/2+testExpulsionDelay))
			}
		})
	}
}

func isListed(list *wire.EntryList, n *node) bool {
	_, ok := placement.Find(list, n.options.ID, n.incarnation)
	return ok
}

// Guards against the removal of a live entry whose connections a firewall refuses. Such an entry takes a new lease after
// another one ended it.
func TestRefusedEntryThatTakesItsLeaseAgainStays(t *testing.T) {
	t.Parallel()
	h := newStoreHarness(t)
	nodes := h.start("a", "b", "c")
	before := nodes[0].list()
	lease := func() (id any) {
		nodes[0].runOnControl(func(c *control) { id = c.snapshot.leases[leaseKey(nodes[2].control.self())] })
		return id
	}
	previous := lease()
	h.network.refuse(nodes[2].LinkAddress())
	h.Eventually(lease, waitLimit, poll).ShouldNot(gomega.Equal(previous), "the lease was ended")
	h.Consistently(func() wire.EntryList { return nodes[0].list() }, 3*testExpulsionDelay, poll).Should(gomega.Equal(before))
}

// Guards against counting refusals from before a link that was opened and closed between two probes. On that link the lost
// entry may have confirmed its ownership, and it returns not_run for half the expulsion delay after that.
func TestRefusalsCountFromTheLossOfTheLink(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	c := newOwner(start)
	peer := c.list.Members[1]
	c.now = start.Add(time.Second)
	c.probeStates[peer.Incarnation] = &probeState{consecutiveRefusals: minConsecutiveRefusals, firstRefusal: start, lastRefusal: c.now}
	since, ended := c.processEndedSince(peer)
	g.Expect([]any{since, ended}).To(gomega.Equal([]any{start, true}))
	down := start.Add(700 * time.Millisecond)
	c.peerOf(peer.ID).downSince = down
	since, ended = c.processEndedSince(peer)
	g.Expect([]any{since, ended}).To(gomega.Equal([]any{down, true}))
}
