package e2e_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// quickJob is a mixed job with a short deadline, so that callers of an isolated entry soon resubmit at another one.
func quickJob(r *rand.Rand) job {
	j := mixedJob(r)
	j.deadline = 1200 * time.Millisecond
	return j
}

// cutLinks closes and refuses the links between two entries, whichever of them dials.
func cutLinks(a, b *entry) {
	a.linkRelay.refuse(b.id)
	b.linkRelay.refuse(a.id)
}

func restoreLinks(a, b *entry) {
	a.linkRelay.allow(b.id)
	b.linkRelay.allow(a.id)
}

// isolate disconnects an entry from the store and the other entries. Its callers and agents stay connected.
func (c *cluster) isolate(e *entry) {
	e.storeRelay.refuse("")
	for _, other := range c.otherEntries(e) {
		cutLinks(e, other)
	}
}

func (c *cluster) reconnect(e *entry) {
	e.storeRelay.allow("")
	for _, other := range c.otherEntries(e) {
		restoreLinks(e, other)
	}
}

// Guards against a key that runs on both sides of a partition between two entries that can both reach the store.
func TestPartitionBetweenTwoEntries(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{withRelays: true})
	load := c.startLoad(6, &load{duplicateShare: 0.7, nextJob: quickJob})
	time.Sleep(500 * time.Millisecond)
	cutLinks(c.entries[0], c.entries[1])
	time.Sleep(3500 * time.Millisecond)
	restoreLinks(c.entries[0], c.entries[1])
	time.Sleep(time.Second)
	s := load.verify()
	g.Expect(s.complete).To(gomega.BeNumerically(">", s.keys*3/4), "too few keys were served during the partition")
	c.waitConverged(10 * time.Second)
	state, err := c.stateOf(c.entries[2])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state.List.Departed).To(gomega.BeEmpty(), "an entry with a lease was removed")
}

// Guards against an entry that keeps working after it was expelled while it was cut off from the store and the other
// entries: its agents must refuse its starts, and it must not answer not_run for a key that another entry ran.
func TestIsolatedHomeStartsNothingAfterItsExpulsion(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{withRelays: true})
	load := c.startLoad(6, &load{duplicateShare: 0.7, nextJob: quickJob, resubmitTimeout: 5 * time.Second})
	time.Sleep(500 * time.Millisecond)
	victim := c.entries[1]
	before, err := c.stateOf(victim)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	jobs := make([]job, 6)
	for i := range jobs {
		jobs[i] = c.jobWithHome(victim, newJob("charge", 4*time.Second, 20, 20, 20, 20))
	}
	c.isolate(victim)
	c.waitList(c.entries[0], 15*time.Second, "the isolated entry is expelled", lacksMember(victim.id, before.Incarnation))
	for _, j := range jobs {
		g.Expect(c.submitUntilFinal(c.entries[0], j, 10*time.Second).Outcome).To(gomega.Equal(api.OutcomeComplete))
		r, err := submit(context.Background(), victim, j)
		if err == nil {
			load.record(j, r, nil)
			g.Expect(r.Outcome).NotTo(gomega.Equal(api.OutcomeNotRun), "%+v", r.Answer)
		}
		g.Expect(c.startsOfKey(j.key, 4)).To(gomega.Equal(4))
	}
	// The entry starts a new incarnation. It is still isolated and has no document.
	c.eventually(20*time.Second, "the isolated entry has a new incarnation", func() error {
		s, err := c.stateOf(victim)
		if err == nil && s.Incarnation == before.Incarnation {
			return errors.New("the old incarnation is still running")
		}
		return err
	})
	time.Sleep(2500 * time.Millisecond) // longer than the entry lets requests wait for documents
	r, err := submit(context.Background(), victim, jobs[0])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	load.record(jobs[0], r, nil)
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeUnknown), "%+v", r.Answer)
	c.reconnect(victim)
	c.waitConverged(15 * time.Second)
	time.Sleep(500 * time.Millisecond)
	load.verify()
}

// Guards against a false not_run from an expelled entry that can reach only its callers and so has not received the list of
// entries without itself.
func TestLonelyHomeDoesNotVouchForNotRun(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{withRelays: true})
	victim := c.entries[2]
	before, err := c.stateOf(victim)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	j := c.jobWithHome(victim, newJob("charge", 1500*time.Millisecond, 20, 20))
	c.isolate(victim)
	for _, a := range c.agents {
		victim.linkRelay.refuse(a.id)
	}
	c.waitList(c.entries[0], 15*time.Second, "the isolated entry is expelled", lacksMember(victim.id, before.Incarnation))
	g.Expect(c.submitUntilFinal(c.entries[0], j, 10*time.Second).Outcome).To(gomega.Equal(api.OutcomeComplete))
	r, err := submit(context.Background(), victim, j)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeUnknown), "%+v", r.Answer)
	g.Expect(c.startsOfKey(j.key, 2)).To(gomega.Equal(2))
}
