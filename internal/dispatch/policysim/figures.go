package policysim

import (
	"slices"
	"time"
)

// Quantiles holds three percentiles of a sample.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Figures holds the results of a run. Only jobs submitted after the warm-up count. Jobs that cannot meet their deadline
// even on an idle upstream of the highest speed are excluded from the shares of jobs completed in time.
type Figures struct {
	Jobs  int `json:"jobs"`
	Tasks int `json:"tasks"`
	// Slowdown is the response time of a complete job divided by the ideal one: the service time of its longest task on
	// an idle upstream of the highest speed plus the round trips.
	Slowdown Quantiles `json:"slowdown"`
	// ShortSlowdown is the slowdown of jobs whose tasks are all shorter than 250 ms, SingleSlowdown that of those among
	// them with a single task.
	ShortSlowdown  Quantiles `json:"short_slowdown"`
	SingleSlowdown Quantiles `json:"single_slowdown"`
	// ShortWait is the time in seconds from the submission to the start of each short task.
	ShortWait Quantiles `json:"short_wait"`
	// BehindLong is the longest time in seconds that a short task waits at an agent while a single task of 2 s or more
	// holds a slot there.
	BehindLong Quantiles `json:"behind_long"`
	// Wasted is the number of refused starts per task that ended with a result.
	Wasted float64 `json:"wasted"`
	// InTime is the share of submitted jobs that are complete before their deadline. Urgent is the number of urgent
	// jobs, and UrgentInTime the share of them that are complete before their deadline.
	InTime       float64 `json:"in_time"`
	Urgent       int     `json:"urgent"`
	UrgentInTime float64 `json:"urgent_in_time"`
	// Goodput is the number of tasks per second in jobs that are complete before their deadline. GoodWork is the
	// service time at speed 1 of these tasks per second, relative to the capacity.
	Goodput  float64 `json:"goodput"`
	GoodWork float64 `json:"good_work"`
	// Failed is the share of tasks that failed at their upstream.
	Failed float64 `json:"failed"`
	// PeakInTime is the share of jobs submitted during the load peak that are complete before their deadline.
	PeakInTime float64 `json:"crest_in_time"`
	// Recovery is the time in seconds from the end of the load peak until the slowdown has returned to at most twice
	// the level before the peak.
	Recovery float64 `json:"recovery"`
}

// figures collects the observations of one run, or of several after merge.
type figures struct {
	sim                                        *sim
	runs                                       int
	recoverySeconds                            float64
	jobs, tasks, feasible, inTime              int // feasible counts jobs whose ideal response meets the deadline
	urgent, urgentInTime                       int
	peak, peakInTime                           int
	goodTasks                                  int
	goodWork                                   float64
	starts, wasted, failures, allTasks         int
	slowdowns, shortSlowdowns, singleSlowdowns []float64
	shortWaits, behindLong                     []float64
	windows                                    map[int]*window
}

// window sums the slowdown of the jobs submitted in one span of time.
type window struct {
	sum float64
	n   int
}

// windowSpan is the length of a window, and so the resolution of the recovery time.
const windowSpan = 500 * time.Millisecond

func newFigures(s *sim) *figures {
	return &figures{sim: s, runs: 1, windows: make(map[int]*window)}
}

// idealResponse returns the response time of a task on an idle upstream of the highest speed. base is its service time
// at speed 1.
func (f *figures) idealResponse(base time.Duration) time.Duration {
	d := f.sim.deployment
	return time.Duration(float64(base)*f.sim.minWorkFactor) + 2*d.Network.ToClients + 2*localDelay
}

// measured reports whether a job was submitted after the warm-up.
func (f *figures) measured(j *jobRun) bool { return j.submitted-startup >= f.sim.setup.Scenario.Warmup }

// countTask records a task that ended with a result.
func (f *figures) countTask(att *attempt) {
	f.allTasks++
	if !f.measured(att.job) || att.referenceTime >= shortTask {
		return
	}
	f.shortWaits = append(f.shortWaits, (att.startedAt - att.job.submitted).Seconds())
	f.behindLong = append(f.behindLong, att.behindLong.Seconds())
}

// countJob records a job whose tasks all ended with a result.
func (f *figures) countJob(j *jobRun, end time.Duration) {
	longest, work := j.spec.longest(), j.spec.work()
	slowdown := float64(end-j.submitted) / float64(f.idealResponse(longest))
	inTime := !j.failed && end-j.submitted <= j.spec.kind.Deadline+2*f.sim.deployment.Network.ToClients
	f.addToWindow(j, slowdown)
	if !f.countSubmitted(j, inTime) {
		return
	}
	f.slowdowns = append(f.slowdowns, slowdown)
	if longest < shortTask {
		f.shortSlowdowns = append(f.shortSlowdowns, slowdown)
		if len(j.spec.tasks) == 1 {
			f.singleSlowdowns = append(f.singleSlowdowns, slowdown)
		}
	}
	if inTime {
		f.goodTasks += len(j.spec.tasks)
		f.goodWork += work
	}
}

// refusedSlowdown is the slowdown that a refused job counts with in the recovery time.
const refusedSlowdown = 100

// countRefused records a job that was refused or given up.
func (f *figures) countRefused(j *jobRun) {
	f.addToWindow(j, refusedSlowdown)
	f.countSubmitted(j, false)
}

// countLost records a job that was lost with its entry.
func (f *figures) countLost(j *jobRun) { f.countSubmitted(j, false) }

// countSubmitted counts a job that has ended in the totals. It returns false for a job of the warm-up.
func (f *figures) countSubmitted(j *jobRun, inTime bool) bool {
	if !f.measured(j) {
		return false
	}
	sc := f.sim.setup.Scenario
	inTimeCount := 0
	if inTime {
		inTimeCount = 1
	}
	f.jobs++
	f.tasks += len(j.spec.tasks)
	if f.idealResponse(j.spec.longest()) > j.spec.kind.Deadline {
		return true
	}
	f.feasible++
	f.inTime += inTimeCount
	if j.spec.kind.Urgent {
		f.urgent++
		f.urgentInTime += inTimeCount
	}
	if at := j.submitted - startup; at >= sc.PeakStart && at < sc.PeakEnd {
		f.peak++
		f.peakInTime += inTimeCount
	}
	return true
}

// addToWindow adds the slowdown of a job to the window of its submission.
func (f *figures) addToWindow(j *jobRun, slowdown float64) {
	i := int((j.submitted - startup) / windowSpan)
	w := f.windows[i]
	if w == nil {
		w = &window{}
		f.windows[i] = w
	}
	w.sum += slowdown
	w.n++
}

func (w *window) mean() float64 { return w.sum / float64(max(w.n, 1)) }

// recoveryTime returns the time in seconds from the end of the load peak to the first window whose mean slowdown is at
// most twice that before the peak; 0 without a peak.
func (f *figures) recoveryTime() float64 {
	sc := f.sim.setup.Scenario
	if sc.PeakLoad == 0 {
		return 0
	}
	before := window{}
	for i := int(sc.Warmup / windowSpan); i < int(sc.PeakStart/windowSpan); i++ {
		if w := f.windows[i]; w != nil {
			before.sum += w.sum
			before.n += w.n
		}
	}
	for i := int(sc.PeakEnd / windowSpan); ; i++ {
		w := f.windows[i]
		if w == nil || w.mean() <= 2*before.mean() {
			return (time.Duration(i)*windowSpan - sc.PeakEnd).Seconds()
		}
	}
}

// merge adds the observations of another run of the same scenario.
func (f *figures) merge(o *figures) {
	f.runs += o.runs
	f.recoverySeconds += o.recoverySeconds
	f.jobs, f.tasks, f.feasible, f.inTime = f.jobs+o.jobs, f.tasks+o.tasks, f.feasible+o.feasible, f.inTime+o.inTime
	f.urgent, f.urgentInTime = f.urgent+o.urgent, f.urgentInTime+o.urgentInTime
	f.peak, f.peakInTime = f.peak+o.peak, f.peakInTime+o.peakInTime
	f.goodTasks, f.goodWork = f.goodTasks+o.goodTasks, f.goodWork+o.goodWork
	f.starts, f.wasted, f.failures = f.starts+o.starts, f.wasted+o.wasted, f.failures+o.failures
	f.allTasks += o.allTasks
	f.slowdowns = append(f.slowdowns, o.slowdowns...)
	f.shortSlowdowns = append(f.shortSlowdowns, o.shortSlowdowns...)
	f.singleSlowdowns = append(f.singleSlowdowns, o.singleSlowdowns...)
	f.shortWaits = append(f.shortWaits, o.shortWaits...)
	f.behindLong = append(f.behindLong, o.behindLong...)
}

// quantiles sorts the sample and returns its percentiles.
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
		Slowdown: quantiles(f.slowdowns), ShortSlowdown: quantiles(f.shortSlowdowns),
		SingleSlowdown: quantiles(f.singleSlowdowns), ShortWait: quantiles(f.shortWaits), BehindLong: quantiles(f.behindLong),
		Wasted: ratio(f.wasted, f.allTasks), InTime: ratio(f.inTime, f.feasible),
		Urgent: f.urgent, UrgentInTime: ratio(f.urgentInTime, f.urgent),
		Goodput: float64(f.goodTasks) / span, GoodWork: f.goodWork / span / f.sim.capacity,
		Failed:     ratio(f.failures, f.allTasks),
		PeakInTime: ratio(f.peakInTime, f.peak), Recovery: f.recoverySeconds / float64(f.runs),
	}
}
