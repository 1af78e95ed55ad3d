package policysim

import "time"

// Scenario is one run: a load over time and at most one fault.
type Scenario struct {
	Name   string
	Length time.Duration
	// Warmup is the time from which jobs count in the figures.
	Warmup time.Duration
	// Load is the demand relative to capacity.
	Load float64
	// CrestLoad replaces Load from CrestStart to CrestEnd; 0 for none.
	CrestLoad            float64
	CrestStart, CrestEnd time.Duration
	// Failing is set when the upstream with index FaultyUpstream answers everything with an error at once.
	Failing bool
	// Slowdown divides the speed of that upstream; 0 for none.
	Slowdown float64
	// LostAt is the time at which the first entry dies; 0 for never.
	LostAt time.Duration
}

// FaultyUpstream is the index of the upstream that the faults of a scenario concern.
const FaultyUpstream = 5

func (s Scenario) load(at time.Duration) float64 {
	if s.CrestLoad > 0 && at >= s.CrestStart && at < s.CrestEnd {
		return s.CrestLoad
	}
	return s.Load
}

// Scenarios returns all scenarios with the given length of the steady ones.
func Scenarios(length time.Duration) []Scenario {
	warmup := length / 10
	steady := func(name string, load float64) Scenario {
		return Scenario{Name: name, Length: length, Warmup: warmup, Load: load}
	}
	list := []Scenario{
		steady("load-0.7", 0.7), steady("load-0.9", 0.9), steady("load-1.0", 1.0), steady("load-1.3", 1.3),
	}
	crest := Scenario{
		Name: "crest", Length: 60 * time.Second, Warmup: 10 * time.Second, Load: 0.6,
		CrestLoad: 1.8, CrestStart: 25 * time.Second, CrestEnd: 30 * time.Second,
	}
	long := crest
	long.Name, long.Length, long.CrestLoad, long.CrestEnd = "long-crest", 90*time.Second, 1.4, 50*time.Second
	failing := steady("failing-upstream", 0.7)
	failing.Failing = true
	slow := steady("slow-upstream", 0.7)
	slow.Slowdown = 10
	lost := steady("entry-lost", 0.7)
	lost.LostAt = length / 2
	return append(list, crest, long, failing, slow, lost)
}
