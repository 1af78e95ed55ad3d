package loadgen

import (
	"context"
)

// Starts holds the numbers of task starts that the upstreams have counted since they were started.
type Starts struct {
	// Started is the number of tasks that were started, StartedTwice the number of those started more than once.
	Started, StartedTwice uint64
}

// StartCounter reads the upstreams' own counters. It must be safe for concurrent use.
type StartCounter interface {
	Starts(ctx context.Context) (Starts, error)
}

// WasteCounter reads the number of wasted messages that the processes have counted since they were started. These messages
// led to no useful work: probes, refused starts and cancelled copies. It must be safe for concurrent use.
type WasteCounter interface {
	Wasted(ctx context.Context) (uint64, error)
}

// counters is one reading of the upstreams' and the processes' counters.
type counters struct {
	hasStarts, hasWasted bool
	starts               Starts
	wasted               uint64
}

func readCounters(ctx context.Context, config *Config) (counters, error) {
	var c counters
	var err error
	if config.StartCounter != nil {
		if c.starts, err = config.StartCounter.Starts(ctx); err != nil {
			return c, err
		}
		c.hasStarts = true
	}
	if config.WasteCounter != nil {
		if c.wasted, err = config.WasteCounter.Wasted(ctx); err != nil {
			return c, err
		}
		c.hasWasted = true
	}
	return c, nil
}

// increaseSince returns the increase since an earlier reading. A counter that has decreased belongs to a process that was
// restarted, so its whole value is the increase.
func (c counters) increaseSince(before counters) counters {
	c.starts.Started = counterIncrease(c.starts.Started, before.starts.Started)
	c.starts.StartedTwice = counterIncrease(c.starts.StartedTwice, before.starts.StartedTwice)
	c.wasted = counterIncrease(c.wasted, before.wasted)
	return c
}

func counterIncrease(now, before uint64) uint64 {
	if now < before {
		return now
	}
	return now - before
}

func (c counters) applyTo(result *Result, completeTasks uint64) {
	tasks := completeTasks
	if c.hasStarts {
		result.StartsCounted = true
		result.TasksStarted = c.starts.Started
		result.TasksStartedTwice = c.starts.StartedTwice
		tasks = c.starts.Started
	}
	if c.hasWasted {
		result.MessagesWastedPerTask = ratio(c.wasted, tasks)
	}
}
