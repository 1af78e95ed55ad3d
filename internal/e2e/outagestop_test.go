package e2e_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against a planned stop in an outage of the store that makes an outcome unknown, starts a task again, loses a
// stored answer or cuts a request: of one entry, of a second one that took over the keys of the first, and when the first
// starts again in the same outage. When the store is back, both must be removed as clean.
func TestEntriesStoppedInOneOutageHandOver(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"close", "hang"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{agents: 3})
			b := c.startBalancer()
			load := c.startLoad(plannedCallers, &load{targets: b.targets, jobs: plannedLoad, doubled: 0.2})
			first, second := c.entries[1], c.entries[2]
			before := c.incarnations()
			c.storeFaults(map[string]any{"down": how})
			time.Sleep(leaseTTL + expulsionDelay)
			var keys []job
			answers := make(map[string]reply)
			for _, e := range []*entry{first, second} {
				for range 4 {
					j := c.jobWithHome(e, newJob("charge", 4*time.Second, 20, 20, 20))
					answers[j.key] = c.untilFinal(e, j, 5*time.Second)
					keys = append(keys, j)
				}
			}
			for _, e := range []*entry{first, second} {
				c.stopWhileItRuns(e)
				for _, j := range keys {
					c.expectSame(answers[j.key], j)
				}
				j := c.jobWithHome(e, newJob("charge", 4*time.Second, 20, 20))
				c.expectComplete(j)
				keys, answers[j.key] = append(keys, j), c.untilFinal(c.entries[0], j, 5*time.Second)
			}
			c.startEntry(first)
			c.eventually(10*time.Second, "the entry takes work in the outage", func() error {
				return settledAgents(c, first)
			})
			for _, j := range keys {
				c.expectSame(answers[j.key], j)
			}
			c.storeFaults(nil)
			for _, e := range []*entry{first, second} {
				list := c.waitList(c.entries[0], 15*time.Second, "the stopped entry is removed", without(e.id, before[e.id]))
				clean := func(d wire.Departed) bool { return d.Incarnation == before[e.id] && d.Clean }
				gomega.NewWithT(t).Expect(slices.ContainsFunc(list.Departed, clean)).To(gomega.BeTrue(), "%+v", list)
			}
			c.waitSettled(10 * time.Second)
			for _, j := range keys {
				c.expectSame(answers[j.key], j)
			}
			load.expectUntouched()
			load.expectNoUnknown()
		})
	}
}

// stopWhileItRuns stops an entry that runs a job of a caller of another one, and expects the answer.
func (c *cluster) stopWhileItRuns(e *entry) {
	c.t.Helper()
	j := c.jobWithHome(e, newJob("charge", 6*time.Second, 1500, 1500))
	answer := make(chan reply, 1)
	go func() {
		r, _ := submit(context.Background(), c.entries[0], j)
		answer <- r
	}()
	c.waitRunning(j.key, len(j.bodies))
	e.stop(stopLimit)
	r := <-answer
	gomega.NewWithT(c.t).Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r)
	c.expectSame(r, j)
}

// expectComplete submits a new job and expects that its first answer is complete.
func (c *cluster) expectComplete(j job) {
	c.t.Helper()
	r, err := submit(context.Background(), c.entries[0], j)
	g := gomega.NewWithT(c.t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r)
}

// expectNoUnknown fails the test if a caller got the outcome unknown, even if a repetition was complete.
func (l *load) expectNoUnknown() {
	l.cluster.t.Helper()
	for key, h := range l.histories {
		for _, r := range h.answers {
			if r.Outcome == api.OutcomeUnknown {
				l.cluster.t.Errorf("key %s: unknown, %s: %s", key, r.reason, r.Message)
			}
		}
	}
}

// settledAgents returns an error unless an entry is ready and linked to every agent.
func settledAgents(c *cluster, e *entry) error {
	s, err := c.stateOf(e)
	if err != nil {
		return err
	}
	s.List.Members = make([]wire.Member, 1) // it is no member, and is not asked about the others
	s.Submissions.PendingMembers = 0
	_, agents := c.running()
	return settled(e, s, c.entries[:1], agents)
}
