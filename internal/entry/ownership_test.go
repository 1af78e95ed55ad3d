package entry

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/store"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// newOwner returns the control state of entry e1, a member beside e2, whose lease was renewed now.
func newOwner(start time.Time) *control {
	options := Options{
		ID: "e1", LeaseTTL: 2 * time.Second, ExpulsionDelay: time.Second, Clock: clock.NewFake(start), Log: log.Log,
	}
	e := &Entry{options: options.withDefaults(), log: log.Log, incarnation: 1}
	c := newControl(e)
	c.list = wire.EntryList{Version: 3, Members: []wire.Member{
		{ID: "e1", Incarnation: 1, State: wire.MemberActive}, {ID: "e2", Incarnation: 2, State: wire.MemberActive},
	}}
	e.lease.renewed("lease", start)
	c.noteOwnLease(&snapshot{list: &c.list, leases: leaseOf(c, "lease")})
	return c
}

// leaseOf returns the leases of a snapshot that shows the entry under this lease.
func leaseOf(c *control, id store.LeaseID) map[string]store.LeaseID {
	return map[string]store.LeaseID{leaseKey(c.self()): id}
}

// Guards against a refusal not_run by an entry that may have been expelled while it was paused or cut off.
func TestLeaseProvesOwnershipUntilAnExpulsionIsPossible(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	c := newOwner(start)
	c.now = start.Add(490 * time.Millisecond)
	g.Expect(c.ownsKeys()).To(gomega.BeTrue(), "a lease that another member ended at once is gone for less than half the delay")
	c.now = start.Add(500 * time.Millisecond)
	g.Expect(c.ownsKeys()).To(gomega.BeFalse())
	refusal := &wire.Answer{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonDeadline}
	g.Expect(c.vouch(refusal).Outcome).To(gomega.Equal(wire.OutcomeUnknown))

	// A lease that was taken anew proves nothing before the store shows it together with the membership.
	c.entry.lease.renewed("next", c.now)
	g.Expect(c.ownsKeys()).To(gomega.BeFalse())
	c.noteOwnLease(&snapshot{list: &wire.EntryList{Version: 4}, leases: leaseOf(c, "next")})
	g.Expect(c.ownsKeys()).To(gomega.BeFalse(), "the store shows a list without this entry")
	c.noteOwnLease(&snapshot{list: &c.list, leases: leaseOf(c, "next")})
	g.Expect(c.ownsKeys()).To(gomega.BeFalse(), "a member whose snapshots are late can still count the absence of the former lease")
	c.now = c.now.Add(c.snapshotGap())
	c.entry.lease.renewed("next", c.now)
	g.Expect(c.ownsKeys()).To(gomega.BeTrue())
	g.Expect(c.vouch(refusal)).To(gomega.BeIdenticalTo(refusal))
}

// Guards against refusals that become unknown for the whole of an outage of the store, and against a proof by links that
// are older than half the expulsion delay or belong to another run of a member.
func TestLinksProveOwnershipWithoutTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	c := newOwner(start)
	c.now = start.Add(time.Minute)
	g.Expect(c.ownsKeys()).To(gomega.BeFalse())
	p := c.peerOf("e2")
	p.incarnation, p.asked, p.askedAt = 2, confirmBit|5, c.now.Add(-100*time.Millisecond)
	p.confirmed(confirmBit | 4)
	g.Expect(c.ownsKeys()).To(gomega.BeFalse(), "the answer belongs to an earlier ping")
	p.confirmed(confirmBit | 5)
	g.Expect(c.ownsKeys()).To(gomega.BeTrue())
	c.now = c.now.Add(400 * time.Millisecond)
	g.Expect(c.ownsKeys()).To(gomega.BeFalse(), "the member can have expelled this entry since")
	p.askedAt, p.incarnation = c.now, 9
	p.confirmed(confirmBit | 5)
	g.Expect(c.ownsKeys()).To(gomega.BeFalse(), "the answer came from another run")
}

// Guards against a false not_run of a key by an entry that began again while it was cut off and knows no document.
func TestMissingDocumentProvesNothingWithoutOwnership(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	c := newOwner(start)
	refused := func(key string) wire.Outcome {
		var answer *wire.Answer
		c.submitted(submission{
			action: wire.ForwardSubmit, job: wire.Job{Service: "bench", Key: key},
			reply: func(r *wire.ForwardReply) { answer = r.Answer },
		})
		g.Expect(answer).NotTo(gomega.BeNil())
		return answer.Outcome
	}
	c.startedAt = start.Add(-coldTime) // requests wait for documents no more
	c.now = start.Add(400 * time.Millisecond)
	g.Expect(refused("k")).To(gomega.Equal(wire.OutcomeNotRun), "the lease excludes an expulsion")
	c.now = start.Add(time.Minute)
	g.Expect(refused("k")).To(gomega.Equal(wire.OutcomeUnknown))
	g.Expect(refused("")).To(gomega.Equal(wire.OutcomeNotRun), "nobody else can have run a job without a key")
}
