package devcluster_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/devcluster"
)

// client opens a new connection for each request, because a stopping server waits 5 s for idle connections that a client
// keeps open.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func TestDevcluster(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "a small deployment in one process")
}

func start() *devcluster.Cluster {
	ginkgo.GinkgoHelper()
	return startWith(devcluster.Options{})
}

func startWith(options devcluster.Options) *devcluster.Cluster {
	ginkgo.GinkgoHelper()
	d, err := deployment.Load("wax")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	options.Deployment = d
	c, err := devcluster.Start(context.Background(), options)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(c.Close)
	return c
}

type reply struct {
	status int
	answer *api.Answer
}

// submit sends a job with one task for each run time and reads the answer. An empty key sends no idempotency key.
func submit(base, key string, workMillis ...int) (reply, error) {
	var tasks []map[string]any
	for i, work := range workMillis {
		tasks = append(tasks, map[string]any{"body": map[string]any{"work_ms": work, "echo": fmt.Sprintf("%s/%d", key, i)}})
	}
	body, err := json.Marshal(map[string]any{"kind": "hot-wax", "deadline_ms": 8000, "tasks": tasks})
	if err != nil {
		return reply{}, err
	}
	request, err := http.NewRequest(http.MethodPost, base+"/v1/services/bench/jobs", bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	if key != "" {
		request.Header.Set(api.HeaderKey, key)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	answer, err := api.DecodeAnswer(io.LimitReader(response.Body, api.MaxAnswer), api.MaxAnswer)
	return reply{response.StatusCode, answer}, err
}

// Guards against processes that work only in isolation, and against a task that runs again because its job is resubmitted
// to another entry.
var _ = ginkgo.It("runs a job once although it is submitted to every entry", func() {
	c := start()
	key := uuid.Must(uuid.NewV7()).String()
	var wait sync.WaitGroup
	replies := make([]reply, 3*len(c.Entries))
	errors := make([]error, len(replies))
	for i := range replies {
		wait.Add(1)
		go func() {
			defer wait.Done()
			replies[i], errors[i] = submit(c.CallerURLs()[i%len(c.Entries)], key, 100, 50, 20)
		}()
	}
	wait.Wait()
	for i, r := range replies {
		gomega.Expect(errors[i]).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(r.answer).To(gomega.Equal(replies[0].answer))
	}
	starts, err := c.Starts(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(starts.Started).To(gomega.BeEquivalentTo(3))
	gomega.Expect(starts.StartedTwice).To(gomega.BeZero())
})

// Guards against a graceful stop that aborts a request or makes its outcome unknown, and against answers that are lost
// when the entry that stores them stops.
var _ = ginkgo.It("keeps every answer while entries are restarted one after another under load", func() {
	recorder := &startRecorder{}
	c := startWith(devcluster.Options{OnStart: recorder.add})
	urls := c.CallerURLs()
	stableURL := urls[len(urls)-1]
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	failures := []string{}
	answers := map[string]*api.Answer{}
	for range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				key := uuid.Must(uuid.NewV7()).String()
				r, err := submit(stableURL, key, 30, 60)
				mu.Lock()
				if err != nil {
					failures = append(failures, err.Error())
				} else if r.status != http.StatusOK {
					failures = append(failures, fmt.Sprintf("%d %s %s", r.status, r.answer.Reason, r.answer.Message))
				} else {
					answers[key] = r.answer
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	for _, e := range c.Entries[:len(c.Entries)-1] {
		recorder.note("%s at %s is stopped", e.Options.ID, e.LinkAddress())
		e.Stop()
		<-e.Done
		next, err := c.StartEntry(e.Options.ID, e.Options.DataCentre)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		recorder.note("%s is restarted at %s", e.Options.ID, next.LinkAddress())
		time.Sleep(300 * time.Millisecond)
	}
	close(stop)
	wait.Wait()
	gomega.Expect(failures).To(gomega.BeEmpty())
	gomega.Expect(len(answers)).To(gomega.BeNumerically(">", 50))
	recorder.note("the load has ended; each key is submitted again")
	for key, answer := range answers {
		r, err := submit(stableURL, key, 30, 60)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.answer).To(gomega.Equal(answer))
	}
	describe := func() string { return recorder.describeUnexpectedStarts(slices.Collect(maps.Keys(answers)), 2) }
	starts, err := c.Starts(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(starts.StartedTwice).To(gomega.BeZero(), describe)
	gomega.Expect(starts.Started).To(gomega.BeEquivalentTo(2*len(answers)), describe)
})

// Guards against refusing a resubmitted single request as a conflict because its client adds a new trace header each time,
// and against accepting a different body under the same key.
var _ = ginkgo.It("treats a single request with different trace headers as the same request", func() {
	c := start()
	key := uuid.Must(uuid.NewV7()).String()
	send := func(entry int, trace, body string) int {
		url := c.CallerURLs()[entry] + "/v1/services/bench/requests/hot-wax"
		request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		request.Header.Set(api.HeaderKey, key)
		request.Header.Set("Traceparent", trace)
		response, err := client.Do(request)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer response.Body.Close()
		return response.StatusCode
	}
	gomega.Expect(send(0, "first", `{"work_ms":5}`)).To(gomega.Equal(http.StatusOK))
	gomega.Expect(send(1, "second", `{"work_ms":5}`)).To(gomega.Equal(http.StatusOK))
	gomega.Expect(send(2, "third", `{"work_ms":6}`)).To(gomega.Equal(http.StatusConflict))
	starts, err := c.Starts(context.Background())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(starts.Started).To(gomega.BeEquivalentTo(1))
})
