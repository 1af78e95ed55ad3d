// Package devcluster runs a small deployment in one process on loopback: the stand-in store, entries, agents and stand-in
// upstreams with different speeds. It runs the production code in real time and is meant for tests and experiments.
package devcluster

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/agent"
	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/document"
	"github.com/coltsfootspur/coltsfootspur/internal/entry"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/loadgen"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/consul"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/upstream"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
)

// OperatorToken is the bearer token of the operator endpoints. It can be a constant because the deployment listens on
// loopback only.
const OperatorToken = "dev-operator"

// ErrStart is returned when a process of the deployment cannot be started.
var ErrStart = eris.New("deployment cannot be started")

// startTimeout limits how long Start waits until every agent is connected to every entry.
const startTimeout = 10 * time.Second

// Options configures a Cluster.
type Options struct {
	Deployment *deployment.Deployment
	// EntryOptions modifies the options of each entry before the entry is created. It may be nil.
	EntryOptions func(*entry.Options)
	// OnStart is called for each task that starts at an upstream, concurrently from several goroutines. It may be nil.
	OnStart func(upstream.Start)
	// Log receives the log entries of all processes; nil discards them.
	Log log.Interface
}

// Cluster is a running deployment.
type Cluster struct {
	options Options
	log     log.Interface
	ledger  *upstream.Ledger

	// LinkToken is unique to this deployment. A process that dials the address of a stopped process, which another
	// deployment may be using by then, is therefore refused.
	LinkToken string
	Store     *consul.Server
	Entries   []*Entry
	Upstreams []*upstream.Server
	Agents    []*Agent

	mu          sync.Mutex
	dataCentres map[string]string // link address to data centre
	stop        context.CancelFunc
	processes   sync.WaitGroup
}

// Entry is a running entry of the deployment. Stop stops it.
type Entry struct {
	*entry.Entry
	Options entry.Options
	Stop    context.CancelFunc
	Done    chan struct{} // closed when Run has returned
}

// Agent is a running agent of the deployment. Stop stops it.
type Agent struct {
	*agent.Agent
	Options agent.Options
	Stop    context.CancelFunc
	Done    chan struct{} // closed when Run has returned
}

// Start starts the deployment, writes the service documents to the store and waits until all agents are connected to all
// entries. It returns ErrStart if a process cannot be started or the agents do not connect within 10 s.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	if options.Log == nil {
		options.Log = &log.Logger{Handler: discardHandler{}, Level: log.FatalLevel}
	}
	c := &Cluster{
		options: options, log: options.Log, ledger: upstream.NewLedger(), dataCentres: make(map[string]string),
		LinkToken: uuid.NewString(),
	}
	ctx, c.stop = context.WithCancel(ctx)
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	return c, nil
}

type discardHandler struct{}

func (discardHandler) HandleLog(*log.Entry) error { return nil }

func (c *Cluster) start(ctx context.Context) error {
	var err error
	if c.Store, err = consul.Start("127.0.0.1:0", consul.Options{}); err != nil {
		return err
	}
	if err := c.putDocuments(ctx); err != nil {
		return err
	}
	for i := range c.options.Deployment.Entries {
		if _, err := c.StartEntry(fmt.Sprintf("entry-%02d", i+1), c.options.Deployment.EntryDataCentre(i)); err != nil {
			return err
		}
	}
	for i := range c.options.Deployment.Workers {
		if err := c.startWorker(&c.options.Deployment.Workers[i]); err != nil {
			return err
		}
	}
	return c.waitConnected(ctx)
}

func (c *Cluster) openStore() (store.Store, error) {
	return store.NewConsul(store.Options{Address: c.Store.URL()})
}

func (c *Cluster) putDocuments(ctx context.Context) error {
	store, err := c.openStore()
	if err != nil {
		return err
	}
	editor := document.NewEditor(store, clock.System{})
	for _, s := range c.options.Deployment.Services {
		edit := document.Edit{Service: s.Name, Author: "dev", Body: []byte(s.Document)}
		if _, err := editor.Put(ctx, edit); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts an additional entry with the given id in a data centre. It is not safe for concurrent use.
func (c *Cluster) StartEntry(id, dataCentre string) (*Entry, error) {
	store, err := c.openStore()
	if err != nil {
		return nil, err
	}
	o := entry.Options{
		ID: id, DataCentre: dataCentre, Region: c.options.Deployment.Region,
		CallerAddress: "127.0.0.1:0", LinkAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
		LinkToken: c.LinkToken, OperatorToken: OperatorToken, Store: store, Dialer: c.dialer(dataCentre),
		Log: c.log, ReadinessDelay: 50 * time.Millisecond,
	}
	if c.options.EntryOptions != nil {
		c.options.EntryOptions(&o)
	}
	created, err := entry.New(o)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.dataCentres[created.LinkAddress()] = dataCentre
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{Entry: created, Options: o, Stop: cancel, Done: make(chan struct{})}
	c.Entries = append(c.Entries, e)
	c.runProcess(e.Done, func() { _ = created.Run(ctx) })
	return e, nil
}

// dialer returns a dialer for a process in the data centre from. It delays links to entries in other data centres.
func (c *Cluster) dialer(from string) link.Dialer {
	return delayedDialer{
		dialer: link.WebSocketDialer{Token: c.LinkToken},
		delay: func(address string) time.Duration {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.options.Deployment.Delay(from, c.dataCentres[address])
		},
	}
}

func (c *Cluster) runProcess(done chan struct{}, f func()) {
	c.processes.Add(1)
	go func() {
		defer c.processes.Done()
		defer close(done)
		f()
	}()
}

func (c *Cluster) startWorker(w *deployment.Worker) error {
	server, err := upstream.New(upstream.Options{
		Name: w.ID, Address: "127.0.0.1:0", ControlAddress: "127.0.0.1:0", Factor: w.WorkFactor(), Ledger: c.ledger,
		OnStart: c.options.OnStart,
	})
	if err != nil {
		return err
	}
	c.Upstreams = append(c.Upstreams, server)
	ctx, cancel := context.WithCancel(context.Background())
	stopPrevious := c.stop
	c.stop = func() {
		stopPrevious()
		cancel()
	}
	c.runProcess(make(chan struct{}), func() { _ = server.Serve(ctx) })
	target, err := url.Parse(server.URL())
	if err != nil {
		return err
	}
	_, err = c.StartAgent(agent.Options{
		ID: w.ID, DataCentre: w.DataCentre, Region: c.options.Deployment.Region, Services: []string{w.Service},
		Entries: c.linkAddresses(), UpstreamURL: target, LinkToken: c.LinkToken, Slots: w.Slots, Connections: w.Connections,
		MemoryMB: uint32(w.MemoryGB) << 10, Log: c.log, Dialer: c.dialer(w.DataCentre),
	})
	return err
}

func (c *Cluster) linkAddresses() []string {
	addresses := make([]string, 0, len(c.Entries))
	for _, e := range c.Entries {
		addresses = append(addresses, e.LinkAddress())
	}
	return addresses
}

// StartAgent starts an additional agent. It is not safe for concurrent use.
func (c *Cluster) StartAgent(o agent.Options) (*Agent, error) {
	created, err := agent.New(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{Agent: created, Options: o, Stop: cancel, Done: make(chan struct{})}
	c.Agents = append(c.Agents, a)
	c.runProcess(a.Done, func() { _ = created.Run(ctx) })
	return a, nil
}

// waitConnected waits until every entry has all documents, all agents and the complete list of entries.
func (c *Cluster) waitConnected(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range c.Entries {
		for !c.connected(ctx, e) {
			select {
			case <-ctx.Done():
				return eris.New("not every agent and document reached every entry within the start timeout")
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func (c *Cluster) connected(ctx context.Context, e *Entry) bool {
	state, err := e.Dump(ctx)
	if err != nil {
		return false
	}
	d := state.(*entry.Dump)
	agents := 0
	for _, a := range d.Agents {
		if a.Connected {
			agents++
		}
	}
	return agents == len(c.Agents) && len(d.Services) == len(c.options.Deployment.Services) &&
		len(d.List.Members) == len(c.Entries)
}

// CallerURLs returns the base URLs of the entries for callers.
func (c *Cluster) CallerURLs() []string {
	urls := make([]string, 0, len(c.Entries))
	for _, e := range c.Entries {
		urls = append(urls, "http://"+e.CallerAddress())
	}
	return urls
}

// Starts implements loadgen.StartCounter with the counters of the upstreams.
func (c *Cluster) Starts(context.Context) (loadgen.Starts, error) {
	var s loadgen.Starts
	for _, u := range c.Upstreams {
		counters := u.Counters()
		// Requests without a task header do not come from an agent: an unrelated client may dial the port of a stopped
		// server that an upstream uses now.
		s.Started += counters.Starts - counters.Unlabelled
		s.StartedTwice += counters.DoubleStarts
	}
	return s, nil
}

// Wasted implements loadgen.WasteCounter with the counters of the entries.
func (c *Cluster) Wasted(context.Context) (uint64, error) {
	var wasted uint64
	for _, e := range c.Entries {
		wasted += e.WastedMessages()
	}
	return wasted, nil
}

// Describe writes the addresses of the processes and example commands to w.
func (c *Cluster) Describe(w io.Writer) {
	service := c.options.Deployment.Services[0]
	first := c.Entries[0]
	fmt.Fprintf(w, "deployment %s: %d entries, %d upstreams, store %s\n",
		c.options.Deployment.Name, len(c.Entries), len(c.Upstreams), c.Store.URL())
	for _, e := range c.Entries {
		fmt.Fprintf(w, "  %s  callers http://%s  operators http://%s\n", e.Options.ID, e.CallerAddress(), e.AdminAddress())
	}
	kind := service.Kinds[0].Name
	fmt.Fprintf(w, "\ntry:\n")
	fmt.Fprintf(w, "  curl -i http://%s/v1/services/%s/requests/%s -d '{\"work_ms\":50,\"echo\":\"hello\"}'\n",
		first.CallerAddress(), service.Name, kind)
	fmt.Fprintf(w, "  curl -i -H 'Idempotency-Key: order-1' http://%s/v1/services/%s/jobs -d '{\"kind\":\"%s\",\"tasks\":[{\"body\":{\"work_ms\":50}},{\"body\":{\"work_ms\":80}}]}'\n",
		first.CallerAddress(), service.Name, kind)
	fmt.Fprintf(w, "  curl -H 'Authorization: Bearer %s' http://%s/dump\n", OperatorToken, first.AdminAddress())
	fmt.Fprintf(w, "  coltsfootspur service get %s --store %s\n", service.Name, c.Store.URL())
}

// Close stops all processes and waits until they have ended: the agents first, so that they can deliver their results,
// then the entries, the upstreams and the store.
func (c *Cluster) Close() {
	for _, a := range c.Agents {
		a.Stop()
	}
	for _, a := range c.Agents {
		<-a.Done
	}
	for _, e := range c.Entries {
		e.Stop()
	}
	for _, e := range c.Entries {
		<-e.Done
	}
	c.stop()
	c.processes.Wait()
	if c.Store != nil {
		c.Store.Close()
	}
}
