package runs

import (
	"errors"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// HandleStartResult handles the result of a call that starts a run. The errors of this package mean that the run has not
// started and never will; after any other error it may have started or still start.
func (t *Table) HandleStartResult(now time.Time, ref Ref, err error) {
	r := t.active[ref]
	if r == nil || r.state != starting {
		return
	}
	switch {
	case err == nil:
		t.markRunning(now, r)
	case errors.Is(err, ErrStaleAttempt), errors.Is(err, ErrLeaseExpired), errors.Is(err, ErrFenced):
		t.requeue(now, r)
	case errors.Is(err, ErrMalformed):
		t.endOffer(now, r, wire.RunInvalid, err.Error())
	case errors.Is(err, ErrNoCapacity), errors.Is(err, ErrWorkerRestarted), errors.Is(err, ErrNotListening):
		t.endOffer(now, r, wire.RunNotStarted, err.Error())
	case errors.Is(err, ErrUnhealthy):
		t.recordFailure(now, r)
		t.endOffer(now, r, wire.RunNotStarted, err.Error())
	default:
		t.stopUnconfirmed(now, r)
	}
	t.startWaiting(now)
}

// markRunning records that a run has started, and stops it when a stop was requested meanwhile.
func (t *Table) markRunning(now time.Time, r *run) {
	r.state, r.confirmedAt = running, now
	if r.stopReason != "" {
		t.stopRun(now, r, r.stopReason)
	}
}

// stopUnconfirmed sends a stop for a run whose start got no answer. Once the stop is answered, a snapshot shows whether the
// run had started.
func (t *Table) stopUnconfirmed(now time.Time, r *run) {
	r.state = unconfirmed
	t.sendStop(now, r)
}

// requeue puts a task that did not start back into the queue, or ends its offer when a stop was requested or the worker
// takes no work. Its next run gets a higher attempt number.
func (t *Table) requeue(now time.Time, r *run) {
	reason := r.stopReason
	if reason == "" {
		reason = t.closedReason(now)
	}
	if reason != "" {
		t.endOffer(now, r, wire.RunNotStarted, reason)
		return
	}
	t.removeActive(r)
	r.state = waiting
	t.queue.push(r)
}

// HandleStopResult handles the result of a call that stops a run.
func (t *Table) HandleStopResult(now time.Time, ref Ref, err error) {
	r := t.active[ref]
	switch {
	case r == nil || err != nil: // Advance repeats a stop that failed
	case r.stopAnsweredAt.IsZero():
		r.stopAnsweredAt = now
	}
}

// HandleSnapshot applies a snapshot of the worker. polledAt is when the call was made: a run that the snapshot does not list
// was not on the worker then. It returns false, and ignores the snapshot, if it may be that of an earlier incarnation. The
// time of day can jump, so the order of the polls decides which incarnation is the later one, and not their start times.
func (t *Table) HandleSnapshot(now, polledAt time.Time, snapshot Snapshot) bool {
	switch {
	case !t.hasSnapshot:
		t.incarnation, t.hasSnapshot = snapshot.StartedMillis, true
		t.life = t.incarnation
		t.applyAnnouncement(now)
	case snapshot.StartedMillis == t.incarnation:
	case polledAt.Before(t.snapshotAt):
		return false
	default:
		t.replaceIncarnation(now, polledAt, snapshot)
	}
	t.unresponsive, t.snapshotAt = false, now
	for _, f := range snapshot.Finished {
		t.handleFinished(now, f)
	}
	if polledAt.Before(t.latestPollAt) {
		t.startWaiting(now)
		return true // a snapshot of a later poll was already applied
	}
	t.latestPollAt = polledAt
	listed := make(map[Ref]bool, len(snapshot.Running))
	progressed := false
	work, elapsed := 0.0, 0.0
	for _, r := range snapshot.Running {
		listed[r.Ref] = true
		w, e := t.measureProgress(now, r)
		work, elapsed = work+w, elapsed+e
		progressed = t.handleRunning(now, r) || progressed
	}
	t.recent.observe(now, work, elapsed)
	t.stopSlowRuns(now)
	t.stopLongRuns(now)
	for ref := range t.orphans {
		if !listed[ref] {
			delete(t.orphans, ref)
		}
	}
	t.resolveStarts(now, polledAt, listed)
	if len(snapshot.Finished) < maxListedEnds {
		t.endUnlistedRuns(now, polledAt, listed)
	}
	t.health.recordSnapshot(now, progressed || len(snapshot.Finished) > 0, len(snapshot.Running))
	t.startWaiting(now)
	return true
}

func (t *Table) handleFinished(now time.Time, finished Finished) {
	if finished.Number <= t.lastProcessedEnd {
		return
	}
	t.lastProcessedEnd = finished.Number
	t.highestAttempts.record(finished.Ref)
	delete(t.orphans, finished.Ref)
	r := t.active[finished.Ref]
	if r == nil {
		return
	}
	switch finished.End {
	case EndDone:
		if !t.isSlow() {
			t.learned.learn(time.Duration(r.offer.EstimateMillis)*time.Millisecond, now.Sub(r.startedAt))
		}
		t.health.recordSuccess(r.startedAt)
		t.longRuns.recordDone(r)
		t.endOffer(now, r, wire.RunDone, "")
	case EndFailed:
		t.recordFailure(now, r)
		t.endOffer(now, r, wire.RunFailed, "the task failed")
	default:
		reason := r.stopReason
		if reason == "" {
			reason = "the lease ended"
		}
		t.endOffer(now, r, wire.RunStopped, reason)
	}
}

// recordFailure records a failed run. If that puts the worker on probation, the waiting tasks return to their entries.
func (t *Table) recordFailure(now time.Time, r *run) {
	if t.health.recordFailure(now, r.startedAt) {
		t.returnWaiting(now, "the worker is on trial")
	}
}

// measureProgress returns the estimated run time that a run has completed since the last snapshot and the time that it took,
// both in milliseconds.
func (t *Table) measureProgress(now time.Time, listed Running) (work, elapsed float64) {
	r := t.active[listed.Ref]
	if r == nil || r.state != running && r.state != starting || r.offer.EstimateMillis == 0 {
		return 0, 0
	}
	elapsed = float64(now.Sub(r.measuredAt)) / float64(time.Millisecond)
	r.measuredAt = now
	r.intervalTime, r.intervalPercent = time.Duration(elapsed*float64(time.Millisecond)), max(listed.Percent-r.percent, 0)
	return float64(max(listed.Percent-r.percent, 0)) / 100 * float64(r.offer.EstimateMillis), elapsed
}

// isSlow reports whether the worker is currently much slower than its long-term average.
func (t *Table) isSlow() bool {
	recent, known := t.recent.slowdown()
	return known && recent > slowWorkerFactor*max(t.learned.slowdown(), 1)
}

// stopSlowRuns stops those runs on a slow worker that would end sooner when restarted on another worker. Only first attempts
// are stopped, so that tasks do not move from worker to worker when all of them are slow.
func (t *Table) stopSlowRuns(now time.Time) {
	if !t.isSlow() {
		return
	}
	for _, r := range t.active {
		if r.state != running || r.offer.Attempt > 1 || r.percent == 0 {
			continue
		}
		elapsed := now.Sub(r.startedAt)
		remaining := elapsed * time.Duration(100-r.percent) / time.Duration(r.percent)
		if remaining > time.Duration(r.offer.EstimateMillis)*time.Millisecond+migrationCost {
			t.stopRun(now, r, "the worker is slow")
		}
	}
}

// migrationCost is the time that it takes to stop a run and to start the task on another worker.
const migrationCost = 20 * time.Millisecond

// expectedSlowdown returns the expected ratio of the actual to the estimated run time of a task.
func (t *Table) expectedSlowdown() float64 {
	learned := t.learned.slowdown()
	if recent, known := t.recent.slowdown(); known && recent > recentOverrideFactor*learned {
		return recent
	}
	return learned
}

// handleRunning applies a run in progress of a snapshot. It returns whether the run made progress.
func (t *Table) handleRunning(now time.Time, listed Running) (progressed bool) {
	t.highestAttempts.record(listed.Ref)
	r := t.active[listed.Ref]
	if r == nil {
		if _, known := t.orphans[listed.Ref]; !known {
			t.orphans[listed.Ref] = now
			t.commands = append(t.commands, Command{Ref: listed.Ref, Stop: true})
		}
		return false
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	if r.state == starting {
		t.markRunning(now, r) // the snapshot arrived before the answer to the start, or that answer was lost
	}
	if listed.Percent > r.percent {
		r.percent, r.progressedAt = listed.Percent, now
		return true
	}
	return false
}

// resolveStarts decides from a snapshot what became of starts without an answer. A run that is not listed after the grace
// period gets a stop. A snapshot polled after the answer to the stop shows whether the run had started; a task that had not
// started is requeued.
func (t *Table) resolveStarts(now, polledAt time.Time, listed map[Ref]bool) {
	for ref, r := range t.active {
		switch {
		case listed[ref] && r.state == unconfirmed:
			if !r.stopAnsweredAt.IsZero() && polledAt.After(r.stopAnsweredAt) {
				r.state = stopping // the run had started; a later snapshot will list its end
			}
		case listed[ref]:
		case r.state == starting && polledAt.Sub(r.startedAt) >= t.config.StartGracePeriod:
			t.stopUnconfirmed(now, r)
		case r.state == unconfirmed && !r.stopAnsweredAt.IsZero() && polledAt.After(r.stopAnsweredAt):
			if r.mayHaveRun {
				t.endOffer(now, r, wire.RunStopped, "the worker restarted")
			} else {
				t.requeue(now, r)
			}
		}
	}
}

// maxListedEnds is the number of ends that one snapshot lists at most. More than these may have ended.
const maxListedEnds = 500

// endUnlistedRuns ends the runs that were on the worker before a poll and that its snapshot lists neither in progress nor as
// ended: they were lost with an incarnation of the worker, or their end was acknowledged to the present one by a poll that was
// meant for the previous one.
func (t *Table) endUnlistedRuns(now, polledAt time.Time, listed map[Ref]bool) {
	for ref, r := range t.active {
		if !listed[ref] && (r.state == running || r.state == stopping) && !polledAt.Before(r.confirmedAt) {
			t.endOffer(now, r, wire.RunStopped, "the worker no longer lists the run")
		}
	}
}

// Advance performs the actions that are due: it repeats stops, stops stalled runs, and starts or expires waiting tasks.
func (t *Table) Advance(now time.Time) {
	for _, r := range t.active {
		if (r.state == stopping || r.state == unconfirmed && r.stopAnsweredAt.IsZero()) && now.Sub(r.stopSentAt) >= t.config.StopRetryInterval {
			t.sendStop(now, r)
		}
	}
	for ref, stopSentAt := range t.orphans {
		if now.Sub(stopSentAt) >= t.config.StopRetryInterval {
			t.orphans[ref] = now
			t.commands = append(t.commands, Command{Ref: ref, Stop: true})
		}
	}
	if t.health.stalled(len(t.active)) {
		t.stopStalled(now)
	}
	if t.LeaseRunsOut(now) {
		t.returnWaiting(now, t.closedReason(now))
	}
	t.startWaiting(now)
}

// stopStalled puts a stalled worker on probation, stops its stalled runs and returns the waiting tasks to their entries.
func (t *Table) stopStalled(now time.Time) {
	t.health.startProbation(now, t.config.StallBackoff)
	for _, r := range t.active {
		if r.state == running && now.Sub(r.progressedAt) >= t.config.StallTimeout {
			t.stopRun(now, r, "the worker stalled")
		}
	}
	t.returnWaiting(now, "the worker stalled")
}

// Load returns the load of the worker for a report to an entry.
func (t *Table) Load(now time.Time) wire.WorkerLoad {
	reason := t.closedReason(now)
	if reason == "" && !t.health.admits(now, len(t.active)+t.queue.Len()) {
		reason = "the worker is on trial"
	}
	if reason == "" && len(t.orphans) > 0 {
		reason = "runs of a former agent are ending"
	}
	capacity := t.Announcement().Capacity
	free := t.admittedCapacity(now).Sub(t.used).Sub(t.queue.needs)
	load := wire.WorkerLoad{
		Open: reason == "", Closed: reason, Trial: t.health.onProbation,
		FreeMilliCPU: free.MilliCPU, RemainingMillis: t.meanRemaining(now).Milliseconds(),
		Waiting: t.queue.workByPriority(capacity.MilliCPU), SlownessPermille: int64(1000 * t.expectedSlowdown()),
	}
	t.addPlan(now, &load)
	return load
}

// WorkerInfo returns what the worker announced, for a report to an entry.
func (t *Table) WorkerInfo() wire.WorkerInfo {
	a := t.Announcement()
	return wire.WorkerInfo{
		Worker: a.ID, Life: t.life, Service: a.Service, Labels: a.Labels,
		MilliCPU: a.Capacity.MilliCPU, MemoryMB: a.Capacity.MemoryMB, Accelerators: a.Capacity.Accelerators,
	}
}

// meanRemaining returns the mean expected remaining time of the active runs, as an estimate of the time until half of them
// have ended. A run counts with at least half of its elapsed time, also when it exceeds its expected run time.
func (t *Table) meanRemaining(now time.Time) time.Duration {
	if len(t.active) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, r := range t.active {
		expected := time.Duration(float64(r.offer.EstimateMillis)*t.expectedSlowdown()) * time.Millisecond
		elapsed := now.Sub(r.startedAt)
		total += max(expected-elapsed, elapsed/2)
	}
	return total / time.Duration(len(t.active))
}
