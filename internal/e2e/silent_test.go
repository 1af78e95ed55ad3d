package e2e_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// silenceAgents makes the links of all agents to an entry go silent. New connections work.
func (c *cluster) silenceAgents(e *entry, directions ...direction) {
	for _, a := range c.agents {
		e.relay.silence(a.id, directions...)
	}
}

// Guards against a result that is lost with a silent link although the agent has it, and against a refusal not_run of
// tasks that run behind the silent link.
func TestResultArrivesOnANewLinkAfterSilence(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{relays: true})
	e := c.entries[0]
	j := c.jobWithHome(e, newJob("charge", 20*time.Second, 100, 200, 300))
	urgent := c.jobWithHome(e, newJob("charge", 1500*time.Millisecond, 400))
	c.silenceAgents(e, toEntry)
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
	c.waitRunning(urgent.key, 1)
	c.waitRunning(j.key, 3)
	c.silenceAgents(e, toDialler) // the agents do not learn that the entry gives the links up
	first := <-answers            // the deadline of the urgent one passes before a new link can be there
	g.Expect(first.Outcome).To(gomega.Equal(api.OutcomeUnknown), "%+v", first.Answer)
	g.Expect(c.startsOf(urgent.key, 1)).To(gomega.Equal(1))
	second := <-answers
	g.Expect(second.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", second.Answer)
	g.Expect(j.check(second)).To(gomega.Succeed())
	g.Expect(c.startsOf(j.key, 3)).To(gomega.Equal(3))
	g.Expect(c.startsOf(urgent.key, 1)).To(gomega.Equal(1))
	// The outcome of the urgent job is final: asked again, it is not run again.
	r, err := submit(context.Background(), c.entries[1], urgent)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Outcome).NotTo(gomega.Equal(api.OutcomeNotRun))
	g.Expect(c.startsOf(urgent.key, 1)).To(gomega.Equal(1))
}

// Guards against an attempt that is sent elsewhere while its start can still arrive, and against one that is given up
// although the agent tells on a new link that it never saw it.
func TestStartLostOnASilentLinkRunsElsewhereOnce(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{relays: true})
	e := c.entries[1]
	j := c.jobWithHome(e, newJob("charge", 20*time.Second, 100, 100, 100, 100))
	c.silenceAgents(e, toDialler)
	r, err := submit(context.Background(), e, j)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
	g.Expect(j.check(r)).To(gomega.Succeed())
	g.Expect(c.startsOf(j.key, 4)).To(gomega.Equal(4))
}

// Guards against a start that arrives late, after its job was answered with not_run or was given to another agent.
func TestStartDelayedPastTheAnswerIsNeverRefusedFalsely(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{relays: true})
	e := c.entries[2]
	e.relay.setDelay(700 * time.Millisecond)
	type sent struct {
		job
		reply
	}
	answers := make(chan sent, 24)
	for i := range cap(answers) {
		j := newJob("charge", time.Duration(200+50*i)*time.Millisecond, 20, 20)
		j = c.jobWithHome(e, j)
		go func() {
			r, err := submit(context.Background(), e, j)
			if err != nil {
				t.Error(err)
			}
			answers <- sent{j, r}
		}()
	}
	var all []sent
	for range cap(answers) {
		all = append(all, <-answers)
	}
	e.relay.setDelay(0)
	time.Sleep(1500 * time.Millisecond) // what was on the way has arrived
	started := 0
	for _, s := range all {
		n := c.startsOf(s.job.key, 2)
		started += n
		g.Expect(n).To(gomega.BeNumerically("<=", 2))
		if s.Outcome == api.OutcomeNotRun {
			g.Expect(n).To(gomega.BeZero(), "%s was refused as not_run (%s)", s.job.key, s.reason)
		}
	}
	g.Expect(started).To(gomega.BeNumerically(">", 0), "no start arrived late, so the test proved nothing")
}

// Guards against what one silent or cut link after another does under load: a task that runs twice, a false not_run.
func TestLinksCutAndSilencedUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{relays: true})
	load := c.startLoad(6, &load{doubled: 0.3})
	for i := range 6 {
		time.Sleep(700 * time.Millisecond)
		relay := c.entries[i%3].relay
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
	c.entries[1].relay.release("") // what was held arrives late on links that are still open
	c.entries[2].relay.release("")
	load.verify()
	c.waitSettled(15 * time.Second)
}
