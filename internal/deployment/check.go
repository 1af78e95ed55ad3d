package deployment

import (
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxWorkersPerRack is the maximum number of workers in a rack.
const maxWorkersPerRack = 3

// check verifies that the parts of a deployment are consistent with each other.
func (d *Deployment) check() error {
	if err := d.checkDataCentres(); err != nil {
		return err
	}
	if err := d.checkWorkers(); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for i := range d.Services {
		s := &d.Services[i]
		if seen[s.Name] {
			return eris.Errorf("service %s is defined twice", s.Name)
		}
		seen[s.Name] = true
		if len(d.WorkersOf(s.Name)) == 0 {
			return eris.Errorf("service %s has no worker", s.Name)
		}
		if err := s.check(); err != nil {
			return eris.Wrapf(err, "service %s", s.Name)
		}
	}
	return nil
}

func (d *Deployment) checkDataCentres() error {
	seen := make(map[string]bool)
	for _, c := range d.DataCentres {
		if seen[c.ID] {
			return eris.Errorf("data centre %s is defined twice", c.ID)
		}
		seen[c.ID] = true
	}
	return nil
}

func (d *Deployment) checkWorkers() error {
	centres, services := make(map[string]bool), make(map[string]bool)
	for _, c := range d.DataCentres {
		centres[c.ID] = true
	}
	for i := range d.Services {
		services[d.Services[i].Name] = true
	}
	seen := make(map[string]bool)
	racks := make(map[string][]Worker)
	for _, w := range d.Workers {
		switch {
		case seen[w.ID]:
			return eris.Errorf("worker %s is defined twice", w.ID)
		case !centres[w.DataCentre]:
			return eris.Errorf("worker %s is in data centre %q, which is not defined", w.ID, w.DataCentre)
		case !services[w.Service]:
			return eris.Errorf("worker %s runs service %q, which is not defined", w.ID, w.Service)
		}
		seen[w.ID] = true
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	for rack, workers := range racks {
		if len(workers) > maxWorkersPerRack {
			return eris.Errorf("rack %s has %d workers; the maximum is %d", rack, len(workers), maxWorkersPerRack)
		}
		for _, w := range workers {
			if w.DataCentre != workers[0].DataCentre {
				return eris.Errorf("rack %s has workers in more than one data centre", rack)
			}
		}
	}
	return nil
}

func (s *Service) check() error {
	if len(s.Kinds) == 0 {
		return eris.New("the service document defines no request kind")
	}
	for _, kind := range s.Kinds {
		if kind.Name == "" || kind.Deadline <= 0 || kind.Deadline > wire.MaxDeadline {
			return eris.Errorf("kind %q: a name and a deadline above 0 and of at most %s are required", kind.Name, wire.MaxDeadline)
		}
	}
	d := &s.Load.Demand
	if d.CrestTime+2*d.Ramp > d.Period {
		return eris.New("demand: crest_time plus twice the ramp is longer than the period")
	}
	if d.Highest() <= 0 {
		return eris.New("demand: trough or crest must be greater than 0")
	}
	for i := range s.Load.Kinds {
		if _, ok := s.Kind(s.Load.Kinds[i].Kind); !ok {
			return eris.Errorf("load: kind %q is not defined in the service document", s.Load.Kinds[i].Kind)
		}
	}
	return nil
}
