// Package entry is the role that takes jobs from callers. It owns the submissions whose keys it is the home of, sends
// their tasks to agents, and passes other jobs on to their home.
//
// One goroutine, the control goroutine, owns the state (type control). Goroutines of HTTP requests and links hand it
// events and never touch the state themselves.
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
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/logging"
)

// Errors of this package.
var (
	ErrListen  = eris.New("entry cannot listen")
	ErrOptions = eris.New("invalid options of the entry")
	// ErrExpelled means that the other entries removed this one. A new Entry can join again.
	ErrExpelled = eris.New("entry was removed from the list of entries")
)

// Entry is one process of the role.
type Entry struct {
	options     Options
	log         log.Interface
	incarnation uint64
	startedAt   time.Time

	events     chan func(*control)
	stopped    chan struct{}
	control    *control
	linkStats  link.Stats
	lease      heldLease
	versions   versions
	access     atomic.Pointer[callerAccess]
	inProgress atomic.Int64
	ready      atomic.Bool
	storeDown  atomic.Bool
	expulsion  chan struct{}
	admin      *admin.Server

	// background ends when the run ends. Diallers counts the goroutines that dial other entries.
	background context.Context
	cancel     context.CancelFunc
	diallers   sync.WaitGroup

	callers, links net.Listener
}

// versions is what pings and pongs of this entry carry. It is written by the control goroutine.
type versions struct{ list, documents atomic.Uint64 }

// Versions implements link.State.
func (v *versions) Versions() (list, documents uint64) { return v.list.Load(), v.documents.Load() }

// New returns an entry that listens on its addresses but serves nothing before Run. It returns ErrOptions or ErrListen.
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
	if e.callers, err = net.Listen("tcp", options.CallerAddress); err != nil {
		return nil, eris.Wrapf(ErrListen, "for callers: %v", err)
	}
	if e.links, err = net.Listen("tcp", options.LinkAddress); err != nil {
		_ = e.callers.Close()
		return nil, eris.Wrapf(ErrListen, "for links: %v", err)
	}
	if e.options.AdvertiseAddress == "" {
		e.options.AdvertiseAddress = e.links.Addr().String()
	}
	e.options.Log = e.log
	e.control = newControl(e)
	if e.admin, err = e.newAdmin(); err != nil {
		_ = e.callers.Close()
		_ = e.links.Close()
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
func (e *Entry) CallerAddress() string { return e.callers.Addr().String() }

// LinkAddress returns the address on which links are accepted.
func (e *Entry) LinkAddress() string { return e.links.Addr().String() }

// Ready reports whether the entry wants to get new requests from the balancer.
// It does not before it knows a list of entries, because it knows no documents then either.
func (e *Entry) Ready() bool { return e.ready.Load() && e.versions.list.Load() > 0 }

// Header and idle limits of the HTTP servers. They bound what a slow or idle client can hold.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

func (e *Entry) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: logging.Standard(e.log, "entry"),
	}
}

// Run serves until the context ends, then stops gracefully: it finishes the jobs it holds, hands its submissions over
// and returns nil. It returns ErrExpelled after the other entries removed this one, or the error of a listener.
func (e *Entry) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	callers := e.httpServer(e.newCallerServer())
	links := e.httpServer(http.HandlerFunc(e.serveLink))
	go serve(callers, e.callers, e.options.ServerCertificate.ServerConfig(), failed)
	go serve(links, e.links, e.options.LinkIdentity.ServerConfig(), failed)
	go e.run(e.background)
	services := e.supervise(e.background)
	e.ready.Store(true)
	e.log.WithField("id", e.options.ID).WithField("callers", e.CallerAddress()).
		WithField("links", e.LinkAddress()).Info("entry: started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	case <-e.expulsion:
		err = ErrExpelled
	}
	stopping, stop := context.WithTimeout(e.background, e.options.StopTimeout)
	defer stop()
	e.stop(stopping, callers)
	_ = e.call(stopping, func(c *control) { c.closeLinks() })
	e.cancel()
	<-e.stopped
	<-services
	e.diallers.Wait()
	_ = links.Close()
	_ = callers.Close()
	return err
}

// serve serves over TLS when config is not nil.
func serve(server *http.Server, listener net.Listener, config *tls.Config, failed chan<- error) {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- eris.Wrap(err, "serve")
	}
}
