package e2e_test

import (
	"fmt"
	"sort"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// summary counts the keys of a load by their last answer, or as complete if any answer was.
type summary struct {
	keys, complete, notRun, unknown, brokenSubmissions int
	reasons                                            map[string]int
}

func (s summary) String() string {
	return fmt.Sprintf("%d keys: %d complete, %d not_run, %d unknown, %d broken submissions, reasons %v",
		s.keys, s.complete, s.notRun, s.unknown, s.brokenSubmissions, s.reasons)
}

// maxShownViolations limits how many violations, and how many keys without a final outcome, a test prints.
const maxShownViolations = 10

// verify ends the load and compares every answer with the starts that the upstreams counted. It reports a task that was
// started twice, a not_run answer for a key that was started, an answer that is inconsistent or to another request, a
// complete answer that is followed by a refusal, and a key without any answer.
func (l *load) verify() summary {
	l.cluster.t.Helper()
	l.stop()
	starts, err := l.cluster.startsByTask()
	if err != nil {
		l.cluster.t.Fatal(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, n := range starts {
		if n > 1 && !l.retriesAllowed {
			l.addViolation("task %s was started %d times", task, n)
		}
	}
	s := summary{keys: len(l.histories), reasons: make(map[string]int)}
	for key, h := range l.histories {
		l.checkHistory(key, h, starts)
		s.add(h)
	}
	l.logUnresolved(starts)
	sort.Strings(l.violations)
	for i, violation := range l.violations {
		if i == maxShownViolations {
			l.cluster.t.Errorf("and %d more violations", len(l.violations)-maxShownViolations)
			break
		}
		l.cluster.t.Error(violation)
	}
	l.cluster.t.Log(s)
	return s
}

// logUnresolved logs the keys that had no final outcome when their callers gave up. It does not fail the test: the answers
// are correct. The known cause is an attempt that was refused after its record was collected.
func (l *load) logUnresolved(starts map[string]int) {
	unresolved := 0
	for key, h := range l.histories {
		if len(h.replies) > 0 && h.completeReply == nil && !isFinal(h.last()) && h.gaveUp {
			if unresolved++; unresolved > maxShownViolations {
				continue
			}
			l.cluster.t.Logf("key %s (home %s, %d of %d tasks started) has no final outcome: %s, %s",
				key, l.cluster.homeOf(key).id, h.countStarts(starts), len(h.job.bodies), h.last().reason, h.last().Message)
		}
	}
	if unresolved == 0 {
		return
	}
	entries, _ := l.cluster.runningEntriesAndAgents()
	for _, e := range entries {
		s, err := l.cluster.stateOf(e)
		l.cluster.t.Logf("%s: %v, list %+v, submissions %+v", e.id, err, s.List, s.Submissions)
	}
}

func (l *load) checkHistory(key string, h *history, starts map[string]int) {
	if len(h.replies) == 0 {
		l.addViolation("key %s got no answer in %d submissions", key, h.brokenSubmissions)
		return
	}
	started := h.countStarts(starts)
	refused, completed := false, false
	for _, r := range h.replies {
		switch {
		case r.Outcome == api.OutcomeComplete:
			completed = true
		case completed && isFinal(r):
			l.addViolation("key %s was complete and then %s (%s)", key, r.Outcome, r.reason)
		case r.Outcome == api.OutcomeNotRun:
			refused = true
		}
	}
	if taskCount := len(h.job.bodies); completed && (started < taskCount || started > taskCount && !l.retriesAllowed) {
		l.addViolation("key %s is complete with %d of %d tasks started", key, started, len(h.job.bodies))
	}
	// A refused job may run when another caller submits it again, so not_run is false only if nobody got a complete answer.
	if refused && !completed && started > 0 && !h.mayHaveRunLater() {
		l.addViolation("key %s was answered with not_run (%s), but has %d starts", key, h.last().reason, started)
	}
}

// mayHaveRunLater reports whether the last answer is not not_run, so that a submission after the refusal may have run.
func (h *history) mayHaveRunLater() bool {
	return h.last().Outcome != api.OutcomeNotRun
}

// countStarts returns how often the tasks of the key were started in total.
func (h *history) countStarts(starts map[string]int) int {
	n := 0
	for i := range h.job.bodies {
		n += starts[taskIDIn(h.job.serviceName(), h.job.key, i)]
	}
	return n
}

func (h *history) last() reply { return h.replies[len(h.replies)-1] }

func (s *summary) add(h *history) {
	s.brokenSubmissions += h.brokenSubmissions
	if len(h.replies) == 0 {
		return
	}
	last := h.last()
	if h.completeReply != nil {
		s.complete++
		return
	}
	switch last.Outcome {
	case api.OutcomeNotRun:
		s.notRun++
	default:
		s.unknown++
	}
	s.reasons[string(last.Outcome)+" "+string(last.reason)]++
}
