package capacity

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkEntryWorkRate measures what one start costs an entry by the number of services and the rate, in jobs of one
// task whose keys the callers set, spread over all services.
func BenchmarkEntryWorkRate(b *testing.B) {
	for _, services := range []int{1, 30, 120} {
		for _, rate := range []int{100, 1000, 5000} {
			b.Run(fmt.Sprintf("services=%d/rate=%d", services, rate), func(b *testing.B) {
				for range b.N {
					measureRate(b, services, rate)
				}
			})
		}
	}
}

func measureRate(b *testing.B, services, rate int) {
	const agents, work = 120, 20 * time.Millisecond
	d := startDeployment(b, 1, services, "")
	e := d.entries[0]
	waitDocuments(b, e, services)
	connectAgents(b, e, agents, services, work)
	for i := range services {
		waitFor(b, "the agents are connected", func() bool { return submit(e, serviceName(i), "warm-up", 1) == nil })
	}
	before, cpu := e.metrics(b, "entry"), e.cpuSeconds(b)
	failures := driveRate(e, services, rate, workMeasure)
	after := e.metrics(b, "entry")
	starts := after["starts"] - before["starts"]
	b.ReportMetric(starts/workMeasure.Seconds(), "starts/s")
	b.ReportMetric(1e6*(e.cpuSeconds(b)-cpu)/starts, "cpu-us/start")
	b.ReportMetric(float64(failures), "failed")
}

// driveRate submits jobs of one task at a fixed rate and returns the number of those that failed. Work that falls behind
// the rate is caught up, as long as fewer than maxWaiting jobs are open.
func driveRate(e *entryProcess, services, rate int, duration time.Duration) int64 {
	const maxWaiting = 512
	var failures atomic.Int64
	var wait sync.WaitGroup
	due := make(chan int)
	for range min(maxWaiting, rate) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range due {
				if submit(e, serviceName(i%services), fmt.Sprintf("key-%d", i), 1) != nil {
					failures.Add(1)
				}
			}
		}()
	}
	began := time.Now()
	for i := range int(duration.Seconds() * float64(rate)) {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		due <- i
	}
	close(due)
	wait.Wait()
	return failures.Load()
}
