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

// churn restarts random entries and gives callers those that run.
type churn struct {
	cluster *devcluster.Cluster
	mu      sync.Mutex
	alive   []*devcluster.Entry
}

func (c *churn) pick() *devcluster.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alive[rand.IntN(len(c.alive))]
}

// restart takes an entry away from the callers, stops it and starts it again at once.
func (c *churn) restart() {
	ginkgo.GinkgoHelper()
	c.mu.Lock()
	i := rand.IntN(len(c.alive))
	e := c.alive[i]
	c.alive = append(append([]*devcluster.Entry(nil), c.alive[:i]...), c.alive[i+1:]...)
	c.mu.Unlock()
	e.Stop()
	<-e.Ended
	next, err := c.cluster.StartEntry(e.Options.ID, e.Options.DataCentre)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	c.mu.Lock()
	c.alive = append(c.alive, next)
	c.mu.Unlock()
}

// untilComplete submits a job, and again under the same key at another entry after a failure. It returns why the last of
// many tries failed, or "".
func (c *churn) untilComplete() string {
	const tries = 30
	key := uuid.Must(uuid.NewV7()).String()
	cause := ""
	for range tries {
		r, err := submit("http://"+c.pick().CallerAddress(), key, 10, 25)
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

// Guards against a task that starts twice, and against a job that never completes, when entries leave and join faster than
// the changes of the list settle.
var _ = ginkgo.It("runs every job once while random entries are restarted without a pause", func() {
	const callers, length = 16, 5 * time.Second
	cluster := start()
	c := &churn{cluster: cluster, alive: append([]*devcluster.Entry(nil), cluster.Entries...)}
	end := time.Now().Add(length)
	var wait sync.WaitGroup
	causes := make(chan string, callers)
	for range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) {
				if cause := c.untilComplete(); cause != "" {
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
