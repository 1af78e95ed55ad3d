package policysim

import (
	"slices"
	"time"
)

// Quantiles are three percentiles of a sample.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Figures are the results of a run. Only jobs submitted after the warm-up count. Jobs that cannot meet their deadline
// even on an idle upstream of the highest speed do not count in the shares of jobs in time.
type Figures struct {
	Jobs  int `json:"jobs"`
	Tasks int `json:"tasks"`
	// Slowdown is that of complete jobs: response time divided by the time of the longest task on an idle upstream of
	// the highest speed plus the round trips.
	Slowdown Quantiles `json:"slowdown"`
	// ShortSlowdown is that of jobs whose tasks are all short (less than 250 ms), SingleSlowdown that of those with
	// one task only.
	ShortSlowdown  Quantiles `json:"short_slowdown"`
	SingleSlowdown Quantiles `json:"single_slowdown"`
	// ShortWait is the time in seconds between the submission and the start of each short task.
	ShortWait Quantiles `json:"short_wait"`
	// BehindLong is the time in seconds that short tasks wait at an agent while one and the same task of 2 s or more
	// holds a slot there.
	BehindLong Quantiles `json:"behind_long"`
	// Wasted is the number of refused starts per task that ended.
	Wasted float64 `json:"wasted"`
	// InTime is the share of submitted jobs that are complete before their deadline, UrgentInTime that of the urgent
	// ones, of which there are Urgent.
	InTime       float64 `json:"in_time"`
	Urgent       int     `json:"urgent"`
	UrgentInTime float64 `json:"urgent_in_time"`
	// Goodput is the number of tasks per second in jobs that are complete before their deadline; GoodWork is the same
	// in seconds of reference time relative to the capacity.
	Goodput  float64 `json:"goodput"`
	GoodWork float64 `json:"good_work"`
	// Failed is the share of tasks that an upstream failed.
	Failed float64 `json:"failed"`
	// CrestInTime is the share of jobs submitted during the crest that are complete in time.
	CrestInTime float64 `json:"crest_in_time"`
	// Recovery is the time in seconds after the crest until jobs have their former slowdown again.
	Recovery float64 `json:"recovery"`
}

// figures collects the observations of a run.
type figures struct {
	sim                                *sim
	runs                               int
	recovered                          float64
	jobs, tasks, feasible, inTime      int
	urgent, urgentInTime               int
	crest, crestInTime                 int
	goodTasks                          int
	goodWork                           float64
	starts, wasted, failures, allTasks int
	slowdown, short, single            []float64
	wait, behind                       []float64
	windows                            map[int]*window
}

// window collects the slowdown of the jobs submitted in one span of time.
type window struct {
	sum float64
	n   int
}

// windowSpan is the resolution of the recovery time.
const windowSpan = 500 * time.Millisecond

func newFigures(s *sim) *figures {
	return &figures{sim: s, runs: 1, windows: make(map[int]*window)}
}

// ideal is the response time of a task on an idle upstream of the highest speed.
func (f *figures) ideal(base time.Duration) time.Duration {
	d := f.sim.deployment
	return time.Duration(float64(base)*f.sim.fastest) + 2*d.Network.ToClients + 2*localDelay
}

func (f *figures) counts(j *jobRun) bool { return j.at-settle >= f.sim.setup.Scenario.Warmup }

// task counts a task that ended with a result.
func (f *figures) task(at *attempt) {
	f.allTasks++
	if !f.counts(at.job) || at.base >= shortTask {
		return
	}
	f.wait = append(f.wait, (at.begun - at.job.at).Seconds())
	f.behind = append(f.behind, at.behind.Seconds())
}

// job counts a job whose tasks all have a result.
func (f *figures) job(j *jobRun, end time.Duration) {
	longest, work := j.spec.longest(), j.spec.work()
	slowdown := float64(end-j.at) / float64(f.ideal(longest))
	inTime := !j.failed && end-j.at <= j.spec.kind.Deadline+2*f.sim.deployment.Network.ToClients
	f.window(j, slowdown)
	if !f.submitted(j, inTime) {
		return
	}
	f.slowdown = append(f.slowdown, slowdown)
	if longest < shortTask {
		f.short = append(f.short, slowdown)
		if len(j.spec.tasks) == 1 {
			f.single = append(f.single, slowdown)
		}
	}
	if inTime {
		f.goodTasks += len(j.spec.tasks)
		f.goodWork += work
	}
}

// refusedSlowdown is what a refused job counts as in the recovery time.
const refusedSlowdown = 100

// refuse counts a job that was given up.
func (f *figures) refuse(j *jobRun) {
	f.window(j, refusedSlowdown)
	f.submitted(j, false)
}

// lose counts a job of a lost entry.
func (f *figures) lose(j *jobRun) { f.submitted(j, false) }

func (f *figures) submitted(j *jobRun, inTime bool) bool {
	if !f.counts(j) {
		return false
	}
	sc := f.sim.setup.Scenario
	one := 0
	if inTime {
		one = 1
	}
	f.jobs++
	f.tasks += len(j.spec.tasks)
	if f.ideal(j.spec.longest()) > j.spec.kind.Deadline {
		return true
	}
	f.feasible++
	f.inTime += one
	if j.spec.kind.Urgent {
		f.urgent++
		f.urgentInTime += one
	}
	if at := j.at - settle; at >= sc.CrestStart && at < sc.CrestEnd {
		f.crest++
		f.crestInTime += one
	}
	return true
}

func (f *figures) window(j *jobRun, slowdown float64) {
	i := int((j.at - settle) / windowSpan)
	w := f.windows[i]
	if w == nil {
		w = &window{}
		f.windows[i] = w
	}
	w.sum += slowdown
	w.n++
}

func (w *window) mean() float64 { return w.sum / float64(max(w.n, 1)) }

// recovery returns the time after the crest from which the mean slowdown of a window is at most twice that before.
func (f *figures) recovery() float64 {
	sc := f.sim.setup.Scenario
	if sc.CrestLoad == 0 {
		return 0
	}
	before := window{}
	for i := int(sc.Warmup / windowSpan); i < int(sc.CrestStart/windowSpan); i++ {
		if w := f.windows[i]; w != nil {
			before.sum += w.sum
			before.n += w.n
		}
	}
	for i := int(sc.CrestEnd / windowSpan); ; i++ {
		w := f.windows[i]
		if w == nil || w.mean() <= 2*before.mean() {
			return (time.Duration(i)*windowSpan - sc.CrestEnd).Seconds()
		}
	}
}

// merge adds the observations of another run of the same scenario.
func (f *figures) merge(o *figures) {
	f.runs += o.runs
	f.recovered += o.recovered
	f.jobs, f.tasks, f.feasible, f.inTime = f.jobs+o.jobs, f.tasks+o.tasks, f.feasible+o.feasible, f.inTime+o.inTime
	f.urgent, f.urgentInTime = f.urgent+o.urgent, f.urgentInTime+o.urgentInTime
	f.crest, f.crestInTime = f.crest+o.crest, f.crestInTime+o.crestInTime
	f.goodTasks, f.goodWork = f.goodTasks+o.goodTasks, f.goodWork+o.goodWork
	f.starts, f.wasted, f.failures = f.starts+o.starts, f.wasted+o.wasted, f.failures+o.failures
	f.allTasks += o.allTasks
	f.slowdown = append(f.slowdown, o.slowdown...)
	f.short = append(f.short, o.short...)
	f.single = append(f.single, o.single...)
	f.wait = append(f.wait, o.wait...)
	f.behind = append(f.behind, o.behind...)
}

func quantiles(sample []float64) Quantiles {
	if len(sample) == 0 {
		return Quantiles{}
	}
	slices.Sort(sample)
	at := func(q float64) float64 { return sample[min(int(q*float64(len(sample))), len(sample)-1)] }
	return Quantiles{at(0.5), at(0.99), at(0.999)}
}

func ratio(a, b int) float64 { return float64(a) / float64(max(b, 1)) }

func (f *figures) summary() Figures {
	sc := f.sim.setup.Scenario
	span := (sc.Length - sc.Warmup).Seconds() * float64(f.runs)
	return Figures{
		Jobs: f.jobs, Tasks: f.tasks,
		Slowdown: quantiles(f.slowdown), ShortSlowdown: quantiles(f.short), SingleSlowdown: quantiles(f.single),
		ShortWait: quantiles(f.wait), BehindLong: quantiles(f.behind),
		Wasted: ratio(f.wasted, f.allTasks), InTime: ratio(f.inTime, f.feasible),
		Urgent: f.urgent, UrgentInTime: ratio(f.urgentInTime, f.urgent),
		Goodput: float64(f.goodTasks) / span, GoodWork: f.goodWork / span / f.sim.capacity,
		Failed:      ratio(f.failures, f.allTasks),
		CrestInTime: ratio(f.crestInTime, f.crest), Recovery: f.recovered / float64(f.runs),
	}
}
