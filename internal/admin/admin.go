// Package admin serves the operator endpoints of a process on a separate address:
//
//	GET /livez       200 while the process runs; needs no token
//	GET /readyz      200, or 503 with the cause as text; needs no token
//	GET /debug/vars  metrics as JSON
//	GET /dump        state of the process as JSON
//
// The other endpoints need the bearer token.
package admin

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/intake"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/logging"
)

// Errors of this package.
var (
	ErrInvalidOptions = eris.New("invalid admin option")
	ErrListen         = eris.New("operator endpoints cannot listen")
	// ErrDump is what a Dump callback returns when the state is not available.
	ErrDump = eris.New("state dump is not available")
)

const (
	defaultDumpTimeout = 2 * time.Second
	readHeaderTimeout  = 5 * time.Second
	shutdownTimeout    = time.Second
	// maxHeaderBytes is the largest header section; those of operators' tools have less than 1 KB.
	maxHeaderBytes = 16 << 10
)

// Options configures a Server. Token, Role, Vars and Dump are required.
type Options struct {
	// Address is the host:port on which the server listens; port 0 selects a free port.
	Address string
	// Token is the bearer token of the endpoints that need one.
	Token string
	// TLS enables HTTPS; nil means HTTP.
	TLS *tls.Config
	// Role is the key of the process's metrics in /debug/vars.
	Role string
	Vars *Vars
	// Ready returns nil when the process accepts work, or the reason why it does not. It must not block. A nil function
	// means that the process is always ready.
	Ready func() error
	// Dump returns the state of the process as a value that can be encoded as JSON. It must return when ctx ends.
	Dump func(ctx context.Context) (any, error)
	// Refresh updates the metrics before they are read. It must return when ctx ends; the metrics are then served as they
	// are. A nil function means that they are always up to date.
	Refresh func(ctx context.Context)
	// DumpTimeout bounds Dump and Refresh; 0 means 2 s.
	DumpTimeout time.Duration
	// Port bounds what clients can hold; nil means the defaults of a process. Its Encrypted option must match TLS.
	Port *intake.Port
	// Log is the logger; nil means the default logger.
	Log log.Interface
}

// Server serves the operator endpoints of one process. It implements suture.Service.
type Server struct {
	options       Options
	echo          *echo.Echo
	authenticated *echo.Group
	address       string
	listener      net.Listener // nil after Serve has returned
}

// New returns a server that is already listening, so that Address is known. It returns ErrInvalidOptions or ErrListen.
func New(options Options) (*Server, error) {
	if options.Token == "" || options.Vars == nil || options.Dump == nil || options.Role == "" {
		return nil, eris.Wrap(ErrInvalidOptions, "Token, Role, Vars and Dump are required")
	}
	if options.DumpTimeout == 0 {
		options.DumpTimeout = defaultDumpTimeout
	}
	if options.Log == nil {
		options.Log = log.Log
	}
	if options.Port == nil {
		budget := intake.NewBudget(intake.NewShares(intake.Resources{}))
		options.Port = budget.SidePort(intake.PortOptions{Name: "operators", Encrypted: options.TLS != nil, Log: options.Log})
	}
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%v", err)
	}
	s := &Server{options: options, address: listener.Addr().String(), listener: listener, echo: echo.New()}
	s.echo.HideBanner, s.echo.HidePort = true, true
	s.routes()
	return s, nil
}

func (s *Server) routes() {
	s.echo.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	s.echo.GET("/readyz", s.ready)
	s.authenticated = s.echo.Group("", s.authorize)
	s.authenticated.GET("/debug/vars", s.vars)
	s.authenticated.GET("/dump", s.dump)
}

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return s.address }

// AuthenticatedGroup returns the group of endpoints that need the token. Endpoints of a role are added to it before Serve is
// called.
func (s *Server) AuthenticatedGroup() *echo.Group { return s.authenticated }

// Serve serves until ctx ends. It returns ErrListen when the listener fails. A further call listens on the same address
// again.
func (s *Server) Serve(ctx context.Context) error {
	if s.listener == nil {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return eris.Wrapf(ErrListen, "%v", err)
		}
		s.listener = listener
	}
	server := &http.Server{
		Handler: s.echo, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: logging.NewStandardLogger(s.options.Log, "admin"),
	}
	s.options.Port.Install(server)
	served := make(chan error, 1)
	listener := s.options.Port.Listen(s.listener)
	if s.options.TLS != nil {
		listener = tls.NewListener(listener, s.options.TLS)
	}
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		s.listener = nil
		return eris.Wrapf(ErrListen, "%v", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	<-served
	s.listener = nil
	return nil
}

// String implements fmt.Stringer for the supervisor.
func (s *Server) String() string { return "operator endpoints" }

func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if link.Authorized(c.Request(), s.options.Token) {
			return next(c)
		}
		c.Response().Header().Set("WWW-Authenticate", "Bearer")
		return c.String(http.StatusUnauthorized, "bearer token is missing or does not match\n")
	}
}

func (s *Server) ready(c echo.Context) error {
	if s.options.Ready == nil {
		return c.String(http.StatusOK, "ok\n")
	}
	if err := s.options.Ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

func (s *Server) vars(c echo.Context) error {
	if s.options.Refresh != nil {
		ctx, cancel := context.WithTimeout(c.Request().Context(), s.options.DumpTimeout)
		defer cancel()
		s.options.Refresh(ctx)
	}
	return c.JSON(http.StatusOK, s.options.Vars.encode(s.options.Role))
}

func (s *Server) dump(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), s.options.DumpTimeout)
	defer cancel()
	state, err := s.options.Dump(ctx)
	if err != nil {
		s.options.Log.WithError(err).Warn("admin: state dump failed; the request is answered with status 503")
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.JSONPretty(http.StatusOK, state, "  ")
}
