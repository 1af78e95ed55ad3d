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

// pooled keeps its connections, so that the figures hold no handshakes.
var pooled = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

const benchBody = `{"work_ms":0,"echo":"bench"}`

// startForBench starts wax without delays between data centres, so that added latency is that of the program alone.
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
	began := time.Now()
	response, err := pooled.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d", response.StatusCode)
	}
	return time.Since(began)
}

func median(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2].Microseconds())
}

// BenchmarkIdlePath compares a request through entry and agent with a direct call to the stand-in upstream, one at a
// time and in turns, so that both see the same machine. The metric added-us is the difference of the medians.
func BenchmarkIdlePath(b *testing.B) {
	for _, keyed := range []bool{false, true} {
		name := "key=issued"
		if keyed {
			name = "key=caller"
		}
		b.Run(name, func(b *testing.B) {
			c := startForBench(b, 1)
			through := c.CallerURLs()[0] + "/v1/services/bench/requests/edge-check"
			direct := c.Upstreams[0].URL() + "/edge-check"
			var throughTimes, directTimes []time.Duration
			for b.Loop() {
				key := ""
				if keyed {
					key = uuid.Must(uuid.NewV7()).String()
				}
				directTimes = append(directTimes, post(b, direct, ""))
				throughTimes = append(throughTimes, post(b, through, key))
			}
			b.ReportMetric(median(directTimes), "direct-us")
			b.ReportMetric(median(throughTimes), "through-us")
			b.ReportMetric(median(throughTimes)-median(directTimes), "added-us")
		})
	}
}
