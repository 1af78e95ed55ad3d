package entry

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
)

// serviceFunc adapts a named function to suture.Service.
type serviceFunc struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s serviceFunc) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the name for the supervisor's log.
func (s serviceFunc) String() string { return s.name }

// supervise starts the background services of the entry. The returned channel receives a value when all of them have ended.
// The control goroutine is not supervised: its state cannot be restored after a panic, so a panic there ends the process.
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

// newAdmin returns the server of the operator endpoints, or nil when no address is set.
func (e *Entry) newAdmin() (*admin.Server, error) {
	if e.options.AdminAddress == "" {
		return nil, nil
	}
	server, err := admin.New(admin.Options{
		Address: e.options.AdminAddress, Token: e.options.OperatorToken, Role: "entry", Vars: e.control.metrics.vars,
		Ready: e.checkReady, Dump: e.Dump, Refresh: e.refreshMetrics, Log: e.log,
		TLS: e.options.ServerCertificate.ServerConfig(), Port: e.operators,
	})
	if err != nil {
		return nil, err
	}
	server.AuthenticatedGroup().POST("/agents/:id/gone", e.postAgentGone)
	return server, nil
}

var errNotReady = eris.New("entry is starting or stopping")

// checkReady returns errNotReady while the entry is not ready.
func (e *Entry) checkReady() error {
	if !e.Ready() {
		return errNotReady
	}
	return nil
}

// dialConfiguredPeers connects to the configured peers while this entry has no list of entries, so that an entry that
// starts while the store is unavailable gets the list and the documents from them.
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
