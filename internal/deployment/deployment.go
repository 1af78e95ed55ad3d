// Package deployment describes deployments: data centres, network delays, workers, services with their documents, and the
// load that callers generate for each service. The deployments wax and mkeka are embedded in the program.
package deployment

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrInvalid is returned for a deployment file that is malformed or inconsistent.
var ErrInvalid = eris.New("invalid deployment")

// ErrNotFound is returned for a name that is neither an embedded deployment nor a readable file, and for an unknown
// service.
var ErrNotFound = eris.New("not found")

// Deployment is one deployment of the system.
type Deployment struct {
	Name   string `yaml:"name" validate:"required"`
	Region string `yaml:"region" validate:"required"`
	// Entries is the number of entry processes. They are assigned to the data centres in turn.
	Entries     int          `yaml:"entries" validate:"min=3,max=64"`
	Network     Network      `yaml:"network"`
	DataCentres []DataCentre `yaml:"data_centres" validate:"min=1,dive"`
	Workers     []Worker     `yaml:"workers" validate:"min=1,dive"`
	Services    []Service    `yaml:"services" validate:"min=1,dive"`
}

// Network holds the one-way network delays of a deployment.
type Network struct {
	// BetweenDataCentres is the delay between processes in different data centres. Within a data centre the delay is 0.
	BetweenDataCentres time.Duration `yaml:"between_data_centres" validate:"min=0,max=1s"`
	// ToClients is the delay between a caller and an entry.
	ToClients time.Duration `yaml:"to_clients" validate:"min=0,max=1s"`
}

// DataCentre is one data centre. ID is used in settings and messages; Name is a display name.
type DataCentre struct {
	ID   string `yaml:"id" validate:"required"`
	Name string `yaml:"name" validate:"required"`
}

// Worker is a machine with one upstream and its agent.
type Worker struct {
	ID         string `yaml:"id" validate:"required"`
	Rack       string `yaml:"rack" validate:"required"`
	DataCentre string `yaml:"data_centre" validate:"required"`
	Service    string `yaml:"service" validate:"required"`
	Processors int    `yaml:"processors" validate:"min=1"`
	MemoryGB   int    `yaml:"memory_gb" validate:"min=1"`
	// Speed is relative: a worker with speed 2 runs a task in half the time that a worker with speed 1 needs.
	Speed       float64 `yaml:"speed" validate:"gt=0,max=100"`
	Slots       int     `yaml:"slots" validate:"min=1,max=1024"`
	Connections int     `yaml:"connections" validate:"min=1,max=65536"`
}

// WorkFactor returns the run time of a task on this worker divided by its run time at speed 1.
func (w *Worker) WorkFactor() float64 { return 1 / w.Speed }

// Service is a service with its document and its load.
type Service struct {
	Name string `yaml:"name" validate:"required"`
	// Document is the text of the service document, in YAML.
	Document string      `yaml:"document" validate:"required"`
	Load     LoadProfile `yaml:"load"`
	// Kinds are the request kinds that Document defines. Parse sets them.
	Kinds []Kind `yaml:"-" validate:"-"`
}

// Kind holds the properties of a request kind that the load depends on.
type Kind struct {
	Name       string        `yaml:"name"`
	Urgent     bool          `yaml:"urgent"`
	Idempotent bool          `yaml:"idempotent"`
	Long       bool          `yaml:"long"`
	Deadline   time.Duration `yaml:"deadline"`
}

// Service returns the service of the given name, or the first one for an empty name. It returns ErrNotFound for an unknown
// name.
func (d *Deployment) Service(name string) (*Service, error) {
	for i := range d.Services {
		if name == "" || d.Services[i].Name == name {
			return &d.Services[i], nil
		}
	}
	return nil, eris.Wrapf(ErrNotFound, "service %q of deployment %s", name, d.Name)
}

// WorkersOf returns the workers of a service.
func (d *Deployment) WorkersOf(service string) []Worker {
	var workers []Worker
	for _, w := range d.Workers {
		if w.Service == service {
			workers = append(workers, w)
		}
	}
	return workers
}

// Capacity returns the number of seconds of work at speed 1 that all workers of a service together complete in one second.
func (d *Deployment) Capacity(service string) float64 {
	total := 0.0
	for _, w := range d.WorkersOf(service) {
		total += float64(w.Slots) * w.Speed
	}
	return total
}

// MinWorkFactor returns the smallest work factor among the workers of a service, or 1 if it has none.
func (d *Deployment) MinWorkFactor(service string) float64 {
	maxSpeed := 0.0
	for _, w := range d.WorkersOf(service) {
		maxSpeed = max(maxSpeed, w.Speed)
	}
	if maxSpeed == 0 {
		return 1
	}
	return 1 / maxSpeed
}

// EntryDataCentre returns the id of the data centre of the entry with the given index. Indexes start at 0.
func (d *Deployment) EntryDataCentre(index int) string {
	return d.DataCentres[index%len(d.DataCentres)].ID
}

// Delay returns the one-way delay between two data centres, which are given by their ids.
func (d *Deployment) Delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	return d.Network.BetweenDataCentres
}

// Kind returns the request kind of the given name and whether it exists.
func (s *Service) Kind(name string) (*Kind, bool) {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return &s.Kinds[i], true
		}
	}
	return nil, false
}
