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
// a wave of cancellations leaves behind.
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
				load.note(j, r, err)
			}()
		}
		time.Sleep(150 * time.Millisecond)
		for i, j := range jobs {
			running.Add(1)
			go func() {
				defer running.Done()
				if r, err := remove(context.Background(), c.entries[(i+1)%3], j.key); err == nil && r.status != http.StatusNotFound {
					load.note(j, r, nil)
				}
			}()
		}
		running.Wait()
	}
	s := load.verify()
	g.Expect(s.notRun).To(gomega.BeNumerically(">", 0), "no job was cancelled before its start")
	// Closed connections cancel jobs without a key.
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
	c.eventually(5*time.Second, "no job is left", func() error { return c.idle() })
	r := c.untilFinal(c.entries[0], newJob("charge", 4*time.Second, 20, 20), 5*time.Second)
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete))
}

// Guards against a false not_run of a task whose first attempt ran and whose retry was taken back.
func TestCancelledRetriesAreNotRefusedFalsely(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{slots: 1})
	c.putDocument(benchDocument+"retries: {budget: 1}\n", 1)
	c.waitRevision(2, documentBound)
	// Tasks that failed at the first two upstreams wait for a slot of the others until they are cancelled.
	for _, u := range c.upstreams[:2] {
		c.upstreamFaults(u, map[string]any{"fail": true})
	}
	load := c.startLoad(0, &load{repeats: true})
	var running sync.WaitGroup
	for i := range 60 {
		j := newJob("quote", 20*time.Second, 400)
		running.Add(2)
		go func() {
			defer running.Done()
			r, err := submit(context.Background(), c.entries[i%3], j)
			load.note(j, r, err)
		}()
		go func() {
			defer running.Done()
			time.Sleep(time.Duration(300+50*i) * time.Millisecond)
			if r, err := remove(context.Background(), c.entries[(i+1)%3], j.key); err == nil && r.status != http.StatusNotFound {
				load.note(j, r, nil)
			}
		}()
	}
	running.Wait()
	s := load.verify()
	g.Expect(s.notRun).To(gomega.BeNumerically(">", 0), "%v", s)
	g.Expect(s.unknown).To(gomega.BeNumerically(">", 0), "%v", s)
}

// Guards against a job that no upstream can run and that waits for its deadline, or holds back other jobs.
func TestJobsThatCanNeverRun(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	load := c.startLoad(6, &load{jobs: func(r *rand.Rand) job {
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
		g.Expect(h.complete != nil).To(gomega.Equal(!heavy), "key %s of kind %s: %+v", key, h.job.kind, h.last().Answer)
	}
	time.Sleep(10 * time.Second) // the entries have been up for so long that they wait for no announcement any more
	began := time.Now()
	r, err := submit(context.Background(), c.entries[0], newJob("heavy", 8*time.Second, 20))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.reason).To(gomega.Equal(wire.ReasonNoUpstream))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
}

// Guards against an upstream that fails everything at once and thereby attracts the work of the others.
func TestUpstreamThatFailsEverything(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	bad := c.upstreams[0]
	c.upstreamFaults(bad, map[string]any{"fail": true})
	load := c.startLoad(6, &load{})
	time.Sleep(4 * time.Second)
	s := load.verify()
	g.Expect(s.complete).To(gomega.Equal(s.keys), "an error of the upstream is an answer: %v", s)
	total := 0
	for _, u := range c.upstreams {
		total += c.startsAt(u)
	}
	g.Expect(c.startsAt(bad)).To(gomega.BeNumerically("<", total/4), "of %d starts", total)
}

var errBusy = errors.New("jobs or attempts are open")

// idle returns an error while an entry has a job or an open attempt.
func (c *cluster) idle() error {
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
