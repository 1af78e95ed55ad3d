// Package jobentry implements the entry role for workers that run tasks under leases. An entry accepts jobs, lets a
// scheduler.Scheduler decide on which workers their tasks run, and sends these to the agents that have dialled it. A job
// belongs to the entry that accepted it and is open for at most as long as a submitter of it waits.
//
// One goroutine owns the control state (control). Other goroutines carry traffic: those of the links, and one for each
// submitter.
package jobentry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/intake"
	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/logging"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Errors of an entry and of its caller interface.
var (
	// ErrOptions means that a required option is missing.
	ErrOptions = eris.New("invalid job entry option")
	// ErrListen means that a listener cannot be opened or no longer accepts connections.
	ErrListen = eris.New("cannot accept connections")
)

// eventBuffer absorbs short bursts of events from links and submitters.
const eventBuffer = 1024

// readHeaderTimeout bounds reading the HTTP request that opens a link.
const readHeaderTimeout = time.Second

// Options configures an Entry.
type Options struct {
	// ID identifies the host; it stays the same when the process restarts.
	ID         string
	DataCentre string
	// DataCentres holds the names of all data centres of the deployment; empty if they are not known.
	DataCentres []string
	// LinkAddress is the host:port on which agents open links.
	LinkAddress string
	LinkToken   string
	// CatalogBytesPerSecond bounds the rate at which the entry sends the configuration to agents; 0 means
	// catalogsync.DefaultRate.
	CatalogBytesPerSecond float64
	Log                   log.Interface
	Clock                 clock.Clock
	// AdmitByShares is that of scheduler.Config.
	AdmitByShares bool
	// Metrics are updated by the entry; nil means that they are not published.
	Metrics *Metrics
	// LinkPort bounds connections at LinkAddress until they are links; nil means the defaults of a process.
	LinkPort *intake.Port
}

// Entry is an entry process. Create it with New and call Run once.
type Entry struct {
	options         Options
	incarnation     uint64
	stats           *link.Stats
	events          chan event
	done            chan struct{}
	listener        net.Listener
	catalog         atomic.Pointer[catalog.Catalog]
	availableAgents atomic.Int64 // linked agents whose workers take tasks
	allEvacuated    atomic.Bool  // all data centres are evacuated, see scheduler.AllEvacuated
	lastJobQuery    atomic.Uint64
	control         *control
	overload        overload
}

// New returns an entry that already listens for links. It returns ErrOptions or ErrListen.
func New(o Options) (*Entry, error) {
	if o.ID == "" || o.LinkToken == "" || o.Log == nil {
		return nil, eris.Wrap(ErrOptions, "ID, LinkToken and Log are required")
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics()
	}
	if o.LinkPort == nil {
		o.LinkPort = intake.NewBudget(intake.NewShares(intake.Resources{})).LinkPort(intake.PortOptions{Name: "links", Log: o.Log})
	}
	listener, err := net.Listen("tcp", o.LinkAddress)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%v", err)
	}
	e := &Entry{
		options: o, incarnation: rand.Uint64(), stats: &link.Stats{}, listener: listener,
		events: make(chan event, eventBuffer), done: make(chan struct{}),
	}
	e.control = newControl(e)
	return e, nil
}

// Run serves links and jobs until ctx is cancelled. It returns ErrListen if the listener for links fails.
func (e *Entry) Run(ctx context.Context) error {
	e.options.Log.WithFields(log.Fields{"id": e.options.ID, "incarnation": e.incarnation}).Info("entry: started")
	server := &http.Server{
		Handler: http.HandlerFunc(e.acceptLink), ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog: logging.NewStandardLogger(e.options.Log, "entry"),
	}
	e.options.LinkPort.Install(server)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(e.options.LinkPort.Listen(e.listener)) }()
	go e.control.run(ctx)
	defer server.Close()
	select {
	case err := <-failed:
		return eris.Wrapf(ErrListen, "%v", err)
	case <-ctx.Done():
		<-e.done
		return nil
	}
}

// LinkAddress returns the host:port on which agents open links.
func (e *Entry) LinkAddress() string { return e.listener.Addr().String() }

func (e *Entry) acceptLink(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != link.Path {
		http.NotFound(w, r)
		return
	}
	conn, err := link.Upgrade(w, r, e.options.LinkToken)
	if err != nil {
		e.options.Log.WithFields(log.Fields{"peer": r.RemoteAddr, "error": err.Error()}).Info("entry: link refused")
		return
	}
	welcome := func(*wire.Hello) *wire.Welcome {
		return &wire.Welcome{ID: e.options.ID, Incarnation: e.incarnation, DataCentre: e.options.DataCentre}
	}
	l, err := link.Accept(context.Background(), conn, welcome, link.Options{Clock: e.options.Clock, Stats: e.stats})
	if err != nil {
		e.options.Log.WithFields(log.Fields{"peer": r.RemoteAddr, "error": err.Error()}).Info("entry: handshake of a link failed, link refused")
		return
	}
	if !e.post(linkUp{link: l}) {
		l.Close(link.ErrClosed)
		return
	}
	l.Start(handler{e})
}

// handler passes the events of a link to the control goroutine.
type handler struct{ entry *Entry }

// OnMessage implements link.Handler.
func (h handler) OnMessage(l *link.Link, m wire.Message) { h.entry.post(received{link: l, message: m}) }

// OnClose implements link.Handler.
func (h handler) OnClose(l *link.Link, cause error) { h.entry.post(linkDown{link: l, cause: cause}) }

func (e *Entry) post(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.done:
		return false
	}
}

// Catalog returns the configuration in force, or nil before the first one.
func (e *Entry) Catalog() *catalog.Catalog { return e.catalog.Load() }

// SetEntries sets the link addresses of all announced entries, which the entry sends to its agents.
func (e *Entry) SetEntries(addresses []string) { e.post(entriesRead{addresses: addresses}) }

// SetSeeds sets the link addresses of entries from the settings, which the entry sends to its agents too. It does not block.
func (e *Entry) SetSeeds(addresses []string) { go e.post(seedsRead{addresses: addresses}) }

// Ready reports whether the entry can serve more jobs: it has a configuration, at least one linked worker takes tasks, and
// the entry is neither overloaded nor hung. If all data centres are evacuated, no other entry can serve more, and the entry stays
// ready to refuse jobs with a reason.
func (e *Entry) Ready() bool {
	return e.Catalog() != nil && (e.availableAgents.Load() > 0 || e.allEvacuated.Load()) && !e.overload.busy.Load() && !e.overload.isHung(e.Now())
}

// Submission is a job together with the properties of the request that carried it.
type Submission struct {
	Job            *job.Job
	Queue          *catalog.Queue
	CatalogVersion uint64 // version of the configuration that applies to the job
	// Deadline is when the submitter stops waiting, on the clock of the entry.
	Deadline time.Time
}

// Now returns the time on the clock of the entry.
func (e *Entry) Now() time.Time { return e.options.Clock.Now() }

// Submit runs a job and returns its answer. If ctx ends first, it returns the error of ctx, and the job is cancelled unless
// another submitter of the same job waits.
func (e *Entry) Submit(ctx context.Context, s Submission) (scheduler.Answer, error) {
	w := &waiter{answer: make(chan scheduler.Answer, 1)}
	if !e.post(jobSubmitted{submission: s, waiter: w}) {
		return scheduler.Answer{Outcome: scheduler.NotRun, Reason: "the entry has stopped", RetryAfter: restartRetryAfter}, nil
	}
	select {
	case a := <-w.answer:
		return a, nil
	case <-ctx.Done():
		e.post(submitterLeft{job: s.Job.ID, waiter: w})
		return scheduler.Answer{}, ctx.Err()
	case <-e.done:
		return scheduler.Answer{Outcome: scheduler.GivenUp, Reason: "the entry has stopped"}, nil
	}
}

// restartRetryAfter is the time after which a caller should retry at another entry.
const restartRetryAfter = time.Second

// waiter receives the answer for one submitter of a job.
type waiter struct{ answer chan scheduler.Answer }
