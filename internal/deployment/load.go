package deployment

import (
	"math"
	"math/rand/v2"
	"time"
)

// LoadProfile is the load on a service. Arrivals are a Poisson process whose rate follows Demand.
type LoadProfile struct {
	Demand Demand `yaml:"demand"`
	// ResubmitShare is the share of jobs that are submitted again under the same key at another entry.
	ResubmitShare float64 `yaml:"resubmit_share" validate:"min=0,max=1"`
	// CancelShare is the share of jobs whose caller gives up at the next CancelInterval, so that cancellations come in
	// bursts.
	CancelShare    float64       `yaml:"cancel_share" validate:"min=0,max=1"`
	CancelInterval time.Duration `yaml:"cancel_interval" validate:"min=100ms,max=1m"`
	Kinds          []KindLoad    `yaml:"kinds" validate:"min=1,dive"`
}

// Demand is the demand as a share of the capacity of the service's workers. Each Period begins at Trough, rises to Crest
// within Ramp, stays there for CrestTime and falls back within Ramp.
type Demand struct {
	Trough    float64       `yaml:"trough" validate:"min=0,max=10"`
	Crest     float64       `yaml:"crest" validate:"min=0,max=10"`
	Period    time.Duration `yaml:"period" validate:"min=1s,max=1h"`
	CrestTime time.Duration `yaml:"crest_time" validate:"min=0,max=1h"`
	Ramp      time.Duration `yaml:"ramp" validate:"min=0,max=1h"`
}

// KindLoad is the load of one request kind.
type KindLoad struct {
	Kind string `yaml:"kind" validate:"required"`
	// Weight is the share of the jobs, relative to the weights of the other kinds.
	Weight float64 `yaml:"weight" validate:"gt=0"`
	// Tasks is the mix of job sizes, Work the mix of run times at speed 1.
	Tasks []SizeClass `yaml:"tasks" validate:"min=1,dive"`
	Work  []WorkClass `yaml:"work" validate:"min=1,dive"`
	// DeclaredFactor bounds how far the declared run time is off, in either direction; 1 means exact.
	DeclaredFactor float64 `yaml:"declared_factor" validate:"min=1,max=1000"`
}

// SizeClass is a class of job sizes, uniform from From to To tasks.
type SizeClass struct {
	From   int     `yaml:"from" validate:"min=1,max=140"`
	To     int     `yaml:"to" validate:"min=1,max=140,gtefield=From"`
	Weight float64 `yaml:"weight" validate:"gt=0"`
}

// WorkClass is a class of run times, with a uniform logarithm from From to To.
type WorkClass struct {
	From   time.Duration `yaml:"from" validate:"min=1ms,max=10m"`
	To     time.Duration `yaml:"to" validate:"min=1ms,max=10m,gtefield=From"`
	Weight float64       `yaml:"weight" validate:"gt=0"`
}

// At returns the demand at a time after the beginning of the load, and whether that time belongs to a crest.
func (d *Demand) At(elapsed time.Duration) (share float64, crest bool) {
	phase := elapsed % d.Period
	rise := d.Period - d.CrestTime - 2*d.Ramp
	top, fall := rise+d.Ramp, rise+d.Ramp+d.CrestTime
	switch {
	case phase < rise:
		return d.Trough, false
	case phase < top:
		return d.between(phase-rise, d.Trough, d.Crest), false
	case phase < fall:
		return d.Crest, true
	default:
		return d.between(phase-fall, d.Crest, d.Trough), false
	}
}

func (d *Demand) between(into time.Duration, from, to float64) float64 {
	return from + (to-from)*float64(into)/float64(d.Ramp)
}

// Highest returns the highest demand.
func (d *Demand) Highest() float64 { return max(d.Trough, d.Crest) }

// WorkPerJob returns the expected seconds of work, at speed 1, of one job.
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

// mean returns the expected run time in seconds.
func (c *WorkClass) mean() float64 {
	from, to := c.From.Seconds(), c.To.Seconds()
	if from == to {
		return from
	}
	return (to - from) / math.Log(to/from)
}

// DrawKind draws the kind of a job.
func (l *LoadProfile) DrawKind(random *rand.Rand) *KindLoad {
	return &l.Kinds[draw(random, len(l.Kinds), func(i int) float64 { return l.Kinds[i].Weight })]
}

// DrawTasks draws the number of tasks of a job.
func (k *KindLoad) DrawTasks(random *rand.Rand) int {
	c := k.Tasks[draw(random, len(k.Tasks), func(i int) float64 { return k.Tasks[i].Weight })]
	return c.From + random.IntN(c.To-c.From+1)
}

// DrawWork draws the run time of a task at speed 1, in whole milliseconds.
func (k *KindLoad) DrawWork(random *rand.Rand) time.Duration {
	c := k.Work[draw(random, len(k.Work), func(i int) float64 { return k.Work[i].Weight })]
	ratio := math.Pow(float64(c.To)/float64(c.From), random.Float64())
	return time.Duration(float64(c.From) * ratio).Round(time.Millisecond)
}

// DrawDeclared draws the run time that a caller declares for a task.
func (k *KindLoad) DrawDeclared(random *rand.Rand, work time.Duration) time.Duration {
	exponent := 2*random.Float64() - 1
	return time.Duration(float64(work) * math.Pow(k.DeclaredFactor, exponent)).Round(time.Millisecond)
}

// draw returns an index with a probability in proportion to its weight.
func draw(random *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	at := random.Float64() * total
	for i := range n {
		if at -= weight(i); at < 0 {
			return i
		}
	}
	return n - 1
}
