package submission_test

import (
	"fmt"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// started returns the number of starts of a key within the retention window.
func (w *world) started(k *key) int {
	n := 0
	for _, s := range k.starts {
		if w.now.Sub(s.at) < retention {
			n++
		}
	}
	return n
}

// checkStart is called when a task starts at an upstream.
func (w *world) checkStart(s *wire.Start) {
	j := w.owner[s.Attempt]
	for _, former := range j.key.starts {
		if w.now.Sub(former.at) >= retention {
			continue
		}
		if former.task == s.Task {
			w.t.Fatalf("task %d of key %x started twice", s.Task, j.key.hash)
		}
		if former.job != j {
			w.t.Fatalf("key %x was started by %s and by %s", j.key.hash, former.job.home.name(), j.home.name())
		}
	}
	if j.notRun {
		w.t.Fatalf("a task started of a job that was answered not_run")
	}
	j.key.starts = append(j.key.starts, keyStart{w.now, s.Task, j})
	j.started++
	w.counts["starts"]++
	w.t.Logf("start of attempt %d, task %d of key %x for %s", s.Attempt, s.Task, s.Key[:2], j.home.name())
}

// checkNotRun is called for a job that was answered not_run. An expelled entry that does not know it yet, and one that
// slept for longer than the retention window, speak for their own submissions only.
func (w *world) checkNotRun(j *job) {
	_, member := placement.Find(w.list, j.member.ID, j.member.Incarnation)
	awake := w.now.Sub(j.deadline) < retention
	if j.started > 0 || (member && awake && w.started(j.key) > 0) {
		w.t.Fatalf("not_run for key %x, of which a task was started", j.key.hash)
	}
}

// checkRun is called when a home decides to run a key.
func (w *world) checkRun(h *home, k *key) {
	if _, member := placement.Find(w.list, h.self.ID, h.self.Incarnation); !member {
		return // the agents refuse its starts, see checkStart
	}
	if w.started(k) > 0 {
		w.t.Fatalf("%s runs key %x, which was started before and has not expired", h.name(), k.hash)
	}
	for _, other := range w.homes {
		for _, j := range other.jobs {
			_, member := placement.Find(w.list, j.member.ID, j.member.Incarnation)
			if j.key == k && member && other.alive && w.now.Before(j.deadline) {
				w.t.Fatalf("%s and %s run key %x at a time", h.name(), other.name(), k.hash)
			}
		}
	}
}

// checkAnswer is called for every answer that a caller gets.
func (w *world) checkAnswer(k *key, digest [16]byte, a *wire.Answer) {
	w.counts[fmt.Sprint("outcome ", a.Outcome, " ", a.Reason)]++
	w.t.Logf("answer of key %x: %d %s", k.hash[:2], a.Outcome, a.Reason)
	switch a.Outcome {
	case wire.OutcomeComplete:
		if len(a.Tasks) != tasksPerJob {
			w.t.Fatalf("answer with %d of %d tasks", len(a.Tasks), tasksPerJob)
		}
		for i := range a.Tasks {
			if string(a.Tasks[i].Body) != bodyOf(k, digest, i) {
				w.t.Fatalf("task %d of key %x got the answer %q", i, k.hash, a.Tasks[i].Body)
			}
		}
	}
}
