package e2e_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// expectNoRemoval fails the test if an entry was removed from the list or has started a new incarnation.
func (c *cluster) expectNoRemoval(before map[string]uint64) {
	c.t.Helper()
	g := gomega.NewWithT(c.t)
	for _, e := range c.entries {
		s, err := c.stateOf(e)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.Incarnation).To(gomega.Equal(before[e.id]), "%s was expelled", e.id)
		g.Expect(s.List.Departed).To(gomega.BeEmpty())
		g.Expect(s.List.Members).To(gomega.HaveLen(len(c.entries)))
	}
}

func (c *cluster) incarnations() map[string]uint64 {
	c.t.Helper()
	all := make(map[string]uint64)
	for _, e := range c.entries {
		s, err := c.stateOf(e)
		if err != nil {
			c.t.Fatal(err)
		}
		all[e.id] = s.Incarnation
	}
	return all
}

// Guards against a store outage that stops work, removes an entry or leads to a false not_run, during the outage or when the
// store is back and every lease has expired. One agent is replaced during the outage.
func TestStoreOutageLongerThanEveryLease(t *testing.T) {
	t.Parallel()
	for _, outageMode := range []string{"close", "error", "hang"} {
		t.Run(outageMode, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			c := newCluster(t, options{agents: 3})
			before := c.incarnations()
			load := c.startLoad(4, &load{duplicateShare: 0.3})
			c.setStoreFaults(map[string]any{"down": outageMode})
			time.Sleep(leaseTTL)
			a := c.agents[0]
			a.stop(stopLimit)
			c.startAgent(a)
			time.Sleep(leaseTTL + expulsionDelay + time.Second)
			for _, e := range c.entries {
				g.Expect(isReady(e.adminAddress)).To(gomega.BeTrue(), "%s is not ready without the store", e.id)
			}
			c.triggerStoreAction("expire-leases")
			c.setStoreFaults(nil)
			time.Sleep(2 * time.Second)
			s := load.verify()
			g.Expect(s.complete).To(gomega.Equal(s.keys), "%v", s)
			c.waitConverged(10 * time.Second)
			c.expectNoRemoval(before)
		})
	}
}

// Guards against the removal of an entry, and against work that is held up, when the store is slow, loses the answers of
// writes that took effect, drops writes or expires every lease.
func TestSlowAndLossyStoreRemovesNobody(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{agents: 3})
	before := c.incarnations()
	load := c.startLoad(4, &load{duplicateShare: 0.3})
	for _, faults := range []map[string]any{
		{"delay_ms": 700},
		{"lose_answers": -1},
		{"drop_writes": -1},
		{"delay_ms": 300, "lose_answers": 5},
	} {
		c.setStoreFaults(faults)
		time.Sleep(700 * time.Millisecond)
		c.triggerStoreAction("expire-leases")
		time.Sleep(1500 * time.Millisecond)
	}
	c.setStoreFaults(nil)
	time.Sleep(time.Second)
	s := load.verify()
	g.Expect(s.complete).To(gomega.Equal(s.keys), "%v", s)
	c.waitConverged(10 * time.Second)
	c.expectNoRemoval(before)
}

// Guards against a planned stop that breaks connections or leaves keys without a home because the list cannot be changed
// during the outage, and against a stopped entry that stays in the list when the store is back.
func TestEntryStoppedInAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{agents: 3})
	b := c.startBalancer()
	load := c.startLoad(4, &load{targets: b.targets, nextJob: quickJob, duplicateShare: 0.2, resubmitTimeout: 2 * time.Second})
	c.setStoreFaults(map[string]any{"down": "close"})
	time.Sleep(500 * time.Millisecond)
	e := c.entries[1]
	before := c.incarnations()
	e.stop(stopLimit)
	time.Sleep(500 * time.Millisecond)
	s := load.verify()
	g.Expect(s.brokenSubmissions).To(gomega.BeZero(), "connections failed: %v", load.connectionErrors())
	g.Expect(s.complete).To(gomega.Equal(s.keys), "%v", s)
	c.setStoreFaults(nil)
	c.waitList(c.entries[0], 15*time.Second, "the stopped entry is removed", lacksMember(e.id, before[e.id]))
	c.waitConverged(10 * time.Second)
}

// Guards against an entry that cannot be replaced, and against the loss of stored answers, when the store loses the answers
// of the writes that change the list.
func TestEntriesReplacedWhileTheStoreLosesAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{agents: 3})
	b := c.startBalancer()
	load := c.startLoad(4, &load{targets: b.targets, nextJob: mixedLengthJob, duplicateShare: 0.2})
	for _, e := range c.entries[:2] {
		j := c.jobWithHome(e, newJob("charge", 4*time.Second, 20, 20, 20))
		first := c.submitUntilFinal(e, j, 5*time.Second)
		c.setStoreFaults(map[string]any{"lose_answers": 3, "delay_ms": 50})
		e.stop(stopLimit)
		c.expectSameAnswer(first, j)
		c.startEntry(e)
		c.waitConverged(15 * time.Second)
	}
	load.expectAllComplete()
}
