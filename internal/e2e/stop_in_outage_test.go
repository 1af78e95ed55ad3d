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

// Guards against a planned stop during a store outage that makes an outcome unknown, starts a task again, loses a stored
// answer or breaks a connection. Two entries stop one after the other, the second after it took over the keys of the first,
// and the first is started again in the same outage. When the store is back, both stopped incarnations must be removed as
// clean.
func TestEntriesStoppedInOneOutageHandOver(t *testing.T) {
	t.Parallel()
	for _, outageMode := range []string{"close", "hang"} {
		t.Run(outageMode, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{agents: 3})
			b := c.startBalancer()
			load := c.startLoad(plannedStopCallers, &load{targets: b.targets, nextJob: mixedLengthJob, duplicateShare: 0.2})
			first, second := c.entries[1], c.entries[2]
			before := c.incarnations()
			c.setStoreFaults(map[string]any{"down": outageMode})
			time.Sleep(leaseTTL + expulsionDelay)
			var jobs []job
			firstReplies := make(map[string]reply)
			for _, e := range []*entry{first, second} {
				for range 4 {
					j := c.jobWithHome(e, newJob("charge", 4*time.Second, 20, 20, 20))
					firstReplies[j.key] = c.submitUntilFinal(e, j, 5*time.Second)
					jobs = append(jobs, j)
				}
			}
			for _, e := range []*entry{first, second} {
				c.stopWhileRunningJob(e)
				for _, j := range jobs {
					c.expectSameAnswer(firstReplies[j.key], j)
				}
				j := c.jobWithHome(e, newJob("charge", 4*time.Second, 20, 20))
				c.expectComplete(j)
				jobs, firstReplies[j.key] = append(jobs, j), c.submitUntilFinal(c.entries[0], j, 5*time.Second)
			}
			c.startEntry(first)
			c.eventually(10*time.Second, "the entry is ready during the outage", func() error {
				return checkReadyWithAgents(c, first)
			})
			for _, j := range jobs {
				c.expectSameAnswer(firstReplies[j.key], j)
			}
			c.setStoreFaults(nil)
			for _, e := range []*entry{first, second} {
				list := c.waitList(c.entries[0], 15*time.Second, "the stopped entry is removed", lacksMember(e.id, before[e.id]))
				isCleanDeparture := func(d wire.Departed) bool { return d.Incarnation == before[e.id] && d.Clean }
				gomega.NewWithT(t).Expect(slices.ContainsFunc(list.Departed, isCleanDeparture)).To(gomega.BeTrue(), "%+v", list)
			}
			c.waitConverged(10 * time.Second)
			for _, j := range jobs {
				c.expectSameAnswer(firstReplies[j.key], j)
			}
			load.expectAllComplete()
			load.expectNoUnknownOutcome()
		})
	}
}

// stopWhileRunningJob stops an entry while it runs a job that was submitted at another entry, and expects a complete answer.
func (c *cluster) stopWhileRunningJob(e *entry) {
	c.t.Helper()
	j := c.jobWithHome(e, newJob("charge", 6*time.Second, 1500, 1500))
	answer := make(chan reply, 1)
	go func() {
		r, _ := submit(context.Background(), c.entries[0], j)
		answer <- r
	}()
	c.waitStarted(j.key, len(j.bodies))
	e.stop(stopLimit)
	r := <-answer
	gomega.NewWithT(c.t).Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r)
	c.expectSameAnswer(r, j)
}

// expectComplete submits a new job and expects that its first answer is complete.
func (c *cluster) expectComplete(j job) {
	c.t.Helper()
	r, err := submit(context.Background(), c.entries[0], j)
	g := gomega.NewWithT(c.t)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r)
}

// expectNoUnknownOutcome fails the test if any caller got the outcome unknown, even if a resubmission was complete.
func (l *load) expectNoUnknownOutcome() {
	l.cluster.t.Helper()
	for key, h := range l.histories {
		for _, r := range h.replies {
			if r.Outcome == api.OutcomeUnknown {
				l.cluster.t.Errorf("key %s: unknown, %s: %s", key, r.reason, r.Message)
			}
		}
	}
}

// checkReadyWithAgents returns an error unless the entry is ready and linked to the first entry and every running agent.
func checkReadyWithAgents(c *cluster, e *entry) error {
	s, err := c.stateOf(e)
	if err != nil {
		return err
	}
	s.List.Members = make([]wire.Member, 1) // the entry cannot join during the outage, so its membership is not checked
	s.Submissions.PendingMembers = 0
	_, agents := c.runningEntriesAndAgents()
	return checkConverged(e, s, c.entries[:1], agents)
}
