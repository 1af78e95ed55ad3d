// Package worker is a stand-in for a worker of the users' platform that runs tasks under leases, for tests. It speaks the
// worker's HTTP protocol, records what would break a promise, and misbehaves on demand.
package worker

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

// ErrListen is returned when the worker cannot listen on its address.
var ErrListen = eris.New("stand-in worker cannot listen")

const (
	// maxLease is the longest lease that is granted.
	maxLease = time.Second
	// maxWait is the longest time that a list is held back for an end.
	maxWait = 2 * time.Second
	// step is the resolution of run times and leases.
	step = 5 * time.Millisecond
	// lateMin and lateMax bound the delay of an order that is carried out late.
	lateMin           = 300 * time.Millisecond
	lateMax           = time.Second
	readHeaderTimeout = 5 * time.Second
)

// Faults are the ways in which a worker misbehaves.
type Faults struct {
	// Lose is the share of orders that get no answer; they are carried out at once.
	Lose float64
	// Late is the share of orders that get no answer and are carried out later.
	Late float64
	// Error is the share of orders that are answered with 500 and not carried out.
	Error float64
	// Hang keeps all runs from getting further, Fail lets every run fail at its end.
	Hang, Fail bool
}

// Options configures a Worker.
type Options struct {
	// MilliCPU is the capacity in thousandths of a core.
	MilliCPU int64
	// Need is what one task uses, in thousandths of a core.
	Need int64
	// RunTime is the run time of a task.
	RunTime time.Duration
	Ledger  *Ledger
}

// Worker is one life of a worker.
type Worker struct {
	options Options
	id      string
	born    int64
	began   time.Time
	server  *http.Server
	stop    chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	faults  Faults
	fence   uint64
	until   atomic.Int64 // end of the lease on the worker's clock, in nanoseconds
	runs    map[string]*run
	highest map[string]uint32
	ends    []end
	number  uint64
	calls   int
}

type run struct {
	task    string
	attempt uint32
	done    time.Duration // of the run time
	last    time.Time
}

type end struct {
	number  uint64
	task    string
	attempt uint32
	how     string
}

// Start begins a life of a worker that listens on address.
func Start(address, id string, options Options) (*Worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%v", err)
	}
	w := &Worker{
		options: options, id: id, born: time.Now().UnixMilli(), began: time.Now(), stop: make(chan struct{}),
		runs: make(map[string]*run), highest: make(map[string]uint32),
	}
	w.changed = sync.NewCond(&w.mu)
	e := echo.New()
	e.POST("/v1/run-start", w.handleStart)
	e.POST("/v1/run-stop", w.handleStop)
	e.POST("/v1/hold", w.handleHold)
	w.server = &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = w.server.Serve(listener) }() // ends with Close
	go w.work()
	return w, nil
}

// Born returns the time at which the life began in Unix milliseconds.
func (w *Worker) Born() int64 { return w.born }

// Close ends the life. Everything that runs is gone.
func (w *Worker) Close() {
	close(w.stop)
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		w.options.Ledger.ended(r.task, w, false)
	}
	w.runs = make(map[string]*run)
	w.changed.Broadcast()
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Running returns the number of runs in progress.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Calls returns the number of calls that the worker has got.
func (w *Worker) Calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

func (w *Worker) clock() time.Duration { return time.Since(w.began) }

// work advances the runs and ends those whose lease is over.
func (w *Worker) work() {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.advance(time.Now())
		w.mu.Unlock()
	}
}

func (w *Worker) advance(now time.Time) {
	lapsed := w.lapsed()
	for _, r := range w.runs {
		if !w.faults.Hang {
			r.done += now.Sub(r.last)
		}
		r.last = now
		switch {
		case lapsed:
			w.finish(r, "lapsed")
		case r.done >= w.options.RunTime && w.faults.Fail:
			w.finish(r, "failed")
		case r.done >= w.options.RunTime:
			w.finish(r, "done")
		}
	}
}

func (w *Worker) finish(r *run, how string) {
	delete(w.runs, r.task)
	w.number++
	w.ends = append(w.ends, end{w.number, r.task, r.attempt, how})
	w.options.Ledger.ended(r.task, w, how == "done")
	w.changed.Broadcast()
}

type order struct {
	Task         string
	Attempt      uint32
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	LastSeen     uint64
	WaitMs       int64
}

// carryOut runs an order under the lock. A lost answer closes the connection instead.
func (w *Worker) carryOut(c echo.Context, do func(o order) (int, any)) error {
	var o order
	if err := c.Bind(&o); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	w.mu.Lock()
	roll := rand.Float64()
	faults := w.faults
	w.calls++
	if rand.Float64() < faults.Error {
		w.mu.Unlock()
		return c.NoContent(http.StatusInternalServerError)
	}
	if roll >= faults.Late {
		defer w.mu.Unlock()
		status, body := do(o)
		if roll < faults.Late+faults.Lose {
			return dropConnection(c)
		}
		return c.JSON(status, body)
	}
	w.mu.Unlock()
	time.AfterFunc(lateMin+rand.N(lateMax-lateMin), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		do(o)
	})
	return dropConnection(c)
}

// dropConnection leaves the caller without an answer until it gives up.
func dropConnection(c echo.Context) error {
	<-c.Request().Context().Done()
	return nil
}

func (w *Worker) refusal(reason string) (int, any) {
	return http.StatusConflict, map[string]any{"ClockMs": w.clock().Milliseconds(), "Reason": reason}
}

func (w *Worker) accepted() (int, any) {
	return http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()}
}

// fenced takes a fencing token and reports whether it is too low.
func (w *Worker) fenced(token uint64) bool {
	if token < w.fence {
		return true
	}
	w.fence = token
	return false
}

func (w *Worker) extend(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+maxLease)
	w.until.Store(max(w.until.Load(), int64(until)))
}

// lapsed reports whether the lease is over. What runs then is killed, also before the next step of the stand-in shows it.
func (w *Worker) lapsed() bool { return int64(w.clock()) > w.until.Load() }

func (w *Worker) handleStart(c echo.Context) error {
	if expected := c.Request().Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		return c.NoContent(http.StatusMisdirectedRequest)
	}
	return w.carryOut(c, w.startRun)
}

func (w *Worker) startRun(o order) (int, any) {
	r := w.runs[o.Task]
	switch {
	case w.fenced(o.FencingToken):
		return w.refusal("fence")
	case time.Duration(o.DeadlineMs)*time.Millisecond <= w.clock():
		return w.refusal("late")
	case r != nil && r.attempt == o.Attempt:
		return w.accepted()
	case o.Attempt <= w.highest[o.Task]:
		return w.refusal("old")
	}
	w.extend(o.DeadlineMs)
	w.highest[o.Task] = o.Attempt
	w.runs[o.Task] = &run{task: o.Task, attempt: o.Attempt, last: time.Now()}
	w.options.Ledger.began(o.Task, w)
	if used := int64(len(w.runs)) * w.options.Need; used > w.options.MilliCPU {
		w.options.Ledger.breach(fmt.Sprintf("worker %s uses %d of %d", w.id, used, w.options.MilliCPU))
	}
	return w.accepted()
}

func (w *Worker) handleStop(c echo.Context) error {
	return w.carryOut(c, func(o order) (int, any) {
		if w.fenced(o.FencingToken) {
			return w.refusal("fence")
		}
		w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
		if r := w.runs[o.Task]; r != nil && r.attempt <= o.Attempt {
			w.finish(r, "stopped")
		}
		return w.accepted()
	})
}

func (w *Worker) handleHold(c echo.Context) error {
	return w.carryOut(c, func(o order) (int, any) {
		if w.fenced(o.FencingToken) {
			return w.refusal("fence")
		}
		if o.DeadlineMs > 0 {
			w.extend(o.DeadlineMs)
		}
		w.awaitEnd(o.LastSeen, min(time.Duration(o.WaitMs)*time.Millisecond, maxWait))
		return http.StatusOK, w.lists(o.LastSeen)
	})
}

// awaitEnd waits until there is an end after a number. The lock is released meanwhile.
func (w *Worker) awaitEnd(seen uint64, wait time.Duration) {
	deadline := time.Now().Add(wait)
	timer := time.AfterFunc(wait, w.changed.Broadcast)
	defer timer.Stop()
	for w.number <= seen && time.Now().Before(deadline) {
		w.changed.Wait()
	}
}

func (w *Worker) lists(seen uint64) any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := min(int64(99), int64(r.done*100/w.options.RunTime))
		running = append(running, []any{r.task, r.attempt, "", percent})
	}
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > seen {
			kept = append(kept, e)
			finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
		}
	}
	w.ends = kept
	return map[string]any{
		"ClockMs": w.clock().Milliseconds(), "born": w.born, "Running": running, "Finished": finished,
	}
}
