package scheduler_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// newDenseJob returns a job with one task in each step, where each step waits for all earlier ones.
func newDenseJob(id string, steps int) *scheduler.Job {
	j := newJob(id, 1, queue(0, 2))
	template := j.Spec.Steps[0]
	j.Spec.Steps = nil
	for i := range steps {
		step := template
		for earlier := range i {
			step.After = append(step.After, earlier)
		}
		j.Spec.Steps = append(j.Spec.Steps, step)
	}
	return j
}

// runToEnd submits a job and reports each of its tasks as done, until it has an answer or no task is offered. It returns the
// steps of the tasks in the order in which they were offered, and the answers.
func runToEnd(s *scheduler.Scheduler, j *scheduler.Job) (steps []int, answers []scheduler.Answer) {
	s.Submit(start, j)
	for {
		s.Advance(start)
		offers, ended := s.TakeOutput()
		answers = append(answers, ended...)
		if len(offers) == 0 {
			return steps, answers
		}
		for _, o := range offers {
			steps = append(steps, o.Offer.Step)
			s.HandleRunEnd(start, o.Agent, wire.RunEnd{Number: o.Offer.Number, Outcome: wire.RunDone, Attempt: o.Offer.Attempt})
		}
	}
}

// Guards against an entry that hangs on one small job: the number of paths through steps that each wait for all earlier ones
// doubles with every step.
func TestJobWithDenseDependenciesIsScheduledAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	const limit = 5 * time.Second // far above the milliseconds that it takes, also with the race detector
	done := make(chan []scheduler.Answer, 1)
	var steps []int
	go func() {
		var answers []scheduler.Answer
		steps, answers = runToEnd(withAgents(16), newDenseJob("j", job.MaxSteps))
		done <- answers
	}()
	var answers []scheduler.Answer
	g.Eventually(done).WithTimeout(limit).Should(gomega.Receive(&answers))
	g.Expect(answers).To(gomega.HaveLen(1))
	g.Expect(answers[0].Outcome).To(gomega.Equal(scheduler.Complete))
	g.Expect(steps).To(gomega.HaveLen(job.MaxSteps))
	for i, step := range steps {
		g.Expect(step).To(gomega.Equal(i))
	}
}

// longestChain returns the longest sum of estimates along a chain of steps that starts with a step, by trying all chains.
func longestChain(steps []job.Step, from int) time.Duration {
	longest := time.Duration(0)
	for i := from + 1; i < len(steps); i++ {
		for _, dependency := range steps[i].After {
			if dependency == from {
				longest = max(longest, longestChain(steps, i))
			}
		}
	}
	return longest + steps[from].Estimate
}

// Guards against slack that is computed from another chain than the longest one: tasks would start too late for the steps that
// wait for them.
func TestSlackOfATaskCountsTheLongestChainAfterIt(t *testing.T) {
	const transferReserve = 10 * time.Millisecond // kept for messages, in whole milliseconds
	rapid.Check(t, func(t *rapid.T) {
		j := newJob("j", 1, queue(0, 2))
		template := j.Spec.Steps[0]
		j.Spec.Steps = nil
		for i := range rapid.IntRange(1, 9).Draw(t, "steps") {
			step := template
			step.Estimate = time.Duration(rapid.IntRange(1, 100).Draw(t, "estimate")) * time.Millisecond
			for earlier := range i {
				if rapid.Bool().Draw(t, "depends") {
					step.After = append(step.After, earlier)
				}
			}
			j.Spec.Steps = append(j.Spec.Steps, step)
		}
		path := time.Duration(0)
		for i := range j.Spec.Steps {
			path = max(path, longestChain(j.Spec.Steps, i))
		}
		s := withAgents(16)
		s.Submit(start, j)
		offers, _ := s.TakeOutput()
		objective := time.Duration(j.Queue.ObjectiveFactor*float64(path)) + j.Queue.ObjectiveExtra
		for _, o := range offers {
			slack := time.Duration(o.Offer.SlackMillis) * time.Millisecond
			expected := objective - longestChain(j.Spec.Steps, o.Offer.Step)
			if difference := expected - slack; difference < 0 || difference > transferReserve {
				t.Fatalf("step %d has a slack of %s, its objective leaves %s", o.Offer.Step, slack, expected)
			}
		}
	})
}
