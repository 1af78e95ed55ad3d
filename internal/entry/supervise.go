package entry

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
)

// serviceFunc adapts a function to suture.Service.
type serviceFunc struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s serviceFunc) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service in the supervisor's log.
func (s serviceFunc) String() string { return s.name }

// supervise starts the background services of the entry. The returned channel delivers when all have ended. The control
// goroutine is not among them: its state cannot be restarted in part, so a fault there ends the process.
func (e *Entry) supervise(ctx context.Context) <-chan error {
	supervisor := suture.New("entry", suture.Spec{EventHook: func(event suture.Event) {
		e.log.WithField("event", event.String()).Warn("entry: supervisor event")
	}})
	supervisor.Add(serviceFunc{"watch of the store", e.watchStore})
	supervisor.Add(serviceFunc{"lease", e.holdLease})
	supervisor.Add(serviceFunc{"configured peers", e.dialConfiguredPeers})
	if e.admin != nil {
		supervisor.Add(e.admin)
	}
	return supervisor.ServeBackground(ctx)
}

// newAdmin returns the operator endpoints, or nil when they have no address.
func (e *Entry) newAdmin() (*admin.Server, error) {
	if e.options.AdminAddress == "" {
		return nil, nil
	}
	server, err := admin.New(admin.Options{
		Address: e.options.AdminAddress, Token: e.options.OperatorToken, Role: "entry", Vars: e.control.metrics.vars,
		Ready: e.readiness, Dump: e.Dump, Refresh: e.refreshMetrics, Log: e.log,
		TLS: e.options.ServerCertificate.ServerConfig(),
	})
	if err != nil {
		return nil, err
	}
	server.Guarded().POST("/agents/:id/gone", e.agentGone)
	return server, nil
}

var errNotReady = eris.New("entry is starting or stopping")

func (e *Entry) readiness() error {
	if !e.Ready() {
		return errNotReady
	}
	return nil
}

// dialConfiguredPeers connects to the peers of the settings while this entry knows no list of entries, so that an entry
// that starts in an outage of the store learns documents and list from them.
func (e *Entry) dialConfiguredPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, address := range e.options.Peers {
			if e.versions.list.Load() == 0 && address != e.options.AdvertiseAddress {
				e.dialOnce(ctx, address)
			}
		}
		e.sleep(ctx, storeRetryDelay)
	}
	return ctx.Err()
}
