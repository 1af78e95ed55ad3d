package devcluster_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/devcluster"
)

// pooledClient reuses its connections, so that the measured times do not include handshakes.
var pooledClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

const benchBody = `{"work_ms":0,"echo":"bench"}`

// startForBench starts the deployment wax without simulated delays between data centres, so that the measured latency is
// that of the program alone.
func startForBench(b *testing.B, entries int) *devcluster.Cluster {
	b.Helper()
	d, err := deployment.Load("wax")
	if err != nil {
		b.Fatal(err)
	}
	d.Network.BetweenDataCentres = 0
	d.Entries = entries
	c, err := devcluster.Start(context.Background(), devcluster.Options{Deployment: d})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	return c
}

func post(b *testing.B, url, key string) time.Duration {
	b.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(benchBody))
	if err != nil {
		b.Fatal(err)
	}
	if key != "" {
		request.Header.Set(api.HeaderKey, key)
	}
	startedAt := time.Now()
	response, err := pooledClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d", response.StatusCode)
	}
	return time.Since(startedAt)
}

func medianMicros(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2].Microseconds())
}

// BenchmarkIdlePath compares the latency of a request through an entry and an agent with that of a direct call to the
// stand-in upstream. The two kinds alternate, one request at a time, so that the load of the machine affects both equally.
// The metric added-us is the difference between the medians.
func BenchmarkIdlePath(b *testing.B) {
	for _, callerSetsKey := range []bool{false, true} {
		name := "key=issued"
		if callerSetsKey {
			name = "key=caller"
		}
		b.Run(name, func(b *testing.B) {
			c := startForBench(b, 1)
			dispatchedURL := c.CallerURLs()[0] + "/v1/services/bench/requests/edge-check"
			directURL := c.Upstreams[0].URL() + "/edge-check"
			var dispatchedTimes, directTimes []time.Duration
			for b.Loop() {
				key := ""
				if callerSetsKey {
					key = uuid.Must(uuid.NewV7()).String()
				}
				directTimes = append(directTimes, post(b, directURL, ""))
				dispatchedTimes = append(dispatchedTimes, post(b, dispatchedURL, key))
			}
			b.ReportMetric(medianMicros(directTimes), "direct-us")
			b.ReportMetric(medianMicros(dispatchedTimes), "through-us")
			b.ReportMetric(medianMicros(dispatchedTimes)-medianMicros(directTimes), "added-us")
		})
	}
}
