// Package policysim compares dispatch policies in virtual time over a model of slots, agent queues, message delays and
// seeded arrivals.
//
// Several entries run the real policy code. Each observes an upstream only through its own attempts and the load
// reports that come with results, so its decisions use reports that are at least one message delay old. Workers and
// load are those of the first service of a deployment file. Arrivals, service times and faults are drawn before the
// policies run and are the same for every policy with the same seed.
package policysim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
)

// TargetName is the name of the deployment at the target size.
const TargetName = "target"

// Size of the target deployment.
const (
	targetWorkers     = 730
	targetDataCentres = 8
)

// DeploymentNames returns the names that LoadDeployment accepts.
func DeploymentNames() []string { return append(deployment.Names(), TargetName) }

// LoadDeployment returns an embedded deployment, or for TargetName a deployment of the size that the design must
// support: the workers of mkeka repeated up to 730, in 8 data centres, under its load. Errors are those of
// deployment.Load.
func LoadDeployment(name string) (*deployment.Deployment, error) {
	if name != TargetName {
		return deployment.Load(name)
	}
	d, err := deployment.Load("mkeka")
	if err != nil {
		return nil, err
	}
	originals := d.Workers
	d.Name, d.Workers, d.DataCentres = TargetName, nil, nil
	for i := range targetDataCentres {
		d.DataCentres = append(d.DataCentres, deployment.DataCentre{ID: fmt.Sprintf("dc-%d", i)})
	}
	for i := range targetWorkers {
		w := originals[i%len(originals)]
		w.ID, w.DataCentre = fmt.Sprintf("worker-%d", i), d.DataCentres[i%targetDataCentres].ID
		d.Workers = append(d.Workers, w)
	}
	return d, nil
}

// jobSpec is one job of the drawn workload.
type jobSpec struct {
	submitted time.Duration
	entry     int
	kind      *deployment.Kind
	tasks     []time.Duration // service times at speed 1
}

func (j *jobSpec) longest() time.Duration { return slices.Max(j.tasks) }

// work returns the sum of the service times at speed 1, in seconds.
func (j *jobSpec) work() float64 {
	sum := 0.0
	for _, t := range j.tasks {
		sum += t.Seconds()
	}
	return sum
}

// Limits of the figures, as service times at speed 1. The policy does not use them.
const (
	// shortTask is the time below which a task counts as short.
	shortTask = 250 * time.Millisecond
	// longTask is the time from which a task counts as long.
	longTask = 2 * time.Second
)

// drawJobs draws the jobs of a scenario in order of submission, with exponentially distributed intervals and random
// entries.
func drawJobs(d *deployment.Deployment, s *deployment.Service, r *rand.Rand, entries int, sc Scenario) []jobSpec {
	perSecond := d.Capacity(s.Name) / s.Load.WorkPerJob()
	var jobs []jobSpec
	for at := time.Duration(0); ; {
		rate := max(sc.load(at), 0.01) * perSecond
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= sc.Length {
			return jobs
		}
		load := s.Load.DrawKind(r)
		kind, _ := s.Kind(load.Kind) // deployment.Parse checks that the kind exists
		j := jobSpec{submitted: at, entry: r.IntN(entries), kind: kind}
		for range load.DrawTasks(r) {
			j.tasks = append(j.tasks, load.DrawWork(r))
		}
		jobs = append(jobs, j)
	}
}
