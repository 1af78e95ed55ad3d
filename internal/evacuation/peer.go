package evacuation

import "time"

// Timing of messages between processes.
const (
	// RelayDelay is how long an agent that has learned of a change waits before it tells the entries that have not reported it.
	// Entries that can read the store report it earlier themselves, so that usually no relay is needed.
	RelayDelay = 150 * time.Millisecond
	// resendInterval is the time after which a state that the peer has not confirmed is sent again. The confirmation is a
	// heartbeat, which arrives within a round trip.
	resendInterval = 500 * time.Millisecond
)

// Peer is what a process knows of the state that the process at the other end of a link holds. The zero value is that of a new
// link.
type Peer struct {
	state State
	// setKnown is true if the peer has sent its data centres for the revision, and not the revision alone.
	setKnown     bool
	sentRevision uint64 // the highest revision that was sent to the peer
	sentAt       time.Time
}

// HeardState records the state that the peer has sent.
func (p *Peer) HeardState(s State) { p.state, p.setKnown = s, true }

// HeardRevision records the revision that a heartbeat of the peer reports.
func (p *Peer) HeardRevision(revision uint64) {
	if revision != p.state.Revision {
		p.state, p.setKnown = State{Revision: revision}, false
	}
}

// Due reports whether the own state has to be sent to the peer: the peer holds an older one that may have other data centres,
// and was not told recently.
func (p *Peer) Due(now time.Time, own State) bool {
	if own.Revision <= p.state.Revision || p.setKnown && p.state.SameSet(own) {
		return false
	}
	return p.sentRevision < own.Revision || now.Sub(p.sentAt) >= resendInterval
}

// RecordSent records that the own state was sent to the peer.
func (p *Peer) RecordSent(now time.Time, own State) { p.sentRevision, p.sentAt = own.Revision, now }
