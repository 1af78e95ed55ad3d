package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// markLeaving sets an entry to leaving in the store, as its planned stop does, and waits until the others know.
func (b *storeBench) markLeaving(n *node, others ...*node) {
	known := n.list()
	b.Expect(n.changeList(b.t.Context(), &known, func(current *wire.EntryList, _ uint64) *wire.EntryList {
		next, err := placement.MarkLeaving(current, n.options.ID, n.incarnation)
		if err != nil {
			return nil
		}
		return next
	})).To(gomega.Succeed())
	for _, other := range others {
		b.Eventually(func() uint64 { return other.list().Version }, waitLimit, poll).Should(gomega.Equal(known.Version + 1))
	}
}

// Guards against a removal without the wait for the lease when the end of the process is not certain, and against the full
// wait when it is. The lease of the lost entry is valid when it is lost.
func TestRemovalIsSoonOnlyAfterAProofOfTheEnd(t *testing.T) {
	t.Parallel()
	type setting struct {
		b         *storeBench
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
			s.b.network.refuse(s.lost.LinkAddress())
		}, true},
		"newer run": {func(s setting) {
			s.lost.store.cut()
			s.b.network.isolate(s.lost.LinkAddress())
			newer := s.b.add(lost, func(o *Options) { o.Peers = []string{s.remaining[0].LinkAddress()} })
			newer.store.cut() // with the store, it would replace its former run itself
			s.b.run(newer)
		}, true},
		"no answer": {func(s setting) {
			s.lost.store.cut()
			s.b.network.isolate(s.lost.LinkAddress())
		}, false},
		"refused after a statement to stop": {func(s setting) {
			s.lost.in((*control).stopWithoutStore)
			for _, n := range s.remaining {
				s.b.Eventually(func() int { return len(n.list().Stopped) }, waitLimit, poll).Should(gomega.Equal(1))
			}
			s.lost.store.cut()
			s.b.network.refuse(s.lost.LinkAddress())
		}, false},
		"refused while leaving": {func(s setting) {
			s.b.markLeaving(s.lost, s.remaining...)
			s.lost.store.cut()
			s.b.network.refuse(s.lost.LinkAddress())
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newStoreBench(t)
			nodes := b.start("a", "b", lost)
			s := setting{b: b, lost: nodes[2], remaining: nodes[:2]}
			lostAt := time.Now()
			test.lose(s)
			for _, n := range s.remaining {
				b.Eventually(func() bool { l := n.list(); return placementHas(&l, s.lost) }, waitLimit, poll).Should(gomega.BeFalse())
			}
			took := time.Since(lostAt)
			t.Logf("removed after %v", took)
			if test.soon {
				b.Expect(took).To(gomega.BeNumerically("<", testLeaseTTL))
			} else {
				b.Expect(took).To(gomega.BeNumerically(">=", testLeaseTTL/2+testExpulsionDelay))
			}
		})
	}
}

func placementHas(list *wire.EntryList, n *node) bool {
	_, ok := placement.Find(list, n.options.ID, n.incarnation)
	return ok
}

// Guards against the removal of a live entry whose connections a firewall refuses: it takes its lease again.
func TestRefusedEntryThatTakesItsLeaseAgainStays(t *testing.T) {
	t.Parallel()
	b := newStoreBench(t)
	nodes := b.start("a", "b", "c")
	before := nodes[0].list()
	lease := func() (id any) {
		nodes[0].in(func(c *control) { id = c.seen.leases[leaseKey(nodes[2].control.self())] })
		return id
	}
	former := lease()
	b.network.refuse(nodes[2].LinkAddress())
	b.Eventually(lease, waitLimit, poll).ShouldNot(gomega.Equal(former), "the lease was ended")
	b.Consistently(func() wire.EntryList { return nodes[0].list() }, 3*testExpulsionDelay, poll).Should(gomega.Equal(before))
}

// Guards against refusals from before a link that came and went between two probes: an entry that answered a ping on it
// vouches for not_run for half the expulsion delay.
func TestRefusalsCountFromTheLossOfTheLink(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	c := newOwner(start)
	peer := c.list.Members[1]
	c.now = start.Add(time.Second)
	c.refusals[peer.Incarnation] = &refusal{count: minRefusals, since: start, last: c.now}
	since, ended := c.endedSince(peer)
	g.Expect([]any{since, ended}).To(gomega.Equal([]any{start, true}))
	down := start.Add(700 * time.Millisecond)
	c.peerOf(peer.ID).downSince = down
	since, ended = c.endedSince(peer)
	g.Expect([]any{since, ended}).To(gomega.Equal([]any{down, true}))
}
