package workeragent

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/evacuation"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// State is the state of an agent, for a dump.
type State struct {
	ID      string          `json:"id"`
	Worker  wire.WorkerInfo `json:"worker"`
	Load    wire.WorkerLoad `json:"load"`
	Entries []string        `json:"entries"`
	Fence   uint64          `json:"fence"`
	// Evacuation holds the evacuated data centres, Evacuated is true if the agent's own is one of them.
	Evacuation evacuation.Summary `json:"evacuation"`
	Evacuated  bool               `json:"evacuated"`
}

type dumpRequested struct{ reply chan<- State }

func (e dumpRequested) apply(c *control, now time.Time) {
	s := State{
		ID: c.agent.options.ID, Worker: c.table.WorkerInfo(), Load: c.table.Load(now), Fence: c.worker.fence,
		Evacuation: c.evacuation.Summary(), Evacuated: c.table.Evacuated(),
	}
	for _, o := range c.owners {
		s.Entries = append(s.Entries, o.id)
	}
	e.reply <- s
}

// Dump returns the state of the agent, or false if ctx ends first or the agent has stopped.
func (a *Agent) Dump(ctx context.Context) (State, bool) {
	reply := make(chan State, 1)
	if !a.post(dumpRequested{reply: reply}) {
		return State{}, false
	}
	select {
	case s := <-reply:
		return s, true
	case <-ctx.Done():
		return State{}, false
	case <-a.done:
		return State{}, false
	}
}
