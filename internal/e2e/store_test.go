package e2e_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// expectNoRemoval fails the test if an entry was removed from the list, or began again.
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

// Guards against an outage of the store that stops work, removes an entry or makes a refusal untrue, while it lasts and
// when the store is back with every lease gone. In the outage one agent is replaced.
func TestStoreOutageLongerThanEveryLease(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"close", "error", "hang"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			c := newCluster(t, options{agents: 3})
			before := c.incarnations()
			load := c.startLoad(4, &load{doubled: 0.3})
			c.storeFaults(map[string]any{"down": how})
			time.Sleep(leaseTTL)
			a := c.agents[0]
			a.stop(stopLimit)
			c.startAgent(a)
			time.Sleep(leaseTTL + expulsionDelay + time.Second)
			for _, e := range c.entries {
				g.Expect(ready(e.admin)).To(gomega.BeTrue(), "%s takes work without the store", e.id)
			}
			c.storeAction("expire-leases")
			c.storeFaults(nil)
			time.Sleep(2 * time.Second)
			s := load.verify()
			g.Expect(s.complete).To(gomega.Equal(s.keys), "%v", s)
			c.waitSettled(10 * time.Second)
			c.expectNoRemoval(before)
		})
	}
}

// Guards against an entry that is removed, or work that waits, because the store is slow, loses the answers of writes
// that took effect, drops writes, or ends every lease.
func TestSlowAndLossyStoreRemovesNobody(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{agents: 3})
	before := c.incarnations()
	load := c.startLoad(4, &load{doubled: 0.3})
	for _, faults := range []map[string]any{
		{"delay_ms": 700},
		{"lose_answers": -1},
		{"drop_writes": -1},
		{"delay_ms": 300, "lose_answers": 5},
	} {
		c.storeFaults(faults)
		time.Sleep(700 * time.Millisecond)
		c.storeAction("expire-leases")
		time.Sleep(1500 * time.Millisecond)
	}
	c.storeFaults(nil)
	time.Sleep(time.Second)
	s := load.verify()
	g.Expect(s.complete).To(gomega.Equal(s.keys), "%v", s)
	c.waitSettled(10 * time.Second)
	c.expectNoRemoval(before)
}

// Guards against a planned stop that cuts requests or leaves keys without a home when the list cannot be changed, and
// against an entry that stays in the list when the store is back.
func TestEntryStoppedInAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{agents: 3})
	b := c.startBalancer()
	load := c.startLoad(4, &load{targets: b.targets, jobs: quickJob, doubled: 0.2, patience: 2 * time.Second})
	c.storeFaults(map[string]any{"down": "close"})
	time.Sleep(500 * time.Millisecond)
	e := c.entries[1]
	before := c.incarnations()
	e.stop(stopLimit)
	time.Sleep(500 * time.Millisecond)
	s := load.verify()
	g.Expect(s.broken).To(gomega.BeZero(), "requests were cut: %v", load.causes())
	g.Expect(s.complete).To(gomega.Equal(s.keys), "%v", s)
	c.storeFaults(nil)
	c.waitList(c.entries[0], 15*time.Second, "the stopped entry is removed", without(e.id, before[e.id]))
	c.waitSettled(10 * time.Second)
}

// Guards against an entry that cannot be replaced, and stored answers that are lost, when the store loses the answers of
// the writes that change the list.
func TestEntriesReplacedWhileTheStoreLosesAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{agents: 3})
	b := c.startBalancer()
	load := c.startLoad(4, &load{targets: b.targets, jobs: plannedLoad, doubled: 0.2})
	for _, e := range c.entries[:2] {
		j := c.jobWithHome(e, newJob("charge", 4*time.Second, 20, 20, 20))
		former := c.untilFinal(e, j, 5*time.Second)
		c.storeFaults(map[string]any{"lose_answers": 3, "delay_ms": 50})
		e.stop(stopLimit)
		c.expectSame(former, j)
		c.startEntry(e)
		c.waitSettled(15 * time.Second)
	}
	load.expectUntouched()
}
