package loadgen

import (
	"context"
)

// Starts is what the upstreams counted since they began.
type Starts struct {
	// Started counts the tasks that were started, StartedTwice those that were started more than once.
	Started, StartedTwice uint64
}

// StartCounter reads the upstreams' own counters. It must be safe for concurrent use.
type StartCounter interface {
	Starts(ctx context.Context) (Starts, error)
}

// WasteCounter reads how many messages that did no useful work the processes counted since they began: probes, refused
// starts, cancelled copies. It must be safe for concurrent use.
type WasteCounter interface {
	Wasted(ctx context.Context) (uint64, error)
}

// counters is one reading of both.
type counters struct {
	startsKnown, wasteKnown bool
	starts                  Starts
	wasted                  uint64
}

func readCounters(ctx context.Context, config *Config) (counters, error) {
	var c counters
	var err error
	if config.Starts != nil {
		if c.starts, err = config.Starts.Starts(ctx); err != nil {
			return c, err
		}
		c.startsKnown = true
	}
	if config.Waste != nil {
		if c.wasted, err = config.Waste.Wasted(ctx); err != nil {
			return c, err
		}
		c.wasteKnown = true
	}
	return c, nil
}

// since returns the difference to an earlier reading. A counter that went down belongs to a process that was restarted
// and counts from 0.
func (c counters) since(before counters) counters {
	c.starts.Started = increase(c.starts.Started, before.starts.Started)
	c.starts.StartedTwice = increase(c.starts.StartedTwice, before.starts.StartedTwice)
	c.wasted = increase(c.wasted, before.wasted)
	return c
}

func increase(now, before uint64) uint64 {
	if now < before {
		return now
	}
	return now - before
}

func (c counters) apply(result *Result, completeTasks uint64) {
	tasks := completeTasks
	if c.startsKnown {
		result.StartsCounted = true
		result.TasksStarted = c.starts.Started
		result.TasksStartedTwice = c.starts.StartedTwice
		tasks = c.starts.Started
	}
	if c.wasteKnown {
		result.MessagesWastedPerTask = ratio(c.wasted, tasks)
	}
}
