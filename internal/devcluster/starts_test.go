package devcluster_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/upstream"
)

// startRecorder records the task starts at the upstreams and notes on the steps of the test, so that a failed check on the
// number of starts can show the cause.
type startRecorder struct {
	mu     sync.Mutex
	starts []upstream.Start
	notes  []string
}

func (r *startRecorder) add(s upstream.Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
}

const clockFormat = "15:04:05.000"

func (r *startRecorder) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, time.Now().Format(clockFormat)+" "+fmt.Sprintf(format, arguments...))
}

func taskName(key string, index int) string {
	return fmt.Sprintf("%x/%d", placement.HashKey("bench", key), index)
}

// describeUnexpectedStarts lists the notes, the starts of tasks that do not belong to the keys or that started more than
// once, and the tasks that did not start.
func (r *startRecorder) describeUnexpectedStarts(keys []string, tasksPerKey int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	keyByTask := make(map[string]string)
	for _, key := range keys {
		for i := range tasksPerKey {
			keyByTask[taskName(key, i)] = key
		}
	}
	byTask := make(map[string][]upstream.Start)
	for _, s := range r.starts {
		byTask[s.Task] = append(byTask[s.Task], s)
	}
	lines := append([]string(nil), r.notes...)
	for task, starts := range byTask {
		key, expected := keyByTask[task]
		if expected && len(starts) == 1 {
			continue
		}
		for _, s := range starts {
			lines = append(lines, fmt.Sprintf("%s start of task %q (key %q, expected: %v), attempt %s, at %s, from %s",
				s.Time.Format(clockFormat), task, key, expected, s.Attempt, s.Upstream, s.ClientAddress))
		}
	}
	for task, key := range keyByTask {
		if len(byTask[task]) == 0 {
			lines = append(lines, fmt.Sprintf("no start of task %q (key %q)", task, key))
		}
	}
	return strings.Join(lines, "\n")
}
