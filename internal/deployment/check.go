package deployment

import (
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// workersPerRack is the largest number of workers in a rack.
const workersPerRack = 3

// check finds contradictions between the parts of a deployment.
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
			return eris.Errorf("service %s occurs twice", s.Name)
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
			return eris.Errorf("data centre %s occurs twice", c.ID)
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
			return eris.Errorf("worker %s occurs twice", w.ID)
		case !centres[w.DataCentre]:
			return eris.Errorf("worker %s is in data centre %q, which is not listed", w.ID, w.DataCentre)
		case !services[w.Service]:
			return eris.Errorf("worker %s serves %q, which is not listed", w.ID, w.Service)
		}
		seen[w.ID] = true
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	for rack, workers := range racks {
		if len(workers) > workersPerRack {
			return eris.Errorf("rack %s holds %d workers; allowed: %d", rack, len(workers), workersPerRack)
		}
		for _, w := range workers {
			if w.DataCentre != workers[0].DataCentre {
				return eris.Errorf("rack %s is in two data centres", rack)
			}
		}
	}
	return nil
}

func (s *Service) check() error {
	if len(s.Kinds) == 0 {
		return eris.New("the document states no kind")
	}
	for _, kind := range s.Kinds {
		if kind.Name == "" || kind.Deadline <= 0 || kind.Deadline > wire.MaxDeadline {
			return eris.Errorf("kind %q needs a name and a deadline of at most %s", kind.Name, wire.MaxDeadline)
		}
	}
	d := &s.Load.Demand
	if d.CrestTime+2*d.Ramp > d.Period {
		return eris.New("demand: crest_time and two ramps are longer than the period")
	}
	if d.Highest() <= 0 {
		return eris.New("demand: trough and crest are both 0")
	}
	for i := range s.Load.Kinds {
		if _, ok := s.Kind(s.Load.Kinds[i].Kind); !ok {
			return eris.Errorf("load: kind %q is not in the document", s.Load.Kinds[i].Kind)
		}
	}
	return nil
}
