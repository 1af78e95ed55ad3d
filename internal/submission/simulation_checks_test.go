package submission_test

import (
	"fmt"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// startsInWindow returns the number of starts of a key within the retention window.
func (sim *simulation) startsInWindow(k *key) int {
	n := 0
	for _, s := range k.starts {
		if sim.now.Sub(s.at) < retention {
			n++
		}
	}
	return n
}

// checkStart is called when a task starts at an upstream.
func (sim *simulation) checkStart(s *wire.Start) {
	j := sim.jobByAttempt[s.Attempt]
	for _, previous := range j.key.starts {
		if sim.now.Sub(previous.at) >= retention {
			continue
		}
		if previous.task == s.Task {
			sim.t.Fatalf("task %d of key %x started twice", s.Task, j.key.hash)
		}
		if previous.job != j {
			sim.t.Fatalf("key %x was started by %s and by %s", j.key.hash, previous.job.home.name(), j.home.name())
		}
	}
	if j.notRun {
		sim.t.Fatalf("a task of a job that was answered not_run has started")
	}
	j.key.starts = append(j.key.starts, keyStart{sim.now, s.Task, j})
	j.started++
	sim.counts["starts"]++
	sim.t.Logf("start of attempt %d, task %d of key %x for %s", s.Attempt, s.Task, s.Key[:2], j.home.name())
}

// checkNotRun is called for a job that was answered not_run. An expelled entry that has not learned of its expulsion,
// and one that was suspended for longer than the retention window, are responsible only for their own submissions.
func (sim *simulation) checkNotRun(j *job) {
	_, member := placement.Find(sim.list, j.member.ID, j.member.Incarnation)
	awake := sim.now.Sub(j.deadline) < retention
	if j.started > 0 || (member && awake && sim.startsInWindow(j.key) > 0) {
		sim.t.Fatalf("key %x was answered not_run although one of its tasks was started", j.key.hash)
	}
}

// checkRun is called when a home decides to run a key.
func (sim *simulation) checkRun(h *home, k *key) {
	if _, member := placement.Find(sim.list, h.self.ID, h.self.Incarnation); !member {
		return // the agents refuse its starts, see checkStart
	}
	if sim.startsInWindow(k) > 0 {
		sim.t.Fatalf("%s runs key %x, which was started before and has not expired", h.name(), k.hash)
	}
	for _, other := range sim.homes {
		for _, j := range other.jobs {
			_, member := placement.Find(sim.list, j.member.ID, j.member.Incarnation)
			if j.key == k && member && other.alive && sim.now.Before(j.deadline) {
				sim.t.Fatalf("%s and %s run key %x at the same time", h.name(), other.name(), k.hash)
			}
		}
	}
}

// checkAnswer is called for every answer that a caller gets.
func (sim *simulation) checkAnswer(k *key, digest [16]byte, a *wire.Answer) {
	sim.counts[fmt.Sprint("outcome ", a.Outcome, " ", a.Reason)]++
	sim.t.Logf("answer of key %x: %d %s", k.hash[:2], a.Outcome, a.Reason)
	switch a.Outcome {
	case wire.OutcomeComplete:
		if len(a.Tasks) != tasksPerJob {
			sim.t.Fatalf("answer with %d of %d tasks", len(a.Tasks), tasksPerJob)
		}
		for i := range a.Tasks {
			if string(a.Tasks[i].Body) != bodyOf(k, digest, i) {
				sim.t.Fatalf("task %d of key %x got the answer %q", i, k.hash, a.Tasks[i].Body)
			}
		}
	}
}
