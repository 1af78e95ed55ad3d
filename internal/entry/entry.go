// Package entry implements the role that accepts jobs from callers. An entry owns the submissions whose idempotency keys
// are placed on it, which makes it their home; it sends their tasks to agents and forwards all other submissions to their
// home.
//
// The state of an entry (type control) belongs to one goroutine, the control goroutine. The goroutines of HTTP requests and
// links post events to it and never access the state themselves.
package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/admin"
	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/intake"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/logging"
)

// Errors of this package.
var (
	// ErrListen is returned by New when the entry cannot listen for callers or for links.
	ErrListen = eris.New("entry cannot listen")
	// ErrOptions is returned by New when the id or the store is missing.
	ErrOptions = eris.New("invalid options of the entry")
	// ErrExpelled means that the other entries removed this one from the list of entries. A new Entry can join again.
	ErrExpelled = eris.New("entry was removed from the list of entries")
)

// Entry is one process of the entry role.
type Entry struct {
	options     Options
	log         log.Interface
	incarnation uint64
	startedAt   time.Time

	events       chan func(*control)
	stopped      chan struct{}
	control      *control
	linkStats    link.Stats
	lease        leaseRenewal
	versions     versions
	callerTokens atomic.Pointer[callerTokenDigests]
	inProgress   atomic.Int64
	ready        atomic.Bool
	storeDown    atomic.Bool
	expulsion    chan struct{}
	admin        *admin.Server
	budget       *intake.Budget
	// callers, links and operators bound what clients of the listeners can hold.
	callers, links, operators *intake.Port

	// background is cancelled when Run ends. diallers counts the goroutines that dial other entries.
	background context.Context
	cancel     context.CancelFunc
	diallers   sync.WaitGroup

	callerListener, linkListener net.Listener
}

// versions holds the list version and the digest of the documents that pings and pongs of this entry carry. The control
// goroutine writes it.
type versions struct{ list, documents atomic.Uint64 }

// Versions implements link.VersionSource.
func (v *versions) Versions() (list, documents uint64) { return v.list.Load(), v.documents.Load() }

// New returns an entry that has bound its listeners but serves nothing before Run. It returns ErrOptions or ErrListen.
func New(options Options) (*Entry, error) {
	options = options.withDefaults()
	if options.ID == "" || options.Store == nil {
		return nil, eris.Wrap(ErrOptions, "id and store are required")
	}
	e := &Entry{
		options: options, log: options.Log, incarnation: rand.Uint64() | 1, startedAt: options.Clock.Now(),
		events: make(chan func(*control), eventQueueLength), stopped: make(chan struct{}),
		expulsion: make(chan struct{}, 1),
	}
	e.background, e.cancel = context.WithCancel(context.Background())
	var err error
	if e.callerListener, err = net.Listen("tcp", options.CallerAddress); err != nil {
		return nil, eris.Wrapf(ErrListen, "for callers: %v", err)
	}
	if e.linkListener, err = net.Listen("tcp", options.LinkAddress); err != nil {
		_ = e.callerListener.Close()
		return nil, eris.Wrapf(ErrListen, "for links: %v", err)
	}
	if e.options.AdvertiseAddress == "" {
		e.options.AdvertiseAddress = e.linkListener.Addr().String()
	}
	e.options.Log = e.log
	e.newPorts()
	e.control = newControl(e)
	e.control.metrics.vars.Set("intake", e.budget.VarsWithPorts(map[string]*intake.Port{
		"callers": e.callers, "links": e.links, "operators": e.operators,
	}))
	if e.admin, err = e.newAdmin(); err != nil {
		_ = e.callerListener.Close()
		_ = e.linkListener.Close()
		return nil, err
	}
	return e, nil
}

// AdminAddress returns the address of the operator endpoints, or "" when there are none.
func (e *Entry) AdminAddress() string {
	if e.admin == nil {
		return ""
	}
	return e.admin.Address()
}

// CallerAddress returns the address on which callers are served.
func (e *Entry) CallerAddress() string { return e.callerListener.Addr().String() }

// LinkAddress returns the address on which links are accepted.
func (e *Entry) LinkAddress() string { return e.linkListener.Addr().String() }

// Ready reports whether the load balancer should send new requests to the entry. It is false until the entry has a list of
// entries, because until then it may have no documents either.
func (e *Entry) Ready() bool { return e.ready.Load() && e.versions.list.Load() > 0 }

// Limits of the HTTP servers on headers and idle connections. They bound the resources that a slow or idle client can hold.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// newPorts creates the budget of the process and its ports.
func (e *Entry) newPorts() {
	e.budget = intake.NewBudget(intake.NewShares(e.options.Resources))
	limits := func() intake.Limits {
		return intake.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: api.MaxRequest, HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	}
	hasTLS := e.options.ServerCertificate != nil
	e.callers = e.budget.CallerPort(intake.PortOptions{Name: "callers", Limits: limits, WriteTimeout: intake.CallerWriteTimeout, Encrypted: hasTLS, Log: e.log})
	e.links = e.budget.LinkPort(intake.PortOptions{Name: "links", Limits: limits, Encrypted: e.options.LinkIdentity != nil, Log: e.log})
	e.operators = e.budget.SidePort(intake.PortOptions{Name: "operators", Limits: limits, Encrypted: hasTLS, Log: e.log})
}

func (e *Entry) httpServer(port *intake.Port, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: logging.NewStandardLogger(e.log, "entry"),
	}
	port.Install(server)
	return server
}

// Run serves until the context ends and then shuts down gracefully: it finishes the jobs in progress, hands its submissions
// over to other entries and returns nil. It returns ErrExpelled after the other entries removed this one, or the error of a
// listener.
func (e *Entry) Run(ctx context.Context) error {
	serveErrors := make(chan error, 2)
	callerServer := e.httpServer(e.callers, e.newCallerServer())
	linkServer := e.httpServer(e.links, http.HandlerFunc(e.serveLink))
	go serve(callerServer, e.callers.Listen(e.callerListener), e.options.ServerCertificate.ServerConfig(), serveErrors)
	go serve(linkServer, e.links.Listen(e.linkListener), e.options.LinkIdentity.ServerConfig(), serveErrors)
	go e.controlLoop(e.background)
	supervisorDone := e.supervise(e.background)
	e.ready.Store(true)
	e.log.WithField("id", e.options.ID).WithField("callers", e.CallerAddress()).
		WithField("links", e.LinkAddress()).Info("entry: started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErrors:
	case <-e.expulsion:
		err = ErrExpelled
	}
	stopCtx, cancelStop := context.WithTimeout(e.background, e.options.StopTimeout)
	defer cancelStop()
	e.stop(stopCtx, callerServer)
	_ = e.call(stopCtx, func(c *control) { c.closeLinks() })
	e.cancel()
	<-e.stopped
	<-supervisorDone
	e.diallers.Wait()
	_ = linkServer.Close()
	_ = callerServer.Close()
	return err
}

// serve serves HTTP requests, over TLS when config is not nil. An error of the listener is sent to failed.
func serve(server *http.Server, listener net.Listener, config *tls.Config, failed chan<- error) {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- eris.Wrap(err, "serve")
	}
}
