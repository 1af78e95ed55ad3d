package workeragent

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/runs"
)

// Times of the calls to the worker. It is on the same host and answers in milliseconds.
const (
	// startTimeout is the wait for the answer to a start, after which a stop settles whether the run begins. A paused
	// process answers within 100 ms.
	startTimeout = 120 * time.Millisecond
	stopTimeout  = 120 * time.Millisecond
	// lookWait is the longest time that the worker holds back an answer without an end; it is the interval of renewals.
	lookWait = 40 * time.Millisecond
	// lookOverdue is the age of a look without an answer at which another one is made beside it. Ends are not seen while a
	// look is lost, so that this adds to the response time of what ended.
	lookOverdue = lookWait + 20*time.Millisecond
	lookTimeout = lookWait + 120*time.Millisecond
	// maxLooks is the number of looks at once: as many as become overdue within the timeout of one, and some that follow
	// answers in between.
	maxLooks = 6
	// muteAfter is the time without an answer to any look after which the worker counts as mute. It leaves room for a
	// process that is paused for most of 100 ms at either side.
	muteAfter = 220 * time.Millisecond
	// lookRetry is the least time after a look that failed until the next one: a worker that answers with errors does so at
	// once, and often closes the connection, which costs a new one.
	lookRetry = 20 * time.Millisecond
	// muteInterval is the interval of looks at a worker that does not answer.
	muteInterval = 50 * time.Millisecond
	// killTime is the time in which a worker ends its runs once their lease is over; it is that of a stop.
	killTime = 50 * time.Millisecond
	// firstFenceStep is by how much a refused fencing token is raised at first; it doubles with each refusal. Tokens are
	// times in milliseconds, and the time of day can jump by seconds.
	firstFenceStep = 1000
)

// workerContact makes the calls to the worker and keeps its lease. All methods are called by the control goroutine.
type workerContact struct {
	control   *control
	fence     uint64
	fenceStep uint64
	lease     time.Duration
	// clock is the worker's clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	// until is the latest time on the worker's clock to which an order extends its runs.
	until    time.Duration
	born     int64     // of the life that the last look showed
	looks    int       // without an answer
	latest   uint64    // number of the last look
	waiting  bool      // the last look has no answer
	lookedAt time.Time // when the last look was made
	answered time.Time // when the last look was answered
	failed   time.Time // when the last look failed
	isMute   bool
	lapsed   bool
}

func newWorkerContact(c *control) *workerContact {
	lease := c.agent.options.MaxLease
	if lease == 0 || lease > runs.Lease {
		lease = runs.Lease
	}
	return &workerContact{
		control: c, lease: lease, fence: uint64(time.Now().UnixMilli()), fenceStep: firstFenceStep,
	}
}

// learnClock takes a reading of the worker's clock that arrived at a time.
func (w *workerContact) learnClock(clock time.Duration, at time.Time) {
	if clock > 0 {
		w.clock, w.clockAt = clock, at
	}
}

// leaseEnd returns the time on the worker's clock to which an order of now extends the lease.
func (w *workerContact) leaseEnd(now time.Time) time.Duration {
	end := w.clock + now.Sub(w.clockAt) + w.lease
	w.until = max(w.until, end)
	return end
}

// lapseTime returns when the lease of everything on the worker has certainly ended.
func (w *workerContact) lapseTime() time.Time {
	left := float64(w.until-w.clock) / (1 - runs.ClockDrift)
	return w.clockAt.Add(time.Duration(left) + killTime)
}

// order makes a call that the table decided on.
func (w *workerContact) order(now time.Time, o runs.Order) {
	if o.Stop {
		w.stop(o.Ref)
		return
	}
	if w.clockAt.IsZero() {
		w.control.table.Started(now, o.Ref, runs.ErrLate)
		return
	}
	start := runs.Start{Ref: o.Ref, Payload: o.Payload, Until: w.leaseEnd(now), Fence: w.fence}
	agent, worker := w.control.agent, w.control.table.Info().ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		clock, err := agent.options.Worker.Start(ctx, worker, start)
		agent.post(startAnswered{ref: start.Ref, clock: clock, sent: now, err: err})
	}()
}

func (w *workerContact) stop(ref runs.Ref) {
	agent, fence := w.control.agent, w.fence
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		agent.post(stopAnswered{ref: ref, err: agent.options.Worker.Stop(ctx, ref, fence)})
	}()
}

// advance makes the next look when it is due.
func (w *workerContact) advance(now time.Time) {
	w.checkMute(now)
	switch age := now.Sub(w.lookedAt); {
	case w.looks >= maxLooks:
	case w.isMute && age < muteInterval:
	case w.waiting && age < lookOverdue:
	case now.Sub(w.failed) < lookRetry:
	default:
		w.look(now)
	}
}

// checkMute finds a worker that does not answer, and the end of its lease.
func (w *workerContact) checkMute(now time.Time) {
	c := w.control
	if !w.isMute && !w.answered.IsZero() && now.Sub(w.answered) >= muteAfter && w.looks > 0 {
		w.isMute = true
		c.log.WithField("silent_ms", now.Sub(w.answered).Milliseconds()).Warn("agent: the worker does not answer")
		c.table.Mute(now)
		c.loadDirty = true
	}
	if w.isMute && !w.lapsed && !now.Before(w.lapseTime()) {
		w.lapsed = true
		c.log.Warn("agent: the lease of the worker has ended without an answer")
		c.table.Lapsed(now, "the worker does not answer, its lease has ended")
		c.loadDirty = true
	}
}

// look lists the runs and extends the lease, unless that has to end: the worker is mute, or only runs of a former agent
// are left, which entries take for over after a while.
func (w *workerContact) look(now time.Time) {
	request := runs.LookRequest{Fence: w.fence, Seen: w.control.table.Seen()}
	renew := !w.clockAt.IsZero() && !w.isMute && !w.control.table.OnlyForeign()
	if renew {
		request.Until = w.leaseEnd(now)
	}
	if renew || w.control.table.OnlyForeign() {
		request.Wait = lookWait
	}
	w.looks++
	w.latest++
	w.lookedAt, w.waiting = now, true
	agent, number := w.control.agent, w.latest
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
		defer cancel()
		look, err := agent.options.Worker.Look(ctx, request)
		agent.post(looked{number: number, look: look, sent: now, err: err})
	}()
}

func (e looked) apply(c *control, now time.Time) {
	w := c.worker
	w.looks--
	w.waiting = w.waiting && e.number != w.latest
	if e.err != nil {
		w.lookFailed(now, e.err)
		return
	}
	if w.isMute {
		c.log.Info("agent: the worker answers again")
		c.loadDirty = true
	}
	w.isMute, w.lapsed, w.answered = false, false, now
	if w.born != e.look.Born {
		w.born, w.until = e.look.Born, 0 // the clock of a new life begins anew
	}
	w.learnClock(e.look.Clock, now)
	c.table.Observe(now, e.sent, e.look)
}

func (w *workerContact) lookFailed(now time.Time, err error) {
	c := w.control
	w.failed = now
	switch {
	case errors.Is(err, runs.ErrFenced):
		w.answered = now
		w.raiseFence()
	case errors.Is(err, runs.ErrGone):
		if !w.lapsed {
			c.log.Warn("agent: the worker does not listen, its runs are over")
			c.table.Lapsed(now, "the worker does not listen")
			c.loadDirty = true
		}
		w.isMute, w.lapsed = true, true
	default:
		c.log.WithField("error", err.Error()).Debug("agent: look failed")
	}
}

// raiseFence raises the fencing token above the one that another process of the agent has used.
func (w *workerContact) raiseFence() {
	w.fence += w.fenceStep
	w.fenceStep *= 2
	w.control.log.WithField("fence", w.fence).Info("agent: fencing token was refused and is raised")
}

func (e startAnswered) apply(c *control, now time.Time) {
	c.worker.learnClock(e.clock, now)
	if errors.Is(e.err, runs.ErrFenced) {
		c.worker.raiseFence()
	}
	if e.err != nil {
		c.log.WithFields(log.Fields{
			"job": e.ref.Task.Job, "task": e.ref.Task.Index, "attempt": e.ref.Attempt, "error": e.err.Error(),
			"waited_ms": now.Sub(e.sent).Milliseconds(),
		}).Info("agent: start was not answered with success")
	}
	c.agent.options.Metrics.startCall(e.err)
	c.table.Started(now, e.ref, e.err)
}

func (e stopAnswered) apply(c *control, now time.Time) {
	if errors.Is(e.err, runs.ErrFenced) {
		c.worker.raiseFence()
	}
	c.table.Stopped(now, e.ref, e.err)
}
