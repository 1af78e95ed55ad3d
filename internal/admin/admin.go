// Package admin serves the operator endpoints of a process on an address of their own:
//
//	GET /livez       200 while the process runs; open
//	GET /readyz      200, or 503 with the cause as text; open
//	GET /debug/vars  metrics as JSON
//	GET /dump        state of the process as JSON
//
// All but the first two need the bearer token.
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

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/logging"
)

// Errors of this package.
var (
	ErrOptions = eris.New("invalid admin option")
	ErrListen  = eris.New("operator endpoints cannot listen")
	// ErrDump is what a Dump callback returns when the state is not available.
	ErrDump = eris.New("state dump is not available")
)

const (
	defaultDumpTimeout = 2 * time.Second
	readHeaderTimeout  = 5 * time.Second
	shutdownTimeout    = time.Second
)

// Options configures a Server. All fields without a remark are required.
type Options struct {
	// Address is host:port; port 0 chooses a free one.
	Address string
	// Token is the bearer token of the endpoints that are not open.
	Token string
	// TLS makes the endpoints HTTPS; nil means HTTP.
	TLS *tls.Config
	// Role names the metrics of the process in /debug/vars.
	Role string
	Vars *Vars
	// Ready returns nil when the process takes work, or why it does not. It must not block. nil means always ready.
	Ready func() error
	// Dump returns the state of the process as a value that JSON can represent. It must return when ctx ends.
	Dump func(ctx context.Context) (any, error)
	// Refresh brings the metrics up to date before they are read. It must return when ctx ends; the metrics are then shown
	// as they are. nil means that they always are up to date.
	Refresh func(ctx context.Context)
	// DumpTimeout bounds Dump and Refresh; 0 means 2 s.
	DumpTimeout time.Duration
	// Log may be nil.
	Log log.Interface
}

// Server serves the operator endpoints of one process. It implements suture.Service.
type Server struct {
	options  Options
	echo     *echo.Echo
	guarded  *echo.Group
	address  string
	listener net.Listener // nil after Serve has returned
}

// New returns a server that listens already, so that Address is known. It returns ErrOptions or ErrListen.
func New(options Options) (*Server, error) {
	if options.Token == "" || options.Vars == nil || options.Dump == nil || options.Role == "" {
		return nil, eris.Wrap(ErrOptions, "Token, Role, Vars and Dump are required")
	}
	if options.DumpTimeout == 0 {
		options.DumpTimeout = defaultDumpTimeout
	}
	if options.Log == nil {
		options.Log = log.Log
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
	s.guarded = s.echo.Group("", s.authorize)
	s.guarded.GET("/debug/vars", s.vars)
	s.guarded.GET("/dump", s.dump)
}

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return s.address }

// Guarded returns the group of endpoints that need the token. A role adds its own to it before Serve.
func (s *Server) Guarded() *echo.Group { return s.guarded }

// Serve serves until ctx ends. It returns ErrListen when the listener fails, and listens again when it is called again.
func (s *Server) Serve(ctx context.Context) error {
	if s.listener == nil {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return eris.Wrapf(ErrListen, "%v", err)
		}
		s.listener = listener
	}
	server := &http.Server{
		Handler: s.echo, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: logging.Standard(s.options.Log, "admin"),
	}
	failed := make(chan error, 1)
	listener := s.listener
	if s.options.TLS != nil {
		listener = tls.NewListener(listener, s.options.TLS)
	}
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		s.listener = nil
		return eris.Wrapf(ErrListen, "%v", err)
	case <-ctx.Done():
	}
	bounded, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(bounded) != nil {
		_ = server.Close()
	}
	<-failed
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
	return c.JSON(http.StatusOK, s.options.Vars.document(s.options.Role))
}

func (s *Server) dump(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), s.options.DumpTimeout)
	defer cancel()
	state, err := s.options.Dump(ctx)
	if err != nil {
		s.options.Log.WithError(err).Warn("admin: state dump failed")
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.JSONPretty(http.StatusOK, state, "  ")
}
