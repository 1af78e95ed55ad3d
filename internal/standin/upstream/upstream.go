// Package upstream is a stand-in for an upstream. It takes as long for a task as the request specifies, returns the task and
// the hash of the body that it received, counts starts and outcomes, and injects faults.
//
// A task is any request to the task address. Its work time in milliseconds is taken from the header Work-Ms or else from
// the field work_ms of a JSON body, and is multiplied by the factor of the server. The size of the padding of the answer
// in bytes is taken from the header Answer-Bytes or else from the field answer_bytes.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

// Errors of this package.
var (
	ErrInvalidOption = eris.New("invalid option of the stand-in upstream")
	ErrListen        = eris.New("stand-in upstream cannot listen")
)

const (
	readHeaderTimeout  = 5 * time.Second
	defaultStopTimeout = 75 * time.Second
	maxFactor          = 1000
)

// Options configures a Server.
type Options struct {
	// Name is part of each answer.
	Name string
	// Address is the host:port for tasks; port 0 chooses a free one.
	Address string
	// ControlAddress is the host:port for counters and faults; empty means that they are not served.
	ControlAddress string
	// Factor multiplies the work time: a server with factor 2 has half the speed. 0 means 1.
	Factor float64
	// Faults are the faults that are active from the start.
	Faults Faults
	// Ledger counts starts by task; the servers of one deployment share one. nil means a ledger for this server alone.
	Ledger *Ledger
	// OnStart is called at the start of each task, on the goroutine of its request; it may be nil.
	OnStart func(Start)
	// StopTimeout bounds the graceful shutdown; 0 means 75 s.
	StopTimeout time.Duration
}

// Server is a stand-in upstream. It listens as soon as it is created.
type Server struct {
	options     Options
	url         string
	echo        *echo.Echo
	control     *controlServer // nil without a control address
	recorder    recorder
	faults      atomic.Pointer[Faults]
	stopped     chan struct{} // closed when the graceful shutdown begins
	serveErrors chan error

	mu      sync.Mutex
	address string
	server  *http.Server // nil while connections are refused
}

// New returns a server that listens for tasks. The error is ErrInvalidOption or ErrListen.
func New(options Options) (*Server, error) {
	if options.Factor == 0 {
		options.Factor = 1
	}
	if options.StopTimeout == 0 {
		options.StopTimeout = defaultStopTimeout
	}
	if options.Factor < 0 || options.Factor > maxFactor {
		return nil, eris.Wrap(ErrInvalidOption, "Factor is out of range")
	}
	if err := options.Faults.validate(); err != nil {
		return nil, err
	}
	s := &Server{options: options, address: options.Address, stopped: make(chan struct{}), serveErrors: make(chan error, 1)}
	s.recorder.ledger = options.Ledger
	if s.recorder.ledger == nil {
		s.recorder.ledger = NewLedger()
	}
	s.faults.Store(&Faults{})
	s.echo = echo.New()
	s.echo.Any("/*", s.serveTask)
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.url = "http://" + s.address
	if err := s.SetFaults(options.Faults); err != nil {
		return nil, err
	}
	return s, s.listenControl()
}

// URL returns the base URL for tasks.
func (s *Server) URL() string { return s.url }

// Serve waits until ctx ends and then shuts down gracefully: it accepts no new connections, finishes the requests in
// progress within StopTimeout and returns. It returns ErrListen when a listener fails.
func (s *Server) Serve(ctx context.Context) error {
	var err error
	select {
	case err = <-s.serveErrors:
	case <-ctx.Done():
	}
	close(s.stopped)
	if s.control != nil {
		s.control.close()
	}
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		s.shutdown(server)
	}
	return err
}

func (s *Server) shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.StopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// listen starts listening on the task address. Port 0 is replaced by the port that was chosen the first time.
func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return eris.Wrapf(ErrListen, "%v", err)
	}
	server := &http.Server{Handler: s.echo, ReadHeaderTimeout: readHeaderTimeout}
	s.mu.Lock()
	s.address = listener.Addr().String()
	s.server = server
	s.mu.Unlock()
	go s.serve(server, listener)
	return nil
}

func (s *Server) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		select {
		case s.serveErrors <- eris.Wrapf(ErrListen, "%v", err):
		default:
		}
	}
}

// closeTaskServer closes the listener of the task address and every connection to it.
func (s *Server) closeTaskServer() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

func (s *Server) refusingConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server == nil
}
