package replay

import "time"

// PeakA is the load of the deployment "parking payments" of the work plan at a sixth of its size, with a peak of a demand.
func PeakA(demand float64) Load {
	return Load{
		Name: "A", Entries: 7, Workers: 26, Demand: demand, Base: 0.7, SizeSpread: 0.25, Deviation: 0.4, LongRuns: 30,
		PeakFrom: time.Second, PeakUntil: 4 * time.Second, Until: 5 * time.Second,
		Kinds: []Kind{
			{"p0", 0, 206, 8, 60 * time.Millisecond, 7300, 0.00485},
			{"p1", 1, 600, 2, 200 * time.Millisecond, 7300, 0.00167},
			{"p2", 2, 37.5, 4, 900 * time.Millisecond, 7300, 0.0267},
		},
	}
}

// PeakB is the same for the deployment "mortgage calculator".
func PeakB(demand float64) Load {
	l := PeakA(demand)
	l.Name, l.Entries, l.Workers = "B", 5, 18
	l.Kinds = []Kind{
		{"p0", 0, 181, 8, 51 * time.Millisecond, 5100, 0.00485},
		{"p1", 1, 529, 2, 170 * time.Millisecond, 5100, 0.00167},
		{"p2", 2, 33, 4, 760 * time.Millisecond, 5100, 0.0267},
	}
	return l
}

// LargeAmongSmall is a load in which single tasks of a third of a worker compete with many small ones of the same priority.
func LargeAmongSmall(demand float64) Load {
	l := PeakA(demand)
	l.Name, l.SizeSpread = "large among small", 0.1
	l.Kinds = []Kind{
		{"small", 1, 600, 2, 100 * time.Millisecond, 3000, 0.00167},
		{"large", 1, 30, 2, 200 * time.Millisecond, 22000, 0.0267},
	}
	return l
}

// WrongEstimates is PeakA with run times that deviate by up to 0.9 of their estimate, and one in ten that takes seven times as
// long.
func WrongEstimates(demand float64) Load {
	l := PeakA(demand)
	l.Name, l.Deviation, l.LongRuns = "wrong estimates", 0.9, 10
	return l
}

// FailingWorkers is PeakA with workers that slow down or die in the middle of the peak.
func FailingWorkers(demand float64) Load {
	l := PeakA(demand)
	l.Name, l.SlowWorkers, l.DeadWorkers = "failing workers", 3, 2
	return l
}

// short returns the load with a peak of 1.5 s.
func (l Load) short() Load {
	l.PeakFrom, l.PeakUntil, l.Until = 500*time.Millisecond, 2*time.Second, 2*time.Second
	return l
}
