package agent

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// stableLink is the lifetime of a link after which the backoff starts anew. An entry that accepts links and closes them
// at once is not dialled in a tight loop.
const stableLink = 5 * time.Second

// dialler keeps one link to the entry at one address. It implements suture.Service.
type dialler struct {
	agent   *Agent
	address string
	backoff link.Backoff
	failing bool
}

// String implements fmt.Stringer for the supervisor.
func (d *dialler) String() string { return "dialler of " + d.address }

// Serve implements suture.Service. It returns when ctx ends; a link that is open then stays open.
func (d *dialler) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		began := d.agent.options.Clock.Now()
		d.connect(ctx)
		if d.agent.options.Clock.Now().Sub(began) >= stableLink {
			d.backoff.Reset()
		}
		d.wait(ctx, d.backoff.Next())
	}
	return ctx.Err()
}

// connect dials once and, if that succeeds, waits until the link is closed.
func (d *dialler) connect(ctx context.Context) {
	hello, ok := d.agent.hello(ctx)
	if !ok {
		return
	}
	options := link.Options{Clock: d.agent.options.Clock, Stats: d.agent.stats, State: d.agent.versions}
	l, welcome, err := link.Dial(ctx, d.agent.options.Dialer, d.address, hello, options)
	if err != nil {
		d.logFailure(ctx, err)
		return
	}
	d.failing = false
	if !d.agent.post(linkUp{link: l, welcome: welcome, address: d.address}) {
		l.Close(link.ErrClosed)
		return
	}
	l.Start(handler{d.agent})
	select {
	case <-l.Done():
	case <-ctx.Done():
	}
}

// logFailure logs the first failure of a series.
func (d *dialler) logFailure(ctx context.Context, err error) {
	if d.failing || ctx.Err() != nil {
		return
	}
	d.failing = true
	entry := d.agent.options.Log.WithField("address", d.address).WithError(err)
	if errors.Is(err, link.ErrRefused) {
		entry.Error("agent: entry refused the link")
		return
	}
	entry.Warn("agent: entry cannot be reached")
}

func (d *dialler) wait(ctx context.Context, delay time.Duration) {
	timer := d.agent.options.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}

// hello asks the control goroutine for the current state of the agent.
func (a *Agent) hello(ctx context.Context) (wire.Hello, bool) {
	reply := make(chan wire.Hello, 1)
	if !a.post(helloRequested{reply}) {
		return wire.Hello{}, false
	}
	select {
	case hello := <-reply:
		return hello, true
	case <-a.done:
	case <-ctx.Done():
	}
	return wire.Hello{}, false
}

type helloRequested struct{ reply chan<- wire.Hello }

func (e helloRequested) apply(c *control) {
	o := c.options
	e.reply <- wire.Hello{
		Role: wire.RoleAgent, ID: o.ID, Incarnation: c.agent.incarnation, StartedAt: c.agent.startedAt,
		DataCentre: o.DataCentre, Region: o.Region,
		Services: o.Services, Slots: uint16(min(o.Slots, o.Connections)), Leaving: c.leaving != nil,
		MemoryMB: o.MemoryMB, Accelerators: o.Accelerators,
		ListVersion: placement.Version(c.records.List()), DocumentRevisions: c.documents.revisions(),
	}
}
