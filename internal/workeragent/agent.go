// Package workeragent is the agent role for workers that run tasks under leases. An agent runs beside one worker and is
// the only process that calls it. It dials every entry, takes offers from them, and lets a runs.Table decide what runs.
//
// One goroutine owns the control state (control). Others carry traffic: those of the links, one dialler for each entry,
// and one for each call to the worker.
package workeragent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// ErrOptions is returned by New when an option is missing.
var ErrOptions = eris.New("invalid worker agent option")

// eventBuffer decouples links and calls from the control goroutine for short bursts.
const eventBuffer = 512

// Options configures an Agent.
type Options struct {
	// ID names the host; it stays the same when the process restarts.
	ID         string
	DataCentre string
	// Entries are link addresses of some entries to begin with; the others are learned.
	Entries []string
	// Discover returns link addresses of entries from the store. It is called while no link is open; nil means never.
	Discover func(ctx context.Context) ([]string, error)
	// Worker is the worker beside the agent.
	Worker    runs.Worker
	LinkToken string
	// MaxLease is the longest lease that the worker grants; 0 means runs.Lease.
	MaxLease time.Duration
	// StopTimeout bounds the graceful shutdown.
	StopTimeout time.Duration
	Log         log.Interface
	Clock       clock.Clock
	Dialer      link.Dialer
	// Metrics may be nil.
	Metrics *Metrics
}

// Agent is one agent process. Create it with New and call Run once.
type Agent struct {
	options     Options
	incarnation uint64
	stats       *link.Stats
	events      chan event
	done        chan struct{}
	control     *control
}

// New returns an agent, or ErrOptions.
func New(o Options) (*Agent, error) {
	if o.ID == "" || o.Worker == nil || o.LinkToken == "" || o.Log == nil {
		return nil, eris.Wrap(ErrOptions, "ID, Worker, LinkToken and Log are required")
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Dialer == nil {
		o.Dialer = link.WebSocketDialer{Token: o.LinkToken, DialContext: link.FastDial}
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics()
	}
	a := &Agent{
		options: o, incarnation: rand.Uint64(), stats: &link.Stats{},
		events: make(chan event, eventBuffer), done: make(chan struct{}),
	}
	a.control = newControl(a)
	return a, nil
}

// Run serves until ctx is cancelled. Then it takes no more work and returns when what runs has ended, or when the stop
// timeout has passed.
func (a *Agent) Run(ctx context.Context) error {
	a.options.Log.WithFields(log.Fields{"id": a.options.ID, "incarnation": a.incarnation}).Info("agent: started")
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	go a.control.run(serving)
	a.AddEntries(a.options.Entries)
	<-ctx.Done()
	drained := make(chan struct{})
	a.post(stopRequested{drained: drained})
	timer := time.NewTimer(a.options.StopTimeout)
	defer timer.Stop()
	select {
	case <-drained:
		a.options.Log.Info("agent: stopped, nothing runs")
	case <-timer.C:
		a.options.Log.Warn("agent: stop timeout passed, runs are left to the next agent")
	}
	return nil
}

// Announce takes an announcement of the worker. It returns after the control goroutine has taken it, or false when the
// agent has ended.
func (a *Agent) Announce(i runs.Info) bool {
	taken := make(chan struct{})
	if !a.post(workerAnnounced{info: i, applied: taken}) {
		return false
	}
	select {
	case <-taken:
		return true
	case <-a.done:
		return false
	}
}

// Depart takes the worker's announcement that it ends.
func (a *Agent) Depart(id string) { a.post(workerDeparted{id: id}) }

// AddEntries makes the agent dial further link addresses of entries.
func (a *Agent) AddEntries(addresses []string) { a.post(addressesReceived{addresses: addresses}) }

func (a *Agent) post(e event) bool {
	select {
	case a.events <- e:
		return true
	case <-a.done:
		return false
	}
}

func (a *Agent) hello(leaving bool) wire.Hello {
	return wire.Hello{
		Role: wire.RoleAgent, ID: a.options.ID, Incarnation: a.incarnation, DataCentre: a.options.DataCentre, Leaving: leaving,
	}
}
