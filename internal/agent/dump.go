package agent

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Dump is the state of an agent at one point in time.
type Dump struct {
	ID          string            `json:"id"`
	Incarnation uint64            `json:"incarnation"`
	DataCentre  string            `json:"data_centre"`
	Region      string            `json:"region,omitempty"`
	StartedAt   time.Time         `json:"started_at"`
	Leaving     bool              `json:"leaving"`
	UpstreamUp  bool              `json:"upstream_up"`
	List        *wire.EntryList   `json:"list"`
	Documents   map[string]uint64 `json:"documents"`
	Homes       []HomeDump        `json:"homes"`
	Attempts    []AttemptDump     `json:"attempts"`
	Records     records.Stats     `json:"records"`
}

// HomeDump describes one incarnation of an entry.
type HomeDump struct {
	ID          string    `json:"id"`
	Incarnation uint64    `json:"incarnation"`
	Linked      bool      `json:"linked"`
	LastResult  time.Time `json:"last_result,omitzero"`
}

// AttemptDump describes one attempt without a result. CalledAt is zero until the upstream is called.
type AttemptDump struct {
	Home       string    `json:"home"`
	Attempt    uint64    `json:"attempt"`
	Key        string    `json:"key"`
	Task       uint16    `json:"task"`
	Service    string    `json:"service"`
	Kind       string    `json:"kind"`
	Urgent     bool      `json:"urgent"`
	Long       bool      `json:"long"`
	ReceivedAt time.Time `json:"received"`
	Deadline   time.Time `json:"deadline"`
	CalledAt   time.Time `json:"began,omitzero"`
}

// Dump returns the state of the agent. It returns admin.ErrDump if the agent has ended or the control goroutine does not
// reply before ctx ends.
func (a *Agent) Dump(ctx context.Context) (*Dump, error) {
	reply := make(chan *Dump, 1)
	select {
	case a.events <- dumpRequested{reply}:
	case <-a.controlDone:
		return nil, eris.Wrap(admin.ErrDump, "agent has ended")
	case <-ctx.Done():
		return nil, eris.Wrap(admin.ErrDump, "agent is busy")
	}
	select {
	case dump := <-reply:
		return dump, nil
	case <-a.controlDone:
		return nil, eris.Wrap(admin.ErrDump, "agent has ended")
	case <-ctx.Done():
		return nil, eris.Wrap(admin.ErrDump, "agent is busy")
	}
}

type dumpRequested struct{ reply chan<- *Dump }

func (e dumpRequested) apply(c *control) {
	d := &Dump{
		ID: c.options.ID, Incarnation: c.agent.incarnation, StartedAt: c.agent.startedAt,
		DataCentre: c.options.DataCentre, Region: c.options.Region, Leaving: c.drain != nil, UpstreamUp: !c.agent.upstreamDown.Load(),
		List: c.records.List(), Documents: c.revisions.clone(), Records: c.records.Stats(),
	}
	for incarnation, state := range c.homes {
		d.Homes = append(d.Homes, HomeDump{state.entryID, incarnation, state.link != nil, state.lastResultAt})
	}
	for _, a := range c.attempts {
		s := a.start
		d.Attempts = append(d.Attempts, AttemptDump{
			Home: s.Home, Attempt: s.Attempt, Key: hex.EncodeToString(s.Key[:]), Task: s.Task,
			Service: s.Service, Kind: s.Kind, Urgent: s.Urgent, Long: s.Long,
			ReceivedAt: a.receivedAt, Deadline: a.deadline, CalledAt: a.calledAt,
		})
	}
	e.reply <- d
}
