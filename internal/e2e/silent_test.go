package e2e_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// silenceAgentLinks silences the open links of all agents to an entry. New connections are not affected.
func (c *cluster) silenceAgentLinks(e *entry, directions ...direction) {
	for _, a := range c.agents {
		e.linkRelay.silence(a.id, directions...)
	}
}

// Guards against a result that is lost because the link is silent although the agent still has it, and against a not_run
// answer for tasks that run behind the silent link.
func TestResultArrivesOnANewLinkAfterSilence(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{withRelays: true})
	e := c.entries[0]
	j := c.jobWithHome(e, newJob("charge", 20*time.Second, 100, 200, 300))
	urgent := c.jobWithHome(e, newJob("charge", 1500*time.Millisecond, 400))
	c.silenceAgentLinks(e, toEntry)
	answers := make(chan reply, 2)
	for _, j := range []job{urgent, j} {
		go func() {
			r, err := submit(context.Background(), e, j)
			if err != nil {
				t.Error(err)
			}
			answers <- r
		}()
	}
	c.waitStarted(urgent.key, 1)
	c.waitStarted(j.key, 3)
	c.silenceAgentLinks(e, toDialler) // hides from the agents that the entry closes the links
	first := <-answers                // the deadline of the urgent job passes before a new link is possible
	g.Expect(first.Outcome).To(gomega.Equal(api.OutcomeUnknown), "%+v", first.Answer)
	g.Expect(c.startsOfKey(urgent.key, 1)).To(gomega.Equal(1))
	second := <-answers
	g.Expect(second.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", second.Answer)
	g.Expect(j.checkReply(second)).To(gomega.Succeed())
	g.Expect(c.startsOfKey(j.key, 3)).To(gomega.Equal(3))
	g.Expect(c.startsOfKey(urgent.key, 1)).To(gomega.Equal(1))
	// The outcome of the urgent job is final: submitting it again does not run it again.
	r, err := submit(context.Background(), c.entries[1], urgent)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Outcome).NotTo(gomega.Equal(api.OutcomeNotRun))
	g.Expect(c.startsOfKey(urgent.key, 1)).To(gomega.Equal(1))
}

// Guards against an attempt that is sent to another agent while its start may still arrive, and against an attempt whose
// outcome is given up although the agent reports on a new link that it never received the start.
func TestStartLostOnASilentLinkRunsElsewhereOnce(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{withRelays: true})
	e := c.entries[1]
	j := c.jobWithHome(e, newJob("charge", 20*time.Second, 100, 100, 100, 100))
	c.silenceAgentLinks(e, toDialler)
	r, err := submit(context.Background(), e, j)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
	g.Expect(j.checkReply(r)).To(gomega.Succeed())
	g.Expect(c.startsOfKey(j.key, 4)).To(gomega.Equal(4))
}

// Guards against a start that arrives after its job was answered with not_run or after the task was given to another agent.
func TestStartDelayedPastTheAnswerIsNeverRefusedFalsely(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{withRelays: true})
	e := c.entries[2]
	e.linkRelay.setDelay(700 * time.Millisecond)
	type submission struct {
		job
		reply
	}
	answers := make(chan submission, 24)
	for i := range cap(answers) {
		j := newJob("charge", time.Duration(200+50*i)*time.Millisecond, 20, 20)
		j = c.jobWithHome(e, j)
		go func() {
			r, err := submit(context.Background(), e, j)
			if err != nil {
				t.Error(err)
			}
			answers <- submission{j, r}
		}()
	}
	var submissions []submission
	for range cap(answers) {
		submissions = append(submissions, <-answers)
	}
	e.linkRelay.setDelay(0)
	time.Sleep(1500 * time.Millisecond) // until the delayed data has arrived
	started := 0
	for _, s := range submissions {
		n := c.startsOfKey(s.job.key, 2)
		started += n
		g.Expect(n).To(gomega.BeNumerically("<=", 2))
		if s.Outcome == api.OutcomeNotRun {
			g.Expect(n).To(gomega.BeZero(), "%s was answered with not_run (%s)", s.job.key, s.reason)
		}
	}
	g.Expect(started).To(gomega.BeNumerically(">", 0), "no delayed start reached an agent, so the test checked nothing")
}

// Guards against a task that runs twice or a false not_run when links are cut and silenced one after another under load.
func TestLinksCutAndSilencedUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{withRelays: true})
	load := c.startLoad(6, &load{duplicateShare: 0.3})
	for i := range 6 {
		time.Sleep(700 * time.Millisecond)
		relay := c.entries[i%3].linkRelay
		a := c.agents[i%len(c.agents)]
		switch i % 3 {
		case 0:
			relay.cut(a.id)
		case 1:
			relay.silence(a.id, toEntry)
		default:
			relay.silence(a.id, toEntry, toDialler)
		}
	}
	time.Sleep(time.Second)
	c.entries[1].linkRelay.release("") // the held data arrives late on links that are still open
	c.entries[2].linkRelay.release("")
	load.verify()
	c.waitConverged(15 * time.Second)
}
