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

// Guards against a task that runs twice because its home was lost while it ran, and against a resubmission that is
// refused falsely at another entry, at once and after the expulsion. The home stays away.
func TestHomeEntryKilledUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	load := c.startLoad(6, &load{doubled: 0.3})
	time.Sleep(time.Second)
	victim := c.entries[1]
	state, err := c.stateOf(victim)
	if err != nil {
		t.Fatal(err)
	}
	victim.kill()
	c.waitList(c.entries[0], 10*time.Second, "the killed entry is expelled", without(victim.id, state.Incarnation))
	time.Sleep(2 * time.Second)
	load.verify()
}

// Guards against a key of a lost home that is run again before every agent told what was started, and against one that
// is never served again although every agent has told.
func TestKeysOfAKilledHomeAreServedAgain(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{relays: true})
	victim := c.entries[1]
	var jobs []job
	first := make(map[string]reply)
	for range 8 {
		j := c.jobWithHome(victim, newJob("charge", 8*time.Second, 20, 20, 20, 20))
		r, err := submit(context.Background(), c.entries[0], j)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete))
		first[j.key] = r
		jobs = append(jobs, j)
	}
	running := c.jobWithHome(victim, newJob("charge", 8*time.Second, 300, 1500))
	go func() { _, _ = submit(context.Background(), victim, running) }()
	c.waitRunning(running.key, 2)
	for _, e := range c.others(victim) {
		e.relay.setDelay(300 * time.Millisecond) // the agents' records come late
	}
	victim.kill()
	load := c.startLoad(0, &load{patience: 15 * time.Second})
	var again sync.WaitGroup
	for i, j := range append(jobs, running) {
		again.Add(1)
		go func() {
			defer again.Done()
			load.untilFinal(rand.New(rand.NewPCG(uint64(i), 3)), j)
		}()
	}
	again.Wait()
	load.verify()
	for _, j := range jobs {
		last := load.histories[j.key].last()
		g.Expect(sameAnswer(first[j.key], last)).To(gomega.BeTrue(), "%+v, at first %+v", last.Answer, first[j.key].Answer)
	}
	// The tasks that ran while the home was lost have ended meanwhile, so the agents have the whole answer.
	g.Expect(load.histories[running.key].last().Outcome).To(gomega.Equal(api.OutcomeComplete))
	for _, e := range c.others(victim) {
		e.relay.setDelay(0)
	}
	for i := range 12 {
		r := c.untilFinal(c.entries[2*(i%2)], newJob("charge", 4*time.Second, 20, 20), 10*time.Second)
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
	}
}

// Guards against a task that runs twice because an entry began again under the same id at once, twice in a row, before
// anyone missed it.
func TestEntryKilledAndRestartedAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	load := c.startLoad(8, &load{doubled: 0.4, jobs: quickJob, patience: 4 * time.Second})
	for _, e := range []*entry{c.entries[0], c.entries[2], c.entries[2]} {
		time.Sleep(800 * time.Millisecond)
		e.kill()
		c.startEntry(e)
	}
	time.Sleep(time.Second)
	load.verify()
	c.waitSettled(10 * time.Second)
}

// Guards against a task that runs twice because a home and an agent with its records are lost together, and the agent
// comes back without them.
func TestHomeAndAgentKilledTogether(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	load := c.startLoad(8, &load{doubled: 0.4, jobs: quickJob, patience: 3 * time.Second})
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
	c.waitList(c.entries[0], 10*time.Second, "the killed entry is expelled", without(home.id, state.Incarnation))
	time.Sleep(1500 * time.Millisecond)
	load.verify()
}

// Guards against an entry that was paused past its lease and starts or answers something as if it still owned its keys,
// and against one that never joins again.
func TestPausedHomeIsFencedAndJoinsAgain(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{slots: 2})
	load := c.startLoad(6, &load{doubled: 0.3, patience: 16 * time.Second})
	time.Sleep(time.Second)
	victim := c.entries[1]
	before, err := c.stateOf(victim)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// More tasks than slots wait at the home when it is paused. It has them in its queue when it goes on.
	waiting := make(chan reply, 30)
	for range cap(waiting) {
		j := c.jobWithHome(victim, newJob("charge", 30*time.Second, 400, 400))
		go func() {
			r, err := submit(context.Background(), victim, j)
			load.note(j, r, err)
			waiting <- r
		}()
	}
	time.Sleep(300 * time.Millisecond)
	victim.freeze()
	c.waitList(c.entries[0], 20*time.Second, "the paused entry is expelled", without(victim.id, before.Incarnation))
	time.Sleep(time.Second)
	victim.thaw()
	c.eventually(20*time.Second, "the paused entry joins again", func() error {
		s, err := c.stateOf(victim)
		if err != nil {
			return err
		}
		if s.Incarnation == before.Incarnation || without(victim.id, s.Incarnation)(s.List) {
			return fmt.Errorf("incarnation %d, list %+v", s.Incarnation, s.List)
		}
		return nil
	})
	for range cap(waiting) {
		<-waiting
	}
	load.verify()
	c.waitSettled(10 * time.Second)
}

// jobWithHome gives the job a fresh key whose home is the entry.
func (c *cluster) jobWithHome(home *entry, j job) job {
	c.t.Helper()
	for {
		if c.homeOf(j.key) == home {
			return j
		}
		j.key = newJob(j.kind, 0).key
	}
}

// untilFinal submits the job until there is an answer that needs no resubmission.
func (c *cluster) untilFinal(e *entry, j job, limit time.Duration) (last reply) {
	c.t.Helper()
	c.eventually(limit, "a final answer", func() error {
		r, err := submit(context.Background(), e, j)
		if err != nil {
			return err
		}
		if fault := j.check(r); fault != nil {
			c.t.Fatal(fault)
		}
		last = r
		if !final(r) {
			return fmt.Errorf("status %d, reason %s: %s", r.status, r.reason, r.Message)
		}
		return nil
	})
	return last
}
