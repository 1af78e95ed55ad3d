package scheduler_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// withDataCentres returns a scheduler with one agent in each of the data centres.
func withDataCentres(names ...string) *scheduler.Scheduler {
	s := scheduler.New(scheduler.DefaultConfig(names[0]))
	s.SetDataCentres(names)
	for _, name := range names {
		s.AgentConnected(start, scheduler.AgentID(name), 1, name)
		s.SetWorker(start, scheduler.AgentID(name), wire.WorkerInfo{Service: "bench", MilliCPU: 16000, MemoryMB: 1 << 16})
		s.ReportLoad(start, scheduler.AgentID(name), load(16))
	}
	return s
}

// Guards against offers to an evacuated data centre before its agents have reported themselves closed.
func TestNoOfferToAnEvacuatedDataCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withDataCentres("a", "b", "c")
	s.SetEvacuated([]string{"a", "c"})
	for _, id := range []string{"j", "k"} {
		s.Submit(start, newJob(id, 4, queue(0, 2)))
	}
	offers, _ := s.TakeOutput()
	g.Expect(offers).To(gomega.HaveLen(8))
	for _, o := range offers {
		g.Expect(o.Agent).To(gomega.BeEquivalentTo("b"))
	}
	g.Expect(s.AvailableAgents("bench")).To(gomega.Equal(1))
	g.Expect(s.AllEvacuated()).To(gomega.BeFalse())
	s.SetEvacuated(nil)
	g.Expect(s.AvailableAgents("bench")).To(gomega.Equal(3))
}

// refusalOf submits a job and returns its answer 300 ms later, nil if there is none.
func refusalOf(s *scheduler.Scheduler) *scheduler.Answer {
	s.Submit(start, newJob("j", 1, queue(0, 2)))
	s.Advance(start.Add(300 * time.Millisecond))
	_, answers := s.TakeOutput()
	if len(answers) == 0 {
		return nil
	}
	return &answers[0]
}

// Guards against a job that waits for its deadline, or is sent to another entry, although every data centre is evacuated; and
// against the refusal for 10 s of a job that another entry can run, by one that is cut off from the only data centre left.
func TestJobsAreRefusedWhileAllDataCentresAreEvacuated(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withDataCentres("a", "b")
	s.SetEvacuated([]string{"a", "b"})
	g.Expect(s.AllEvacuated()).To(gomega.BeTrue())
	answer := refusalOf(s)
	g.Expect(answer.Outcome).To(gomega.Equal(scheduler.NotRun))
	g.Expect(answer.RetryAfter).To(gomega.Equal(10 * time.Second))

	s = withDataCentres("a", "b")
	s.SetEvacuated([]string{"b"})
	s.AgentLost(start, "a", start)
	s.ForgetAgent("a")
	g.Expect(s.AllEvacuated()).To(gomega.BeFalse())
	g.Expect(refusalOf(s).Outcome).To(gomega.Equal(scheduler.Unreachable))
}

// Guards against an untrue refusal of a job of which a part has run or may still run.
func TestJobThatMayHaveRunIsNotRefused(t *testing.T) {
	for _, outcome := range []wire.RunOutcome{wire.RunNotStarted, wire.RunStopped} {
		g := gomega.NewWithT(t)
		s := withDataCentres("a")
		s.Submit(start, newJob("j", 1, queue(0, 2)))
		offers, _ := s.TakeOutput()
		s.SetEvacuated([]string{"a"})
		now := start.Add(300 * time.Millisecond)
		s.Advance(now)
		_, answers := s.TakeOutput()
		g.Expect(answers).To(gomega.BeEmpty(), "the agent may still start the task")
		s.HandleRunEnd(now, "a", wire.RunEnd{Number: offers[0].Offer.Number, Outcome: outcome})
		s.Advance(now.Add(20 * time.Millisecond))
		_, answers = s.TakeOutput()
		if outcome == wire.RunNotStarted {
			g.Expect(answers).To(gomega.HaveLen(1))
			g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.NotRun))
			continue
		}
		g.Expect(answers).To(gomega.BeEmpty())
		s.Advance(start.Add(3 * time.Second))
		_, answers = s.TakeOutput()
		g.Expect(answers).To(gomega.HaveLen(1))
		g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.GivenUp))
	}
}
