package runs

import "time"

// This file recognises early, by their progress, the runs that take several times as long as others on the worker, and moves
// their tasks.
//
// It answers loads in which one run in thirty takes seven times its estimate. Each of these holds its capacity for as long as
// seven others, and a job of eight tasks is late in one of four cases.

// Parameters of the detection of long runs.
const (
	// longRunFactor is the factor above the expected run time from which a run counts as long. Runs deviate from their estimate
	// by up to 40%, and the learned slowdown of the worker by as much again while it is not certain.
	longRunFactor = 2.5
	// minLongRunShare is the share of the expected run time after which the progress of a run is known well enough.
	minLongRunShare = 0.3
	// minLongRunAge is the shortest time after which the progress of a run is known well enough. Snapshots are taken every 40 ms.
	minLongRunAge = 20 * time.Millisecond
	// maxSnapshotGap is the time between two snapshots from which the worker or the agent was paused. The pace of a run is not
	// known then.
	maxSnapshotGap = 100 * time.Millisecond
	// minRepeatedRuns is the weighted number of later attempts from which the share of long ones among them counts; five recent
	// ones have it.
	minRepeatedRuns = 4
	// maxRepeatedLongShare is the share of long runs among later attempts above which the tasks are long, and not the runs.
	maxRepeatedLongShare = 0.5
	// repeatedRunWeight is the factor by which the earlier of the later attempts count less with each one.
	repeatedRunWeight = 0.95
)

// longRunReason is the reason for which a long run is stopped.
const longRunReason = "the run takes several times its estimate"

// longRuns counts how many later attempts of tasks were long as well, which shows whether moving them is of use.
type longRuns struct{ repeated, repeatedLong float64 }

// recordDone records the end of a completed run.
func (l *longRuns) recordDone(r *run) {
	if r.offer.Attempt <= 1 {
		return
	}
	l.repeated = l.repeated*repeatedRunWeight + 1
	l.repeatedLong *= repeatedRunWeight
	if r.isLong {
		l.repeatedLong++
	}
}

// movesHelp reports whether a task whose run is long is expected to end sooner when it is started again.
func (l *longRuns) movesHelp() bool {
	return l.repeated < minRepeatedRuns || l.repeatedLong <= maxRepeatedLongShare*l.repeated
}

// stopLongRuns stops those first attempts that would end sooner when started again on another worker, because they take several
// times as long as others on this worker. Later attempts run to their end.
func (t *Table) stopLongRuns(now time.Time) {
	if !t.config.MoveLongRuns {
		return
	}
	for _, r := range t.active {
		if r.state != running || r.withdrawn || r.measuredAt != now || r.intervalTime > maxSnapshotGap || r.offer.EstimateMillis <= 0 {
			continue
		}
		expected := time.Duration(float64(r.offer.EstimateMillis) * t.expectedSlowdown() * float64(time.Millisecond))
		elapsed := now.Sub(r.startedAt)
		if elapsed < max(time.Duration(minLongRunShare*float64(expected)), minLongRunAge) {
			continue
		}
		remaining := r.remainingByProgress(elapsed)
		r.isLong = float64(elapsed+remaining) > longRunFactor*float64(expected)
		if r.isLong && r.offer.Attempt <= 1 && remaining > expected+migrationCost && t.longRuns.movesHelp() {
			t.stopRun(now, r, longRunReason)
		}
	}
}

// remainingByProgress returns the expected remaining time by the progress since the start or since the last snapshot, whichever is
// faster: a run that was paused with its worker is not a long one. Percentages are rounded down.
func (r *run) remainingByProgress(elapsed time.Duration) time.Duration {
	left := time.Duration(100 - r.percent)
	return min(elapsed*left/time.Duration(r.percent+1), r.intervalTime*left/time.Duration(r.intervalPercent+1))
}
