package capacity

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkEntryWorkRate measures the CPU time of an entry per task start for several numbers of services and job rates.
// Each job has one task and a key that the caller sets. The jobs are spread over all services.
func BenchmarkEntryWorkRate(b *testing.B) {
	for _, services := range []int{1, 30, 120} {
		for _, rate := range []int{100, 1000, 5000} {
			b.Run(fmt.Sprintf("services=%d/rate=%d", services, rate), func(b *testing.B) {
				for range b.N {
					measureWorkAtRate(b, services, rate)
				}
			})
		}
	}
}

func measureWorkAtRate(b *testing.B, services, rate int) {
	const agents, work = 120, 20 * time.Millisecond
	d := startDeployment(b, 1, services, "")
	e := d.entries[0]
	waitForDocuments(b, e, services)
	connectAgents(b, e, agents, services, work)
	for i := range services {
		waitFor(b, "the agents are connected", func() bool { return submitJob(e, serviceName(i), "warm-up", 1) == nil })
	}
	before, cpu := e.metrics(b, "entry"), e.cpuSeconds(b)
	failures := submitAtRate(e, services, rate, workMeasureTime)
	after := e.metrics(b, "entry")
	starts := after["starts"] - before["starts"]
	b.ReportMetric(starts/workMeasureTime.Seconds(), "starts/s")
	b.ReportMetric(1e6*(e.cpuSeconds(b)-cpu)/starts, "cpu-us/start")
	b.ReportMetric(float64(failures), "failed")
}

// submitAtRate submits jobs of one task at a fixed rate, in jobs per second, and returns the number of failed jobs. If it
// falls behind the rate, it catches up, with at most maxOpenJobs open jobs.
func submitAtRate(e *entryProcess, services, rate int, duration time.Duration) int64 {
	const maxOpenJobs = 512
	var failures atomic.Int64
	var wait sync.WaitGroup
	dueJobs := make(chan int)
	for range min(maxOpenJobs, rate) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range dueJobs {
				if submitJob(e, serviceName(i%services), fmt.Sprintf("key-%d", i), 1) != nil {
					failures.Add(1)
				}
			}
		}()
	}
	startedAt := time.Now()
	for i := range int(duration.Seconds() * float64(rate)) {
		time.Sleep(time.Until(startedAt.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		dueJobs <- i
	}
	close(dueJobs)
	wait.Wait()
	return failures.Load()
}
