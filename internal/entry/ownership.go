package entry

import (
	"sync"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// An entry that was paused or cut off can have been expelled without knowing it. Another entry may have run its keys
// since, so its refusal not_run of a key would be false. It therefore vouches for not_run only while it can prove that
// nobody can have expelled it:
//
//   - a member is removed only after its lease was absent for half the expulsion delay, and a lease that is renewed was
//     never absent since the store last showed it together with the membership; or
//   - a member is removed only by one to which it had no link for half the expulsion delay, and every active member has
//     answered a ping that was sent less than that ago.
//
// The time to live of the lease adds nothing to the proof, because another member ends the lease of an entry that it takes
// for dead (refusals.go).

// heldLease is what an entry knows about its lease. The lease service writes it, the control goroutine reads it.
type heldLease struct {
	mu        sync.Mutex
	id        store.LeaseID
	renewedAt time.Time // when the last successful renewal was sent
}

// renewed notes a renewal, or the creation of a lease, that was sent at the given time and succeeded.
func (h *heldLease) renewed(id store.LeaseID, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.id, h.renewedAt = id, sent
}

func (h *heldLease) last() (store.LeaseID, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id, h.renewedAt
}

// noteOwnLease remembers under which lease the store showed this entry as a member.
func (c *control) noteOwnLease(s *snapshot) {
	if s.list == nil || !s.holds(c.self()) {
		return
	}
	lease := s.leases[leaseKey(c.self())]
	if _, ok := placement.Find(s.list, c.options.ID, c.incarnation); !ok || lease == c.provenLease {
		return
	}
	if c.provenLease != "" {
		// A member whose snapshots missed this lease can still count the absence of the former one. It does so until its
		// snapshots are further apart than snapshotGap.
		c.provenFrom = c.now.Add(c.snapshotGap())
	}
	c.provenLease = lease
}

// ownsKeys tells whether it is certain that this entry has not been expelled.
func (c *control) ownsKeys() bool {
	if _, member := c.membership(); !member {
		return false
	}
	return c.now.Before(c.leaseProof()) || c.now.Before(c.linkProof())
}

// leaseProof returns the time until which the lease excludes an expulsion.
func (c *control) leaseProof() time.Time {
	id, renewedAt := c.entry.lease.last()
	if id == "" || id != c.provenLease || renewedAt.Before(c.provenFrom) {
		return time.Time{}
	}
	return renewedAt.Add(c.endedDelay())
}

// linkProof returns the time until which the links to all active members exclude an expulsion.
func (c *control) linkProof() time.Time {
	until := c.now.Add(c.endedDelay())
	for _, m := range c.effective().Members {
		if m.ID == c.options.ID || m.State != wire.MemberActive {
			continue
		}
		p := c.peers[m.ID]
		if p == nil || p.incarnation != m.Incarnation {
			return time.Time{}
		}
		if confirmed := p.confirmedAt.Add(c.endedDelay()); confirmed.Before(until) {
			until = confirmed
		}
	}
	return until
}

// Pings that confirm a link. Their sequences differ from those of the link by confirmBit.
const (
	confirmBit = 1 << 63
	// confirmations is the number of pings within endedDelay. They are sent only while the lease does not prove the
	// ownership until the next one.
	confirmations = 4
)

// planConfirmation sends pings to the active members while the lease cannot be renewed.
func (c *control) planConfirmation() {
	interval := c.endedDelay() / confirmations
	c.timers.add(c.now.Add(interval), func(now time.Time) {
		if now.Add(interval).After(c.leaseProof()) {
			c.confirmLinks()
		}
		c.planConfirmation()
	})
}

func (c *control) confirmLinks() {
	list, documents := c.entry.versions.Versions()
	c.lastConfirmation++
	for _, p := range c.peers {
		if p.link != nil {
			p.asked, p.askedAt = confirmBit|c.lastConfirmation, c.now
			_ = p.link.Send(&wire.Ping{Sequence: p.asked, ListVersion: list, DocumentDigest: documents})
		}
	}
}

// confirmed notes the answer to the last ping. A peer that knows a newer list has sent it on this link before.
func (p *peer) confirmed(sequence uint64) {
	if sequence != 0 && sequence == p.asked {
		p.confirmedAt = p.askedAt
	}
}

// vouch returns an answer that this entry can stand for. A refusal not_run of a key that another entry may have run
// meanwhile becomes unknown; the caller asks again.
func (c *control) vouch(answer *wire.Answer) *wire.Answer {
	if answer == nil || answer.Outcome != wire.OutcomeNotRun || c.ownsKeys() {
		return answer
	}
	return &wire.Answer{
		Outcome: wire.OutcomeUnknown, Reason: wire.ReasonRecovering,
		Message: "the entry cannot tell at present whether it still owns the key",
	}
}
