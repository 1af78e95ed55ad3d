package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Probes detect the end of a process before its lease expires: the kernel of its host refuses connections to its address,
// or a newer run of the same entry connects. A firewall can refuse connections to a live process as well, so a refusal
// alone removes no member. The member that observes it ends the lease of the other one instead. A live entry that reaches
// the store takes a new lease within milliseconds and stays in the list; one whose lease stays away is removed after
// endedProcessDelay instead of the expulsion delay.

// Times of the probes, given as divisors of the expulsion delay, and the number of refusals that is required.
const (
	// endedDivisor determines endedProcessDelay, which must be longer than the interval of the lease renewals
	// (leaseRenewals), so that each renewal proves the ownership of keys until the next one.
	endedDivisor = 2
	// refusalDivisor determines the time for which connections must have been refused before the lease is ended. It is also
	// the timeout of one probe.
	refusalDivisor = 10
	// probeDivisor determines the interval of the probes.
	probeDivisor = 20
	// minConsecutiveRefusals is the number of refusals in a row that is required before the lease is ended.
	minConsecutiveRefusals = 3
)

// probeState holds the results of the probes of a member to which there is no link.
type probeState struct {
	probing bool
	// consecutiveRefusals is the number of refusals in a row, firstRefusal and lastRefusal the times of the first and the
	// last of them.
	consecutiveRefusals       int
	firstRefusal, lastRefusal time.Time
	// leaseEnded is set when this entry ended the lease of the member. It does so only once, because a lease that comes back
	// shows that the member is alive.
	leaseEnded bool
}

// endedProcessDelay is the time for which the lease of a member must be gone before the member is removed, if its process
// is known to have ended.
func (c *control) endedProcessDelay() time.Duration { return c.options.ExpulsionDelay / endedDivisor }

// scheduleProbes probes the members without a link at a fixed interval. It does nothing if the dialer cannot probe.
func (c *control) scheduleProbes() {
	prober, ok := c.options.Dialer.(link.Prober)
	if !ok {
		return
	}
	c.timers.add(c.now.Add(c.options.ExpulsionDelay/probeDivisor), func(time.Time) {
		c.probeMembers(prober)
		c.scheduleProbes()
	})
}

// probeMembers probes the active members without a link, if this entry is an active member itself. The probe states of all
// others are dropped.
func (c *control) probeMembers(prober link.Prober) {
	states := make(map[uint64]*probeState)
	if state, member := c.membership(); member && state == wire.MemberActive {
		for _, m := range c.list.Members {
			if c.isLostActiveMember(m) {
				states[m.Incarnation] = c.probeMember(prober, m)
			}
		}
	}
	c.probeStates = states
}

// isLostActiveMember reports whether a member is active and has no link to this entry. A member that is leaving or
// announced its stop does not count as active: it may close its listener while it still hands over.
func (c *control) isLostActiveMember(m wire.Member) bool {
	m, member := placement.Find(c.effectiveList(), m.ID, m.Incarnation)
	if !member || m.ID == c.options.ID || m.State != wire.MemberActive {
		return false
	}
	p := c.peers[m.ID]
	return p == nil || p.link == nil || p.incarnation != m.Incarnation
}

// probeMember ends the lease of the member if its process is known to have ended, and starts a probe unless one is running.
func (c *control) probeMember(prober link.Prober, m wire.Member) *probeState {
	s := c.probeStates[m.Incarnation]
	if s == nil {
		s = new(probeState)
	}
	c.endLeaseOfEndedProcess(m, s)
	if s.probing {
		return s
	}
	s.probing = true
	go func() {
		ctx, cancel := context.WithTimeout(c.entry.background, c.options.ExpulsionDelay/refusalDivisor)
		defer cancel()
		err := prober.Probe(ctx, m.Address)
		c.entry.post(func(c *control) { s.recordResult(c.now, err) })
	}()
	return s
}

// recordResult records the result of a probe. Any result other than a refusal resets the count.
func (s *probeState) recordResult(now time.Time, err error) {
	s.probing = false
	if !errors.Is(err, link.ErrConnectionRefused) {
		s.consecutiveRefusals = 0
		return
	}
	if s.consecutiveRefusals == 0 {
		s.firstRefusal = now
	}
	s.consecutiveRefusals++
	s.lastRefusal = now
}

// processEndedSince returns the time since which the process of this run of a member is known to have ended, or false when
// that is not known.
func (c *control) processEndedSince(m wire.Member) (time.Time, bool) {
	if !c.isLostActiveMember(m) {
		return time.Time{}, false
	}
	if p := c.peers[m.ID]; p != nil && p.link != nil && !c.hasDeparted(p.incarnation) {
		return p.upSince, true // another run of the entry is connected
	}
	s := c.probeStates[m.Incarnation]
	recent := 2 * c.options.ExpulsionDelay / refusalDivisor
	if s == nil || s.consecutiveRefusals < minConsecutiveRefusals || c.now.Sub(s.lastRefusal) > recent {
		return time.Time{}, false
	}
	if p := c.peers[m.ID]; p != nil && p.downSince.After(s.firstRefusal) {
		return p.downSince, true // a link between two probes proves that the process was alive then
	}
	return s.firstRefusal, true
}

// endLeaseOfEndedProcess ends the lease of a member whose process has ended.
func (c *control) endLeaseOfEndedProcess(m wire.Member, s *probeState) {
	since, ended := c.processEndedSince(m)
	lease := c.snapshot.leases[leaseKey(m)]
	if !ended || s.leaseEnded || lease == "" || c.now.Sub(since) < c.options.ExpulsionDelay/refusalDivisor {
		return
	}
	s.leaseEnded = true
	c.log.WithField("entry", m.ID).Warn("entry: the process of another entry has ended; ending its lease")
	go func() {
		err := c.releaseLease(lease)
		if err == nil {
			return
		}
		c.log.WithField("entry", m.ID).WithField("cause", eris.ToString(err, false)).
			Warn("store: cannot end the lease of another entry; trying again")
		c.entry.sleep(c.entry.background, storeRetryDelay)
		c.entry.post(func(*control) { s.leaseEnded = false })
	}()
}

func (c *control) releaseLease(lease store.LeaseID) error {
	return c.entry.withStore(c.entry.background, func(ctx context.Context) error {
		return c.options.Store.ReleaseLease(ctx, lease)
	})
}
