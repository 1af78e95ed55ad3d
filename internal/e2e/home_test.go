package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// Guards against a task that runs twice because the home of its key was killed while it ran, and against a resubmission at
// another entry that is answered with a false not_run, right after the kill or after the expulsion. The home stays down.
func TestHomeEntryKilledUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	load := c.startLoad(6, &load{duplicateShare: 0.3})
	time.Sleep(time.Second)
	victim := c.entries[1]
	state, err := c.stateOf(victim)
	if err != nil {
		t.Fatal(err)
	}
	victim.kill()
	c.waitList(c.entries[0], 10*time.Second, "the killed entry is expelled", lacksMember(victim.id, state.Incarnation))
	time.Sleep(2 * time.Second)
	load.verify()
}

// Guards against a key of a killed home that is run again before every agent has reported which tasks were started, and
// against a key that is not served again although every agent has reported.
func TestKeysOfAKilledHomeAreServedAgain(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{withRelays: true})
	victim := c.entries[1]
	var jobs []job
	firstReplies := make(map[string]reply)
	for range 8 {
		j := c.jobWithHome(victim, newJob("charge", 8*time.Second, 20, 20, 20, 20))
		r, err := submit(context.Background(), c.entries[0], j)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete))
		firstReplies[j.key] = r
		jobs = append(jobs, j)
	}
	running := c.jobWithHome(victim, newJob("charge", 8*time.Second, 300, 1500))
	go func() { _, _ = submit(context.Background(), victim, running) }()
	c.waitStarted(running.key, 2)
	for _, e := range c.otherEntries(victim) {
		e.linkRelay.setDelay(300 * time.Millisecond) // delays the records of the agents
	}
	victim.kill()
	load := c.startLoad(0, &load{resubmitTimeout: 15 * time.Second})
	var resubmissions sync.WaitGroup
	for i, j := range append(jobs, running) {
		resubmissions.Add(1)
		go func() {
			defer resubmissions.Done()
			load.submitUntilFinal(rand.New(rand.NewPCG(uint64(i), 3)), j)
		}()
	}
	resubmissions.Wait()
	load.verify()
	for _, j := range jobs {
		last := load.histories[j.key].last()
		g.Expect(sameAnswer(firstReplies[j.key], last)).To(gomega.BeTrue(), "%+v, first answer %+v",
			last.Answer, firstReplies[j.key].Answer)
	}
	// Its tasks have ended since the home was killed, so the agents hold all of its results.
	g.Expect(load.histories[running.key].last().Outcome).To(gomega.Equal(api.OutcomeComplete))
	for _, e := range c.otherEntries(victim) {
		e.linkRelay.setDelay(0)
	}
	for i := range 12 {
		r := c.submitUntilFinal(c.entries[2*(i%2)], newJob("charge", 4*time.Second, 20, 20), 10*time.Second)
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
	}
}

// Guards against a task that runs twice because an entry was killed and started again under the same id, for one of the
// entries twice in a row, before the other members noticed its absence.
func TestEntryKilledAndRestartedAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	load := c.startLoad(8, &load{duplicateShare: 0.4, nextJob: quickJob, resubmitTimeout: 4 * time.Second})
	for _, e := range []*entry{c.entries[0], c.entries[2], c.entries[2]} {
		time.Sleep(800 * time.Millisecond)
		e.kill()
		c.startEntry(e)
	}
	time.Sleep(time.Second)
	load.verify()
	c.waitConverged(10 * time.Second)
}

// Guards against a task that runs twice because the home of its key and an agent that holds its record are killed together,
// and the agent starts again without that record.
func TestHomeAndAgentKilledTogether(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	load := c.startLoad(8, &load{duplicateShare: 0.4, nextJob: quickJob, resubmitTimeout: 3 * time.Second})
	time.Sleep(time.Second)
	home, lost := c.entries[1], c.agents[1]
	state, err := c.stateOf(home)
	if err != nil {
		t.Fatal(err)
	}
	home.kill()
	lost.kill()
	time.Sleep(300 * time.Millisecond)
	c.startAgent(lost)
	c.waitList(c.entries[0], 10*time.Second, "the killed entry is expelled", lacksMember(home.id, state.Incarnation))
	time.Sleep(1500 * time.Millisecond)
	load.verify()
}

// Guards against an entry that was paused past the end of its lease and then starts or answers jobs as if it were still the
// home of their keys, and against such an entry that never rejoins.
func TestPausedHomeIsFencedAndJoinsAgain(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{slots: 2})
	load := c.startLoad(6, &load{duplicateShare: 0.3, resubmitTimeout: 16 * time.Second})
	time.Sleep(time.Second)
	victim := c.entries[1]
	before, err := c.stateOf(victim)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// More tasks than there are slots wait at the home when it is paused, and are still in its queue when it is resumed.
	waiting := make(chan reply, 30)
	for range cap(waiting) {
		j := c.jobWithHome(victim, newJob("charge", 30*time.Second, 400, 400))
		go func() {
			r, err := submit(context.Background(), victim, j)
			load.record(j, r, err)
			waiting <- r
		}()
	}
	time.Sleep(300 * time.Millisecond)
	victim.pause()
	c.waitList(c.entries[0], 20*time.Second, "the paused entry is expelled", lacksMember(victim.id, before.Incarnation))
	time.Sleep(time.Second)
	victim.resume()
	c.eventually(20*time.Second, "the paused entry has rejoined", func() error {
		s, err := c.stateOf(victim)
		if err != nil {
			return err
		}
		if s.Incarnation == before.Incarnation || lacksMember(victim.id, s.Incarnation)(s.List) {
			return fmt.Errorf("incarnation %d, list %+v", s.Incarnation, s.List)
		}
		return nil
	})
	for range cap(waiting) {
		<-waiting
	}
	load.verify()
	c.waitConverged(10 * time.Second)
}

// jobWithHome gives the job a new key whose home is the entry.
func (c *cluster) jobWithHome(home *entry, j job) job {
	c.t.Helper()
	for {
		if c.homeOf(j.key) == home {
			return j
		}
		j.key = newJob(j.kind, 0).key
	}
}

// submitUntilFinal submits the job at the entry until the answer is final.
func (c *cluster) submitUntilFinal(e *entry, j job, limit time.Duration) (last reply) {
	c.t.Helper()
	c.eventually(limit, "the answer is final", func() error {
		r, err := submit(context.Background(), e, j)
		if err != nil {
			return err
		}
		if violation := j.checkReply(r); violation != nil {
			c.t.Fatal(violation)
		}
		last = r
		if !isFinal(r) {
			return fmt.Errorf("status %d, reason %s: %s", r.status, r.reason, r.Message)
		}
		return nil
	})
	return last
}
