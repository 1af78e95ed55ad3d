package policysim

import "time"

// Scenario describes a run: a load over time and at most one fault.
type Scenario struct {
	Name   string
	Length time.Duration
	// Warmup is the time after which submitted jobs count in the figures.
	Warmup time.Duration
	// Load is the demand relative to the capacity.
	Load float64
	// PeakLoad replaces Load from PeakStart to PeakEnd; 0 for no load peak.
	PeakLoad           float64
	PeakStart, PeakEnd time.Duration
	// Failing is set if the upstream with index FaultyUpstream fails every task immediately.
	Failing bool
	// Slowdown divides the speed of the upstream with index FaultyUpstream; 0 for no slowdown.
	Slowdown float64
	// EntryLostAt is the time at which the first entry crashes; 0 for never.
	EntryLostAt time.Duration
}

// FaultyUpstream is the index of the upstream that fails or is slow in a scenario with such a fault.
const FaultyUpstream = 5

func (s Scenario) load(at time.Duration) float64 {
	if s.PeakLoad > 0 && at >= s.PeakStart && at < s.PeakEnd {
		return s.PeakLoad
	}
	return s.Load
}

// Scenarios returns all scenarios. length is the duration of those with a constant load.
func Scenarios(length time.Duration) []Scenario {
	warmup := length / 10
	steady := func(name string, load float64) Scenario {
		return Scenario{Name: name, Length: length, Warmup: warmup, Load: load}
	}
	list := []Scenario{
		steady("load-0.7", 0.7), steady("load-0.9", 0.9), steady("load-1.0", 1.0), steady("load-1.3", 1.3),
	}
	peak := Scenario{
		Name: "crest", Length: 60 * time.Second, Warmup: 10 * time.Second, Load: 0.6,
		PeakLoad: 1.8, PeakStart: 25 * time.Second, PeakEnd: 30 * time.Second,
	}
	longPeak := peak
	longPeak.Name, longPeak.Length, longPeak.PeakLoad, longPeak.PeakEnd =
		"long-crest", 90*time.Second, 1.4, 50*time.Second
	failing := steady("failing-upstream", 0.7)
	failing.Failing = true
	slowed := steady("slow-upstream", 0.7)
	slowed.Slowdown = 10
	lost := steady("entry-lost", 0.7)
	lost.EntryLostAt = length / 2
	return append(list, peak, longPeak, failing, slowed, lost)
}
