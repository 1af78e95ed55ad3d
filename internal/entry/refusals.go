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

// A process that ended is recognized sooner than by the end of its lease: the kernel of its host refuses connections at its
// address, or a newer run of the same entry answers. A firewall can refuse connections of a live process as well, so this
// alone removes nobody. The member that saw it ends the lease of the other one. A live entry that reaches the store takes
// its lease again within milliseconds and stays; one whose lease stays away is removed after endedDelay instead of the
// expulsion delay.

// Times of this check, as divisors of the expulsion delay.
const (
	// endedShare gives endedDelay. It has to be longer than the interval of the lease renewals (leaseRenewals), so that
	// each renewal proves the ownership of keys until the next one.
	endedShare = 2
	// refusalShare gives the time for which connections must have been refused before the lease is ended, and the longest
	// wait for one answer.
	refusalShare = 10
	// probeShare gives the interval of the probes.
	probeShare = 20
	// minRefusals is the least number of refusals in a row before the lease is ended.
	minRefusals = 3
)

// refusal is what the host of a member answered to probes, while there is no link to the member.
type refusal struct {
	probing bool
	// count is the number of refusals in a row; since and last are the times of the first and the last one.
	count       int
	since, last time.Time
	// leaseEnded is set when this entry ended the lease of the member. It does so once, since a lease that comes back
	// shows that the member lives.
	leaseEnded bool
}

// endedDelay is the time for which the lease of a member whose process ended must be gone before it is removed.
func (c *control) endedDelay() time.Duration { return c.options.ExpulsionDelay / endedShare }

// planProbes probes the members without a link at a fixed interval.
func (c *control) planProbes() {
	prober, ok := c.options.Dialer.(link.Prober)
	if !ok {
		return
	}
	c.timers.add(c.now.Add(c.options.ExpulsionDelay/probeShare), func(time.Time) {
		c.probeMembers(prober)
		c.planProbes()
	})
}

func (c *control) probeMembers(prober link.Prober) {
	lost := make(map[uint64]*refusal)
	if state, member := c.membership(); member && state == wire.MemberActive {
		for _, m := range c.list.Members {
			if c.lostActive(m) {
				lost[m.Incarnation] = c.probeMember(prober, m)
			}
		}
	}
	c.refusals = lost
}

// lostActive tells whether a member is active and has no link to this entry. A leaving entry is not probed, nor one that
// stated that it stops: it may close its listener while it still hands over.
func (c *control) lostActive(m wire.Member) bool {
	m, member := placement.Find(c.effective(), m.ID, m.Incarnation)
	if !member || m.ID == c.options.ID || m.State != wire.MemberActive {
		return false
	}
	p := c.peers[m.ID]
	return p == nil || p.link == nil || p.incarnation != m.Incarnation
}

func (c *control) probeMember(prober link.Prober, m wire.Member) *refusal {
	r := c.refusals[m.Incarnation]
	if r == nil {
		r = new(refusal)
	}
	c.endLease(m, r)
	if r.probing {
		return r
	}
	r.probing = true
	go func() {
		ctx, cancel := context.WithTimeout(c.entry.background, c.options.ExpulsionDelay/refusalShare)
		defer cancel()
		err := prober.Probe(ctx, m.Address)
		c.entry.post(func(c *control) { r.answered(c.now, err) })
	}()
	return r
}

// answered notes the result of a probe. Anything but a refusal begins the row anew.
func (r *refusal) answered(now time.Time, err error) {
	r.probing = false
	if !errors.Is(err, link.ErrConnectionRefused) {
		r.count = 0
		return
	}
	if r.count == 0 {
		r.since = now
	}
	r.count++
	r.last = now
}

// endedSince returns since when it is known that the process of this run of a member ended.
func (c *control) endedSince(m wire.Member) (time.Time, bool) {
	if !c.lostActive(m) {
		return time.Time{}, false
	}
	if p := c.peers[m.ID]; p != nil && p.link != nil && !c.hasDeparted(p.incarnation) {
		return p.upSince, true // a newer run of the entry
	}
	r := c.refusals[m.Incarnation]
	recent := 2 * c.options.ExpulsionDelay / refusalShare
	if r == nil || r.count < minRefusals || c.now.Sub(r.last) > recent {
		return time.Time{}, false
	}
	if p := c.peers[m.ID]; p != nil && p.downSince.After(r.since) {
		return p.downSince, true // a link that came and went between two probes proves that the process lived
	}
	return r.since, true
}

// endLease ends the lease of a member whose process ended.
func (c *control) endLease(m wire.Member, r *refusal) {
	since, ended := c.endedSince(m)
	lease := c.seen.leases[leaseKey(m)]
	if !ended || r.leaseEnded || lease == "" || c.now.Sub(since) < c.options.ExpulsionDelay/refusalShare {
		return
	}
	r.leaseEnded = true
	c.log.WithField("entry", m.ID).Warn("entry: ending the lease of an entry whose process ended")
	go func() {
		err := c.releaseLease(lease)
		if err == nil {
			return
		}
		c.log.WithField("entry", m.ID).WithField("cause", eris.ToString(err, false)).
			Warn("store: cannot end the lease of an entry")
		c.entry.sleep(c.entry.background, storeRetryDelay)
		c.entry.post(func(*control) { r.leaseEnded = false })
	}()
}

func (c *control) releaseLease(lease store.LeaseID) error {
	return c.entry.withStore(c.entry.background, func(ctx context.Context) error {
		return c.options.Store.ReleaseLease(ctx, lease)
	})
}
