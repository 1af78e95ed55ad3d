package agent

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const (
	// drainQuietPeriod is how long the agent keeps running after the last Start that it refused during the shutdown. A
	// Start that was in transit when its entry received Leaving is thus refused; without the refusal, the entry would
	// have to report the outcome of the attempt as unknown.
	drainQuietPeriod = 500 * time.Millisecond
	// confirmTimeout bounds how long an agent without open attempts waits for the confirmation of all results.
	confirmTimeout = 10 * time.Second
	// drainCheckInterval is the time between checks whether the shutdown is complete.
	drainCheckInterval = 50 * time.Millisecond
	// confirmPingBit is set in the sequence numbers of pings that confirm results and never in those of heartbeats.
	confirmPingBit = 1 << 63
)

// drainState is the state of a graceful shutdown. lastStartAt is when the last Start arrived during the shutdown, or when
// the shutdown began if none did.
type drainState struct {
	drained      chan<- struct{}
	lastStartAt  time.Time
	idleSince    time.Time // zero until no attempt is open
	lastSequence uint64
	complete     bool
}

// drainRequested is the event that begins the graceful shutdown. drained is closed when the shutdown is complete.
type drainRequested struct{ drained chan<- struct{} }

func (e drainRequested) apply(c *control) {
	if c.drain != nil {
		return
	}
	c.drain = &drainState{drained: e.drained, lastStartAt: c.now()}
	c.options.Log.WithField("open", len(c.attempts)).Info("agent: shutting down, refusing new work")
	for l := range c.links {
		_ = l.Send(&wire.Leaving{})
	}
}

// checkComplete completes the shutdown if no attempt is open, the quiet period is over, and every home has confirmed its
// results or confirmTimeout has passed.
func (d *drainState) checkComplete(c *control, now time.Time) {
	if d.complete || len(c.attempts) > 0 {
		return
	}
	if d.idleSince.IsZero() {
		d.idleSince = now
	}
	if now.Sub(d.lastStartAt) < drainQuietPeriod {
		return
	}
	if !d.confirmResults(c, now) && now.Sub(d.idleSince) < confirmTimeout {
		return
	}
	d.complete = true
	close(d.drained)
}

// confirmResults reports whether every home has confirmed its results, and requests a confirmation from those that have
// not. It skips homes that left the list of entries cleanly, which they do only with all results received, and homes
// whose last result is older than the longest deadline.
func (d *drainState) confirmResults(c *control, now time.Time) bool {
	allConfirmed := true
	for incarnation, state := range c.homes {
		if state.resultsConfirmed || now.Sub(state.lastResultAt) > wire.MaxDeadline ||
			hasLeftCleanly(placement.ApplyStopNotices(c.records.List()), incarnation) {
			continue
		}
		allConfirmed = false
		d.sendConfirmPing(state, now)
	}
	return allConfirmed
}

// sendConfirmPing sends a ping after the last result. The messages of a link arrive in order, so the pong proves that the
// home has read the result. On a new link, it first gives the home drainQuietPeriod to query the results that it missed.
func (d *drainState) sendConfirmPing(state *homeState, now time.Time) {
	if state.link == nil || state.confirmPingSequence != 0 || now.Sub(state.linkedAt) < drainQuietPeriod {
		return
	}
	d.lastSequence++
	state.confirmPingSequence = confirmPingBit | d.lastSequence
	_ = state.link.Send(&wire.Ping{Sequence: state.confirmPingSequence})
}

// confirmPongReceived is the event of a pong to a ping from sendConfirmPing.
type confirmPongReceived struct {
	link     *link.Link
	sequence uint64
}

func (e confirmPongReceived) apply(c *control) {
	for _, state := range c.homes {
		if state.link == e.link && state.confirmPingSequence == e.sequence {
			state.resultsConfirmed = true
		}
	}
}

func hasLeftCleanly(list *wire.EntryList, incarnation uint64) bool {
	return list != nil && slices.ContainsFunc(list.Departed, func(d wire.Departed) bool {
		return d.Incarnation == incarnation && d.Clean
	})
}
