// Package consul is a stand-in for the platform's key-value service, for tests and experiments.
//
// It speaks the published HTTP API of Consul for keys (?cas, ?acquire, ?recurse, ?index with ?wait) and sessions (TTL,
// renew, destroy), in memory and without a cluster. Faults are injected over HTTP below /fault or by methods.
package consul

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
)

const (
	// DefaultMaxValue is the default of Options.MaxValue, in bytes.
	DefaultMaxValue = 1_000_000
	// DefaultMinTTL is the shortest TTL of a session that the published protocol allows.
	DefaultMinTTL = 10 * time.Second
	// readHeaderTimeout bounds the time in which a client sends its request headers.
	readHeaderTimeout = 10 * time.Second
)

// ErrListen is returned when the server cannot listen on its address.
var ErrListen = eris.New("stand-in store cannot listen")

// Options configures a server. The zero value is usable.
type Options struct {
	// Clock drives the expiry of sessions; nil means the system clock.
	Clock clock.Clock
	// MaxValue is the largest value in bytes; 0 means DefaultMaxValue.
	MaxValue int
	// MinTTL is the shortest TTL of a session; 0 means DefaultMinTTL.
	MinTTL time.Duration
	// FaultToken is the bearer token of the fault endpoints; empty means that they need none.
	FaultToken string
}

// Server is a running stand-in.
type Server struct {
	options Options
	store   *store
	faults  *faultSwitch
	calls   *callCounter
	http    *http.Server
	address string
	stop    context.CancelFunc
	done    chan struct{}
}

// Start listens on address, for example 127.0.0.1:0, and serves until Close. It returns ErrListen.
func Start(address string, options Options) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%v", err)
	}
	s := newServer(options)
	s.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.http = &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	go s.store.expireLoop(ctx)
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener) // always ErrServerClosed after Close
	}()
	return s, nil
}

func newServer(options Options) *Server {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.MaxValue <= 0 {
		options.MaxValue = DefaultMaxValue
	}
	if options.MinTTL <= 0 {
		options.MinTTL = DefaultMinTTL
	}
	return &Server{
		options: options, store: newStore(options.Clock), faults: newFaultSwitch(), calls: newCallCounter(),
		done: make(chan struct{}),
	}
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.address }

// Close stops the server and aborts every call in progress.
func (s *Server) Close() {
	s.stop()
	_ = s.http.Close() // an error of closing the listener changes nothing
	<-s.done
}

// SetFaults replaces the active faults. It returns ErrInvalidFault for a value that is not allowed.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.faults.set(f)
	return nil
}

// Faults returns the active faults. The counters in it are what is left of them.
func (s *Server) Faults() Faults {
	f, _ := s.faults.get()
	return f
}

// ExpireLeases ends every session at once, as if its holder had been paused for longer than the TTL.
func (s *Server) ExpireLeases() { s.store.expireAll() }

// Snapshot saves a copy of the data for Restore.
func (s *Server) Snapshot() { s.store.snapshot() }

// Restore replaces the data by that of the last Snapshot. Without a snapshot the store is empty afterwards.
func (s *Server) Restore() { s.store.restore() }

// Calls returns the counts and rates of calls by kind.
func (s *Server) Calls() Calls { return s.calls.snapshot(s.options.Clock.Now()) }

func (s *Server) handler() http.Handler {
	e := echo.New()
	e.GET("/v1/kv/*", s.getKey)
	e.PUT("/v1/kv/*", s.putKey)
	e.DELETE("/v1/kv/*", s.deleteKey)
	e.PUT("/v1/session/create", s.createSession)
	e.PUT("/v1/session/renew/:id", s.renewSession)
	e.PUT("/v1/session/destroy/:id", s.destroySession)
	e.GET("/v1/status/leader", s.getLeader)
	s.addFaultRoutes(e.Group("/fault"))
	return e
}
