package loadgen_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/loadgen"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against counters that are summed incorrectly or include the time before the run, and against missing counters
// that are not reported as an error.
func TestCounters(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	reading := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.Header.Get("Authorization") != "Bearer t" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		reading++
		n := 1
		if reading > 2 {
			n = 3
		}
		fmt.Fprintf(w, `{"starts":%d,"double_starts":%d,"agent":{"refusals":{"busy":%d,"down":%d}}}`, 100*n, n, 10*n, 5*n)
	}))
	defer server.Close()
	entry := &fakeEntry{answer: func(job *api.JobRequest, _ int) (*api.Answer, int) { return correctAnswer(job), 200 }}
	result := runLoad(t, entry, func(c *loadgen.Config) {
		c.StartCounter = &loadgen.HTTPStarts{URLs: []string{server.URL}, Token: "t"}
		c.WasteCounter = &loadgen.HTTPWaste{URLs: []string{server.URL}, Token: "t", Paths: []string{"agent.refusals", "none"}}
	})
	g.Expect(result.StartsCounted).To(gomega.BeTrue())
	g.Expect(result.TasksStarted).To(gomega.BeEquivalentTo(200))
	g.Expect(result.TasksStartedTwice).To(gomega.BeEquivalentTo(2))
	g.Expect(float64(result.MessagesWastedPerTask)).To(gomega.BeNumerically("~", 30.0/200, 1e-9))
	g.Expect(result.Violations()).To(gomega.ContainElement(gomega.ContainSubstring("started twice")))

	_, err := (&loadgen.HTTPWaste{URLs: []string{server.URL}, Token: "t", Paths: []string{"entry.none"}}).Wasted(context.Background())
	g.Expect(err).To(gomega.MatchError(loadgen.ErrCounters))
	_, err = (&loadgen.HTTPStarts{URLs: []string{server.URL}}).Starts(context.Background())
	g.Expect(err).To(gomega.MatchError(loadgen.ErrCounters))
}

// Guards against an invalid configuration that is reported only after the run.
func TestConfigIsChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, entries := range [][]string{nil, {"127.0.0.1:80"}, {"ftp://host"}, {"http://"}} {
		_, err := loadgen.Run(context.Background(), loadgen.Config{Service: service(), Capacity: 1, MinWorkFactor: 1, Duration: time.Second, Entries: entries})
		g.Expect(err).To(gomega.MatchError(loadgen.ErrConfig))
	}
	_, err := loadgen.Run(context.Background(), loadgen.Config{Entries: []string{"http://a"}, Duration: time.Second})
	g.Expect(err).To(gomega.MatchError(loadgen.ErrConfig))
}

// Guards against a result that cannot be encoded as JSON because its ratios are undefined: no job was complete.
func TestResultWithoutMeasurementsIsValidJSON(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	result := runLoad(t, &fakeEntry{answer: func(*api.JobRequest, int) (*api.Answer, int) { return failure(api.OutcomeNotRun, wire.ReasonQuota) }}, nil)
	text, err := json.Marshal(result)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(text)).To(gomega.ContainSubstring(`"slowdown_p99":null`))
	var back loadgen.Result
	g.Expect(json.Unmarshal(text, &back)).To(gomega.Succeed())
	g.Expect(back.SlowdownP99.IsDefined()).To(gomega.BeFalse())
	g.Expect(back.Reasons).To(gomega.HaveKeyWithValue("quota", back.Jobs))
}
