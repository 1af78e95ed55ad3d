package evacuation

import (
	"strings"
	"time"

	"github.com/apex/log"
)

// Tracker holds the state that is in force for a process, and since when each data centre has been evacuated.
type Tracker struct {
	state State
	since map[string]time.Time
}

// Change describes what Tracker.Apply did. Began and Ended hold the data centres whose evacuation began and ended; both are
// empty if only the revision has changed or if the state was ignored.
type Change struct{ Began, Ended []string }

// Fields returns the change and the state after it as fields of a log line.
func (c Change) Fields(s State) log.Fields {
	return log.Fields{
		"revision": s.Revision, "evacuated": strings.Join(s.DataCentres, ","), "began": strings.Join(c.Began, ","), "ended": strings.Join(c.Ended, ","),
	}
}

// IsEmpty reports whether the set of evacuated data centres is the same as before.
func (c Change) IsEmpty() bool { return len(c.Began)+len(c.Ended) == 0 }

// State returns the state in force.
func (t *Tracker) State() State { return t.state }

// Apply merges a state from the store or from a peer. now is the time of day, which Summary reports as the start of evacuations.
func (t *Tracker) Apply(now time.Time, next State) Change {
	merged := Merge(t.state, next)
	var change Change
	for _, name := range merged.DataCentres {
		if !t.state.Includes(name) {
			change.Began = append(change.Began, name)
		}
	}
	for _, name := range t.state.DataCentres {
		if !merged.Includes(name) {
			change.Ended = append(change.Ended, name)
			delete(t.since, name)
		}
	}
	if t.since == nil {
		t.since = make(map[string]time.Time)
	}
	for _, name := range change.Began {
		t.since[name] = now
	}
	t.state = merged
	return change
}

// Summary is the state in force in the form in which dumps and metrics show it.
type Summary struct {
	Revision    uint64       `json:"revision"` // of the store
	DataCentres []DataCentre `json:"data_centres"`
}

// DataCentre is an evacuated data centre.
type DataCentre struct {
	Name string `json:"name"`
	// Since is the time of day at which this process learned of the evacuation.
	Since time.Time `json:"since"`
}

// Summary returns the state in force, for dumps and metrics.
func (t *Tracker) Summary() Summary {
	s := Summary{Revision: t.state.Revision, DataCentres: make([]DataCentre, 0, len(t.state.DataCentres))}
	for _, name := range t.state.DataCentres {
		s.DataCentres = append(s.DataCentres, DataCentre{Name: name, Since: t.since[name]})
	}
	return s
}
