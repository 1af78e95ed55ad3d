package e2e_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against a cancellation that is answered with not_run while a task runs, and against slots or waiting tasks that
// are not freed after many cancellations at once.
func TestWavesOfCancellations(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{slots: 4})
	load := c.startLoad(0, &load{})
	for range 3 {
		var running sync.WaitGroup
		var jobs []job
		for i := range 40 {
			j := newJob("charge", 8*time.Second, 100, 150, 200)
			jobs = append(jobs, j)
			running.Add(1)
			go func() {
				defer running.Done()
				r, err := submit(context.Background(), c.entries[i%3], j)
				load.record(j, r, err)
			}()
		}
		time.Sleep(150 * time.Millisecond)
		for i, j := range jobs {
			running.Add(1)
			go func() {
				defer running.Done()
				if r, err := cancelJob(context.Background(), c.entries[(i+1)%3], j.key); err == nil && r.status != http.StatusNotFound {
					load.record(j, r, nil)
				}
			}()
		}
		running.Wait()
	}
	s := load.verify()
	g.Expect(s.notRun).To(gomega.BeNumerically(">", 0), "no job was cancelled before its start")
	// Closing the connection cancels a job without a key.
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var abandoned sync.WaitGroup
	for i := range 40 {
		abandoned.Add(1)
		go func() {
			defer abandoned.Done()
			j := newJob("charge", 8*time.Second, 400, 400)
			j.key = ""
			_, _ = submit(ctx, c.entries[i%3], j)
		}()
	}
	abandoned.Wait()
	c.eventually(5*time.Second, "no job or attempt is open", func() error { return c.checkIdle() })
	r := c.submitUntilFinal(c.entries[0], newJob("charge", 4*time.Second, 20, 20), 5*time.Second)
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete))
}

// Guards against a false not_run for a task whose first attempt ran and whose retry was cancelled before its start.
func TestCancelledRetriesAreNotRefusedFalsely(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{slots: 1})
	c.putDocument(benchDocument+"retries: {budget: 1}\n", 1)
	c.waitRevision(2, documentPropagationBound)
	// Tasks that failed at the first two upstreams wait for a slot of the other two until they are cancelled.
	for _, u := range c.upstreams[:2] {
		c.setUpstreamFaults(u, map[string]any{"fail": true})
	}
	load := c.startLoad(0, &load{retriesAllowed: true})
	var running sync.WaitGroup
	for i := range 60 {
		j := newJob("quote", 20*time.Second, 400)
		running.Add(2)
		go func() {
			defer running.Done()
			r, err := submit(context.Background(), c.entries[i%3], j)
			load.record(j, r, err)
		}()
		go func() {
			defer running.Done()
			time.Sleep(time.Duration(300+50*i) * time.Millisecond)
			if r, err := cancelJob(context.Background(), c.entries[(i+1)%3], j.key); err == nil && r.status != http.StatusNotFound {
				load.record(j, r, nil)
			}
		}()
	}
	running.Wait()
	s := load.verify()
	g.Expect(s.notRun).To(gomega.BeNumerically(">", 0), "%v", s)
	g.Expect(s.unknown).To(gomega.BeNumerically(">", 0), "%v", s)
}

// Guards against a job that no upstream can run and that waits until its deadline or delays other jobs.
func TestJobsThatCanNeverRun(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	load := c.startLoad(6, &load{nextJob: func(r *rand.Rand) job {
		j := mixedJob(r)
		if r.IntN(2) == 0 {
			j.kind = "heavy"
		}
		return j
	}})
	time.Sleep(2500 * time.Millisecond)
	s := load.verify()
	g.Expect(s.reasons["not_run "+string(wire.ReasonNoUpstream)]).To(gomega.BeNumerically(">", 0), "%v", s)
	g.Expect(s.complete + s.notRun).To(gomega.Equal(s.keys))
	for key, h := range load.histories {
		heavy := h.job.kind == "heavy"
		g.Expect(h.completeReply != nil).To(gomega.Equal(!heavy), "key %s of kind %s: %+v", key, h.job.kind, h.last().Answer)
	}
	time.Sleep(10 * time.Second) // the grace time for upstreams to announce themselves is over
	began := time.Now()
	r, err := submit(context.Background(), c.entries[0], newJob("heavy", 8*time.Second, 20))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.reason).To(gomega.Equal(wire.ReasonNoUpstream))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
}

// Guards against an upstream that fails every task immediately and, because it is always free, attracts most of the work.
func TestUpstreamThatFailsEverything(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	failing := c.upstreams[0]
	c.setUpstreamFaults(failing, map[string]any{"fail": true})
	load := c.startLoad(6, &load{})
	time.Sleep(4 * time.Second)
	s := load.verify()
	g.Expect(s.complete).To(gomega.Equal(s.keys), "an error of the upstream must count as an answer: %v", s)
	total := 0
	for _, u := range c.upstreams {
		total += c.totalStartsAt(u)
	}
	g.Expect(c.totalStartsAt(failing)).To(gomega.BeNumerically("<", total/4), "of %d starts in total", total)
}

var errBusy = errors.New("jobs or attempts are open")

// checkIdle returns an error while an entry has a running job or an open attempt.
func (c *cluster) checkIdle() error {
	for _, e := range c.entries {
		s, err := c.stateOf(e)
		if err != nil {
			return err
		}
		if s.RunningJobs > 0 {
			return errBusy
		}
		for _, a := range s.Agents {
			if a.OpenAttempts > 0 {
				return errBusy
			}
		}
	}
	return nil
}
