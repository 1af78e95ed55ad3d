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

// quickJob is a job with a short deadline, so that callers of an entry that reaches nobody ask elsewhere soon.
func quickJob(r *rand.Rand) job {
	j := mixedJob(r)
	j.deadline = 1200 * time.Millisecond
	return j
}

// separate cuts the links between two entries, in both directions of dialling.
func separate(a, b *entry) {
	a.relay.refuse(b.id)
	b.relay.refuse(a.id)
}

func reunite(a, b *entry) {
	a.relay.allow(b.id)
	b.relay.allow(a.id)
}

// isolate cuts an entry off from the store and the other entries. It keeps its callers and its agents.
func (c *cluster) isolate(e *entry) {
	e.store.refuse("")
	for _, other := range c.others(e) {
		separate(e, other)
	}
}

func (c *cluster) rejoin(e *entry) {
	e.store.allow("")
	for _, other := range c.others(e) {
		reunite(e, other)
	}
}

// Guards against a key that runs on both sides of a partition between two entries that both reach the store.
func TestPartitionBetweenTwoEntries(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{relays: true})
	load := c.startLoad(6, &load{doubled: 0.7, jobs: quickJob})
	time.Sleep(500 * time.Millisecond)
	separate(c.entries[0], c.entries[1])
	time.Sleep(3500 * time.Millisecond)
	reunite(c.entries[0], c.entries[1])
	time.Sleep(time.Second)
	s := load.verify()
	g.Expect(s.complete).To(gomega.BeNumerically(">", s.keys*3/4), "the other keys go on")
	c.waitSettled(10 * time.Second)
	state, err := c.stateOf(c.entries[2])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(state.List.Departed).To(gomega.BeEmpty(), "an entry with a lease was removed")
}

// Guards against an entry that was expelled while it was cut off from the store and the other entries: its agents must
// refuse what it starts, and it must not tell a caller that a key which another entry ran was not run.
func TestIsolatedHomeStartsNothingAfterItsExpulsion(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{relays: true})
	load := c.startLoad(6, &load{doubled: 0.7, jobs: quickJob, patience: 5 * time.Second})
	time.Sleep(500 * time.Millisecond)
	victim := c.entries[1]
	before, err := c.stateOf(victim)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	keys := make([]job, 6)
	for i := range keys {
		keys[i] = c.jobWithHome(victim, newJob("charge", 4*time.Second, 20, 20, 20, 20))
	}
	c.isolate(victim)
	c.waitList(c.entries[0], 15*time.Second, "the isolated entry is expelled", without(victim.id, before.Incarnation))
	for _, j := range keys {
		g.Expect(c.untilFinal(c.entries[0], j, 10*time.Second).Outcome).To(gomega.Equal(api.OutcomeComplete))
		r, err := submit(context.Background(), victim, j)
		if err == nil {
			load.note(j, r, nil)
			g.Expect(r.Outcome).NotTo(gomega.Equal(api.OutcomeNotRun), "%+v", r.Answer)
		}
		g.Expect(c.startsOf(j.key, 4)).To(gomega.Equal(4))
	}
	// The entry begins again, still cut off, and knows no document.
	c.eventually(20*time.Second, "the isolated entry begins again", func() error {
		s, err := c.stateOf(victim)
		if err == nil && s.Incarnation == before.Incarnation {
			return errors.New("the former run goes on")
		}
		return err
	})
	time.Sleep(2500 * time.Millisecond) // longer than it lets requests wait for documents
	r, err := submit(context.Background(), victim, keys[0])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	load.note(keys[0], r, nil)
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeUnknown), "%+v", r.Answer)
	c.rejoin(victim)
	c.waitSettled(15 * time.Second)
	time.Sleep(500 * time.Millisecond)
	load.verify()
}

// Guards against a false not_run of an entry that reaches nobody but its callers, and is expelled without knowing it.
func TestLonelyHomeDoesNotVouchForNotRun(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{relays: true})
	victim := c.entries[2]
	before, err := c.stateOf(victim)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	j := c.jobWithHome(victim, newJob("charge", 1500*time.Millisecond, 20, 20))
	c.isolate(victim)
	for _, a := range c.agents {
		victim.relay.refuse(a.id)
	}
	c.waitList(c.entries[0], 15*time.Second, "the isolated entry is expelled", without(victim.id, before.Incarnation))
	g.Expect(c.untilFinal(c.entries[0], j, 10*time.Second).Outcome).To(gomega.Equal(api.OutcomeComplete))
	r, err := submit(context.Background(), victim, j)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeUnknown), "%+v", r.Answer)
	g.Expect(c.startsOf(j.key, 2)).To(gomega.Equal(2))
}
