package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// servedAgainWithin is the bound for the time from the kill of an entry until its keys are served again, with the default
// times and a store that is up.
const servedAgainWithin = 8 * time.Second

// Guards against keys of a killed entry that stay without a home until its lease ended, although the kernel of its host
// refuses connections at its address. The victims take turns: the first entry dials its peers, the last one is dialled.
// E2E_KILLS sets the number of kills.
func TestKeysOfAKilledEntryAreServedAgainSoon(t *testing.T) {
	t.Parallel()
	kills, err := strconv.Atoi(os.Getenv("E2E_KILLS"))
	if err != nil {
		kills = 3
	}
	c := newCluster(t, options{defaultTimes: true, agents: 2})
	for i := range kills {
		const lease = 5 * time.Second // the kills are at any phase of a renewal
		time.Sleep(rand.N(lease))
		victim := c.entries[i%len(c.entries)]
		first, all := c.killAndResubmit(victim)
		t.Logf("%s killed: first key served after %.2f s, all after %.2f s", victim.id, first.Seconds(), all.Seconds())
		gomega.NewWithT(t).Expect(all).To(gomega.BeNumerically("<", servedAgainWithin))
		c.startEntry(victim)
		c.waitSettled(30 * time.Second)
	}
}

// killAndResubmit kills an entry and submits keys of it, complete and new ones, until they are complete. It returns when the
// first and the last of them were.
func (c *cluster) killAndResubmit(victim *entry) (first, all time.Duration) {
	c.t.Helper()
	g := gomega.NewWithT(c.t)
	var jobs []job
	for range 4 {
		j := c.jobWithHome(victim, newJob("charge", 500*time.Millisecond, 20, 20))
		r, err := submit(context.Background(), c.others(victim)[0], j)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
		jobs = append(jobs, j, c.jobWithHome(victim, newJob("charge", 500*time.Millisecond, 20, 20)))
	}
	victim.kill()
	killed := time.Now()
	for i, j := range jobs {
		const limit = 90 * time.Second
		r := c.untilFinal(c.others(victim)[i%2], j, limit)
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
		if i == 0 {
			first = time.Since(killed)
		}
	}
	all = time.Since(killed)
	for _, j := range jobs {
		g.Expect(c.startsOf(j.key, 2)).To(gomega.Equal(2))
	}
	return first, all
}

// jobWithHomes gives the job a fresh key whose home is the first entry, and the second one when the first has left.
func (c *cluster) jobWithHomes(first, second *entry, j job) job {
	c.t.Helper()
	s, err := c.stateOf(first)
	if err != nil {
		c.t.Fatal(err)
	}
	rest := wire.EntryList{Members: slices.DeleteFunc(slices.Clone(s.List.Members), func(m wire.Member) bool { return m.ID == first.id })}
	for {
		hash := placement.HashKey(service, j.key)
		home, _ := placement.Home(&s.List, "", hash)
		if next, _ := placement.Home(&rest, "", hash); home.ID == first.id && next.ID == second.id {
			return j
		}
		j.key = newJob(j.kind, 0).key
	}
}

// killAndWait kills an entry and waits until another one has a list without it.
func (c *cluster) killAndWait(victim, witness *entry) {
	c.t.Helper()
	s, err := c.stateOf(victim)
	if err != nil {
		c.t.Fatal(err)
	}
	victim.kill()
	c.waitList(witness, 10*time.Second, "the killed entry is expelled", without(victim.id, s.Incarnation))
}

// Guards against a key that runs again because its second new home asks for the records of the entry that was lost last
// only, while the first recovery was not complete: one agent was paused and its records had not come.
func TestSecondExpulsionDuringARecovery(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	c.addEntry("entry-4")
	c.waitSettled(10 * time.Second)
	first, second, witness := c.entries[0], c.entries[1], c.entries[3]
	complete := make(map[string]reply)
	var jobs []job
	for range 8 {
		j := c.jobWithHomes(first, second, newJob("charge", 8*time.Second, 20, 20, 20, 20))
		r, err := submit(context.Background(), c.entries[2], j)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
		complete[j.key] = r
		jobs = append(jobs, j)
	}
	running := c.jobWithHomes(first, second, newJob("charge", 8*time.Second, 1500, 1500, 1500, 1500, 1500, 1500, 1500, 1500))
	go func() { _, _ = submit(context.Background(), first, running) }()
	c.waitRunning(running.key, 8)
	fresh := c.jobWithHomes(first, second, newJob("charge", 4*time.Second, 20, 20))
	load := c.startLoad(4, &load{doubled: 0.4, jobs: quickJob, patience: 15 * time.Second})
	paused := c.agents[1]
	paused.freeze()
	c.killAndWait(first, second)
	s, err := c.stateOf(second)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Submissions.PendingAgents).To(gomega.BeNumerically(">", 0), "the recovery runs still")
	c.killAndWait(second, witness)
	s, err = c.stateOf(witness)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Submissions.PendingAgents).To(gomega.BeNumerically(">", 0), "the recovery runs still")
	paused.thaw()
	for i, j := range append(jobs, running, fresh) {
		r := c.untilFinal(c.entries[2+i%2], j, 15*time.Second)
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
		if former, ok := complete[j.key]; ok {
			g.Expect(sameAnswer(former, r)).To(gomega.BeTrue())
		}
		g.Expect(c.startsOf(j.key, len(j.bodies))).To(gomega.Equal(len(j.bodies)))
	}
	load.verify()
}

// Guards against a task that starts twice, and a key that no entry answers for, because every entry ended at the same moment
// and only the agents know what was started.
func TestAllEntriesEndedAtOnce(t *testing.T) {
	t.Parallel()
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, options{})
			load := c.startLoad(8, &load{doubled: 0.4, patience: 6 * time.Second})
			time.Sleep(1500 * time.Millisecond)
			for _, e := range c.entries {
				e.signal(signal)
			}
			for _, e := range c.entries {
				select {
				case <-e.ended:
				case <-time.After(stopLimit):
					t.Fatalf("%s did not end", e.id)
				}
			}
			for _, e := range c.entries {
				c.startEntry(e)
			}
			c.waitSettled(15 * time.Second)
			c.waitAgentsAnswered(15 * time.Second)
			// A key counts as created after the restart only if it is later by more than the skew that is allowed for clocks.
			const clockSkew = 2 * time.Second
			time.Sleep(clockSkew + 100*time.Millisecond)
			answered := time.Now()
			for i := range 12 {
				r := c.untilFinal(c.entries[i%3], newJob("charge", 4*time.Second, 20, 20), 10*time.Second)
				gomega.NewWithT(t).Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
			}
			load.resubmitAll(answered)
			load.verify()
		})
	}
}

// waitAgentsAnswered waits until no running entry waits for the records of an agent.
func (c *cluster) waitAgentsAnswered(limit time.Duration) {
	c.t.Helper()
	c.eventually(limit, "every agent has answered", func() error {
		entries, _ := c.running()
		for _, e := range entries {
			s, err := c.stateOf(e)
			if err != nil {
				return err
			}
			if s.Submissions.PendingAgents > 0 || s.Submissions.PendingMembers > 0 {
				return fmt.Errorf("%s: %+v", e.id, s.Submissions)
			}
		}
		return nil
	})
}

// resubmitAll ends the load and submits each of its keys once more. All agents have answered, so no key of which a task was
// started, nor a UUIDv7 key from the given time on, may be left as recovering.
func (l *load) resubmitAll(answered time.Time) {
	l.cluster.t.Helper()
	l.stop()
	starts, err := l.cluster.starts()
	if err != nil {
		l.cluster.t.Fatal(err)
	}
	open := 0
	for key, h := range l.histories {
		r, err := submit(context.Background(), l.cluster.anyRunning(), h.job)
		if err != nil {
			l.cluster.t.Fatal(err)
		}
		if l.note(h.job, r, nil) {
			continue
		}
		open++
		at, ordered := placement.KeyTime(key)
		if h.started(starts) > 0 || ordered && at.After(answered) {
			l.cluster.t.Errorf("key %s, %d of %d tasks started: %s, %s", key, h.started(starts), len(h.job.bodies), r.reason, r.Message)
		}
	}
	l.cluster.t.Logf("%d of %d keys, none of them started, stay without a final answer", open, len(l.histories))
}

// agentGone runs the operators' command at an entry and returns its output and whether it succeeded.
func (c *cluster) agentGone(e *entry, id string) (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	output, err := exec.CommandContext(ctx, program, "agent-gone", "--agent", id, "--admin-address", e.admin,
		"--admin-token", token).CombinedOutput()
	return string(output), err == nil
}

// Guards against keys that stay recovering although an operator stated that the agent that died with their home is gone, at
// the entry that was told and at the others, and against a statement about an agent that is there.
func TestKeysAreServedAfterAnAgentIsStatedGone(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	home, lost := c.entries[1], c.agents[1]
	output, ok := c.agentGone(c.entries[0], lost.id)
	g.Expect(ok).To(gomega.BeFalse(), output)
	older := c.jobWithHome(home, newJob("charge", 2*time.Second, 20, 20))
	lost.kill()
	c.killAndWait(home, c.entries[0])
	r, err := submit(context.Background(), c.entries[0], older)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.reason).To(gomega.Equal(wire.ReasonRecovering), "%+v", r.Answer)
	output, ok = c.agentGone(c.entries[0], lost.id)
	g.Expect(ok).To(gomega.BeTrue(), output)
	const clockSkew = 2 * time.Second
	time.Sleep(clockSkew + 100*time.Millisecond)
	for i := range 12 {
		j := newJob("charge", 4*time.Second, 20, 20)
		r := c.untilFinal(c.entries[2*(i%2)], j, 5*time.Second)
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
	}
	r, err = submit(context.Background(), c.entries[0], older)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.reason).To(gomega.Equal(wire.ReasonRecovering), "an older key can have run at the lost agent: %+v", r.Answer)
}
