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

// newOwner returns the control state of entry e1, which is a member together with e2 and whose lease was renewed at start.
func newOwner(start time.Time) *control {
	options := Options{
		ID: "e1", LeaseTTL: 2 * time.Second, ExpulsionDelay: time.Second, Clock: clock.NewFake(start), Log: log.Log,
	}
	e := &Entry{options: options.withDefaults(), log: log.Log, incarnation: 1}
	c := newControl(e)
	c.list = wire.EntryList{Version: 3, Members: []wire.Member{
		{ID: "e1", Incarnation: 1, State: wire.MemberActive}, {ID: "e2", Incarnation: 2, State: wire.MemberActive},
	}}
	e.lease.recordRenewal("lease", start)
	c.recordOwnLease(&snapshot{list: &c.list, leases: ownLease(c, "lease")})
	return c
}

// ownLease returns the leases of a snapshot that shows the entry with this lease.
func ownLease(c *control, id store.LeaseID) map[string]store.LeaseID {
	return map[string]store.LeaseID{leaseKey(c.self()): id}
}

// Guards against the answer not_run from an entry that may have been expelled while it was paused or disconnected.
func TestLeaseProvesOwnershipUntilAnExpulsionIsPossible(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	c := newOwner(start)
	c.now = start.Add(490 * time.Millisecond)
	g.Expect(c.provesOwnership()).To(gomega.BeTrue(), "a lease that another member ended at once is gone for less than half the delay")
	c.now = start.Add(500 * time.Millisecond)
	g.Expect(c.provesOwnership()).To(gomega.BeFalse())
	refusal := &wire.Answer{Outcome: wire.OutcomeNotRun, Reason: wire.ReasonDeadline}
	g.Expect(c.downgradeUnprovenNotRun(refusal).Outcome).To(gomega.Equal(wire.OutcomeUnknown))

	// A new lease proves nothing until the store shows it together with the membership.
	c.entry.lease.recordRenewal("next", c.now)
	g.Expect(c.provesOwnership()).To(gomega.BeFalse())
	c.recordOwnLease(&snapshot{list: &wire.EntryList{Version: 4}, leases: ownLease(c, "next")})
	g.Expect(c.provesOwnership()).To(gomega.BeFalse(), "the store shows a list without this entry")
	c.recordOwnLease(&snapshot{list: &c.list, leases: ownLease(c, "next")})
	g.Expect(c.provesOwnership()).To(gomega.BeFalse(), "a member whose snapshots are late can still count the absence of the previous lease")
	c.now = c.now.Add(c.maxSnapshotGap())
	c.entry.lease.recordRenewal("next", c.now)
	g.Expect(c.provesOwnership()).To(gomega.BeTrue())
	g.Expect(c.downgradeUnprovenNotRun(refusal)).To(gomega.BeIdenticalTo(refusal))
}

// Guards against answers not_run that become unknown for the whole of an outage of the store, and against a proof by links
// that is older than half the expulsion delay or comes from another run of a member.
func TestLinksProveOwnershipWithoutTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	c := newOwner(start)
	c.now = start.Add(time.Minute)
	g.Expect(c.provesOwnership()).To(gomega.BeFalse())
	p := c.peerOf("e2")
	p.incarnation, p.confirmationSequence, p.confirmationSentAt = 2, confirmationBit|5, c.now.Add(-100*time.Millisecond)
	p.recordConfirmation(confirmationBit | 4)
	g.Expect(c.provesOwnership()).To(gomega.BeFalse(), "the answer belongs to an earlier ping")
	p.recordConfirmation(confirmationBit | 5)
	g.Expect(c.provesOwnership()).To(gomega.BeTrue())
	c.now = c.now.Add(400 * time.Millisecond)
	g.Expect(c.provesOwnership()).To(gomega.BeFalse(), "the member can have expelled this entry since")
	p.confirmationSentAt, p.incarnation = c.now, 9
	p.recordConfirmation(confirmationBit | 5)
	g.Expect(c.provesOwnership()).To(gomega.BeFalse(), "the answer came from another run")
}

// Guards against a false not_run for a key from an entry that restarted while it was disconnected and has no documents.
func TestMissingDocumentMeansNotRunOnlyWithProvenOwnership(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	c := newOwner(start)
	outcomeOf := func(key string) wire.Outcome {
		var answer *wire.Answer
		c.handleCallerRequest(submission{
			action: wire.ForwardSubmit, job: wire.Job{Service: "bench", Key: key},
			reply: func(r *wire.ForwardReply) { answer = r.Answer },
		})
		g.Expect(answer).NotTo(gomega.BeNil())
		return answer.Outcome
	}
	c.startedAt = start.Add(-warmUpTime) // requests no longer wait for documents
	c.now = start.Add(400 * time.Millisecond)
	g.Expect(outcomeOf("k")).To(gomega.Equal(wire.OutcomeNotRun), "the lease excludes an expulsion")
	c.now = start.Add(time.Minute)
	g.Expect(outcomeOf("k")).To(gomega.Equal(wire.OutcomeUnknown))
	g.Expect(outcomeOf("")).To(gomega.Equal(wire.OutcomeNotRun), "no other entry can have run a job without a key")
}
