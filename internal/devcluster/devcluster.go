// Package devcluster runs a small deployment in one process on loopback: the stand-in store, entries, agents and stand-in
// upstreams of unequal speed. It is for trials and tests and runs the product's own code in real time.
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

// OperatorToken is the token of the operator endpoints. The deployment listens on loopback only.
const OperatorToken = "dev-operator"

// ErrStart is returned when a part of the deployment cannot be started.
var ErrStart = eris.New("deployment cannot be started")

// startTimeout bounds the wait until every agent is connected to every entry.
const startTimeout = 10 * time.Second

// Options configures a Cluster.
type Options struct {
	Deployment *deployment.Deployment
	// EntryOptions changes the options of each entry before it starts; nil leaves them.
	EntryOptions func(*entry.Options)
	// OnStart is called for each task that begins at an upstream, by several goroutines at once; nil means no call.
	OnStart func(upstream.Start)
	// Log receives the logs of all processes; nil discards them.
	Log log.Interface
}

// Cluster is a running deployment.
type Cluster struct {
	options Options
	log     log.Interface
	ledger  *upstream.Ledger

	// LinkToken differs between two deployments, so that a process that dials an address which another deployment got
	// meanwhile is refused.
	LinkToken string
	Store     *consul.Server
	Entries   []*Entry
	Upstreams []*upstream.Server
	Agents    []*Agent

	mu          sync.Mutex
	dataCentres map[string]string // link address to data centre
	stop        context.CancelFunc
	running     sync.WaitGroup
}

// Entry is one entry of the deployment with the means to stop it.
type Entry struct {
	*entry.Entry
	Options entry.Options
	Stop    context.CancelFunc
	Ended   chan struct{} // closed when Run has returned
}

// Agent is one agent of the deployment with the means to stop it.
type Agent struct {
	*agent.Agent
	Options agent.Options
	Stop    context.CancelFunc
	Ended   chan struct{}
}

// Start starts the deployment, puts the service documents and waits until all agents are connected. It returns ErrStart.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	if options.Log == nil {
		options.Log = &log.Logger{Handler: discard{}, Level: log.FatalLevel}
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

type discard struct{}

func (discard) HandleLog(*log.Entry) error { return nil }

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

func (c *Cluster) store() (store.Store, error) {
	return store.NewConsul(store.Options{Address: c.Store.URL()})
}

func (c *Cluster) putDocuments(ctx context.Context) error {
	store, err := c.store()
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

// StartEntry starts one more entry.
func (c *Cluster) StartEntry(id, dataCentre string) (*Entry, error) {
	store, err := c.store()
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
	e := &Entry{Entry: created, Options: o, Stop: cancel, Ended: make(chan struct{})}
	c.Entries = append(c.Entries, e)
	c.run(e.Ended, func() { _ = created.Run(ctx) })
	return e, nil
}

// dialer delays the links between data centres.
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

func (c *Cluster) run(ended chan struct{}, f func()) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		defer close(ended)
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
	previous := c.stop
	c.stop = func() {
		previous()
		cancel()
	}
	c.run(make(chan struct{}), func() { _ = server.Serve(ctx) })
	target, err := url.Parse(server.URL())
	if err != nil {
		return err
	}
	_, err = c.StartAgent(agent.Options{
		ID: w.ID, DataCentre: w.DataCentre, Region: c.options.Deployment.Region, Services: []string{w.Service},
		Entries: c.linkAddresses(), Upstream: target, LinkToken: c.LinkToken, Slots: w.Slots, Connections: w.Connections,
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

// StartAgent starts one more agent.
func (c *Cluster) StartAgent(o agent.Options) (*Agent, error) {
	created, err := agent.New(o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{Agent: created, Options: o, Stop: cancel, Ended: make(chan struct{})}
	c.Agents = append(c.Agents, a)
	c.run(a.Ended, func() { _ = created.Run(ctx) })
	return a, nil
}

// waitConnected waits until every entry has all documents and sees all agents.
func (c *Cluster) waitConnected(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range c.Entries {
		for !c.connected(ctx, e) {
			select {
			case <-ctx.Done():
				return eris.New("the processes did not connect in time")
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

// Starts implements loadgen.StartCounter from the upstreams' own counters.
func (c *Cluster) Starts(context.Context) (loadgen.Starts, error) {
	var s loadgen.Starts
	for _, u := range c.Upstreams {
		counters := u.Counters()
		// Requests without the header of a task are not the dispatcher's: a client that dials the address of a former
		// server can reach one that got its port.
		s.Started += counters.Starts - counters.Unlabelled
		s.StartedTwice += counters.DoubleStarts
	}
	return s, nil
}

// Wasted implements loadgen.WasteCounter from the counters of the entries.
func (c *Cluster) Wasted(context.Context) (uint64, error) {
	var wasted uint64
	for _, e := range c.Entries {
		wasted += e.Wasted()
	}
	return wasted, nil
}

// Describe prints the addresses and the commands to try.
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

// Close stops all processes: the agents first, so that they deliver their results, then entries, upstreams and store.
func (c *Cluster) Close() {
	for _, a := range c.Agents {
		a.Stop()
	}
	for _, a := range c.Agents {
		<-a.Ended
	}
	for _, e := range c.Entries {
		e.Stop()
	}
	for _, e := range c.Entries {
		<-e.Ended
	}
	c.stop()
	c.running.Wait()
	if c.Store != nil {
		c.Store.Close()
	}
}
