// Package policysim compares dispatch policies in virtual time over a model of slots, agent queues, message delays and
// seeded arrivals.
//
// Several entries run the real policy code. They see an upstream only through their own attempts and the loads that
// come with results, so they decide on figures that are older than a message delay. Arrivals, service times and faults
// are drawn before the policies run and are the same for every policy with the same seed.
package policysim

import (
	"math"
	"math/rand/v2"
	"time"
)

// KindSpec describes one request kind of a workload.
type KindSpec struct {
	Name string
	// Share is the share of jobs of this kind.
	Share float64
	// Median is the median time of a task on an upstream of speed 1, Spread the standard deviation of its logarithm.
	Median time.Duration
	Spread float64
	// MaxTasks bounds the number of tasks of a job.
	MaxTasks int
	// UrgentShare is the share of jobs that are urgent.
	UrgentShare float64
	// Deadline and UrgentDeadline are counted from the submission.
	Deadline, UrgentDeadline time.Duration
}

// Deployment describes the hosts and the workload of a deployment.
type Deployment struct {
	Name        string
	DataCentres []string
	// Speeds has one entry per upstream: the factor by which it is faster than the reference.
	Speeds []float64
	Slots  int
	// Local and Remote are the one-way delays between an entry and an agent in the same and in another data centre,
	// Client that between a client and an entry.
	Local, Remote, Client time.Duration
	Kinds                 []KindSpec
	// StragglerShare of the tasks take StragglerLeast to StragglerMost times their usual time.
	StragglerShare, StragglerLeast, StragglerMost float64
}

// speeds of today's deployments, from the slowest to the fastest worker about 1 to 2.5.
var speeds = []float64{0.6, 0.7, 0.8, 0.9, 0.9, 1.0, 1.0, 1.1, 1.2, 1.3, 1.5}

// Wax is the deployment of tuning benches: wide jobs, and more tasks of several seconds.
func Wax() Deployment {
	return Deployment{
		Name: "wax", DataCentres: []string{"palandoken", "konakli", "yakutiye", "ilica"}, Speeds: speeds, Slots: 8,
		Local: 200 * time.Microsecond, Remote: time.Millisecond, Client: 3 * time.Millisecond,
		Kinds: []KindSpec{
			{
				Name: "probe", Share: 0.55, Median: 90 * time.Millisecond, Spread: 0.4, MaxTasks: 140,
				UrgentShare: 0.2, Deadline: 10 * time.Second, UrgentDeadline: 3 * time.Second,
			},
			{
				Name: "trace", Share: 0.40, Median: 350 * time.Millisecond, Spread: 0.5, MaxTasks: 60,
				UrgentShare: 0.1, Deadline: 15 * time.Second, UrgentDeadline: 5 * time.Second,
			},
			{
				Name: "sweep", Share: 0.05, Median: 4 * time.Second, Spread: 0.4, MaxTasks: 6,
				Deadline: 60 * time.Second, UrgentDeadline: 60 * time.Second,
			},
		},
		StragglerShare: 0.003, StragglerLeast: 8, StragglerMost: 40,
	}
}

// Mkeka is the deployment of bookings: smaller jobs of short tasks, and few long ones.
func Mkeka() Deployment {
	return Deployment{
		Name: "mkeka", DataCentres: []string{"nairobi", "thika", "nyeri"}, Speeds: speeds, Slots: 8,
		Local: 200 * time.Microsecond, Remote: 1500 * time.Microsecond, Client: 3 * time.Millisecond,
		Kinds: []KindSpec{
			{
				Name: "reserve", Share: 0.70, Median: 80 * time.Millisecond, Spread: 0.4, MaxTasks: 20,
				UrgentShare: 0.2, Deadline: 8 * time.Second, UrgentDeadline: 3 * time.Second,
			},
			{
				Name: "renew", Share: 0.28, Median: 250 * time.Millisecond, Spread: 0.6, MaxTasks: 140,
				UrgentShare: 0.1, Deadline: 12 * time.Second, UrgentDeadline: 5 * time.Second,
			},
			{
				Name: "audit", Share: 0.02, Median: 3 * time.Second, Spread: 0.5, MaxTasks: 4,
				Deadline: 60 * time.Second, UrgentDeadline: 60 * time.Second,
			},
		},
		StragglerShare: 0.003, StragglerLeast: 8, StragglerMost: 40,
	}
}

// Target is the size to which the design has to grow: 730 upstreams in 8 data centres with the workload of mkeka.
func Target() Deployment {
	const upstreams = 730
	d := Mkeka()
	d.Name = "target"
	d.DataCentres = []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	d.Speeds = nil
	for i := range upstreams {
		d.Speeds = append(d.Speeds, speeds[i%len(speeds)])
	}
	return d
}

// capacity returns the work in seconds of reference time that all upstreams do per second.
func (d *Deployment) capacity() float64 {
	sum := 0.0
	for _, s := range d.Speeds {
		sum += s * float64(d.Slots)
	}
	return sum
}

// taskSpec is one task as drawn: its time on an upstream of speed 1.
type taskSpec struct {
	base  time.Duration
	short bool
}

// jobSpec is one job as drawn.
type jobSpec struct {
	at       time.Duration
	entry    int
	kind     *KindSpec
	urgent   bool
	deadline time.Duration // from the submission
	tasks    []taskSpec
}

func (j *jobSpec) longest() time.Duration {
	longest := time.Duration(0)
	for i := range j.tasks {
		longest = max(longest, j.tasks[i].base)
	}
	return longest
}

// work returns the reference time of all tasks in seconds.
func (j *jobSpec) work() float64 {
	sum := 0.0
	for i := range j.tasks {
		sum += j.tasks[i].base.Seconds()
	}
	return sum
}

// shortTask is the time below which a task counts as short in the figures. It is drawn, not known to the policy.
const shortTask = 250 * time.Millisecond

// longTask is the time above which a task counts as long in the figures.
const longTask = 2 * time.Second

// jobSize draws a number of tasks: most jobs are small, a few are wide.
func jobSize(r *rand.Rand, most int) int {
	n := 1
	switch x := r.Float64(); {
	case x < 0.60:
	case x < 0.85:
		n = 2 + r.IntN(7)
	case x < 0.97:
		n = 9 + r.IntN(32)
	default:
		n = 41 + r.IntN(100)
	}
	return min(n, most)
}

func (d *Deployment) drawTask(r *rand.Rand, k *KindSpec) taskSpec {
	seconds := k.Median.Seconds() * math.Exp(r.NormFloat64()*k.Spread)
	if r.Float64() < d.StragglerShare {
		seconds *= d.StragglerLeast + r.Float64()*(d.StragglerMost-d.StragglerLeast)
	}
	base := max(time.Duration(seconds*float64(time.Second)), time.Millisecond)
	return taskSpec{base: base, short: base < shortTask}
}

func (d *Deployment) drawJob(r *rand.Rand) jobSpec {
	x := r.Float64()
	k := &d.Kinds[len(d.Kinds)-1]
	for i := range d.Kinds {
		if x -= d.Kinds[i].Share; x < 0 {
			k = &d.Kinds[i]
			break
		}
	}
	j := jobSpec{kind: k, urgent: r.Float64() < k.UrgentShare, deadline: k.Deadline}
	if j.urgent {
		j.deadline = k.UrgentDeadline
	}
	for range jobSize(r, k.MaxTasks) {
		j.tasks = append(j.tasks, d.drawTask(r, k))
	}
	return j
}

// meanWork estimates the reference time of a job in seconds from a fixed sample.
func (d *Deployment) meanWork() float64 {
	const sample = 50_000
	r := rand.New(rand.NewPCG(1, 2))
	sum := 0.0
	for range sample {
		for _, t := range d.drawJob(r).tasks {
			sum += t.base.Seconds()
		}
	}
	return sum / sample
}

// arrivals draws the jobs of a scenario. load gives the demand relative to capacity at a time.
func (d *Deployment) arrivals(r *rand.Rand, entries int, length time.Duration, load func(time.Duration) float64) []jobSpec {
	perSecond := d.capacity() / d.meanWork()
	var jobs []jobSpec
	for at := time.Duration(0); ; {
		rate := max(load(at), 0.01) * perSecond
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return jobs
		}
		j := d.drawJob(r)
		j.at, j.entry = at, r.IntN(entries)
		jobs = append(jobs, j)
	}
}
