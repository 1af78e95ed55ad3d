package jobentry

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
)

// query is an event that runs a function in the control goroutine.
type query struct {
	run  func(c *control, now time.Time)
	done chan struct{}
}

func (q query) apply(c *control, now time.Time) {
	q.run(c, now)
	close(q.done)
}

// runInControl runs a function in the control goroutine and waits for it. It returns false if ctx ends first or the entry
// has stopped.
func (e *Entry) runInControl(ctx context.Context, f func(c *control, now time.Time)) bool {
	q := query{run: f, done: make(chan struct{})}
	if !e.post(q) {
		return false
	}
	select {
	case <-q.done:
		return true
	case <-ctx.Done():
		return false
	case <-e.done:
		return false
	}
}

// UnstartedJobs returns the number of open jobs of a queue of which no task has started.
func (e *Entry) UnstartedJobs(ctx context.Context, queue string) int {
	n := make(chan int, 1)
	if !e.runInControl(ctx, func(c *control, _ time.Time) { n <- c.scheduler.UnstartedJobs(queue) }) {
		return 0 // the entry stops, and its jobs end
	}
	return <-n
}

// OpenJobs returns the number of jobs without an answer.
func (e *Entry) OpenJobs(ctx context.Context) int {
	n := make(chan int, 1)
	if !e.runInControl(ctx, func(c *control, _ time.Time) { n <- c.scheduler.OpenJobs() }) {
		return 0
	}
	return <-n
}

// giveUpAll answers all open jobs with GivenUp, and makes the entry refuse jobs that are submitted later.
func (e *Entry) giveUpAll(ctx context.Context) {
	e.runInControl(ctx, func(c *control, _ time.Time) {
		c.refusingJobs = true
		c.scheduler.GiveUpAll("the entry stops")
	})
}

// State is the state of an entry, for a dump.
type State struct {
	ID      string                   `json:"id"`
	Catalog uint64                   `json:"catalog_version"`
	Open    int                      `json:"open_jobs"`
	Waiting int                      `json:"waiting_tasks"`
	Agents  []scheduler.AgentSummary `json:"agents"`
	Shares  []scheduler.ShareSummary `json:"shares"`
	// Evacuation holds the evacuated data centres.
	Evacuation evacuation.Summary `json:"evacuation"`
}

// Dump returns the state of the entry, or false if ctx ends first or the entry has stopped.
func (e *Entry) Dump(ctx context.Context) (State, bool) {
	s := make(chan State, 1)
	ok := e.runInControl(ctx, func(c *control, _ time.Time) {
		state := State{ID: e.options.ID, Open: c.scheduler.OpenJobs(), Waiting: c.scheduler.WaitingTasks(), Agents: c.scheduler.Agents(), Shares: c.scheduler.Shares(), Evacuation: c.evacuation.Summary()}
		if config := e.Catalog(); config != nil {
			state.Catalog = config.Version
		}
		s <- state
	})
	if !ok {
		return State{}, false
	}
	return <-s, true
}
