package devcluster_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/upstream"
)

// startRecord keeps what began at the upstreams and what the test did meanwhile, so that a wrong count shows its cause.
type startRecord struct {
	mu     sync.Mutex
	starts []upstream.Start
	notes  []string
}

func (r *startRecord) add(s upstream.Start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
}

const clockFormat = "15:04:05.000"

func (r *startRecord) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, time.Now().Format(clockFormat)+" "+fmt.Sprintf(format, arguments...))
}

func taskName(key string, index int) string {
	return fmt.Sprintf("%x/%d", placement.HashKey("bench", key), index)
}

// explain lists every start beside one start of each task of the keys, the tasks without a start, and the notes.
func (r *startRecord) explain(keys []string, tasks int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := make(map[string]string)
	for _, key := range keys {
		for i := range tasks {
			wanted[taskName(key, i)] = key
		}
	}
	byTask := make(map[string][]upstream.Start)
	for _, s := range r.starts {
		byTask[s.Task] = append(byTask[s.Task], s)
	}
	lines := append([]string(nil), r.notes...)
	for task, starts := range byTask {
		key, known := wanted[task]
		if known && len(starts) == 1 {
			continue
		}
		for _, s := range starts {
			lines = append(lines, fmt.Sprintf("%s start of task %q (key %q, of this test: %v), attempt %s, at %s, from %s",
				s.At.Format(clockFormat), task, key, known, s.Attempt, s.Upstream, s.From))
		}
	}
	for task, key := range wanted {
		if len(byTask[task]) == 0 {
			lines = append(lines, fmt.Sprintf("no start of task %q (key %q)", task, key))
		}
	}
	return strings.Join(lines, "\n")
}
