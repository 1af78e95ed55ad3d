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

// segmentHeaderBytes is the size of the IP and TCP headers of one segment, with TCP timestamps.
const segmentHeaderBytes = 52

const (
	idleWarmUp      = 3 * time.Second
	idleMeasureTime = 60 * time.Second
	workMeasureTime = 8 * time.Second
)

// BenchmarkEntryIdle measures the control traffic, CPU time and memory of an entry with n idle agents. The heartbeat
// interval grows with n, so the bytes per second must not depend on n.
func BenchmarkEntryIdle(b *testing.B) {
	for _, n := range []int{11, 100, 365, 730} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for range b.N {
				measureIdleEntry(b, n)
			}
		})
	}
}

func measureIdleEntry(b *testing.B, n int) {
	d := startDeployment(b, 1, 1, "")
	e := d.entries[0]
	waitForDocuments(b, e, 1)
	connectAgents(b, e, n, 1, 0)
	time.Sleep(idleWarmUp)
	before, cpu := e.metrics(b, "entry"), e.cpuSeconds(b)
	time.Sleep(idleMeasureTime)
	after := e.metrics(b, "entry")
	seconds := idleMeasureTime.Seconds()
	rate := func(name string) float64 { return (after[name] - before[name]) / seconds }
	frames := rate("control_frames_sent") + rate("control_frames_received")
	b.ReportMetric(rate("control_bytes_sent")+rate("control_bytes_received"), "payloadB/s")
	// On an idle link each frame is sent in its own segment and acknowledged by another segment.
	b.ReportMetric(rate("control_bytes_sent")+rate("control_bytes_received")+2*segmentHeaderBytes*frames, "wireB/s")
	b.ReportMetric(100*(e.cpuSeconds(b)-cpu)/seconds, "%core")
	b.ReportMetric(e.residentBytes(b)/(1<<20), "MiB")
}

// waitForDocuments waits until the documents of n services are in force at the entry.
func waitForDocuments(b *testing.B, e *entryProcess, n int) {
	b.Helper()
	waitFor(b, "the documents are in force", func() bool {
		var dump struct {
			Services map[string]json.RawMessage `json:"services"`
		}
		e.getJSON(b, "/dump", &dump)
		return len(dump.Services) == n
	})
}

// BenchmarkEntryDocuments measures the memory of an entry for several numbers of service documents.
func BenchmarkEntryDocuments(b *testing.B) {
	for _, n := range []int{1, 30, 120} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			for range b.N {
				d := startDeployment(b, 1, n, "")
				e := d.entries[0]
				waitForDocuments(b, e, n)
				b.ReportMetric(e.residentBytes(b)/(1<<20), "MiB")
			}
		})
	}
}

// BenchmarkEntryWork measures the CPU time and link traffic of an entry per task start for several job sizes. The callers
// set the keys of the jobs.
func BenchmarkEntryWork(b *testing.B) {
	for _, tasks := range []int{1, 20, 140} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for range b.N {
				measureEntryWork(b, tasks, 1)
			}
		})
	}
}

// BenchmarkEntryWorkServices measures how the cost of a task start depends on the number of service documents. All jobs
// belong to one service.
func BenchmarkEntryWorkServices(b *testing.B) {
	for _, services := range []int{1, 30, 120} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			for range b.N {
				measureEntryWork(b, 20, services)
			}
		})
	}
}

// measureEntryWork measures one entry with 100 simulated agents. A fixed number of callers submit jobs as fast as they are
// answered.
func measureEntryWork(b *testing.B, tasks, services int) {
	const agents, work = 100, 20 * time.Millisecond
	d := startDeployment(b, 1, services, "")
	e := d.entries[0]
	waitForDocuments(b, e, services)
	connectAgents(b, e, agents, 1, work)
	waitFor(b, "the agents are connected", func() bool { return submitJob(e, serviceName(0), "warm-up", 1) == nil })
	before, cpu := e.metrics(b, "entry"), e.cpuSeconds(b)
	callers := max(2*agents*slotsPerAgent/tasks, 4)
	jobs := submitConcurrently(b, e, callers, tasks, workMeasureTime)
	after := e.metrics(b, "entry")
	starts := after["starts"] - before["starts"]
	b.ReportMetric(starts/workMeasureTime.Seconds(), "starts/s")
	b.ReportMetric(1e6*(e.cpuSeconds(b)-cpu)/starts, "cpu-us/start")
	b.ReportMetric((after["work_bytes_sent"]+after["work_bytes_received"]-before["work_bytes_sent"]-before["work_bytes_received"])/starts, "linkB/start")
	b.ReportMetric((after["control_bytes_sent"]-before["control_bytes_sent"])/workMeasureTime.Seconds(), "control-sentB/s")
	b.ReportMetric(e.residentBytes(b)/(1<<20), "MiB")
	b.ReportMetric(float64(jobs), "jobs")
}

// submitConcurrently submits jobs from a fixed number of callers for the given time and returns the number of complete jobs.
func submitConcurrently(b *testing.B, e *entryProcess, callers, tasks int, duration time.Duration) int64 {
	b.Helper()
	var jobs, failures, key atomic.Int64
	deadline := time.Now().Add(duration)
	var wait sync.WaitGroup
	for range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(deadline) {
				if submitJob(e, serviceName(0), fmt.Sprintf("key-%d", key.Add(1)), tasks) != nil {
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

// submitJob sends one job and waits for its answer. The home of a job with an empty key is the entry that receives it.
func submitJob(e *entryProcess, service, key string, tasks int) error {
	var body bytes.Buffer
	body.WriteString(`{"kind":"work","tasks":[`)
	for i := range tasks {
		if i > 0 {
			body.WriteByte(',')
		}
		body.WriteString(`{"body":{"order":"0123456789012345678901234567890123456789"}}`)
	}
	body.WriteString(`]}`)
	request, err := http.NewRequest(http.MethodPost, "http://"+e.callerAddress+"/v1/services/"+service+"/jobs", &body)
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

// BenchmarkEntryReconnect measures the CPU time and link traffic of an entry while n agents connect one after another, as
// they do after a network switch has recovered.
func BenchmarkEntryReconnect(b *testing.B) {
	for _, n := range []int{100, 365, 730} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			for range b.N {
				d := startDeployment(b, 1, 1, "")
				e := d.entries[0]
				waitForDocuments(b, e, 1)
				before, cpu, startedAt := e.metrics(b, "entry"), e.cpuSeconds(b), time.Now()
				connectAgents(b, e, n, 1, 0)
				elapsed := time.Since(startedAt)
				after := e.metrics(b, "entry")
				bytes := after["control_bytes_sent"] + after["control_bytes_received"] - before["control_bytes_sent"] - before["control_bytes_received"]
				b.ReportMetric(1e3*(e.cpuSeconds(b)-cpu)/float64(n), "cpu-ms/agent")
				b.ReportMetric(bytes/float64(n), "linkB/agent")
				b.ReportMetric(float64(n)/elapsed.Seconds(), "agents/s")
			}
		})
	}
}
