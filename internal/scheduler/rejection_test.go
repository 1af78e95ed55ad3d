package scheduler_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// reject reports that the worker of an offer rejects the task as malformed.
func reject(s *scheduler.Scheduler, o scheduler.AgentMessage) {
	s.HandleRunEnd(start, o.Agent, wire.RunEnd{Number: o.Offer.Number, Outcome: wire.RunInvalid, Reason: "malformed"})
	s.Advance(start)
}

// Guards against a job that is refused because of one faulty worker, although all others run its tasks.
func TestTaskThatOneWorkerRejectsGoesElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(16, 16)
	s.Submit(start, newJob("j", 1, queue(0, 2)))
	first, _ := s.TakeOutput()
	reject(s, first[0])
	second, answers := s.TakeOutput()
	g.Expect(answers).To(gomega.BeEmpty())
	g.Expect(second).To(gomega.HaveLen(1))
	g.Expect(second[0].Agent).NotTo(gomega.Equal(first[0].Agent))
	s.HandleRunEnd(start, second[0].Agent, wire.RunEnd{Number: second[0].Offer.Number, Outcome: wire.RunDone, Attempt: 1})
	_, answers = s.TakeOutput()
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.Complete))
}

// Guards against a false refusal: a job of which a task has run is not answered as invalid, even if all workers reject another
// task of it.
func TestRejectedTaskOfAJobThatHasRun(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(16)
	s.Submit(start, newJob("j", 2, queue(0, 2)))
	offers, _ := s.TakeOutput()
	g.Expect(offers).To(gomega.HaveLen(2))
	reject(s, offers[0])
	_, answers := s.TakeOutput()
	g.Expect(answers).To(gomega.BeEmpty(), "whether the other task has started is not known yet")
	s.HandleRunEnd(start, "a", wire.RunEnd{Number: offers[1].Offer.Number, Outcome: wire.RunDone, Attempt: 1})
	_, answers = s.TakeOutput()
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.GivenUp))
}

// Guards against a malformed job that is offered to worker after worker: it is refused once several have rejected a task of it
// and no other task can have started.
func TestJobThatSeveralWorkersRejectIsInvalid(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(2, 2, 2, 2, 2)
	s.Submit(start, newJob("j", 12, queue(0, 2)))
	rejected := 0
	for range 40 {
		offers, answers := s.TakeOutput()
		for _, o := range offers {
			reject(s, o)
			rejected++
		}
		if len(answers) > 0 {
			g.Expect(answers).To(gomega.HaveLen(1))
			g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.Invalid))
			g.Expect(answers[0].Reason).To(gomega.Equal("malformed"))
			g.Expect(rejected).To(gomega.BeNumerically("<=", 30))
			g.Expect(s.OpenJobs()).To(gomega.BeZero())
			g.Expect(s.WaitingTasks()).To(gomega.BeZero())
			return
		}
		s.Advance(start)
	}
	t.Fatal("the job got no answer")
}

// Guards against a rejected job that stays open because its last offer was never sent or its agent is lost.
func TestRejectedJobOfALostAgentIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(2, 2)
	s.Submit(start, newJob("j", 2, queue(0, 2)))
	offers, _ := s.TakeOutput()
	g.Expect(offers).To(gomega.HaveLen(2))
	lost := offers[1].Agent
	s.AgentLost(start, lost, start.Add(time.Second))
	reject(s, offers[0])
	_, answers := s.TakeOutput()
	g.Expect(answers).To(gomega.BeEmpty())
	s.Advance(start.Add(1100 * time.Millisecond))
	_, answers = s.TakeOutput()
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.GivenUp), "the task at the lost agent may have run")
}
