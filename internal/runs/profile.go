package runs

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// This file estimates which capacity becomes free when. It answers a demand above the capacity by tasks of different size: an
// entry that knows only how much is free now offers a worker the tasks that fit at once, which are the small ones.

// Parameters of the profile of free capacity.
const (
	// maxProfileSteps bounds the steps in a load report, and so its size: a step takes at most 8 bytes on a worker of 64 cores.
	maxProfileSteps = 4
	// profileResolution is the width of the buckets of a load report. It is less than the error of most estimates.
	profileResolution = 5 * time.Millisecond
	// minReportedRise is the smallest additional capacity that a load report shows, in thousandths of a core.
	minReportedRise = 1000
	// profileHorizon is the time that the profile of a load report covers: the longest wait for which an entry reserves, and the run
	// time of the shortest tasks. Six steps over 250 ms gained no more in the replays.
	profileHorizon = 100 * time.Millisecond
	// minProgressPercent is the progress from which the pace of a run says more about its end than the estimate. Progress comes in
	// whole percents.
	minProgressPercent = 4
	// minProgressTime is the same for the time that a run has taken.
	minProgressTime = 15 * time.Millisecond
	// progressInterval is the longest time between two snapshots of the runs of a worker.
	progressInterval = 40 * time.Millisecond
)

// capacityStep is the free capacity from a time on until the next step.
type capacityStep struct {
	at   time.Duration // from now
	free job.Resources
}

// profile is the free capacity of a worker over time, as steps in ascending order. The first step is at 0.
type profile []capacityStep

// remaining returns the expected time until a run ends.
func (r *run) remaining(now time.Time, slowdown float64) time.Duration {
	elapsed := now.Sub(r.startedAt)
	if measured := r.progressedAt.Sub(r.startedAt); r.percent >= minProgressPercent && measured >= minProgressTime {
		total := measured * 100 / time.Duration(r.percent)
		overdue := now.Sub(r.progressedAt) - progressInterval // a run that makes no progress does not end
		return max(total-elapsed, overdue, time.Millisecond)
	}
	expected := time.Duration(float64(r.offer.EstimateMillis)*slowdown) * time.Millisecond
	return max(expected-elapsed, elapsed/2, time.Millisecond)
}

// profile returns the free capacity that results from the active runs alone.
func (t *Table) profile(now time.Time) profile {
	type end struct {
		in    time.Duration
		needs job.Resources
	}
	slowdown := t.expectedSlowdown()
	ends := make([]end, 0, len(t.active))
	for _, r := range t.active {
		ends = append(ends, end{r.remaining(now, slowdown), r.needs})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.in, b.in) })
	free := t.admittedCapacity(now).Sub(t.used)
	p := make(profile, 1, len(ends)+5)
	p[0].free = free
	for _, e := range ends {
		free = free.Add(e.needs)
		if last := &p[len(p)-1]; last.at == e.in {
			last.free = free
			continue
		}
		p = append(p, capacityStep{e.in, free})
	}
	return p
}

// earliest returns the earliest time from which needs are free for a duration, and false if they never are.
func (p profile) earliest(needs job.Resources, d time.Duration) (time.Duration, bool) {
	for i := 0; i < len(p); i++ {
		from := p[i].at
		fits := true
		for k := i; k < len(p) && (k == i || p[k].at < from+d); k++ {
			if !needs.FitsIn(p[k].free) {
				fits, i = false, k
				break
			}
		}
		if fits {
			return from, true
		}
	}
	return 0, false
}

// reserve takes needs out of the profile for a duration from a time on.
func (p profile) reserve(at, d time.Duration, needs job.Resources) profile {
	p = p.split(at).split(at + d)
	for i := range p {
		if p[i].at >= at && p[i].at < at+d {
			p[i].free = p[i].free.Sub(needs)
		}
	}
	return p
}

// split adds a step at a time unless there is one.
func (p profile) split(at time.Duration) profile {
	i, found := slices.BinarySearchFunc(p, at, func(s capacityStep, at time.Duration) int { return cmp.Compare(s.at, at) })
	if found {
		return p
	}
	return slices.Insert(p, i, capacityStep{at, p[i-1].free})
}

// report returns the profile for a load report, in buckets of profileResolution with the least capacity in each, so that no
// entry counts on capacity that is not there. Rises below minReportedRise are added to the next one.
func (p profile) report() []wire.FreeStep {
	steps := make([]wire.FreeStep, 0, maxProfileSteps)
	k := 0
	for at := time.Duration(0); at < profileHorizon; at += profileResolution {
		for k+1 < len(p) && p[k+1].at <= at {
			k++
		}
		free := p[k].free.MilliCPU
		for k+1 < len(p) && p[k+1].at < at+profileResolution {
			k++
			free = min(free, p[k].free.MilliCPU)
		}
		switch n := len(steps); {
		case n == 0, n < maxProfileSteps && (free < steps[n-1].MilliCPU || free >= steps[n-1].MilliCPU+minReportedRise):
			steps = append(steps, wire.FreeStep{Millis: at.Milliseconds(), MilliCPU: free})
		case n == maxProfileSteps:
			steps[n-1].MilliCPU = min(steps[n-1].MilliCPU, free)
		}
	}
	return steps
}
