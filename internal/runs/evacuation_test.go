package runs_test

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

func offer(number uint64, name string, milliCPU int64) wire.Offer {
	return wire.Offer{Number: number, Job: name, Service: "bench", MilliCPU: milliCPU, BudgetMillis: 60_000}
}

// Guards against starts and lost tasks when an evacuation begins while a task waits, another one runs, and a third one was
// decided to start but not yet sent.
func TestEvacuationReturnsWhatHasNotStarted(t *testing.T) {
	g := gomega.NewWithT(t)
	table, w, now := newTable(g, 10)
	table.HandleSnapshot(now, now, w.snapshot(0))
	table.AddOffer(now, 1, offer(1, "runs", 4))
	commands, _ := table.TakeOutput()
	g.Expect(w.start(commands[0].Ref, 4)).To(gomega.Succeed())
	table.HandleStartResult(now, commands[0].Ref, nil)
	table.AddOffer(now, 1, offer(2, "not sent", 4))
	table.AddOffer(now, 1, offer(3, "waits", 4))
	table.SetEvacuated(now, true)
	table.AddOffer(now, 1, offer(4, "late", 4))
	commands, events := table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty())
	ends := map[uint64]wire.RunEnd{}
	for _, e := range events {
		if e.End != nil {
			ends[e.End.Number] = *e.End
		}
	}
	g.Expect(ends).To(gomega.HaveLen(3))
	for _, end := range ends {
		g.Expect(end.Outcome).To(gomega.Equal(wire.RunNotStarted))
		g.Expect(end.Reason).To(gomega.Equal("the data centre is evacuated"))
	}
	g.Expect(table.Load(now).Closed).To(gomega.Equal("the data centre is evacuated"))
	g.Expect(table.HasOffer(1, 1)).To(gomega.BeTrue(), "the run goes on")
	table.SetEvacuated(now, false)
	g.Expect(table.Load(now).Open).To(gomega.BeTrue())
}

// Guards against a second start, during the evacuation, of a task whose first start got no answer and was not carried out.
func TestUnansweredStartIsNotRepeatedDuringAnEvacuation(t *testing.T) {
	g := gomega.NewWithT(t)
	table, w, now := newTable(g, 10)
	table.HandleSnapshot(now, now, w.snapshot(0))
	table.AddOffer(now, 1, offer(1, "a", 4))
	commands, _ := table.TakeOutput()
	table.SetEvacuated(now, true)
	table.HandleStartResult(now, commands[0].Ref, errors.New("no answer"))
	commands, _ = table.TakeOutput()
	g.Expect(commands).To(gomega.HaveLen(1))
	g.Expect(commands[0].Stop).To(gomega.BeTrue(), "the start may still be carried out")
	table.HandleStopResult(now, commands[0].Ref, nil)
	now = now.Add(50 * time.Millisecond)
	table.HandleSnapshot(now, now, w.snapshot(0))
	commands, events := table.TakeOutput()
	g.Expect(commands).To(gomega.BeEmpty())
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(events[0].End.Outcome).To(gomega.Equal(wire.RunNotStarted))
}

// Guards against a herd after an evacuation: entries fill a worker up to its whole capacity at once although it is still cold.
func TestCapacityReturnsOverTheColdTime(t *testing.T) {
	for _, c := range []struct {
		name       string
		cold, full time.Duration
	}{
		{"warm worker", 0, 250 * time.Millisecond},
		{"cold worker", 4 * time.Second, 4 * time.Second},
		{"absurd cold time", 1000 * time.Hour, 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table, w, now := newTable(g, 1000)
			table.HandleSnapshot(now, now, w.snapshot(0))
			g.Expect(table.SetWorker(now, runs.Announcement{
				ID: "w", StartedMillis: 1, Sequence: 2, Service: "bench", Capacity: job.Resources{MilliCPU: 1000}, ColdRemaining: c.cold,
			})).To(gomega.BeTrue())
			g.Expect(table.Load(now).FreeMilliCPU).To(gomega.BeEquivalentTo(1000), "without an evacuation a cold worker is used as before")
			table.SetEvacuated(now, true)
			table.SetEvacuated(now, false)
			g.Expect(table.Load(now).FreeMilliCPU).To(gomega.BeEquivalentTo(250))
			table.AddOffer(now, 1, offer(1, "large", 600))
			table.AddOffer(now, 1, offer(2, "small", 100))
			commands, _ := table.TakeOutput()
			g.Expect(commands).To(gomega.HaveLen(1), "one task of any size may start, no second one beside it")
			half := now.Add(c.full / 2)
			g.Expect(table.Load(half).FreeMilliCPU).To(gomega.BeEquivalentTo(625 - 700))
			table.Advance(now.Add(c.full * 7 / 10))
			commands, _ = table.TakeOutput()
			g.Expect(commands).To(gomega.HaveLen(1))
			g.Expect(table.Returning(now.Add(c.full - time.Millisecond))).To(gomega.BeTrue())
			g.Expect(table.Returning(now.Add(c.full))).To(gomega.BeFalse())
			g.Expect(table.Load(now.Add(c.full)).FreeMilliCPU).To(gomega.BeEquivalentTo(300))
		})
	}
}
