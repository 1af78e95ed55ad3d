package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func queue(priority, attempts int) *catalog.Queue {
	return &catalog.Queue{
		Name: "q", Service: "bench", Priority: priority, MaxAttempts: attempts,
		ObjectiveFactor: 1.6, ObjectiveExtra: 60 * time.Millisecond,
	}
}

func newJob(id string, tasks int, q *catalog.Queue) *scheduler.Job {
	return &scheduler.Job{
		Spec: &job.Job{ID: id, Steps: []job.Step{{
			Tasks: tasks, Needs: job.Resources{MilliCPU: 1600, MemoryMB: 64}, Estimate: 50 * time.Millisecond,
		}}},
		Queue: q, Arrived: start, Deadline: start.Add(2 * time.Second),
	}
}

func load(cores int64) wire.WorkerLoad {
	return wire.WorkerLoad{Open: true, FreeMilliCPU: 1000 * cores, SlownessPermille: 1000}
}

// withAgents returns a scheduler with one agent for each number of cores, named a, b, ...
func withAgents(cores ...int64) *scheduler.Scheduler {
	s := scheduler.New(scheduler.DefaultConfig("dc"))
	for i, n := range cores {
		id := scheduler.AgentID('a' + rune(i))
		s.AgentConnected(start, id, 1, "dc")
		s.SetWorker(start, id, wire.WorkerInfo{Service: "bench", MilliCPU: 1000 * n, MemoryMB: 1 << 16})
		s.ReportLoad(start, id, load(n))
	}
	return s
}

// Guards against entries that all choose the same of several equal workers because they have the same view.
func TestEntriesWithTheSameViewSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	chosen := make(map[scheduler.AgentID]int)
	const entries = 40
	for range entries {
		s := withAgents(16, 16, 16, 16)
		s.Submit(start, newJob("j", 1, queue(0, 2)))
		offers, _ := s.TakeOutput()
		g.Expect(offers).To(gomega.HaveLen(1))
		chosen[offers[0].Agent]++
	}
	for id, n := range chosen {
		g.Expect(n).To(gomega.BeNumerically("<=", entries/2), string(id))
	}
}

// Guards against a crash when the last allowed attempt of a task fails.
func TestJobFailsAfterItsAttempts(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(16, 16)
	s.Submit(start, newJob("j", 2, queue(0, 2)))
	for range 2 {
		offers, answers := s.TakeOutput()
		g.Expect(answers).To(gomega.BeEmpty())
		for _, o := range offers {
			if o.Offer.Index == 0 {
				s.HandleRunEnd(start, o.Agent, wire.RunEnd{Number: o.Offer.Number, Outcome: wire.RunFailed, Attempt: o.Offer.Attempt})
			}
		}
		s.Advance(start)
	}
	offers, answers := s.TakeOutput()
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.Failed))
	g.Expect(offers).To(gomega.HaveLen(1), "the other task is withdrawn")
	g.Expect(offers[0].Offer).To(gomega.BeNil())
	g.Expect(s.OpenJobs()).To(gomega.BeZero())
}

// Guards against a second run on the worker on which the first one failed while another worker could take the task.
func TestFailedTaskGoesElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(16, 16)
	s.Submit(start, newJob("j", 1, queue(0, 3)))
	first, _ := s.TakeOutput()
	s.HandleRunEnd(start, first[0].Agent, wire.RunEnd{Number: first[0].Offer.Number, Outcome: wire.RunFailed, Attempt: 1})
	s.Advance(start)
	second, _ := s.TakeOutput()
	g.Expect(second).To(gomega.HaveLen(1))
	g.Expect(second[0].Agent).NotTo(gomega.Equal(first[0].Agent))
	g.Expect(second[0].Offer.Attempt).To(gomega.BeNumerically(">", first[0].Offer.Attempt))
}

// Guards against a second run of a task whose agent was out of contact for a moment: the first load report on the new link
// arrives before the list of offers that the agent still holds.
func TestResumedAgentKeepsItsTasks(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(16)
	s.Submit(start, newJob("j", 1, queue(0, 2)))
	offers, _ := s.TakeOutput()
	s.AgentLost(start, "a", start.Add(time.Second))
	s.AgentConnected(start, "a", 1, "dc")
	s.ReportLoad(start, "a", load(16))
	s.Advance(start)
	reoffered, _ := s.TakeOutput()
	g.Expect(reoffered).To(gomega.BeEmpty())
	s.ResumeOffer("a", offers[0].Offer.Number)
	s.Advance(start.Add(1100 * time.Millisecond))
	reoffered, _ = s.TakeOutput()
	g.Expect(reoffered).To(gomega.BeEmpty(), "the agent still has the task")
	s.HandleRunEnd(start, "a", wire.RunEnd{Number: offers[0].Offer.Number, Outcome: wire.RunDone, Attempt: 1})
	_, answers := s.TakeOutput()
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.Complete))
}

// Guards against two runs of a task. A paused entry finds a submission, the end of a link and the next link of the same
// agent at once. The offer made for the first link was listed to the agent as outstanding, and the agent reported that
// it did not have it. The offer was then sent on the second link, while the task was also offered to another agent.
func TestOffersThatWereNotSentDieWithTheLink(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(16)
	s.Submit(start, newJob("j", 2, queue(0, 2)))
	s.AgentLost(start, "a", start.Add(time.Second))
	s.AgentConnected(start, "a", 1, "dc")
	g.Expect(s.OutstandingOffers("a")).To(gomega.BeEmpty())
	offers, _ := s.TakeOutput()
	g.Expect(offers).To(gomega.BeEmpty())
	s.ReportLoad(start, "a", load(16))
	s.Advance(start.Add(time.Millisecond))
	offers, _ = s.TakeOutput()
	g.Expect(offers).To(gomega.HaveLen(2), "offers that were never sent need not wait for the end of runs")
}

// Guards against a job that waits until its deadline because of offers that were never sent.
func TestJobWithOffersThatWereNotSentGoesElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(16)
	s.Submit(start, newJob("j", 2, queue(0, 2)))
	s.AgentLost(start, "a", start.Add(time.Second))
	s.Advance(start.Add(300 * time.Millisecond))
	_, answers := s.TakeOutput()
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.Unreachable))
}

// Guards against waiting until the runs of a lost agent process have certainly ended when its successor is already there:
// the successor takes work only after it has seen all previous runs end.
func TestReplacedAgentFreesTheTasks(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(16)
	s.Submit(start, newJob("j", 1, queue(0, 2)))
	s.TakeOutput()
	s.AgentLost(start, "a", start.Add(time.Second))
	s.AgentConnected(start, "a", 2, "dc")
	closed := load(16)
	closed.Open = false
	s.ReportLoad(start, "a", closed)
	s.Advance(start)
	reoffered, _ := s.TakeOutput()
	g.Expect(reoffered).To(gomega.BeEmpty())
	s.ReportLoad(start, "a", load(16))
	s.Advance(start)
	reoffered, _ = s.TakeOutput()
	g.Expect(reoffered).To(gomega.HaveLen(1))
}

// Guards against answering NotRun for a job that may have run at an agent without contact.
func TestJobOfALostAgentIsNotRefusedAsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(16)
	s.Submit(start, newJob("j", 1, queue(0, 2)))
	s.TakeOutput()
	s.AgentLost(start, "a", start.Add(time.Second))
	s.Advance(start.Add(1100 * time.Millisecond))
	s.Advance(start.Add(3 * time.Second))
	_, answers := s.TakeOutput()
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.GivenUp))
}

// Guards against answering NotRun for a job of which an agent has reported a stopped run.
func TestJobThatBeganIsNotRefusedAsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(16)
	s.Submit(start, newJob("j", 1, queue(0, 2)))
	offers, _ := s.TakeOutput()
	s.HandleRunEnd(start, "a", wire.RunEnd{Number: offers[0].Offer.Number, Outcome: wire.RunStopped})
	s.AgentLost(start, "a", start)
	s.Advance(start.Add(3 * time.Second))
	_, answers := s.TakeOutput()
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.GivenUp))
}

// Guards against an answer that leaves open whether a task of the job has run although none has.
func TestJobWithoutCapacityIsRefusedAsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(1)
	s.Submit(start, newJob("j", 1, queue(0, 2)))
	s.Advance(start.Add(3 * time.Second))
	_, answers := s.TakeOutput()
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.NotRun))
	g.Expect(answers[0].RetryAfter).To(gomega.BeNumerically(">", 0))
}

// Guards against a job that waits until its deadline at an entry that is cut off from all agents.
func TestJobAtAnEntryWithoutAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents()
	s.Submit(start, newJob("j", 1, queue(0, 2)))
	s.Advance(start.Add(200 * time.Millisecond))
	_, answers := s.TakeOutput()
	g.Expect(answers).To(gomega.BeEmpty(), "agents can still arrive")
	s.Advance(start.Add(300 * time.Millisecond))
	_, answers = s.TakeOutput()
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.Unreachable))
}

// Guards against a second run when an entry that was paused takes a link of a previous agent process after a link of the
// present one: the buffered load report of the previous process does not cover the offers of the present one.
func TestFormerAgentProcessFreesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents()
	present, previous := load(16), load(16)
	present.Fence, previous.Fence = 2, 1
	s.AgentConnected(start, "a", 2, "dc")
	s.SetWorker(start, "a", wire.WorkerInfo{Service: "bench", MilliCPU: 16000, MemoryMB: 1 << 16})
	s.ReportLoad(start, "a", present)
	s.Submit(start, newJob("j", 1, queue(0, 2)))
	offers, _ := s.TakeOutput()
	g.Expect(offers).To(gomega.HaveLen(1))
	runsEndedAt := start.Add(time.Second)
	s.AgentLost(start, "a", runsEndedAt)
	s.AgentConnected(start, "a", 1, "dc")
	g.Expect(s.ReportLoad(start, "a", previous)).To(gomega.BeFalse())
	s.Advance(start)
	s.AgentLost(start, "a", runsEndedAt)
	s.AgentConnected(start, "a", 2, "dc")
	g.Expect(s.OutstandingOffers("a")).To(gomega.Equal([]uint64{offers[0].Offer.Number}), "the offer is listed to the present process")
	s.ReportLoad(start, "a", present)
	s.Advance(start)
	reoffered, _ := s.TakeOutput()
	g.Expect(reoffered).To(gomega.BeEmpty(), "the present process still has the task")
}

// Guards against jobs that are already late and delay jobs that arrive for the first time: after an outage the callers
// submit their jobs again, with the rest of the time for which they wait.
func TestResubmittedJobsComeAfterFreshOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(2) // capacity for one task
	q := queue(0, 2)
	q.Timeout = 1500 * time.Millisecond
	s.Submit(start, newJob("first", 1, q))
	offers, _ := s.TakeOutput()
	g.Expect(offers).To(gomega.HaveLen(1))
	resubmitted := newJob("resubmitted", 1, q)
	resubmitted.Deadline = start.Add(600 * time.Millisecond)
	s.Submit(start, resubmitted)
	s.Submit(start.Add(time.Millisecond), newJob("fresh", 1, q))
	none, _ := s.TakeOutput()
	g.Expect(none).To(gomega.BeEmpty())
	end := start.Add(30 * time.Millisecond)
	s.HandleRunEnd(end, "a", wire.RunEnd{Number: offers[0].Offer.Number, Outcome: wire.RunDone, Attempt: 1})
	free := load(2)
	free.Seen = offers[0].Offer.Number
	s.ReportLoad(end, "a", free)
	s.Advance(end)
	offers, _ = s.TakeOutput()
	g.Expect(offers).To(gomega.HaveLen(1))
	g.Expect(offers[0].Offer.Job).To(gomega.Equal("fresh"))
}

// Guards against treating jobs as resubmitted when all callers of a queue wait for less than its timeout, as after a change
// of the timeout.
func TestShortWaitsOfAllCallersAreNotResubmissions(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(2)
	usual, other := queue(0, 2), queue(1, 2)
	usual.Timeout, other.Name = 5*time.Second, "other"
	for i := range 100 {
		s.Submit(start, newJob(fmt.Sprint(i), 1, usual))
	}
	s.GiveUpAll("clear the jobs")
	s.TakeOutput()
	full := load(0)
	full.Seen, full.RemainingMillis = 1, 1000
	s.ReportLoad(start, "a", full)
	s.Submit(start, newJob("less urgent", 1, other))
	s.Submit(start, newJob("urgent", 1, usual))
	free := load(2)
	free.Seen, free.RemainingMillis = 1, 1000
	s.ReportLoad(start, "a", free)
	s.Advance(start)
	offers, _ := s.TakeOutput()
	g.Expect(offers).To(gomega.HaveLen(1))
	g.Expect(offers[0].Offer.Job).To(gomega.Equal("urgent"))
}

// Guards against a pass over a long backlog at each load report of each agent: this exceeds the CPU of a small entry, which
// then loses its links and all runs.
func TestPassesOverALongBacklogArePaced(t *testing.T) {
	g := gomega.NewWithT(t)
	s := withAgents(2, 2)
	full, free := load(0), load(2)
	full.RemainingMillis, free.RemainingMillis = 1000, 1000
	for _, id := range []scheduler.AgentID{"a", "b"} {
		s.ReportLoad(start, id, full)
	}
	for i := range 60 {
		s.Submit(start, newJob(fmt.Sprint(i), 1, queue(0, 2)))
	}
	s.Advance(start.Add(10 * time.Millisecond))
	s.ReportLoad(start, "a", free)
	s.Advance(start.Add(11 * time.Millisecond))
	offers, _ := s.TakeOutput()
	g.Expect(offers).To(gomega.BeEmpty())
	s.ReportLoad(start, "b", free)
	s.Advance(start.Add(14 * time.Millisecond))
	offers, _ = s.TakeOutput()
	g.Expect(offers).To(gomega.HaveLen(2), "one pass uses the free capacity of both reports")
}

// withEqualAgents returns a scheduler with n agents of 16 cores each.
func withEqualAgents(n int) *scheduler.Scheduler {
	cores := make([]int64, n)
	for i := range cores {
		cores[i] = 16
	}
	return withAgents(cores...)
}

// Measures a job of four tasks from its submission to its answer, for several numbers of agents.
func BenchmarkJob(b *testing.B) {
	for _, agents := range []int{11, 61, 730} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			s := withEqualAgents(agents)
			for i := range b.N {
				now := start.Add(time.Duration(i) * time.Millisecond)
				j := newJob(fmt.Sprint(i), 4, queue(0, 2))
				j.Arrived, j.Deadline = now, now.Add(2*time.Second)
				s.Submit(now, j)
				offers, _ := s.TakeOutput()
				for _, o := range offers {
					s.HandleRunEnd(now, o.Agent, wire.RunEnd{Number: o.Offer.Number, Outcome: wire.RunDone, Attempt: 1})
				}
				s.TakeOutput()
			}
		})
	}
}

// Measures a load report while 300 jobs wait and no agent has free capacity.
func BenchmarkBacklog(b *testing.B) {
	s := withEqualAgents(61)
	full := load(0)
	full.RemainingMillis = 1000
	for i := range 61 {
		s.ReportLoad(start, scheduler.AgentID('a'+rune(i)), full)
	}
	for i := range 300 {
		j := newJob(fmt.Sprint(i), 1, queue(0, 2))
		j.Spec.Steps[0].Needs.MilliCPU += int64(i)
		j.Deadline = start.Add(time.Hour)
		s.Submit(start, j)
	}
	now := start
	for i := range b.N {
		now = now.Add(time.Millisecond) // about the rate at which 61 agents report
		s.ReportLoad(now, scheduler.AgentID('a'+rune(i%61)), full)
		s.Advance(now)
	}
}

// Guards against the last attempt of a task at a worker on probation, which fails everything more often than not.
func TestFailedTaskDoesNotGoToAWorkerOnProbation(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 20 { // the choice among the workers is random
		s := withAgents(16, 16, 16)
		onProbation := load(16)
		onProbation.Trial = true
		s.ReportLoad(start, "b", onProbation)
		s.ReportLoad(start, "c", wire.WorkerLoad{Open: true, FreeMilliCPU: -1000, RemainingMillis: 5, SlownessPermille: 1000})
		s.Submit(start, newJob("j", 1, queue(0, 2)))
		offers, _ := s.TakeOutput()
		g.Expect(offers).To(gomega.HaveLen(1))
		if offers[0].Agent != "a" {
			continue
		}
		s.HandleRunEnd(start, "a", wire.RunEnd{Number: offers[0].Offer.Number, Outcome: wire.RunFailed, Attempt: 1})
		s.Advance(start)
		offers, _ = s.TakeOutput()
		g.Expect(offers).To(gomega.HaveLen(1))
		g.Expect(offers[0].Agent).To(gomega.Equal(scheduler.AgentID("c")), "the only sound worker that has not failed the task")
	}
}
