// Package workeragent implements the agent role for workers that run tasks under leases. An agent runs beside one worker and
// is the only process that calls it. It dials every entry, accepts offers from them, and lets a runs.Table decide which
// tasks run.
//
// One goroutine owns the control state (control). Other goroutines carry traffic: those of the links, one dialler for each
// entry, and one for each call to the worker.
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

// ErrOptions is returned by New when a required option is missing.
var ErrOptions = eris.New("invalid worker agent option")

// eventBuffer absorbs short bursts of events from links and calls.
const eventBuffer = 512

// Options configures an Agent.
type Options struct {
	// ID identifies the host; it stays the same when the process restarts.
	ID         string
	DataCentre string
	// Entries are the link addresses of entries to dial first. The agent learns further addresses from entries and from
	// Discover.
	Entries []string
	// Discover returns link addresses of entries from the store. It is called once at the start and repeatedly while no link
	// is open; nil disables it.
	Discover func(ctx context.Context) ([]string, error)
	// Worker is the worker beside the agent.
	Worker    runs.Worker
	LinkToken string
	// CatalogBytesPerSecond bounds the rate at which the agent sends the configuration to entries; 0 means
	// catalogsync.DefaultRate.
	CatalogBytesPerSecond float64
	// MaxLease is the longest lease that the worker grants; 0, or a longer one, means runs.LeaseDuration.
	MaxLease time.Duration
	// StopTimeout bounds the wait for active runs during a graceful shutdown.
	StopTimeout time.Duration
	Log         log.Interface
	Clock       clock.Clock
	Dialer      link.Dialer
	// MoveLongRuns is that of runs.Config.
	MoveLongRuns bool
	// Metrics are updated by the agent; nil means that they are not published.
	Metrics *Metrics
}

// Agent is an agent process. Create it with New and call Run once.
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

// Run serves until ctx is cancelled. Then it accepts no more work, and returns when all runs have ended or StopTimeout has
// passed.
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
		a.options.Log.Warn("agent: stop timeout passed, active runs are left to the next agent process")
	}
	return nil
}

// ApplyAnnouncement passes an announcement of the worker to the agent. It returns true after the announcement was applied,
// and false if the agent has stopped.
func (a *Agent) ApplyAnnouncement(announcement runs.Announcement) bool {
	applied := make(chan struct{})
	if !a.post(workerAnnounced{announcement: announcement, applied: applied}) {
		return false
	}
	select {
	case <-applied:
		return true
	case <-a.done:
		return false
	}
}

// HandleWorkerLeft records that the worker with an id has announced its end.
func (a *Agent) HandleWorkerLeft(id string) { a.post(workerLeft{id: id}) }

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
