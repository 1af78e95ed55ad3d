package workeragent

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/runs"
)

// Timing of the calls to the worker, which is on the same host and usually answers within milliseconds.
const (
	// startTimeout is the time after which a start counts as unanswered; a stop then determines whether the run starts. A
	// paused process answers within 100 ms.
	startTimeout = 120 * time.Millisecond
	stopTimeout  = 120 * time.Millisecond
	// maxPollWait is the longest time that the worker may hold back an answer without an end. It determines the interval of
	// lease renewals.
	maxPollWait = 40 * time.Millisecond
	// pollOverdueAfter is the age of an unanswered poll at which another one is made in parallel. Ends are not seen while a
	// poll is lost, so this adds to the response time of tasks that have ended.
	pollOverdueAfter = maxPollWait + 20*time.Millisecond
	pollTimeout      = maxPollWait + 120*time.Millisecond
	// maxOpenPolls is the number of parallel polls: as many as become overdue within the timeout of one, and some more that
	// follow answers in between.
	maxOpenPolls = 6
	// unresponsiveAfter is the time without an answer to any poll after which the worker counts as unresponsive. It
	// tolerates pauses of up to 100 ms of both processes.
	unresponsiveAfter = 220 * time.Millisecond
	// failedPollDelay is the shortest delay between a failed poll and the next one. A worker that answers with errors does
	// so immediately and often closes the connection, so each poll costs a new connection.
	failedPollDelay = 20 * time.Millisecond
	// unresponsivePollInterval is the interval of polls of an unresponsive worker.
	unresponsivePollInterval = 50 * time.Millisecond
	// leaseEndMargin is the time that a worker takes to end its runs after their lease has expired; a stop takes as long.
	leaseEndMargin = 50 * time.Millisecond
	// initialFenceStep is the first increment of a refused fencing token, which doubles with each refusal. Tokens are Unix
	// times in milliseconds, and the time of day can jump by seconds.
	initialFenceStep = 1000
)

// workerClient calls the worker and maintains its lease. Only the control goroutine calls its methods.
type workerClient struct {
	control       *control
	fence         uint64
	fenceStep     uint64
	leaseDuration time.Duration
	// workerClock is the last known time on the worker's clock, read at workerClockAt.
	workerClock   time.Duration
	workerClockAt time.Time
	// leaseUntil is the latest time on the worker's clock to which a call has extended the lease of the runs.
	leaseUntil    time.Duration
	incarnation   int64     // start of the worker's incarnation in the last snapshot, in Unix milliseconds
	incarnationAt time.Time // when the first snapshot of this incarnation arrived
	openPolls     int       // number of unanswered polls
	lastPoll      uint64    // number of the last poll
	lastPollOpen  bool      // the last poll has no answer yet
	polledAt      time.Time // when the last poll was made
	answeredAt    time.Time // when the last poll was answered
	failedAt      time.Time // when the last poll failed
	unresponsive  bool
	leaseExpired  bool
	leaseRunsOut  bool // the lease is not extended, because a run that has to end does not
}

func newWorkerClient(c *control) *workerClient {
	lease := c.agent.options.MaxLease
	if lease == 0 || lease > runs.LeaseDuration {
		lease = runs.LeaseDuration
	}
	return &workerClient{
		control: c, leaseDuration: lease, fence: uint64(time.Now().UnixMilli()), fenceStep: initialFenceStep,
	}
}

// recordClock records a reading of the worker's clock that arrived at a time; 0 means that the reading is unknown.
func (w *workerClient) recordClock(clock time.Duration, at time.Time) {
	if clock > 0 {
		w.workerClock, w.workerClockAt = clock, at
	}
}

// extendLease returns the new end of the lease, on the worker's clock, for a call that is made now. It can be in the past.
func (w *workerClient) extendLease(now time.Time) time.Duration {
	end := w.workerClock + now.Sub(w.workerClockAt) + w.leaseDuration
	if limit := w.control.table.LeaseLimit(); !limit.IsZero() {
		end = min(end, w.expiringBefore(limit))
	}
	w.leaseUntil = max(w.leaseUntil, end)
	return end
}

// expiringBefore returns the latest end of a lease, on the worker's clock, with which all runs have ended by a time, also if the
// worker's clock is slow.
func (w *workerClient) expiringBefore(t time.Time) time.Duration {
	left := float64(t.Add(-leaseEndMargin).Sub(w.workerClockAt)) * (1 - runs.MaxClockDrift)
	return w.workerClock + time.Duration(left)
}

// leaseExpiry returns when the lease of all runs on the worker has certainly expired.
func (w *workerClient) leaseExpiry() time.Time {
	left := float64(w.leaseUntil-w.workerClock) / (1 - runs.MaxClockDrift)
	return w.workerClockAt.Add(time.Duration(left) + leaseEndMargin)
}

// execute executes a command of the table.
func (w *workerClient) execute(now time.Time, command runs.Command) {
	if command.Stop {
		w.stopRun(command.Ref)
		return
	}
	if w.workerClockAt.IsZero() {
		w.control.table.HandleStartResult(now, command.Ref, runs.ErrLeaseExpired)
		return
	}
	start := runs.Start{Ref: command.Ref, Payload: command.Payload, LeaseUntil: w.extendLease(now), Fence: w.fence}
	agent := w.control.agent
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		clock, err := agent.options.Worker.Start(ctx, command.Worker, start)
		agent.post(startAnswered{ref: start.Ref, clock: clock, sent: now, err: err})
	}()
}

func (w *workerClient) stopRun(ref runs.Ref) {
	agent, fence := w.control.agent, w.fence
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		agent.post(stopAnswered{ref: ref, err: agent.options.Worker.Stop(ctx, ref, fence)})
	}()
}

// pollIfDue polls the worker if a poll is due.
func (w *workerClient) pollIfDue(now time.Time) {
	w.checkResponsiveness(now)
	w.checkLeaseLimit(now)
	switch age := now.Sub(w.polledAt); {
	case w.openPolls >= maxOpenPolls:
	case w.unresponsive && age < unresponsivePollInterval:
	case w.lastPollOpen && age < pollOverdueAfter:
	case now.Sub(w.failedAt) < failedPollDelay:
	default:
		w.poll(now)
	}
}

// checkResponsiveness detects an unresponsive worker, and later the end of its lease.
func (w *workerClient) checkResponsiveness(now time.Time) {
	c := w.control
	if !w.unresponsive && !w.answeredAt.IsZero() && now.Sub(w.answeredAt) >= unresponsiveAfter && w.openPolls > 0 {
		w.unresponsive = true
		c.log.WithField("silent_ms", now.Sub(w.answeredAt).Milliseconds()).Warn("agent: the worker does not answer, returning its waiting tasks to their entries")
		c.table.MarkUnresponsive(now)
		c.loadDirty = true
	}
	if w.unresponsive && !w.leaseExpired && !now.Before(w.leaseExpiry()) {
		w.leaseExpired = true
		c.log.Warn("agent: the lease of the unresponsive worker has expired, its runs count as stopped")
		c.table.HandleWorkerLost(now, "the worker does not answer, its lease has ended")
		c.loadDirty = true
	}
}

// checkLeaseLimit logs when the lease begins to run out because a run does not end, and when that is over.
func (w *workerClient) checkLeaseLimit(now time.Time) {
	c := w.control
	runsOut := c.table.LeaseRunsOut(now)
	if runsOut == w.leaseRunsOut {
		return
	}
	w.leaseRunsOut = runsOut
	c.loadDirty = true
	if !runsOut {
		c.log.Info("agent: the runs that had to end have ended, the lease is renewed again")
		return
	}
	c.agent.options.Metrics.LeasesWithheld.Add(1)
	c.log.WithField("ends_in_ms", c.table.LeaseLimit().Sub(now).Milliseconds()).
		Warn("agent: a run does not end although it has to, the lease of the worker runs out")
}

// poll requests a snapshot and extends the lease. It does not extend the lease of an unresponsive worker, nor of one that
// has only runs of a previous agent process, because entries rely on the end of such runs.
func (w *workerClient) poll(now time.Time) {
	request := runs.PollRequest{Fence: w.fence, AcknowledgedEnd: w.control.table.LastProcessedEnd()}
	renewLease := !w.workerClockAt.IsZero() && !w.unresponsive && !w.control.table.OnlyOrphansRunning()
	if renewLease {
		request.ExtendLeaseTo = max(w.extendLease(now), 0)
	}
	if (renewLease || w.control.table.OnlyOrphansRunning()) && !w.control.table.MayHaveRestarted() {
		request.Wait = maxPollWait
	}
	w.openPolls++
	w.lastPoll++
	w.polledAt, w.lastPollOpen = now, true
	agent, number := w.control.agent, w.lastPoll
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		snapshot, err := agent.options.Worker.Poll(ctx, request)
		agent.post(pollAnswered{number: number, snapshot: snapshot, sent: now, err: err})
	}()
}

func (e pollAnswered) apply(c *control, now time.Time) {
	w := c.worker
	w.openPolls--
	w.lastPollOpen = w.lastPollOpen && e.number != w.lastPoll
	if e.err != nil {
		w.handlePollError(now, e.err)
		return
	}
	before := c.table.Announcement()
	if !c.table.HandleSnapshot(now, e.sent, e.snapshot) {
		return // the answer of an earlier incarnation, which arrived late
	}
	if w.unresponsive {
		c.log.Info("agent: the worker answers again")
		c.loadDirty = true
	}
	w.unresponsive, w.leaseExpired, w.answeredAt = false, false, now
	if w.incarnation != e.snapshot.StartedMillis {
		w.logNewIncarnation(e.snapshot, before)
		w.followIncarnation(now, e.snapshot)
		c.reportWorkerInfo()
	}
	w.recordClock(e.snapshot.Clock, now)
	c.reportAnnouncement(before)
}

// followIncarnation begins to follow the clock of another incarnation of the worker. Calls with a lease on the clock of the
// previous one may have reached this one, which shortens the lease to the longest that it grants.
func (w *workerClient) followIncarnation(now time.Time, snapshot runs.Snapshot) {
	w.incarnation, w.incarnationAt = snapshot.StartedMillis, now
	w.leaseUntil = snapshot.Clock + max(w.control.agent.options.MaxLease, w.leaseDuration)
}

// logNewIncarnation logs that the worker answers as another incarnation, and which announcement was in force until then.
func (w *workerClient) logNewIncarnation(snapshot runs.Snapshot, known runs.Announcement) {
	w.control.agent.options.Metrics.WorkerIncarnations.Add(1)
	w.control.log.WithFields(log.Fields{
		"born": snapshot.StartedMillis, "previous_born": w.incarnation, "runs": len(snapshot.Running),
		"announced_worker": known.ID, "announced_born": known.StartedMillis, "announced_sequence": known.Sequence,
		"announced_draining": known.Draining,
	}).Info("agent: another incarnation of the worker answers")
}

func (w *workerClient) handlePollError(now time.Time, err error) {
	c := w.control
	w.failedAt = now
	switch {
	case errors.Is(err, runs.ErrFenced):
		w.answeredAt = now
		w.raiseFence()
	case errors.Is(err, runs.ErrNotListening):
		w.handleRefusedConnection(now)
	case errors.Is(err, runs.ErrConnectionClosed):
		c.log.WithField("error", err.Error()).Debug("agent: the worker closed the connection, nothing starts until it has answered a poll")
		c.table.HandleConnectionClosed(now)
		c.loadDirty = true
	default:
		c.log.WithField("error", err.Error()).Debug("agent: poll of the worker failed, will poll again")
	}
}

// handleRefusedConnection stops offering work to a worker that refuses connections. Its process may have ended, but a firewall can
// refuse the connections of a live process too, so only the lease or another incarnation shows that its runs have ended.
func (w *workerClient) handleRefusedConnection(now time.Time) {
	if w.unresponsive {
		return
	}
	w.unresponsive = true
	c := w.control
	c.log.WithField("lease_ms", max(w.leaseExpiry().Sub(now), 0).Milliseconds()).
		Warn("agent: the worker refuses connections, its runs count as stopped when their lease has expired")
	c.table.MarkUnresponsive(now)
	c.loadDirty = true
}

// raiseFence raises the fencing token above the one that another process of the agent has used.
func (w *workerClient) raiseFence() {
	w.fence += w.fenceStep
	w.fenceStep *= 2
	w.control.log.WithField("fence", w.fence).Info("agent: fencing token was refused and is raised")
}

func (e startAnswered) apply(c *control, now time.Time) {
	if !e.sent.Before(c.worker.incarnationAt) { // an earlier call may have reached the previous incarnation, with another clock
		c.worker.recordClock(e.clock, now)
	}
	if errors.Is(e.err, runs.ErrFenced) {
		c.worker.raiseFence()
	}
	if errors.Is(e.err, runs.ErrConnectionClosed) {
		c.table.HandleConnectionClosed(now)
		c.loadDirty = true
	}
	if e.err != nil {
		c.log.WithFields(log.Fields{
			"job": e.ref.Task.Job, "task": e.ref.Task.Index, "attempt": e.ref.Attempt, "error": e.err.Error(),
			"waited_ms": now.Sub(e.sent).Milliseconds(),
		}).Info("agent: starting a run failed or got no answer")
	}
	c.agent.options.Metrics.recordStart(e.err)
	c.table.HandleStartResult(now, e.ref, e.err)
}

func (e stopAnswered) apply(c *control, now time.Time) {
	if errors.Is(e.err, runs.ErrFenced) {
		c.worker.raiseFence()
	} else if e.err != nil {
		c.agent.options.Metrics.StopsUnanswered.Add(1)
	}
	c.table.HandleStopResult(now, e.ref, e.err)
}
