package devcluster_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/devcluster"
)

// churn restarts random entries and selects running entries for the callers.
type churn struct {
	cluster *devcluster.Cluster
	mu      sync.Mutex
	running []*devcluster.Entry
}

func (c *churn) randomEntry() *devcluster.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running[rand.IntN(len(c.running))]
}

// restart removes a random entry from those that callers use, stops it and immediately starts it again.
func (c *churn) restart() {
	ginkgo.GinkgoHelper()
	c.mu.Lock()
	i := rand.IntN(len(c.running))
	e := c.running[i]
	c.running = append(append([]*devcluster.Entry(nil), c.running[:i]...), c.running[i+1:]...)
	c.mu.Unlock()
	e.Stop()
	<-e.Done
	next, err := c.cluster.StartEntry(e.Options.ID, e.Options.DataCentre)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	c.mu.Lock()
	c.running = append(c.running, next)
	c.mu.Unlock()
}

// submitUntilComplete submits a job and retries it under the same key at a random entry after each failure. It returns an
// empty string, or the reason for the failure of the last attempt.
func (c *churn) submitUntilComplete() string {
	const maxAttempts = 30
	key := uuid.Must(uuid.NewV7()).String()
	cause := ""
	for range maxAttempts {
		r, err := submit("http://"+c.randomEntry().CallerAddress(), key, 10, 25)
		switch {
		case err != nil:
			cause = err.Error()
		case r.status == http.StatusOK:
			return ""
		default:
			cause = fmt.Sprintf("%d %s", r.status, r.answer.Reason)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return cause
}

// Guards against a task that starts twice and against a job that never completes while entries leave and join faster than
// the changes of the list of entries propagate.
var _ = ginkgo.It("runs every job once while random entries are restarted without a pause", func() {
	const callers, duration = 16, 5 * time.Second
	cluster := start()
	c := &churn{cluster: cluster, running: append([]*devcluster.Entry(nil), cluster.Entries...)}
	end := time.Now().Add(duration)
	var wait sync.WaitGroup
	causes := make(chan string, callers)
	for range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) {
				if cause := c.submitUntilComplete(); cause != "" {
					causes <- cause
					return
				}
			}
		}()
	}
	for time.Now().Before(end) {
		c.restart()
	}
	wait.Wait()
	close(causes)
	var failed []string
	for cause := range causes {
		failed = append(failed, cause)
	}
	gomega.Expect(failed).To(gomega.BeEmpty())
	starts, err := cluster.Starts(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(starts.Started).To(gomega.BeNumerically(">", 100))
	gomega.Expect(starts.StartedTwice).To(gomega.BeZero())
})
