package worker

import (
	"fmt"
	"sync"
	"time"
)

// Ledger records the runs on all workers of a deployment and every violation of an invariant: a task must not run on two
// workers at the same time, also not because an expired lease is extended again, and the tasks on a worker must not need more than its
// capacity. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	running    map[string]*Worker // by task
	starts     map[string]int
	done       map[string]int // finished runs by task
	violations []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{running: make(map[string]*Worker), starts: make(map[string]int), done: make(map[string]int)}
}

// recordStart records a run of task on w. It is a violation if another worker still runs the task under a valid lease.
func (l *Ledger) recordStart(task string, w *Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[task]++
	if other := l.running[task]; other != nil && !other.leaseExpired() {
		l.violations = append(l.violations, fmt.Sprintf("%s task %s runs on %s and %s at the same time",
			time.Now().Format("05.000"), task, other.id, w.id))
	}
	l.running[task] = w
}

// recordEnd records that the run of task on w has ended; done means that it finished its work.
func (l *Ledger) recordEnd(task string, w *Worker, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done {
		l.done[task]++
		if other := l.running[task]; other != nil && other != w {
			l.violations = append(l.violations, fmt.Sprintf("%s task %s ends on %s, whose lease had expired, while %s runs it",
				time.Now().Format("05.000"), task, w.id, other.id))
		}
	}
	if l.running[task] == w {
		delete(l.running, task)
	}
}

func (l *Ledger) recordViolation(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, text)
}

// Violations returns the recorded violations as texts.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Done returns how many runs of a task finished their work.
func (l *Ledger) Done(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done[task]
}

// IsRunning reports whether a worker runs a task under a valid lease.
func (l *Ledger) IsRunning(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.running[task]
	return w != nil && !w.leaseExpired()
}

// Starts returns how many runs of a task were started.
func (l *Ledger) Starts(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[task]
}
