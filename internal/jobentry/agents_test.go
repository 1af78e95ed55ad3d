package jobentry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const testAgent = scheduler.AgentID("agent-1")

// newControlWithAgent returns the control state of an entry with one agent that was heard at a time.
func newControlWithAgent(now time.Time) (*control, *agentConn) {
	e := &Entry{
		options: Options{ID: "entry-1", Log: &log.Logger{Handler: discard.Default}, Clock: clock.Boot{}, Metrics: NewMetrics()},
		events:  make(chan event, 1), done: make(chan struct{}),
	}
	c := newControl(e)
	a := &agentConn{id: testAgent, incarnation: 1, lastReceivedAt: now, lastReceivedMicros: clock.BootMicros(now)}
	c.agents[testAgent] = a
	c.scheduler.AgentConnected(now, testAgent, 1, "dc")
	c.scheduler.SetWorker(now, testAgent, wire.WorkerInfo{Service: "bench", MilliCPU: 16000, MemoryMB: 1 << 16})
	c.scheduler.ReportLoad(now, testAgent, wire.WorkerLoad{Open: true, FreeMilliCPU: 16000, SlownessPermille: 1000})
	return c, a
}

func submitTask(c *control, now time.Time, id string) {
	c.scheduler.Submit(now, &scheduler.Job{
		Spec:  &job.Job{ID: id, Steps: []job.Step{{Tasks: 1, Needs: job.Resources{MilliCPU: 1000}, Estimate: 50 * time.Millisecond}}},
		Queue: &catalog.Queue{Name: "q", Service: "bench", ObjectiveFactor: 1.6}, Arrived: now, Deadline: now.Add(2 * time.Second),
	})
}

// Guards against a second run of a task beside the first one: the agent measures the silence of the entry from the first
// offer on an idle link, so the entry must not count the runs as ended earlier than that allows.
func TestRunsOfAnOfferAfterAnIdleTimeEndLater(t *testing.T) {
	g := gomega.NewWithT(t)
	heard := time.Unix(1000, 0)
	c, a := newControlWithAgent(heard)
	offered := heard.Add(150 * time.Millisecond)
	submitTask(c, offered, "j")
	offers, _ := c.scheduler.TakeOutput()
	g.Expect(offers).To(gomega.HaveLen(1))
	a.pending.Offers = append(a.pending.Offers, *offers[0].Offer)
	c.sendOffers(offered, a)
	g.Expect(a.busy).To(gomega.BeTrue())
	g.Expect(a.idleEndedAt).To(gomega.Equal(offered))

	g.Expect(a.isSilent(offered.Add(runs.OwnerTimeout-time.Millisecond), runs.HeartbeatInterval)).To(gomega.BeFalse())
	g.Expect(a.isSilent(offered.Add(runs.OwnerTimeout), runs.HeartbeatInterval)).To(gomega.BeTrue())
	lost := offered.Add(runs.OwnerTimeout)
	c.reportAgentLost(lost, a, "the agent is silent")
	for at := lost; at.Before(offered.Add(runs.RunsEndedAfter)); at = at.Add(10 * time.Millisecond) {
		c.scheduler.Advance(at)
		g.Expect(c.scheduler.WaitingTasks()).To(gomega.BeZero(), "a run may be left %v after the offer", at.Sub(offered))
	}
	c.scheduler.Advance(offered.Add(runs.RunsEndedAfter + 20*time.Millisecond))
	g.Expect(c.scheduler.WaitingTasks()).To(gomega.Equal(1))
}

// Guards against a later end of the silence with each offer: only the first offer after an idle time starts it anew, else an
// entry that does not hear an agent could keep its runs alive.
func TestFurtherOffersDoNotExtendTheSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	c, a := newControlWithAgent(now)
	for i, id := range []string{"j", "k"} {
		at := now.Add(time.Duration(i) * 50 * time.Millisecond)
		submitTask(c, at, id)
		offers, _ := c.scheduler.TakeOutput()
		a.pending.Offers = append(a.pending.Offers, *offers[0].Offer)
		c.sendOffers(at, a)
	}
	g.Expect(a.idleEndedAt).To(gomega.Equal(now))
}

// Guards against idle links that are closed between two heartbeats, which are as rare as the number of agents requires.
func TestIdleLinkIsNotSilentBetweenHeartbeats(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	_, a := newControlWithAgent(now)
	interval := runs.IdleHeartbeatInterval(160)
	g.Expect(a.isSilent(now.Add(2*interval), interval)).To(gomega.BeFalse())
	g.Expect(a.isSilent(now.Add(runs.IdleTimeout(interval)), interval)).To(gomega.BeTrue())
}

// Guards against one message with the payloads of many tasks, which delays what is sent to the agent behind it, and against
// a part that is lost, repeated or begins the idle time anew.
func TestLargeOffersAreSplit(t *testing.T) {
	g := gomega.NewWithT(t)
	m := wire.Offers{SentMicros: 5, LastReceivedMicros: 4, EndsIdle: true, Withdraw: []uint64{1}}
	for i := range 140 {
		m.Offers = append(m.Offers, wire.Offer{Number: uint64(i), Job: "j", Payload: strings.Repeat("x", job.MaxPayload), Service: "bench"})
	}
	next := uint64(0)
	for i, part := range splitOffers(m) {
		frame, err := wire.Encode(&part)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(len(frame)).To(gomega.BeNumerically("<=", maxMessageBytes+1024))
		g.Expect(part.EndsIdle).To(gomega.Equal(i == 0))
		g.Expect(part.Withdraw).To(gomega.HaveLen(max(0, 1-i)))
		g.Expect(part.SentMicros).To(gomega.BeEquivalentTo(5))
		for _, o := range part.Offers {
			g.Expect(o.Number).To(gomega.Equal(next))
			next++
		}
	}
	g.Expect(next).To(gomega.BeEquivalentTo(140))
	g.Expect(splitOffers(wire.Offers{Withdraw: []uint64{1}})).To(gomega.HaveLen(1))
}

// Guards against a message of any size because another client has written many addresses to the store, and against the loss of
// the addresses in the settings.
func TestAddressesFitIntoOneMessage(t *testing.T) {
	g := gomega.NewWithT(t)
	announced := []string{"10.0.0.1:1"}
	for i := range 5000 {
		announced = append(announced, fmt.Sprintf("10.1.%d.%d:20000", i/250, i%250))
	}
	merged := mergeAddresses([]string{"10.0.0.1:1", "10.0.0.2:1"}, announced)
	g.Expect(merged[:2]).To(gomega.Equal([]string{"10.0.0.1:1", "10.0.0.2:1"}))
	frame, err := wire.Encode(&wire.EntryAddresses{Addresses: merged})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(frame)).To(gomega.BeNumerically("<=", maxMessageBytes+64))
	g.Expect(merged).To(gomega.HaveLen(len(slices.Compact(slices.Sorted(slices.Values(merged))))))
}
