package agent

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const (
	// leaveSettle is how long the agent stays after the last Start that it refused while leaving. A Start that was on
	// its way when the entry learned of the leaving agent gets its refusal; without it the entry would have to report
	// the attempt as unknown.
	leaveSettle = 500 * time.Millisecond
	// deliverTimeout bounds how long an agent without work waits until all results are confirmed.
	deliverTimeout = 10 * time.Second
	// leaveCheckInterval is the time between two checks whether the shutdown is complete.
	leaveCheckInterval = 50 * time.Millisecond
	// confirmBit tells the pings that confirm results from those of the link.
	confirmBit = 1 << 63
)

// leaving is the state of a graceful shutdown.
type leaving struct {
	drained   chan<- struct{}
	lastStart time.Time
	idleSince time.Time // zero while there is work
	sequence  uint64
	complete  bool
}

// leaveRequested begins the graceful shutdown. drained is closed when it is complete.
type leaveRequested struct{ drained chan<- struct{} }

func (e leaveRequested) apply(c *control) {
	if c.leaving != nil {
		return
	}
	c.leaving = &leaving{drained: e.drained, lastStart: c.now()}
	c.options.Log.WithField("open", len(c.attempts)).Info("agent: leaving, no new work is accepted")
	for l := range c.links {
		_ = l.Send(&wire.Leaving{})
	}
}

// check completes the shutdown when no work is left and every home has its results.
func (d *leaving) check(c *control, now time.Time) {
	if d.complete || len(c.attempts) > 0 {
		return
	}
	if d.idleSince.IsZero() {
		d.idleSince = now
	}
	if now.Sub(d.lastStart) < leaveSettle {
		return
	}
	if !d.delivered(c, now) && now.Sub(d.idleSince) < deliverTimeout {
		return
	}
	d.complete = true
	close(d.drained)
}

// delivered reports whether every home has confirmed its results, and asks those that have not. A home that left the
// list of entries clean had all its results before.
func (d *leaving) delivered(c *control, now time.Time) bool {
	all := true
	for incarnation, state := range c.homes {
		if state.delivered || now.Sub(state.lastResult) > wire.MaxDeadline || departedClean(placement.Effective(c.records.List()), incarnation) {
			continue
		}
		all = false
		d.ask(state, now)
	}
	return all
}

// ask sends a ping after the last result. Messages of a link arrive in order, so its pong proves that the home has
// read the result. On a new link the home first gets the time to query what it missed.
func (d *leaving) ask(state *homeState, now time.Time) {
	if state.link == nil || state.confirm != 0 || now.Sub(state.linkedAt) < leaveSettle {
		return
	}
	d.sequence++
	state.confirm = confirmBit | d.sequence
	_ = state.link.Send(&wire.Ping{Sequence: state.confirm})
}

// confirmed is the pong to a ping of ask.
type confirmed struct {
	link     *link.Link
	sequence uint64
}

func (e confirmed) apply(c *control) {
	for _, state := range c.homes {
		if state.link == e.link && state.confirm == e.sequence {
			state.delivered = true
		}
	}
}

func departedClean(list *wire.EntryList, incarnation uint64) bool {
	return list != nil && slices.ContainsFunc(list.Departed, func(d wire.Departed) bool {
		return d.Incarnation == incarnation && d.Clean
	})
}
