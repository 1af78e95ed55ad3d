package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Bytes of the headers of TCP (with timestamps) and IP on the wire, for one segment.
const segmentBytes = 52

const (
	idleWarmUp  = 3 * time.Second
	idleMeasure = 60 * time.Second
	workMeasure = 8 * time.Second
)

// BenchmarkEntryIdle measures what an entry spends on control for n connected agents without work. The heartbeat
// interval grows with n, so the bytes per second must stay flat.
func BenchmarkEntryIdle(b *testing.B) {
	for _, n := range []int{11, 100, 365, 730} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for range b.N {
				measureIdle(b, n)
			}
		})
	}
}

func measureIdle(b *testing.B, n int) {
	d := startDeployment(b, 1, 1, "")
	e := d.entries[0]
	waitDocuments(b, e, 1)
	connectAgents(b, e, n, 1, 0)
	time.Sleep(idleWarmUp)
	before, cpu := e.metrics(b, "entry"), e.cpuSeconds(b)
	time.Sleep(idleMeasure)
	after := e.metrics(b, "entry")
	seconds := idleMeasure.Seconds()
	rate := func(name string) float64 { return (after[name] - before[name]) / seconds }
	frames := rate("control_frames_sent") + rate("control_frames_received")
	b.ReportMetric(rate("control_bytes_sent")+rate("control_bytes_received"), "payloadB/s")
	// Each frame of an idle link is a segment of its own and is acknowledged by another one.
	b.ReportMetric(rate("control_bytes_sent")+rate("control_bytes_received")+2*segmentBytes*frames, "wireB/s")
	b.ReportMetric(100*(e.cpuSeconds(b)-cpu)/seconds, "%core")
	b.ReportMetric(e.residentBytes(b)/(1<<20), "MiB")
}

// waitDocuments waits until the entry has n services in force.
func waitDocuments(b *testing.B, e *entryProcess, n int) {
	b.Helper()
	waitFor(b, "the documents are in force", func() bool {
		var dump struct {
			Services map[string]json.RawMessage `json:"services"`
		}
		e.get(b, "/dump", &dump)
		return len(dump.Services) == n
	})
}

// BenchmarkEntryDocuments measures the memory of an entry by the number of service documents.
func BenchmarkEntryDocuments(b *testing.B) {
	for _, n := range []int{1, 30, 120} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			for range b.N {
				d := startDeployment(b, 1, n, "")
				e := d.entries[0]
				waitDocuments(b, e, n)
				b.ReportMetric(e.residentBytes(b)/(1<<20), "MiB")
			}
		})
	}
}

// BenchmarkEntryWork measures what one start costs an entry, by the size of the jobs, with keys of the callers.
func BenchmarkEntryWork(b *testing.B) {
	for _, tasks := range []int{1, 20, 140} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for range b.N {
				measureWork(b, tasks, 1)
			}
		})
	}
}

// BenchmarkEntryWorkServices measures what the number of service documents adds to the cost of a start. The work is that
// of one service.
func BenchmarkEntryWorkServices(b *testing.B) {
	for _, services := range []int{1, 30, 120} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			for range b.N {
				measureWork(b, 20, services)
			}
		})
	}
}

// measureWork drives one entry with 100 light agents as fast as a fixed number of callers can.
func measureWork(b *testing.B, tasks, services int) {
	const agents, work = 100, 20 * time.Millisecond
	d := startDeployment(b, 1, services, "")
	e := d.entries[0]
	waitDocuments(b, e, services)
	connectAgents(b, e, agents, 1, work)
	waitFor(b, "the agents are connected", func() bool { return submit(e, serviceName(0), "warm-up", 1) == nil })
	before, cpu := e.metrics(b, "entry"), e.cpuSeconds(b)
	callers := max(2*agents*slots/tasks, 4)
	jobs := drive(b, e, callers, tasks, workMeasure)
	after := e.metrics(b, "entry")
	starts := after["starts"] - before["starts"]
	b.ReportMetric(starts/workMeasure.Seconds(), "starts/s")
	b.ReportMetric(1e6*(e.cpuSeconds(b)-cpu)/starts, "cpu-us/start")
	b.ReportMetric((after["work_bytes_sent"]+after["work_bytes_received"]-before["work_bytes_sent"]-before["work_bytes_received"])/starts, "linkB/start")
	b.ReportMetric((after["control_bytes_sent"]-before["control_bytes_sent"])/workMeasure.Seconds(), "control-sentB/s")
	b.ReportMetric(e.residentBytes(b)/(1<<20), "MiB")
	b.ReportMetric(float64(jobs), "jobs")
}

// drive submits jobs from a fixed number of callers and returns the number of complete ones.
func drive(b *testing.B, e *entryProcess, callers, tasks int, duration time.Duration) int64 {
	b.Helper()
	var jobs, failures, key atomic.Int64
	deadline := time.Now().Add(duration)
	var wait sync.WaitGroup
	for range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(deadline) {
				if submit(e, serviceName(0), fmt.Sprintf("key-%d", key.Add(1)), tasks) != nil {
					failures.Add(1)
					continue
				}
				jobs.Add(1)
			}
		}()
	}
	wait.Wait()
	if n := failures.Load(); n > 0 {
		b.Logf("%d of %d jobs failed", n, n+jobs.Load())
	}
	return jobs.Load()
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}

// submit sends one job and waits for its answer. A job with an empty key runs at the entry that receives it.
func submit(e *entryProcess, service, key string, tasks int) error {
	var body bytes.Buffer
	body.WriteString(`{"kind":"work","tasks":[`)
	for i := range tasks {
		if i > 0 {
			body.WriteByte(',')
		}
		body.WriteString(`{"body":{"order":"0123456789012345678901234567890123456789"}}`)
	}
	body.WriteString(`]}`)
	request, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/v1/services/"+service+"/jobs", &body)
	if err != nil {
		return err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// BenchmarkEntryReconnect measures what an entry spends when n agents connect one after another, as after a switch came
// back.
func BenchmarkEntryReconnect(b *testing.B) {
	for _, n := range []int{100, 365, 730} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for range b.N {
				d := startDeployment(b, 1, 1, "")
				e := d.entries[0]
				waitDocuments(b, e, 1)
				before, cpu, began := e.metrics(b, "entry"), e.cpuSeconds(b), time.Now()
				connectAgents(b, e, n, 1, 0)
				elapsed := time.Since(began)
				after := e.metrics(b, "entry")
				bytes := after["control_bytes_sent"] + after["control_bytes_received"] - before["control_bytes_sent"] - before["control_bytes_received"]
				b.ReportMetric(1e3*(e.cpuSeconds(b)-cpu)/float64(n), "cpu-ms/agent")
				b.ReportMetric(bytes/float64(n), "linkB/agent")
				b.ReportMetric(float64(n)/elapsed.Seconds(), "agents/s")
			}
		})
	}
}
