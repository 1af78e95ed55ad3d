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

// balancer polls the readiness of the entries and offers the ready ones as targets, as a load balancer does.
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
	var ready []*entry
	for _, e := range all {
		if isReady(e.adminAddress) {
			ready = append(ready, e)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) targets() []*entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready
}

// stopLimit bounds a planned stop: the readiness delay, the longest job of the load, the handover, and slack for a busy
// host.
const stopLimit = 20 * time.Second

// plannedStopCallers is the number of callers during planned stops; they keep most slots busy.
const plannedStopCallers = 14

// mixedLengthJob returns a job with or without a key. Some tasks run much longer than the readiness delay of an entry and
// the time for which a leaving agent without tasks stays up, so their answers are lost unless the process waits for them.
func mixedLengthJob(r *rand.Rand) job {
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

// expectAllComplete fails the test unless every request was answered as complete and no connection failed.
func (l *load) expectAllComplete() {
	l.cluster.t.Helper()
	s := l.verify()
	g := gomega.NewWithT(l.cluster.t)
	g.Expect(s.brokenSubmissions+l.keylessConnectionErrors).To(gomega.BeZero(), "connections failed: %v", l.connectionErrors())
	g.Expect(s.complete).To(gomega.Equal(s.keys), "%v", s)
	g.Expect(s.keys).To(gomega.BeNumerically(">", 2*plannedStopCallers), "the load was too low for the test to check anything")
}

func (l *load) connectionErrors() (all []string) {
	for _, h := range l.histories {
		all = append(all, h.connectionErrors...)
	}
	return all
}

// Guards against a planned stop of an entry that breaks a connection, makes an outcome unknown or loses a stored answer.
func TestEntriesReplacedOneByOneUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	b := c.startBalancer()
	load := c.startLoad(plannedStopCallers, &load{targets: b.targets, nextJob: mixedLengthJob, duplicateShare: 0.2})
	firstReplies := make(map[string]reply)
	for _, e := range c.entries {
		time.Sleep(300 * time.Millisecond)
		var jobs []job
		for range 5 {
			j := c.jobWithHome(e, newJob("charge", 4*time.Second, 20, 20, 20))
			firstReplies[j.key] = c.submitUntilFinal(e, j, 5*time.Second)
			jobs = append(jobs, j)
		}
		e.stop(stopLimit)
		for _, j := range jobs {
			c.expectSameAnswer(firstReplies[j.key], j)
		}
		c.startEntry(e)
		c.waitConverged(10 * time.Second)
		for _, j := range jobs {
			c.expectSameAnswer(firstReplies[j.key], j)
		}
	}
	time.Sleep(500 * time.Millisecond)
	load.expectAllComplete()
	state, err := c.stateOf(c.entries[0])
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, d := range state.List.Departed {
		gomega.NewWithT(t).Expect(d.Clean).To(gomega.BeTrue(), "%s left without a handover", d.ID)
	}
}

// expectSameAnswer submits a job again at every running entry and expects the first answer and no further start.
func (c *cluster) expectSameAnswer(first reply, j job) {
	c.t.Helper()
	g := gomega.NewWithT(c.t)
	entries, _ := c.runningEntriesAndAgents()
	for _, e := range entries {
		r, err := submit(context.Background(), e, j)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sameAnswer(first, r)).To(gomega.BeTrue(), "%+v, first answer %+v", r.Answer, first.Answer)
	}
	g.Expect(c.startsOfKey(j.key, len(j.bodies))).To(gomega.Equal(len(j.bodies)))
}

// Guards against a planned stop of an agent or its upstream that loses a running task or refuses a waiting one.
func TestAgentsAndUpstreamsReplacedOneByOneUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	b := c.startBalancer()
	load := c.startLoad(plannedStopCallers, &load{targets: b.targets, nextJob: mixedLengthJob, duplicateShare: 0.2})
	for _, a := range c.agents {
		time.Sleep(300 * time.Millisecond)
		a.stop(stopLimit)
		c.stopUpstream(a.upstream)
		c.startUpstream(a.upstream)
		c.startAgent(a)
		c.waitConverged(10 * time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	load.expectAllComplete()
}

// Guards against a new entry that gets no agents because their other links are busy, and against work that is refused or
// repeated because an entry joins.
func TestEntryJoinsUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	b := c.startBalancer()
	load := c.startLoad(plannedStopCallers, &load{targets: b.targets, duplicateShare: 0.2})
	time.Sleep(500 * time.Millisecond)
	b.add(c.addEntry("entry-4"))
	c.waitConverged(5 * time.Second)
	time.Sleep(500 * time.Millisecond)
	load.expectAllComplete()
}

// Guards against requests that fail when an entry and two agents are stopped at the same time.
func TestEntryAndAgentsStoppedTogetherUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	b := c.startBalancer()
	load := c.startLoad(plannedStopCallers, &load{targets: b.targets, nextJob: mixedLengthJob, duplicateShare: 0.2})
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
	load.expectAllComplete()
}

// stopUpstream stops an upstream and keeps the counts of the tasks that it started.
func (c *cluster) stopUpstream(u *upstream) {
	c.t.Helper()
	tasks, err := c.startsByTaskAt(u)
	if err != nil {
		c.t.Fatal(err)
	}
	u.stop(stopLimit)
	u.earlierStarts = append(u.earlierStarts, tasks)
}
