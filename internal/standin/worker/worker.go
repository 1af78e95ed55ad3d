// Package worker is a stand-in, for tests, for a worker of the users' platform, which runs tasks under leases. It speaks the
// worker's HTTP protocol, records violations of invariants in a Ledger, and injects faults.
package worker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

// ErrListen is returned when the worker cannot listen on its address.
var ErrListen = eris.New("stand-in worker cannot listen")

const (
	// maxLease is the longest time for which a lease is extended at once.
	maxLease = time.Second
	// maxWait is the longest time that a poll waits for a run to end.
	maxWait = 2 * time.Second
	// tickInterval is the interval at which runs are advanced and leases are checked.
	tickInterval = 5 * time.Millisecond
	// minLateDelay and maxLateDelay bound the delay of a call that is executed late.
	minLateDelay      = 300 * time.Millisecond
	maxLateDelay      = time.Second
	readHeaderTimeout = 5 * time.Second
)

// Faults are the faults that a worker injects. The zero value is a healthy worker. Shares are between 0 and 1.
type Faults struct {
	// Lose is the share of calls that get no answer but are executed at once.
	Lose float64
	// Late is the share of calls that get no answer and are executed later.
	Late float64
	// Error is the share of calls that are answered with status 500 and not executed.
	Error float64
	// Reject is the share of starts that are answered with status 400 and not executed.
	Reject float64
	// Hang stops the progress of all runs. Fail makes every run fail when its run time is over.
	Hang, Fail bool
}

// Options configures a Worker.
type Options struct {
	// MilliCPU is the capacity of the worker in thousandths of a core.
	MilliCPU int64
	// Need is the demand of one task in thousandths of a core.
	Need int64
	// RunTime is the run time of a task.
	RunTime time.Duration
	// Labels are the labels of the worker. A task whose payload is LabelPayload of a label runs only where it is one of these.
	Labels []string
	// Ledger records the runs. All workers of a deployment share one.
	Ledger *Ledger
	// LeavingGrace is the time after the acknowledgement of its end within which the worker still accepts starts.
	LeavingGrace time.Duration
}

// Worker is one incarnation of a worker, from Start to Close. A restart is a new Worker.
type Worker struct {
	options       Options
	id            string
	startedMillis int64
	startTime     time.Time
	server        *http.Server
	stop          chan struct{}
	closeOnce     sync.Once
	closed        bool // calls that the worker has not begun to execute have no effect any more

	mu                  sync.Mutex
	changed             *sync.Cond // signals that a run has ended
	faults              Faults
	highestFencingToken uint64
	leaseEnd            atomic.Int64 // end of the lease on the worker's clock, in nanoseconds
	runs                map[string]*run
	highestAttempts     map[string]uint32 // by task: attempts up to this one are not started any more
	endedRuns           []endedRun        // not yet acknowledged by a poll
	lastEndNumber       uint64
	calls               int
	lastStart           time.Time // when a run last started
	leavingSince        time.Time // when its agent acknowledged that the worker leaves; zero before that
}

type run struct {
	task         string
	attempt      uint32
	progress     time.Duration // the part of the run time that is done
	lastAdvanced time.Time
}

type endedRun struct {
	number  uint64 // sequence number, up to which a poll acknowledges the ends that its caller has received
	task    string
	attempt uint32
	outcome string
}

// Start starts a worker that listens on address. id is the instance that a start call may require in X-Expect-Instance. It
// returns ErrListen.
func Start(address, id string, options Options) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%v", err)
	}
	w := &Worker{
		options: options, id: id, startedMillis: time.Now().UnixMilli(), startTime: time.Now(), stop: make(chan struct{}),
		runs: make(map[string]*run), highestAttempts: make(map[string]uint32),
	}
	w.changed = sync.NewCond(&w.mu)
	e := echo.New()
	e.POST("/v1/run-start", w.handleStart)
	e.POST("/v1/run-stop", w.handleStop)
	e.POST("/v1/hold", w.handlePoll)
	w.server = &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = w.server.Serve(listener) }() // ends with Close
	go w.advanceLoop()
	return w, nil
}

// StartedMillis returns the time at which this incarnation started, in Unix milliseconds.
func (w *Worker) StartedMillis() int64 { return w.startedMillis }

// Close stops the worker. All runs end without a result. Further calls have no effect.
func (w *Worker) Close() { w.closeOnce.Do(w.close) }

func (w *Worker) close() {
	close(w.stop)
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, r := range w.runs {
		w.options.Ledger.recordEnd(r.task, w, false)
	}
	w.runs = make(map[string]*run)
	w.changed.Broadcast()
}

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// labelPayloadPrefix is the prefix of the payloads that LabelPayload returns.
const labelPayloadPrefix = "label:"

// LabelPayload returns the payload of a task that needs a label, for the check of the worker.
func LabelPayload(label string) string { return labelPayloadPrefix + label }

// Suspend stops the worker, as a suspended host does, while f runs: it answers no call and ends no run, and its clock goes on. f must
// suspend the agent, not the caller before the call: the worker can stop only once no call waits for an answer that is withheld.
func (w *Worker) Suspend(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// Running returns the number of runs in progress.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// RecordLeaving records that the agent has acknowledged that the worker leaves. Starts later than Options.LeavingGrace after
// it are violations.
func (w *Worker) RecordLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leavingSince.IsZero() {
		w.leavingSince = time.Now()
	}
}

// IsLeaving reports whether an agent has acknowledged that the worker leaves.
func (w *Worker) IsLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.leavingSince.IsZero()
}

// Calls returns the number of calls that the worker has received.
func (w *Worker) Calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// LastStart returns when a run last started; zero if none has.
func (w *Worker) LastStart() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastStart
}

// clock returns the time on the worker's own clock, which starts at 0 with each incarnation.
func (w *Worker) clock() time.Duration { return time.Since(w.startTime) }

// advanceLoop advances the runs at each tick until the worker is closed.
func (w *Worker) advanceLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.advanceRuns(time.Now())
		w.mu.Unlock()
	}
}

// advanceRuns ends the runs that have reached their run time, and all runs if the lease has expired.
func (w *Worker) advanceRuns(now time.Time) {
	expired := w.leaseExpired()
	for _, r := range w.runs {
		if !w.faults.Hang {
			r.progress += now.Sub(r.lastAdvanced)
		}
		r.lastAdvanced = now
		switch {
		case expired:
			w.endRun(r, "lapsed")
		case r.progress >= w.options.RunTime && w.faults.Fail:
			w.endRun(r, "failed")
		case r.progress >= w.options.RunTime:
			w.endRun(r, "done")
		}
	}
}

// endRun removes a run and adds it to the ended ones. The caller holds the lock.
func (w *Worker) endRun(r *run, outcome string) {
	delete(w.runs, r.task)
	w.lastEndNumber++
	w.endedRuns = append(w.endedRuns, endedRun{w.lastEndNumber, r.task, r.attempt, outcome})
	w.options.Ledger.recordEnd(r.task, w, outcome == "done")
	w.changed.Broadcast()
}

// callParams holds the parameters of all calls; each call uses some of them.
type callParams struct {
	Task         string
	Attempt      uint32
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	LastSeen     uint64
	WaitMs       int64
	late         bool // the call is executed late
}

// handleCall executes a call under the lock and sends its answer, subject to the faults: the call can fail, be executed
// late, or get no answer. A call whose answer is lost keeps the lock until its client gives up, which delays other calls.
func (w *Worker) handleCall(c echo.Context, execute func(p callParams) (int, any)) error {
	var p callParams
	if err := c.Bind(&p); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	w.mu.Lock()
	roll := rand.Float64()
	faults := w.faults
	w.calls++
	if w.closed {
		w.mu.Unlock()
		return withholdAnswer(c)
	}
	if rand.Float64() < faults.Error {
		w.mu.Unlock()
		return c.NoContent(http.StatusInternalServerError)
	}
	if roll >= faults.Late {
		defer w.mu.Unlock()
		status, body := execute(p)
		if roll < faults.Late+faults.Lose {
			return withholdAnswer(c)
		}
		return c.JSON(status, body)
	}
	w.mu.Unlock()
	time.AfterFunc(minLateDelay+rand.N(maxLateDelay-minLateDelay), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.closed {
			return
		}
		p.late = true
		execute(p)
	})
	return withholdAnswer(c)
}

// withholdAnswer waits without an answer until the client closes the connection.
func withholdAnswer(c echo.Context) error {
	<-c.Request().Context().Done()
	return nil
}

func (w *Worker) conflictReply(reason string) (int, any) {
	return http.StatusConflict, map[string]any{"ClockMs": w.clock().Milliseconds(), "Reason": reason}
}

func (w *Worker) okReply() (int, any) {
	return http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()}
}

// rejectsToken reports whether a fencing token is lower than the highest one so far, and otherwise stores it as the highest.
func (w *Worker) rejectsToken(token uint64) bool {
	if token < w.highestFencingToken {
		return true
	}
	w.highestFencingToken = token
	return false
}

// extendLease extends the lease up to a deadline on the worker's clock, by at most maxLease from now. It never shortens it.
func (w *Worker) extendLease(deadlineMs int64) {
	leaseEnd := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+maxLease)
	w.leaseEnd.Store(max(w.leaseEnd.Load(), int64(leaseEnd)))
}

// leaseExpired reports whether the lease has expired. From then on all runs count as killed, even though the stand-in ends
// them only at its next tick.
func (w *Worker) leaseExpired() bool { return int64(w.clock()) > w.leaseEnd.Load() }

func (w *Worker) handleStart(c echo.Context) error {
	if expected := c.Request().Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		return c.NoContent(http.StatusMisdirectedRequest)
	}
	return w.handleCall(c, w.startRun)
}

// startRun starts a run, unless the fencing token or the attempt is outdated or the deadline has passed. Repeating the call
// for a run in progress is accepted.
func (w *Worker) startRun(p callParams) (int, any) {
	r := w.runs[p.Task]
	switch {
	case rand.Float64() < w.faults.Reject:
		return http.StatusBadRequest, map[string]any{}
	case w.rejectsToken(p.FencingToken):
		return w.conflictReply("fence")
	case time.Duration(p.DeadlineMs)*time.Millisecond <= w.clock():
		return w.conflictReply("late")
	case r != nil && r.attempt == p.Attempt:
		return w.okReply()
	case p.Attempt <= w.highestAttempts[p.Task]:
		return w.conflictReply("old")
	}
	w.extendLease(p.DeadlineMs)
	w.highestAttempts[p.Task] = p.Attempt
	w.runs[p.Task] = &run{task: p.Task, attempt: p.Attempt, lastAdvanced: time.Now()}
	w.lastStart = time.Now()
	w.options.Ledger.recordStart(p.Task, w)
	if after := time.Since(w.leavingSince); !w.leavingSince.IsZero() && after > w.options.LeavingGrace && !p.late {
		w.options.Ledger.recordViolation(fmt.Sprintf("worker %s starts task %s %s after its end was acknowledged",
			w.id, p.Task, after.Round(time.Millisecond)))
	}
	if label, ok := strings.CutPrefix(p.Spec, labelPayloadPrefix); ok && !slices.Contains(w.options.Labels, label) {
		w.options.Ledger.recordViolation(fmt.Sprintf("worker %s with the labels %v starts task %s, which needs %q",
			w.id, w.options.Labels, p.Task, label))
	}
	if used := int64(len(w.runs)) * w.options.Need; used > w.options.MilliCPU {
		w.options.Ledger.recordViolation(fmt.Sprintf("worker %s runs tasks for %d millicores, its capacity is %d",
			w.id, used, w.options.MilliCPU))
	}
	return w.okReply()
}

func (w *Worker) handleStop(c echo.Context) error {
	return w.handleCall(c, func(p callParams) (int, any) {
		if w.rejectsToken(p.FencingToken) {
			return w.conflictReply("fence")
		}
		w.highestAttempts[p.Task] = max(w.highestAttempts[p.Task], p.Attempt)
		if r := w.runs[p.Task]; r != nil && r.attempt <= p.Attempt {
			w.endRun(r, "stopped")
		}
		return w.okReply()
	})
}

func (w *Worker) handlePoll(c echo.Context) error {
	return w.handleCall(c, func(p callParams) (int, any) {
		if w.rejectsToken(p.FencingToken) {
			return w.conflictReply("fence")
		}
		if p.DeadlineMs > 0 {
			w.extendLease(p.DeadlineMs)
		}
		w.waitForEnd(p.LastSeen, min(time.Duration(p.WaitMs)*time.Millisecond, maxWait))
		return http.StatusOK, w.snapshot(p.LastSeen)
	})
}

// waitForEnd waits until a run has ended with a number above lastSeen, or until wait is over. It releases the lock
// meanwhile.
func (w *Worker) waitForEnd(lastSeen uint64, wait time.Duration) {
	deadline := time.Now().Add(wait)
	timer := time.AfterFunc(wait, w.changed.Broadcast)
	defer timer.Stop()
	for w.lastEndNumber <= lastSeen && time.Now().Before(deadline) {
		w.changed.Wait()
	}
}

// snapshot returns the runs in progress and those that ended after lastSeen, and forgets the ended runs up to lastSeen.
func (w *Worker) snapshot(lastSeen uint64) any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := min(int64(99), int64(r.progress*100/w.options.RunTime))
		running = append(running, []any{r.task, r.attempt, "", percent})
	}
	kept := w.endedRuns[:0]
	for _, e := range w.endedRuns {
		if e.number > lastSeen {
			kept = append(kept, e)
			finished = append(finished, []any{e.number, e.task, e.attempt, e.outcome, ""})
		}
	}
	w.endedRuns = kept
	return map[string]any{
		"ClockMs": w.clock().Milliseconds(), "born": w.startedMillis, "Running": running, "Finished": finished,
	}
}
