package agent_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/agent"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/upstream"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// withLongStopTimeout sets a stop timeout that a shutdown does not reach.
func withLongStopTimeout(o *agent.Options) { o.StopTimeout = 20 * time.Second }

// Guards against requests that are lost in a graceful shutdown under load. Every start that is sent until the agent exits
// must get its answer or a refusal, and none may run after the first one that was refused because of the shutdown.
func TestDrainUnderLoadLosesNoRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	entries := []*testEntry{newTestEntry(t, "e1"), newTestEntry(t, "e2")}
	a := runAgent(t, u.URL(), entries, withLongStopTimeout)
	sent := make([]uint64, len(entries))
	for _, e := range entries {
		e.waitLinked()
	}
	const startsBeforeStop, startsAfterStop = 60, 100
	for i := range uint64(startsBeforeStop + startsAfterStop) {
		if i == startsBeforeStop {
			a.stop()
		}
		for n, e := range entries {
			if links := e.openLinks(); len(links) > 0 && links[0].Send(e.newStart(i+1, withWork(30))) == nil {
				sent[n]++
			}
		}
		time.Sleep(4 * time.Millisecond)
	}
	select {
	case err := <-a.ended:
		g.Expect(err).NotTo(gomega.HaveOccurred())
	case <-time.After(10 * time.Second):
		t.Fatal("the shutdown did not end")
	}
	done := 0
	for n, e := range entries {
		g.Expect(sent[n]).To(gomega.BeEquivalentTo(startsBeforeStop+startsAfterStop), "the link stays open until all starts are sent")
		refusedAsLeaving := false
		for attempt := uint64(1); attempt <= sent[n]; attempt++ {
			r := e.waitResult(attempt)
			g.Expect(r.State).To(gomega.BeElementOf(wire.AttemptDone, wire.AttemptRefused))
			g.Expect(r.Reason).To(gomega.BeElementOf(wire.RefusedNone, wire.RefusedBusy, wire.RefusedLeaving))
			refusedAsLeaving = refusedAsLeaving || r.Reason == wire.RefusedLeaving
			if r.State == wire.AttemptDone {
				g.Expect(refusedAsLeaving).To(gomega.BeFalse(), "no start runs after the first refusal because of the shutdown")
				done++
			}
		}
		g.Expect(refusedAsLeaving).To(gomega.BeTrue())
		g.Expect(receivedMessages[*wire.Leaving](e)).NotTo(gomega.BeEmpty())
	}
	c := u.Counters()
	g.Expect(c.Answered).To(gomega.BeEquivalentTo(done))
	g.Expect(c.Starts).To(gomega.Equal(c.Answered))
}

// Guards against an agent that exits before an answer has reached an entry whose link was closed during the shutdown.
func TestDrainDeliversOverANewLink(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntryAt(t, "e1", dedicatedHost)
	gate := newGatedClient(t, u.URL())
	a := runAgent(t, u.URL(), []*testEntry{e}, withLongStopTimeout, gate.installInto)
	e.send(e.newStart(1, func(s *wire.Start) { s.BudgetMillis = 30_000 }))
	g.Eventually(func() uint64 { return u.Counters().Starts }, 5*time.Second, time.Millisecond).Should(gomega.BeEquivalentTo(1))
	e.close()
	a.stop()
	time.Sleep(900 * time.Millisecond) // longer than an agent without open attempts keeps running
	gate.open()
	g.Eventually(func() uint64 { return u.Counters().Answered }, 5*time.Second).Should(gomega.BeEquivalentTo(1))
	time.Sleep(700 * time.Millisecond) // longer than an agent keeps running when all results are confirmed
	e.listen(e.address)
	e.send(&wire.Query{Attempts: []uint64{1}})
	g.Expect(e.waitResult(1).State).To(gomega.Equal(wire.AttemptDone))
	g.Expect(e.receivedHellos()[1].Leaving).To(gomega.BeTrue())
	g.Expect(<-a.ended).To(gomega.Succeed())
}

// Guards against a shutdown that waits for a hanging upstream beyond the stop timeout.
func TestStopTimeoutBoundsTheDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{Hang: true})
	e := newTestEntry(t, "e1")
	a := runAgent(t, u.URL(), []*testEntry{e}, func(o *agent.Options) { o.StopTimeout = 300 * time.Millisecond })
	e.send(e.newStart(1, func(s *wire.Start) { s.BudgetMillis = 60_000 }))
	g.Eventually(func() uint64 { return u.Counters().Starts }, 5*time.Second, time.Millisecond).Should(gomega.BeEquivalentTo(1))
	a.stop()
	select {
	case err := <-a.ended:
		g.Expect(err).To(gomega.MatchError(agent.ErrStopTimeout))
	case <-time.After(8 * time.Second):
		t.Fatal("the shutdown did not end")
	}
}
