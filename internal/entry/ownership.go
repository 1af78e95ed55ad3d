package entry

import (
	"sync"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// An entry that was paused or disconnected may have been expelled without noticing. Another entry may have run its keys
// since, so the answer not_run for a key could be false. An entry therefore returns not_run only while it can prove that
// no other entry can have expelled it:
//
//   - A member is removed only after its lease was absent for half the expulsion delay. A lease whose renewal succeeds has
//     not been absent since the store last showed it together with the membership.
//   - A member is removed only by a member that had no link to it for half the expulsion delay. That is excluded while
//     every active member has answered a ping that was sent less than half the expulsion delay ago.
//
// Either proof is sufficient. The time to live of the lease does not extend the first one, because another member ends the
// lease of an entry whose process it considers ended (probes.go).

// leaseRenewal records the last successful renewal of the entry's lease. The goroutine of holdLease writes it, the control
// goroutine reads it.
type leaseRenewal struct {
	mu        sync.Mutex
	id        store.LeaseID
	renewedAt time.Time // when the last successful renewal was sent
}

// recordRenewal records a successful renewal or creation of a lease whose request was sent at the given time.
func (r *leaseRenewal) recordRenewal(id store.LeaseID, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id, r.renewedAt = id, sent
}

// lastRenewal returns the lease and the time at which its last successful renewal was sent.
func (r *leaseRenewal) lastRenewal() (store.LeaseID, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id, r.renewedAt
}

// recordOwnLease records the lease under which the store shows this entry as a member.
func (c *control) recordOwnLease(s *snapshot) {
	if s.list == nil || !s.hasLease(c.self()) {
		return
	}
	lease := s.leases[leaseKey(c.self())]
	if _, ok := placement.Find(s.list, c.options.ID, c.incarnation); !ok || lease == c.confirmedLease {
		return
	}
	if c.confirmedLease != "" {
		// A member whose snapshots do not show this lease yet may still count the absence of the previous one. It does so
		// until its snapshots are further apart than maxSnapshotGap.
		c.confirmedFrom = c.now.Add(c.maxSnapshotGap())
	}
	c.confirmedLease = lease
}

// provesOwnership reports whether it is certain that this entry has not been expelled.
func (c *control) provesOwnership() bool {
	if _, member := c.membership(); !member {
		return false
	}
	return c.now.Before(c.leaseProofUntil()) || c.now.Before(c.linkProofUntil())
}

// leaseProofUntil returns the time until which the lease excludes an expulsion.
func (c *control) leaseProofUntil() time.Time {
	id, renewedAt := c.entry.lease.lastRenewal()
	if id == "" || id != c.confirmedLease || renewedAt.Before(c.confirmedFrom) {
		return time.Time{}
	}
	return renewedAt.Add(c.endedProcessDelay())
}

// linkProofUntil returns the time until which the links to all active members exclude an expulsion.
func (c *control) linkProofUntil() time.Time {
	until := c.now.Add(c.endedProcessDelay())
	for _, m := range c.effectiveList().Members {
		if m.ID == c.options.ID || m.State != wire.MemberActive {
			continue
		}
		p := c.peers[m.ID]
		if p == nil || p.incarnation != m.Incarnation {
			return time.Time{}
		}
		if proven := p.confirmedAt.Add(c.endedProcessDelay()); proven.Before(until) {
			until = proven
		}
	}
	return until
}

// Pings that confirm a link. confirmationBit distinguishes their sequences from those of the link's own pings.
const (
	confirmationBit = 1 << 63
	// confirmationsPerDelay is the number of pings within endedProcessDelay. They are sent only when the lease does not
	// prove the ownership until the next ping is due.
	confirmationsPerDelay = 4
)

// scheduleConfirmations sends pings to the connected entries while the lease cannot be renewed.
func (c *control) scheduleConfirmations() {
	interval := c.endedProcessDelay() / confirmationsPerDelay
	c.timers.add(c.now.Add(interval), func(now time.Time) {
		if now.Add(interval).After(c.leaseProofUntil()) {
			c.sendConfirmationPings()
		}
		c.scheduleConfirmations()
	})
}

func (c *control) sendConfirmationPings() {
	list, documents := c.entry.versions.Versions()
	c.lastConfirmationPing++
	for _, p := range c.peers {
		if p.link != nil {
			p.confirmationSequence, p.confirmationSentAt = confirmationBit|c.lastConfirmationPing, c.now
			_ = p.link.Send(&wire.Ping{Sequence: p.confirmationSequence, ListVersion: list, DocumentDigest: documents})
		}
	}
}

// recordConfirmation records the answer to the last confirmation ping. A peer that has a newer list has sent it on this
// link before its answer.
func (p *peer) recordConfirmation(sequence uint64) {
	if sequence != 0 && sequence == p.confirmationSequence {
		p.confirmedAt = p.confirmationSentAt
	}
}

// downgradeUnprovenNotRun replaces the answer not_run by unknown unless the ownership of the key is proven, because another
// entry may have run the key. The caller can ask again.
func (c *control) downgradeUnprovenNotRun(answer *wire.Answer) *wire.Answer {
	if answer == nil || answer.Outcome != wire.OutcomeNotRun || c.provesOwnership() {
		return answer
	}
	return &wire.Answer{
		Outcome: wire.OutcomeUnknown, Reason: wire.ReasonRecovering,
		Message: "the entry cannot tell at present whether it still owns the key",
	}
}
