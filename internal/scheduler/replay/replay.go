// Package replay drives schedulers of entries and run tables of agents through a recorded shape of load in virtual time, to
// compare decisions about placement. It has no network and no goroutines: messages between entries, agents and workers take
// fixed times, and load reports come as rarely as those of a deployment of 50 to 80 agents.
package replay

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
)

// Kind is a kind of request: jobs of one step.
type Kind struct {
	Name     string
	Priority int
	// PerSecond is the relative rate of its jobs. Load.Demand scales all rates.
	PerSecond float64
	Tasks     int
	Estimate  time.Duration
	MilliCPU  int64 // mean need of a task
	Value     float64
}

// Load is a shape of load and the deployment that it meets.
type Load struct {
	Name             string
	Entries, Workers int
	Kinds            []Kind
	// Demand is the ratio of the work that arrives during the peak to the capacity of all workers, and Base the ratio before
	// and after it.
	Demand, Base float64
	// PeakFrom and PeakUntil bound the peak; jobs arrive until Until.
	PeakFrom, PeakUntil, Until time.Duration
	// SizeSpread is the standard deviation of the logarithm of the need of a job's tasks.
	SizeSpread float64
	// Deviation is the largest relative deviation of a run time from its estimate; one run in LongRuns takes seven times as long.
	Deviation float64
	LongRuns  int
	// SlowWorkers and DeadWorkers are the numbers of workers that become four times as slow, or die, in the middle of the peak.
	SlowWorkers, DeadWorkers int
}

// Parameters of the deployments of the work plan.
const (
	workerMilliCPU  = 64_000
	minSpeed        = 0.55
	maxSpeed        = 1.2
	longRunFactor   = 7
	slowWorkerSpeed = 0.25
	objectiveFactor = 1.6
	objectiveExtra  = 60 * time.Millisecond
	minDeadline     = 1500 * time.Millisecond
)

// Durations of messages and intervals of reports.
const (
	linkDelay     = 1200 * time.Microsecond // two thirds of the links cross data centres
	workerDelay   = 500 * time.Microsecond  // on one host, with the time to process the call
	tickInterval  = 10 * time.Millisecond
	pollInterval  = 40 * time.Millisecond
	loadInterval  = 80 * time.Millisecond // what an entry with 54 or 77 agents requests
	unresponsive  = 220 * time.Millisecond
	leaseExpiry   = 460 * time.Millisecond
	drainDuration = 4 * time.Second
)

// event is a function that runs at a virtual time. Events of one time run in the order in which they were added.
type event struct {
	at     time.Duration
	number int
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// sim is the state of one replay.
type sim struct {
	load    Load
	random  *rand.Rand // of the load; decisions do not draw from it
	start   time.Time
	elapsed time.Duration
	events  eventHeap
	added   int
	entries []*entry
	agents  []*agent
	jobs    []*jobRecord
	byID    map[string]*jobRecord
	result  Figures
}

func (s *sim) now() time.Time { return s.start.Add(s.elapsed) }

func (s *sim) after(d time.Duration, run func()) {
	s.added++
	heap.Push(&s.events, event{s.elapsed + d, s.added, run})
}

// Run replays a load with a rule of placement. The same seed gives the same jobs, workers and run times for each rule.
func Run(load Load, placement runs.Placement, seed uint64) Figures {
	s := &sim{
		load: load, random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_000_000, 0), byID: make(map[string]*jobRecord),
	}
	for i := range load.Workers {
		s.agents = append(s.agents, newAgent(s, i, placement))
	}
	for i := range load.Entries {
		s.entries = append(s.entries, newEntry(s, i, placement, seed))
	}
	s.scheduleFaults()
	s.scheduleJobs()
	end := load.Until + drainDuration
	for s.events.Len() > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.elapsed = e.at
		e.run()
	}
	return s.figures()
}

// scheduleFaults lets workers slow down and die in the middle of the peak.
func (s *sim) scheduleFaults() {
	middle := (s.load.PeakFrom + s.load.PeakUntil) / 2
	for i, a := range s.agents {
		switch {
		case i < s.load.SlowWorkers:
			s.after(middle, func() { a.worker.setSpeed(slowWorkerSpeed) })
		case i < s.load.SlowWorkers+s.load.DeadWorkers:
			s.after(middle, a.dies)
		}
	}
}

// scheduleJobs draws the arrivals of all jobs, their sizes and the run times of their tasks.
func (s *sim) scheduleJobs() {
	capacity := 0.0
	for _, a := range s.agents {
		capacity += workerMilliCPU * a.worker.speed
	}
	meanRun := 1.0
	if s.load.LongRuns > 0 {
		meanRun += (longRunFactor - 1) / float64(s.load.LongRuns)
	}
	work := 0.0
	for _, k := range s.load.Kinds {
		work += k.PerSecond * float64(k.Tasks) * k.Estimate.Seconds() * float64(k.MilliCPU) * meanRun
	}
	for _, k := range s.load.Kinds {
		for at := time.Duration(0); ; {
			demand := s.load.Base
			if at >= s.load.PeakFrom && at < s.load.PeakUntil {
				demand = s.load.Demand
			}
			rate := k.PerSecond * demand * capacity / work
			at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.load.Until {
				break
			}
			s.scheduleJob(at, k)
		}
	}
}

// scheduleJob draws one job. Its tasks have the same need; their run times differ.
func (s *sim) scheduleJob(at time.Duration, k Kind) {
	factor := math.Exp(s.load.SizeSpread * s.random.NormFloat64())
	j := newJobRecord(len(s.jobs), at, k, int64(float64(k.MilliCPU)*min(max(factor, 0.3), 1.6)))
	for range k.Tasks {
		factor := 1 + s.load.Deviation*(2*s.random.Float64()-1)
		if s.load.LongRuns > 0 && s.random.IntN(s.load.LongRuns) == 0 {
			factor = longRunFactor
		}
		j.work = append(j.work, time.Duration(float64(k.Estimate)*factor))
	}
	s.jobs = append(s.jobs, j)
	s.byID[j.id] = j
	e := s.entries[s.random.IntN(len(s.entries))]
	s.after(at, func() { e.submit(j) })
}

// entry is one entry with its scheduler.
type entry struct {
	sim       *sim
	id        runs.Owner
	scheduler *scheduler.Scheduler
}

func newEntry(s *sim, index int, placement runs.Placement, seed uint64) *entry {
	config := scheduler.DefaultConfig("dc")
	config.Random = rand.New(rand.NewPCG(seed, uint64(index)+2))
	config.Placement = placement
	e := &entry{sim: s, id: runs.Owner(index + 1), scheduler: scheduler.New(config)}
	for _, a := range s.agents {
		a.owners = append(a.owners, &owner{entry: e})
		e.scheduler.AgentConnected(s.now(), a.id, 1, "dc")
		e.scheduler.SetWorker(s.now(), a.id, a.table.WorkerInfo())
		e.scheduler.ReportLoad(s.now(), a.id, a.table.Load(s.now()))
	}
	s.after(tickInterval*time.Duration(index)/time.Duration(s.load.Entries), e.tick)
	return e
}

func (e *entry) tick() {
	e.sim.after(tickInterval, e.tick)
	for _, a := range e.sim.agents {
		if !a.worker.dead { // heartbeats; the agent of a dead worker still sends them, but is closed
			e.scheduler.AgentHeard(e.sim.now(), a.id)
		}
	}
	e.flush()
}

func (e *entry) submit(j *jobRecord) {
	j.job.Arrived, j.job.Deadline = e.sim.now(), e.sim.now().Add(j.deadline())
	e.scheduler.Submit(e.sim.now(), j.job)
	e.flush()
}

// flush lets the scheduler act, and sends its messages and records its answers.
func (e *entry) flush() {
	e.scheduler.Advance(e.sim.now())
	messages, answers := e.scheduler.TakeOutput()
	for _, m := range messages {
		a := e.sim.agentByID(m.Agent)
		e.sim.after(linkDelay, func() { a.receive(e, m) })
	}
	for _, answer := range answers {
		j := e.sim.byID[answer.Job.Spec.ID]
		j.answered, j.complete, j.took = true, answer.Outcome == scheduler.Complete, e.sim.now().Sub(answer.Job.Arrived)
	}
}
