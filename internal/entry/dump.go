package entry

import (
	"context"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
	"github.com/coltsfootspur/coltsfootspur/internal/quota"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Dump is the state of an entry that operators get from the dump endpoint.
type Dump struct {
	ID            string         `json:"id"`
	Incarnation   uint64         `json:"incarnation"`
	DataCentre    string         `json:"data_centre"`
	Region        string         `json:"region,omitempty"`
	UptimeSeconds float64        `json:"uptime_seconds"`
	Ready         bool           `json:"ready"`
	StoreDown     bool           `json:"store_down"`
	List          wire.EntryList `json:"list"`
	// Stopped holds the stop notices of members that stopped while the store was unavailable.
	Stopped     []wire.Stopped         `json:"stopped,omitempty"`
	Services    map[string]ServiceDump `json:"services"`
	Agents      map[string]AgentDump   `json:"agents"`
	Entries     map[string]PeerDump    `json:"entries"`
	Submissions table.Stats            `json:"submissions"`
	Quotas      map[string]quota.State `json:"quotas,omitempty"`
	RunningJobs int                    `json:"running_jobs"`
	Forwards    int                    `json:"forwards"`
	Waiting     int                    `json:"waiting_for_recovery"`
}

// ServiceDump is the document revision of a service and the state of its policy.
type ServiceDump struct {
	Revision uint64         `json:"revision"`
	Team     string         `json:"team"`
	Policy   dispatch.Stats `json:"policy"`
}

// AgentDump is the state of the session of an agent.
type AgentDump struct {
	Incarnation  uint64   `json:"incarnation"`
	DataCentre   string   `json:"data_centre"`
	Services     []string `json:"services"`
	Slots        uint16   `json:"slots"`
	Connected    bool     `json:"connected"`
	Leaving      bool     `json:"leaving"`
	OpenAttempts int      `json:"open_attempts"`
}

// PeerDump is the state of the link to another entry.
type PeerDump struct {
	Incarnation uint64 `json:"incarnation"`
	Connected   bool   `json:"connected"`
}

// Dump returns the state of the entry as a *Dump. It returns ErrStopped or the error of the context.
func (e *Entry) Dump(ctx context.Context) (any, error) {
	var d *Dump
	if err := e.call(ctx, func(c *control) { d = c.dump() }); err != nil {
		return nil, err // the control goroutine may still write the result
	}
	return d, nil
}

func (c *control) dump() *Dump {
	d := &Dump{
		ID: c.options.ID, Incarnation: c.incarnation, DataCentre: c.options.DataCentre, Region: c.options.Region,
		UptimeSeconds: c.now.Sub(c.startedAt).Truncate(time.Millisecond).Seconds(),
		Ready:         c.entry.Ready(), StoreDown: c.entry.storeDown.Load(), List: c.list, Stopped: c.list.Stopped,
		Services: make(map[string]ServiceDump), Agents: make(map[string]AgentDump), Entries: make(map[string]PeerDump),
		Submissions: c.table.Stats(c.now), Quotas: c.quotas.States(c.now),
		RunningJobs: len(c.jobs), Forwards: len(c.forwards), Waiting: len(c.waitingRequests),
	}
	for name, s := range c.services {
		d.Services[name] = ServiceDump{Revision: s.revision, Team: s.document.Team, Policy: s.policy.Stats(c.now)}
	}
	for id, s := range c.agents {
		d.Agents[id] = AgentDump{
			Incarnation: s.hello.Incarnation, DataCentre: s.hello.DataCentre, Services: s.hello.Services,
			Slots: s.hello.Slots, Connected: s.link != nil, Leaving: s.leaving, OpenAttempts: len(s.attempts),
		}
	}
	for id, p := range c.peers {
		d.Entries[id] = PeerDump{Incarnation: p.incarnation, Connected: p.link != nil}
	}
	return d
}
