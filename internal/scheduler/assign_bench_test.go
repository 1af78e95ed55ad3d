package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// fullCluster returns a scheduler whose workers have 4 cores free now and more in 20 ms.
func fullCluster(workers int, placement runs.Placement) *scheduler.Scheduler {
	config := scheduler.DefaultConfig("dc")
	config.Placement = placement
	s := scheduler.New(config)
	for i := range workers {
		id := scheduler.AgentID(fmt.Sprint("a", i))
		s.AgentConnected(start, id, 1, "dc")
		s.SetWorker(start, id, wire.WorkerInfo{Service: "bench", MilliCPU: 64000, MemoryMB: 1 << 16})
		s.ReportLoad(start, id, wire.WorkerLoad{
			Open: true, FreeMilliCPU: 4000, RemainingMillis: 200, SlownessPermille: 1000,
			Free: []wire.FreeStep{{MilliCPU: 4000}, {Millis: 20, MilliCPU: 12000}, {Millis: 50, MilliCPU: 5000}, {Millis: 80, MilliCPU: 40000}},
		})
	}
	return s
}

// Measures the time per task of a pass over waiting tasks that fit nowhere now: 64 jobs of 8 tasks.
func BenchmarkPass(b *testing.B) {
	for _, workers := range []int{54, 160, 730} {
		for _, placement := range []runs.Placement{runs.PlaceByUrgency, runs.PlaceAhead} {
			b.Run(fmt.Sprintf("placement=%d/workers=%d", placement, workers), func(b *testing.B) {
				b.ReportAllocs()
				const jobs, tasks = 64, 8
				now := start
				for range b.N {
					b.StopTimer()
					s := fullCluster(workers, placement)
					b.StartTimer()
					for i := range jobs {
						s.Submit(now, &scheduler.Job{
							Spec: &job.Job{ID: fmt.Sprint(i), Steps: []job.Step{{
								Tasks: tasks, Needs: job.Resources{MilliCPU: int64(6000 + 50*i)}, Estimate: 60 * time.Millisecond,
							}}},
							Queue: queue(0, 2), Arrived: now, Deadline: now.Add(2 * time.Second),
						})
					}
					s.Advance(now.Add(10 * time.Millisecond))
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*jobs*tasks), "ns/task")
			})
		}
	}
}
