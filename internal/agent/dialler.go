package agent

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// stableLinkLifetime is the lifetime of a link after which the backoff is reset. Resetting it on every new link would dial
// an entry that accepts links and closes them at once in a tight loop.
const stableLinkLifetime = 5 * time.Second

// dialler maintains a link to the entry at one address. It implements suture.Service.
type dialler struct {
	agent         *Agent
	address       string
	backoff       link.Backoff
	failureLogged bool
}

// String implements fmt.Stringer for the supervisor.
func (d *dialler) String() string { return "dialler of " + d.address }

// Serve implements suture.Service. It returns when ctx ends and leaves an open link open.
func (d *dialler) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		dialledAt := d.agent.options.Clock.Now()
		d.dialAndWait(ctx)
		if d.agent.options.Clock.Now().Sub(dialledAt) >= stableLinkLifetime {
			d.backoff.Reset()
		}
		d.sleep(ctx, d.backoff.Next())
	}
	return ctx.Err()
}

// dialAndWait dials once and, if that succeeds, waits until the link is closed or ctx ends.
func (d *dialler) dialAndWait(ctx context.Context) {
	hello, ok := d.agent.requestHello(ctx)
	if !ok {
		return
	}
	options := link.Options{Clock: d.agent.options.Clock, Stats: d.agent.stats, Versions: d.agent.heartbeatVersions}
	l, welcome, err := link.Dial(ctx, d.agent.options.Dialer, d.address, hello, options)
	if err != nil {
		d.logFailure(ctx, err)
		return
	}
	d.failureLogged = false
	if !d.agent.post(linkOpened{link: l, welcome: welcome, address: d.address}) {
		l.Close(link.ErrClosed)
		return
	}
	l.Start(linkHandler{d.agent})
	select {
	case <-l.Done():
	case <-ctx.Done():
	}
}

// logFailure logs the first of consecutive failures to dial.
func (d *dialler) logFailure(ctx context.Context, err error) {
	if d.failureLogged || ctx.Err() != nil {
		return
	}
	d.failureLogged = true
	logger := d.agent.options.Log.WithField("address", d.address).WithError(err)
	if errors.Is(err, link.ErrRefused) {
		logger.Error("agent: entry refused the link, dialling again with backoff")
		return
	}
	logger.Warn("agent: cannot reach entry, dialling again with backoff")
}

func (d *dialler) sleep(ctx context.Context, delay time.Duration) {
	timer := d.agent.options.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}

// requestHello returns the Hello message with the current state of the agent. ok is false if the agent stops or ctx ends
// before the control goroutine replies.
func (a *Agent) requestHello(ctx context.Context) (wire.Hello, bool) {
	reply := make(chan wire.Hello, 1)
	if !a.post(helloRequested{reply}) {
		return wire.Hello{}, false
	}
	select {
	case hello := <-reply:
		return hello, true
	case <-a.controlDone:
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
		Services: o.Services, Slots: uint16(min(o.Slots, o.Connections)), Leaving: c.drain != nil,
		MemoryMB: o.MemoryMB, Accelerators: o.Accelerators,
		ListVersion: placement.Version(c.records.List()), DocumentRevisions: c.revisions.clone(),
	}
}
