package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
)

const service = "bench"

// jobRecord is a job of the replay and what became of it.
type jobRecord struct {
	id        string
	kind      Kind
	arrivedAt time.Duration
	milliCPU  int64
	work      []time.Duration // run time of each task at speed 1
	startedAt []time.Duration // of the first run of each task; 0 if none
	job       *scheduler.Job
	answered  bool
	complete  bool
	took      time.Duration
	workDone  float64 // thousandths of a core times milliseconds at speed 1
}

func newJobRecord(number int, at time.Duration, k Kind, milliCPU int64) *jobRecord {
	id := fmt.Sprint("j", number)
	return &jobRecord{
		id: id, kind: k, arrivedAt: at, milliCPU: milliCPU, startedAt: make([]time.Duration, k.Tasks),
		job: &scheduler.Job{
			Spec: &job.Job{ID: id, Steps: []job.Step{{Tasks: k.Tasks, Needs: job.Resources{MilliCPU: milliCPU}, Estimate: k.Estimate}}},
			Queue: &catalog.Queue{
				Name: k.Name, Service: service, Priority: k.Priority, MaxAttempts: 3, ObjectiveFactor: objectiveFactor, ObjectiveExtra: objectiveExtra,
			},
		},
	}
}

func compareRefs(a, b runs.Ref) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
}

func (j *jobRecord) objective() time.Duration {
	return time.Duration(objectiveFactor*float64(j.kind.Estimate)) + objectiveExtra
}

// deadline returns how long the caller waits.
func (j *jobRecord) deadline() time.Duration { return max(minDeadline, 2*j.objective()) }

// worth returns the value of the result for the caller: all of it within the objective, falling to nothing at three times the
// objective.
func (j *jobRecord) worth() float64 {
	if !j.complete {
		return 0
	}
	late := float64(j.took-j.objective()) / float64(2*j.objective())
	return 1 - min(max(late, 0), 1)
}

// Group holds the figures of a group of jobs.
type Group struct {
	Name string
	Jobs int
	// InObjective is the share of the jobs that are complete within their objective, Worth their mean value, 1 for a result
	// within the objective and 0 for none.
	InObjective, Worth float64
	// WaitP50 and WaitP95 are percentiles of the time from the arrival of a job to the start of each of its started tasks.
	WaitP50, WaitP95 time.Duration
}

// Figures holds the results of a replay.
type Figures struct {
	All Group
	// Groups are the jobs of each kind, the tenth of each kind whose tasks are largest, and all jobs by thirds of size.
	Groups []Group
	// Worth is the mean value over all jobs, weighted by the value of their kind.
	Worth float64
	// Wasted is the share of the completed work that went into jobs without any value.
	Wasted float64
	// Used is the mean share of the capacity of all workers that runs hold during the peak.
	Used float64
	// Overcommitted counts starts beyond the capacity of a worker.
	Overcommitted int
	// Lookahead sums the counters of all agents.
	Lookahead runs.Lookahead
}

// Group returns the group with a name, or the zero value.
func (f Figures) Group(name string) Group {
	for _, g := range f.Groups {
		if g.Name == name {
			return g
		}
	}
	return Group{}
}

func newGroup(name string, jobs []*jobRecord) Group {
	g := Group{Name: name, Jobs: len(jobs)}
	var waits []time.Duration
	for _, j := range jobs {
		if j.complete && j.took <= j.objective() {
			g.InObjective++
		}
		g.Worth += j.worth()
		for _, at := range j.startedAt {
			if at > 0 {
				waits = append(waits, at-j.arrivedAt)
			}
		}
	}
	g.InObjective /= float64(max(len(jobs), 1))
	g.Worth /= float64(max(len(jobs), 1))
	if len(waits) > 0 {
		slices.Sort(waits)
		g.WaitP50, g.WaitP95 = waits[len(waits)/2], waits[len(waits)*95/100]
	}
	return g
}

// figures sums up the jobs that arrive from the beginning of the peak on.
func (s *sim) figures() Figures {
	f := s.result
	for _, a := range s.agents {
		l := a.table.Lookahead()
		f.Lookahead.Made, f.Lookahead.Kept, f.Lookahead.Expired = f.Lookahead.Made+l.Made, f.Lookahead.Kept+l.Kept, f.Lookahead.Expired+l.Expired
		f.Lookahead.Refused, f.Lookahead.Released = f.Lookahead.Refused+l.Refused, f.Lookahead.Released+l.Released
		f.Lookahead.Backfilled += l.Backfilled
	}
	var jobs []*jobRecord
	byKind := make(map[string][]*jobRecord)
	worth, possible, wasted, done := 0.0, 0.0, 0.0, 0.0
	for _, j := range s.jobs {
		if j.arrivedAt < s.load.PeakFrom {
			continue
		}
		jobs = append(jobs, j)
		byKind[j.kind.Name] = append(byKind[j.kind.Name], j)
		worth, possible, done = worth+j.kind.Value*j.worth(), possible+j.kind.Value, done+j.workDone
		if j.worth() == 0 {
			wasted += j.workDone
		}
	}
	f.All, f.Worth, f.Wasted = newGroup("all", jobs), worth/possible, wasted/max(done, 1)
	bySize := func(a, b *jobRecord) int { return cmp.Compare(a.milliCPU, b.milliCPU) }
	for _, k := range s.load.Kinds {
		of := byKind[k.Name]
		f.Groups = append(f.Groups, newGroup(k.Name, of))
		slices.SortStableFunc(of, bySize)
		f.Groups = append(f.Groups, newGroup("largest tenth of "+k.Name, of[len(of)*9/10:]))
	}
	slices.SortStableFunc(jobs, bySize)
	for i, name := range []string{"small third", "middle third", "large third"} {
		f.Groups = append(f.Groups, newGroup(name, jobs[len(jobs)*i/3:len(jobs)*(i+1)/3]))
	}
	return f
}
