// Package agent is the agent role. An agent runs beside one upstream and is the only process of the system that calls
// it. It dials every entry, takes starts from them, runs as many at once as it has slots, records each start, and sends
// the result to the entry that owns the job.
//
// One goroutine owns the control state (control). Others carry traffic: those of the links, one dialler for each entry,
// and one for each call to the upstream.
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
	// ErrStopTimeout is returned by Run when the graceful shutdown did not end in time.
	ErrStopTimeout = eris.New("graceful shutdown did not end within the stop timeout")
	ErrAdmin       = eris.New("operator endpoints cannot start")
	errStopping    = eris.New("agent is stopping")
	errNoLink      = eris.New("agent has no link to an entry")
)

// eventBuffer decouples the links from the control goroutine for short bursts.
const eventBuffer = 256

// flushTimeout bounds the wait for links that do not take their last messages.
const flushTimeout = time.Second

// Agent is one agent process. Create it with New and call Run once.
type Agent struct {
	options     Options
	incarnation uint64
	startedAt   time.Time
	stats       *link.Stats
	versions    *versions
	metrics     *metrics
	// upstreamDown is set while the last call did not reach the upstream.
	upstreamDown atomic.Bool
	events       chan event
	done         chan struct{} // closed when the control goroutine has ended
	control      *control
	diallers     *suture.Supervisor
	vars         *admin.Vars
	admin        *admin.Server // nil when the operator endpoints are off
	// linked is the number of open links and stopping is set when the graceful shutdown began; /readyz reads them.
	linked   atomic.Int64
	stopping atomic.Bool
}

// New returns an agent. It returns ErrOptions when an option is not allowed, and ErrAdmin when the operator endpoints
// cannot listen.
func New(options Options) (*Agent, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		options:     options,
		incarnation: rand.Uint64(),
		startedAt:   options.Clock.Now(),
		stats:       &link.Stats{},
		versions:    &versions{},
		events:      make(chan event, eventBuffer),
		done:        make(chan struct{}),
	}
	a.vars = admin.NewVars()
	a.metrics = newMetrics(a)
	if err := a.listenAdmin(); err != nil {
		return nil, err
	}
	a.diallers = suture.New("diallers", a.supervision())
	a.control = newControl(a)
	return a, nil
}

func (a *Agent) listenAdmin() error {
	o := a.options
	if o.AdminAddress == "" {
		return nil
	}
	server, err := admin.New(admin.Options{
		Address: o.AdminAddress, Token: o.AdminToken, Role: "agent", Vars: a.vars, Log: o.Log, Ready: a.ready,
		TLS:  o.ServerCertificate.ServerConfig(),
		Dump: func(ctx context.Context) (any, error) { return a.Dump(ctx) }, Refresh: a.refreshMetrics,
	})
	if err != nil {
		return eris.Wrapf(ErrAdmin, "%v", err)
	}
	a.admin = server
	return nil
}

// ready tells why the agent takes no work, or nil.
func (a *Agent) ready() error {
	switch {
	case a.stopping.Load():
		return errStopping
	case a.linked.Load() == 0:
		return errNoLink
	case a.upstreamDown.Load():
		return ErrNotReached
	default:
		return nil
	}
}

// AdminAddress returns the host:port of the operator endpoints, or an empty text when they are off.
func (a *Agent) AdminAddress() string {
	if a.admin == nil {
		return ""
	}
	return a.admin.Address()
}

// Vars returns the metrics of the agent.
func (a *Agent) Vars() *admin.Vars { return a.vars }

// Incarnation differs between two runs of an agent.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Run serves until ctx is cancelled. Then it shuts down gracefully: it refuses new starts, finishes what it has taken
// and delivers the results. It returns nil after that, or ErrStopTimeout.
func (a *Agent) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	spec := a.supervision()
	spec.PassThroughPanics = true // a control goroutine that restarts could start a task twice
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
	err := a.leave()
	stop()
	<-ended
	return err
}

// leave waits for the graceful shutdown.
func (a *Agent) leave() error {
	timer := a.options.Clock.NewTimer(a.options.StopTimeout)
	defer timer.Stop()
	drained := make(chan struct{})
	a.post(leaveRequested{drained: drained})
	select {
	case <-drained:
	case <-timer.C():
		a.options.Log.Error("agent: stop timeout passed with work left")
		return ErrStopTimeout
	}
	a.flush()
	a.options.Log.Info("agent: shutdown is complete")
	return nil
}

// flush waits until the links have sent what they were given.
func (a *Agent) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	reply := make(chan []*link.Link, 1)
	if !a.post(linksRequested{reply: reply}) {
		return
	}
	for _, l := range <-reply {
		if err := l.Flush(ctx); err != nil {
			a.options.Log.WithError(err).Warn("agent: link closed before its queue was empty")
		}
	}
}

// post hands an event to the control goroutine. It returns false when that has ended.
func (a *Agent) post(e event) bool {
	select {
	case a.events <- e:
		return true
	case <-a.done:
		return false
	}
}

func (a *Agent) supervision() suture.Spec {
	return suture.Spec{EventHook: func(e suture.Event) {
		a.options.Log.WithField("event", e.String()).Warn("agent: supervisor event")
	}}
}
