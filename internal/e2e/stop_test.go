package e2e_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// balancer polls the readiness of the entries as a load balancer does.
type balancer struct {
	mu    sync.Mutex
	all   []*entry
	ready []*entry
}

const pollInterval = 100 * time.Millisecond

func (c *cluster) startBalancer() *balancer {
	b := &balancer{all: slices.Clone(c.entries)}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Add(1)
	c.t.Cleanup(func() {
		stop()
		running.Wait()
	})
	b.poll()
	go func() {
		defer running.Done()
		for ctx.Err() == nil {
			time.Sleep(pollInterval)
			b.poll()
		}
	}()
	return b
}

// add makes the balancer poll another entry.
func (b *balancer) add(e *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, e)
}

func (b *balancer) poll() {
	b.mu.Lock()
	all := slices.Clone(b.all)
	b.mu.Unlock()
	var up []*entry
	for _, e := range all {
		if ready(e.admin) {
			up = append(up, e)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = up
}

func (b *balancer) targets() []*entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}

// stopLimit bounds a planned stop: readiness delay, the longest job of the load, the handover and slack for a busy host.
const stopLimit = 20 * time.Second

// plannedCallers is the number of callers during planned stops; they keep most slots busy.
const plannedCallers = 14

// plannedLoad mixes jobs with and without a key. Some tasks run much longer than the readiness delay of an entry and the
// time for which an agent without work stays, so that only a wait for them keeps their answers.
func plannedLoad(r *rand.Rand) job {
	j := mixedJob(r)
	if r.IntN(3) == 0 {
		j = newJob("charge", 0, 30, 1200+r.IntN(300))
	}
	j.deadline = 8 * time.Second
	if r.IntN(4) == 0 {
		j.key = ""
	}
	return j
}

// expectUntouched fails the test unless every request was answered complete over an unbroken connection.
func (l *load) expectUntouched() {
	l.cluster.t.Helper()
	s := l.verify()
	g := gomega.NewWithT(l.cluster.t)
	g.Expect(s.broken+l.keylessBroken).To(gomega.BeZero(), "requests were cut: %v", l.causes())
	g.Expect(s.complete).To(gomega.Equal(s.keys), "%v", s)
	g.Expect(s.keys).To(gomega.BeNumerically(">", 2*plannedCallers), "the load was too low to prove anything")
}

func (l *load) causes() (all []string) {
	for _, h := range l.histories {
		all = append(all, h.causes...)
	}
	return all
}

// Guards against a planned stop of an entry that cuts a request, makes an outcome unknown or loses a stored answer.
func TestEntriesReplacedOneByOneUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	b := c.startBalancer()
	load := c.startLoad(plannedCallers, &load{targets: b.targets, jobs: plannedLoad, doubled: 0.2})
	answered := make(map[string]reply)
	for _, e := range c.entries {
		time.Sleep(300 * time.Millisecond)
		var jobs []job
		for range 5 {
			j := c.jobWithHome(e, newJob("charge", 4*time.Second, 20, 20, 20))
			answered[j.key] = c.untilFinal(e, j, 5*time.Second)
			jobs = append(jobs, j)
		}
		e.stop(stopLimit)
		for _, j := range jobs {
			c.expectSame(answered[j.key], j)
		}
		c.startEntry(e)
		c.waitSettled(10 * time.Second)
		for _, j := range jobs {
			c.expectSame(answered[j.key], j)
		}
	}
	time.Sleep(500 * time.Millisecond)
	load.expectUntouched()
	state, err := c.stateOf(c.entries[0])
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, d := range state.List.Departed {
		gomega.NewWithT(t).Expect(d.Clean).To(gomega.BeTrue(), "%s left without a handover", d.ID)
	}
}

// expectSame submits a job again, at every entry, and expects the former answer without another start.
func (c *cluster) expectSame(former reply, j job) {
	c.t.Helper()
	g := gomega.NewWithT(c.t)
	entries, _ := c.running()
	for _, e := range entries {
		r, err := submit(context.Background(), e, j)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sameAnswer(former, r)).To(gomega.BeTrue(), "%+v, formerly %+v", r.Answer, former.Answer)
	}
	g.Expect(c.startsOf(j.key, len(j.bodies))).To(gomega.Equal(len(j.bodies)))
}

// Guards against a planned stop of an agent or of its upstream that loses a running task or refuses a waiting one.
func TestAgentsAndUpstreamsReplacedOneByOneUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	b := c.startBalancer()
	load := c.startLoad(plannedCallers, &load{targets: b.targets, jobs: plannedLoad, doubled: 0.2})
	for _, a := range c.agents {
		time.Sleep(300 * time.Millisecond)
		a.stop(stopLimit)
		c.stopUpstream(a.upstream)
		c.startUpstream(a.upstream)
		c.startAgent(a)
		c.waitSettled(10 * time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	load.expectUntouched()
}

// Guards against an entry that joins and gets no agents while their other links are busy, and against a join that
// refuses or repeats work.
func TestEntryJoinsUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	b := c.startBalancer()
	load := c.startLoad(plannedCallers, &load{targets: b.targets, doubled: 0.2})
	time.Sleep(500 * time.Millisecond)
	b.add(c.addEntry("entry-4"))
	c.waitSettled(5 * time.Second)
	time.Sleep(500 * time.Millisecond)
	load.expectUntouched()
}

// Guards against two kinds of process that cannot be stopped at the same time.
func TestEntryAndAgentsStoppedTogetherUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	b := c.startBalancer()
	load := c.startLoad(plannedCallers, &load{targets: b.targets, jobs: plannedLoad, doubled: 0.2})
	time.Sleep(500 * time.Millisecond)
	var stopping sync.WaitGroup
	for _, p := range []*process{c.entries[1].process, c.agents[0].process, c.agents[2].process} {
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			p.stop(stopLimit)
		}()
	}
	stopping.Wait()
	time.Sleep(500 * time.Millisecond)
	load.expectUntouched()
}

// stopUpstream ends an upstream and keeps the list of what it started.
func (c *cluster) stopUpstream(u *upstream) {
	c.t.Helper()
	tasks, err := c.startedAt(u)
	if err != nil {
		c.t.Fatal(err)
	}
	u.stop(stopLimit)
	u.former = append(u.former, tasks)
}
