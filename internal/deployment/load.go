package deployment

import (
	"math"
	"math/rand/v2"
	"time"
)

// LoadProfile describes the load on a service. Arrivals are a Poisson process whose rate follows Demand.
type LoadProfile struct {
	Demand Demand `yaml:"demand"`
	// ResubmitShare is the share of jobs that are submitted a second time, under the same key, to another entry.
	ResubmitShare float64 `yaml:"resubmit_share" validate:"min=0,max=1"`
	// CancelShare is the share of jobs that their caller cancels. Cancellations are sent only at multiples of
	// CancelInterval, so that they come in bursts.
	CancelShare    float64       `yaml:"cancel_share" validate:"min=0,max=1"`
	CancelInterval time.Duration `yaml:"cancel_interval" validate:"min=100ms,max=1m"`
	Kinds          []KindLoad    `yaml:"kinds" validate:"min=1,dive"`
}

// Demand is the periodic demand as a share of the capacity of the service's workers. Each Period begins at Trough, rises
// to the peak, Crest, within Ramp, stays there for CrestTime and falls back to Trough within Ramp. The fields are named like
// their keys in the file, because the validator prints the names of the fields.
type Demand struct {
	Trough    float64       `yaml:"trough" validate:"min=0,max=10"`
	Crest     float64       `yaml:"crest" validate:"min=0,max=10"`
	Period    time.Duration `yaml:"period" validate:"min=1s,max=1h"`
	CrestTime time.Duration `yaml:"crest_time" validate:"min=0,max=1h"`
	Ramp      time.Duration `yaml:"ramp" validate:"min=0,max=1h"`
}

// KindLoad describes the jobs of one request kind.
type KindLoad struct {
	Kind string `yaml:"kind" validate:"required"`
	// Weight determines the share of jobs of this kind, relative to the weights of the other kinds.
	Weight float64 `yaml:"weight" validate:"gt=0"`
	// Tasks is the distribution of the number of tasks in a job, Work that of a task's run time at speed 1.
	Tasks []SizeClass `yaml:"tasks" validate:"min=1,dive"`
	Work  []WorkClass `yaml:"work" validate:"min=1,dive"`
	// DeclaredFactor is the largest factor by which the declared run time exceeds or falls below the real one; 1 means that
	// it is exact.
	DeclaredFactor float64 `yaml:"declared_factor" validate:"min=1,max=1000"`
}

// SizeClass is a class of job sizes with a uniform distribution between From and To tasks, both inclusive.
type SizeClass struct {
	From   int     `yaml:"from" validate:"min=1,max=140"`
	To     int     `yaml:"to" validate:"min=1,max=140,gtefield=From"`
	Weight float64 `yaml:"weight" validate:"gt=0"`
}

// WorkClass is a class of run times with a log-uniform distribution between From and To.
type WorkClass struct {
	From   time.Duration `yaml:"from" validate:"min=1ms,max=10m"`
	To     time.Duration `yaml:"to" validate:"min=1ms,max=10m,gtefield=From"`
	Weight float64       `yaml:"weight" validate:"gt=0"`
}

// At returns the demand at a time after the start of the load, and whether the demand is at its peak then.
func (d *Demand) At(elapsed time.Duration) (share float64, atPeak bool) {
	phase := elapsed % d.Period
	riseStart := d.Period - d.CrestTime - 2*d.Ramp
	peakStart, fallStart := riseStart+d.Ramp, riseStart+d.Ramp+d.CrestTime
	switch {
	case phase < riseStart:
		return d.Trough, false
	case phase < peakStart:
		return d.interpolate(phase-riseStart, d.Trough, d.Crest), false
	case phase < fallStart:
		return d.Crest, true
	default:
		return d.interpolate(phase-fallStart, d.Crest, d.Trough), false
	}
}

func (d *Demand) interpolate(elapsedInRamp time.Duration, from, to float64) float64 {
	return from + (to-from)*float64(elapsedInRamp)/float64(d.Ramp)
}

// Highest returns the highest demand, as a share of capacity.
func (d *Demand) Highest() float64 { return max(d.Trough, d.Crest) }

// WorkPerJob returns the expected work of one job in seconds at speed 1.
func (l *LoadProfile) WorkPerJob() float64 {
	weights, work := 0.0, 0.0
	for i := range l.Kinds {
		kind := &l.Kinds[i]
		weights += kind.Weight
		work += kind.Weight * kind.meanTasks() * kind.meanWork()
	}
	return work / weights
}

func (k *KindLoad) meanTasks() float64 {
	weights, tasks := 0.0, 0.0
	for _, c := range k.Tasks {
		weights += c.Weight
		tasks += c.Weight * float64(c.From+c.To) / 2
	}
	return tasks / weights
}

func (k *KindLoad) meanWork() float64 {
	weights, work := 0.0, 0.0
	for _, c := range k.Work {
		weights += c.Weight
		work += c.Weight * c.mean()
	}
	return work / weights
}

// mean returns the expected run time in seconds: the mean of the log-uniform distribution.
func (c *WorkClass) mean() float64 {
	from, to := c.From.Seconds(), c.To.Seconds()
	if from == to {
		return from
	}
	return (to - from) / math.Log(to/from)
}

// DrawKind draws the request kind of a job.
func (l *LoadProfile) DrawKind(random *rand.Rand) *KindLoad {
	return &l.Kinds[drawWeighted(random, len(l.Kinds), func(i int) float64 { return l.Kinds[i].Weight })]
}

// DrawTasks draws the number of tasks of a job.
func (k *KindLoad) DrawTasks(random *rand.Rand) int {
	c := k.Tasks[drawWeighted(random, len(k.Tasks), func(i int) float64 { return k.Tasks[i].Weight })]
	return c.From + random.IntN(c.To-c.From+1)
}

// DrawWork draws the run time of a task at speed 1, in whole milliseconds.
func (k *KindLoad) DrawWork(random *rand.Rand) time.Duration {
	c := k.Work[drawWeighted(random, len(k.Work), func(i int) float64 { return k.Work[i].Weight })]
	ratio := math.Pow(float64(c.To)/float64(c.From), random.Float64())
	return time.Duration(float64(c.From) * ratio).Round(time.Millisecond)
}

// DrawDeclared draws the run time that a caller declares for a task with the given real run time.
func (k *KindLoad) DrawDeclared(random *rand.Rand, work time.Duration) time.Duration {
	exponent := 2*random.Float64() - 1
	return time.Duration(float64(work) * math.Pow(k.DeclaredFactor, exponent)).Round(time.Millisecond)
}

// drawWeighted returns a random index below n with a probability proportional to its weight.
func drawWeighted(random *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	remaining := random.Float64() * total
	for i := range n {
		if remaining -= weight(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}
