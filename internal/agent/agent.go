// Package agent implements the agent role. An agent runs beside one upstream and is the only process of the deployment
// that calls it. It dials every entry and receives Start messages from them, each for one attempt at a task. It runs as
// many tasks at once as it has slots, records each start, and sends each result to the home of the task, the entry that
// owns its job.
//
// One goroutine owns the state of the agent (type control). The other goroutines serve the links, one dialler for each
// entry, and the calls to the upstream, and communicate with it by events.
package agent

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
)

// Errors of an agent.
var (
	// ErrStopTimeout is returned by Run when the graceful shutdown was not complete within Options.StopTimeout.
	ErrStopTimeout = eris.New("graceful shutdown did not end within the stop timeout")
	// ErrAdmin is returned by New when the operator endpoints cannot listen.
	ErrAdmin    = eris.New("operator endpoints cannot start")
	errStopping = eris.New("agent is stopping")
	errNoLink   = eris.New("agent has no link to an entry")
)

// eventQueueSize is the number of events that can wait for the control goroutine before a link blocks. It absorbs short
// bursts.
const eventQueueSize = 256

// flushTimeout bounds how long a stopping agent waits until all links have written their queued messages.
const flushTimeout = time.Second

// Agent is one agent process. Create it with New and call Run once.
type Agent struct {
	options           Options
	incarnation       uint64
	startedAt         time.Time
	stats             *link.Stats
	heartbeatVersions *versions
	metrics           *metrics
	// upstreamDown is set when the last call did not reach the upstream.
	upstreamDown atomic.Bool
	events       chan event
	controlDone  chan struct{} // closed when the control goroutine has ended
	control      *control
	diallers     *suture.Supervisor
	vars         *admin.Vars
	admin        *admin.Server // nil when the operator endpoints are off
	// openLinks is the number of open links; stopping is set when the graceful shutdown begins. Both are read by /readyz.
	openLinks atomic.Int64
	stopping  atomic.Bool
}

// New returns an agent that has not started yet. It returns ErrOptions when an option is invalid, and ErrAdmin when the
// operator endpoints cannot listen.
func New(options Options) (*Agent, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		options:           options,
		incarnation:       rand.Uint64(),
		startedAt:         options.Clock.Now(),
		stats:             &link.Stats{},
		heartbeatVersions: &versions{},
		events:            make(chan event, eventQueueSize),
		controlDone:       make(chan struct{}),
	}
	a.vars = admin.NewVars()
	a.metrics = newMetrics(a)
	if err := a.listenAdmin(); err != nil {
		return nil, err
	}
	a.diallers = suture.New("diallers", a.supervisorSpec())
	a.control = newControl(a)
	return a, nil
}

func (a *Agent) listenAdmin() error {
	o := a.options
	if o.AdminAddress == "" {
		return nil
	}
	server, err := admin.New(admin.Options{
		Address: o.AdminAddress, Token: o.AdminToken, Role: "agent", Vars: a.vars, Log: o.Log, Ready: a.checkReady,
		TLS:  o.ServerCertificate.ServerConfig(),
		Dump: func(ctx context.Context) (any, error) { return a.Dump(ctx) }, Refresh: a.refreshMetrics,
	})
	if err != nil {
		return eris.Wrapf(ErrAdmin, "%v", err)
	}
	a.admin = server
	return nil
}

// checkReady returns the reason why the agent cannot run tasks, or nil if it can.
func (a *Agent) checkReady() error {
	switch {
	case a.stopping.Load():
		return errStopping
	case a.openLinks.Load() == 0:
		return errNoLink
	case a.upstreamDown.Load():
		return ErrNotReached
	default:
		return nil
	}
}

// AdminAddress returns the host:port of the operator endpoints, or an empty string when they are off.
func (a *Agent) AdminAddress() string {
	if a.admin == nil {
		return ""
	}
	return a.admin.Address()
}

// Vars returns the metrics of the agent.
func (a *Agent) Vars() *admin.Vars { return a.vars }

// Incarnation returns the random number that identifies this process among the successive processes of the agent.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Run serves until ctx is cancelled and then shuts down gracefully: it refuses new starts, finishes the accepted ones and
// delivers their results. It returns nil after that, or ErrStopTimeout.
func (a *Agent) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	spec := a.supervisorSpec()
	spec.PassThroughPanics = true // a restarted control goroutine could start a task twice
	root := suture.New("agent", spec)
	root.Add(a.control)
	root.Add(a.diallers)
	if a.admin != nil {
		root.Add(a.admin)
	}
	ended := root.ServeBackground(serving)
	a.options.Log.WithField("id", a.options.ID).Info("agent: started")
	<-ctx.Done()
	a.stopping.Store(true)
	err := a.drain()
	stop()
	<-ended
	return err
}

// drain starts the graceful shutdown and waits until it is complete or the stop timeout passes.
func (a *Agent) drain() error {
	timer := a.options.Clock.NewTimer(a.options.StopTimeout)
	defer timer.Stop()
	drained := make(chan struct{})
	a.post(drainRequested{drained: drained})
	select {
	case <-drained:
	case <-timer.C():
		a.options.Log.Error("agent: shutdown not complete within the stop timeout, exiting with unfinished work")
		return ErrStopTimeout
	}
	a.flushLinks()
	a.options.Log.Info("agent: shutdown is complete")
	return nil
}

// flushLinks waits until the links have written their queued messages, or until flushTimeout passes.
func (a *Agent) flushLinks() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	reply := make(chan []*link.Link, 1)
	if !a.post(linksRequested{reply: reply}) {
		return
	}
	for _, l := range <-reply {
		if err := l.Flush(ctx); err != nil {
			a.options.Log.WithError(err).Warn("agent: link not flushed before exit, queued messages can be lost")
		}
	}
}

// post sends an event to the control goroutine. It returns false if that goroutine has ended.
func (a *Agent) post(e event) bool {
	select {
	case a.events <- e:
		return true
	case <-a.controlDone:
		return false
	}
}

func (a *Agent) supervisorSpec() suture.Spec {
	return suture.Spec{EventHook: func(e suture.Event) {
		a.options.Log.WithField("event", e.String()).Warn("agent: supervisor event")
	}}
}
