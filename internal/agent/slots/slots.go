// Package slots decides which tasks of an agent run and which wait. It has no goroutines and reads no clock: methods
// take the current time, so tests drive it directly.
package slots

import (
	"slices"
	"time"
)

// Limits are the limits of one service on one agent, or of the agent as a whole.
type Limits struct {
	// Slots is the number of tasks that run at once.
	Slots int
	// ShortSlots of them are kept for short work. Values outside [0, Slots] are clamped.
	ShortSlots int
}

func (l Limits) long() int { return l.Slots - min(max(l.ShortSlots, 0), l.Slots) }

// Task is a task that wants a slot. ID must be unique among the tasks of a table.
type Task[ID comparable] struct {
	ID       ID
	Service  string
	Urgent   bool
	Long     bool
	Deadline time.Time
}

// Outcome is what Add decided.
type Outcome int

// Outcomes of Add.
const (
	// Busy tasks were not taken: neither a slot nor a place in the queue is free.
	Busy Outcome = iota
	// Queued tasks wait for a slot; Next returns them.
	Queued
	// Running tasks hold a slot until Done.
	Running
)

// Load is the occupancy of a table.
type Load struct{ Running, RunningLong, Queued int }

type usage struct{ running, long int }

// Table assigns slots to tasks. It is not safe for concurrent use.
type Table[ID comparable] struct {
	ceiling  int
	queueMax int
	limits   map[string]Limits
	running  map[ID]Task[ID]
	used     map[string]*usage
	total    usage
	queue    []Task[ID] // urgent first, then by deadline
}

// New returns a table that runs at most ceiling tasks at once, all services together, and lets queue tasks wait.
func New[ID comparable](ceiling, queue int) *Table[ID] {
	return &Table[ID]{
		ceiling: ceiling, queueMax: queue,
		limits: make(map[string]Limits), running: make(map[ID]Task[ID]), used: make(map[string]*usage),
	}
}

// SetLimits sets the limits of a service. Running tasks go on when the limits are lowered.
func (t *Table[ID]) SetLimits(service string, limits Limits) { t.limits[service] = limits }

// Add takes a task and reports whether it runs at once, waits or was not taken.
func (t *Table[ID]) Add(task Task[ID]) Outcome {
	if t.fits(task) && !t.overtakes(task) {
		t.run(task)
		return Running
	}
	if !t.mayQueue(task) {
		return Busy
	}
	at, _ := slices.BinarySearchFunc(t.queue, task, compare[ID])
	for at < len(t.queue) && compare(t.queue[at], task) == 0 {
		at++
	}
	t.queue = slices.Insert(t.queue, at, task)
	return Queued
}

// Full reports whether Add would return Busy.
func (t *Table[ID]) Full(task Task[ID]) bool {
	return (!t.fits(task) || t.overtakes(task)) && !t.mayQueue(task)
}

// Done frees the slot of a running task. Unknown tasks are ignored.
func (t *Table[ID]) Done(id ID) {
	task, ok := t.running[id]
	if !ok {
		return
	}
	delete(t.running, id)
	u := t.usage(task.Service)
	u.running--
	t.total.running--
	if task.Long {
		u.long--
		t.total.long--
	}
}

// Cancel removes a waiting task and reports whether it was waiting.
func (t *Table[ID]) Cancel(id ID) bool {
	at := slices.IndexFunc(t.queue, func(q Task[ID]) bool { return q.ID == id })
	if at < 0 {
		return false
	}
	t.queue = slices.Delete(t.queue, at, at+1)
	return true
}

// Next removes the tasks whose deadline has passed from the queue, and then those that get a slot now.
func (t *Table[ID]) Next(now time.Time) (start, expired []Task[ID]) {
	rest := t.queue[:0]
	for _, task := range t.queue {
		switch {
		case !task.Deadline.After(now):
			expired = append(expired, task)
		case t.fits(task):
			t.run(task)
			start = append(start, task)
		default:
			rest = append(rest, task)
		}
	}
	clear(t.queue[len(rest):])
	t.queue = rest
	return start, expired
}

// Earliest returns the earliest deadline of a waiting task; ok is false when none waits.
func (t *Table[ID]) Earliest() (deadline time.Time, ok bool) {
	for _, task := range t.queue {
		if !ok || task.Deadline.Before(deadline) {
			deadline, ok = task.Deadline, true
		}
	}
	return deadline, ok
}

// Load returns the occupancy of the table.
func (t *Table[ID]) Load() Load {
	return Load{Running: t.total.running, RunningLong: t.total.long, Queued: len(t.queue)}
}

// fits reports whether the limits leave a slot for the task. The slots kept for short work hold for the service and,
// as several services share the agent's slots, for the agent as a whole.
func (t *Table[ID]) fits(task Task[ID]) bool {
	limits, u := t.limitsOf(task.Service), t.usage(task.Service)
	if t.total.running >= t.ceiling || u.running >= limits.Slots {
		return false
	}
	if !task.Long {
		return true
	}
	return u.long < limits.long() && t.total.long < t.whole().long()
}

// overtakes reports whether a waiting task that could run comes before the given one.
func (t *Table[ID]) overtakes(task Task[ID]) bool {
	for _, waiting := range t.queue {
		if compare(waiting, task) > 0 {
			return false
		}
		if t.fits(waiting) {
			return true
		}
	}
	return false
}

// mayQueue keeps one place of the queue for short work when slots are kept for it; otherwise long tasks that wait for
// a long slot would make the agent refuse short ones.
func (t *Table[ID]) mayQueue(task Task[ID]) bool {
	if len(t.queue) >= t.queueMax {
		return false
	}
	if !task.Long || t.whole().ShortSlots == 0 {
		return true
	}
	long := 0
	for _, waiting := range t.queue {
		if waiting.Long {
			long++
		}
	}
	return long < t.queueMax-1
}

func (t *Table[ID]) run(task Task[ID]) {
	t.running[task.ID] = task
	u := t.usage(task.Service)
	u.running++
	t.total.running++
	if task.Long {
		u.long++
		t.total.long++
	}
}

func (t *Table[ID]) limitsOf(service string) Limits {
	limits, ok := t.limits[service]
	if !ok || limits.Slots <= 0 || limits.Slots > t.ceiling {
		limits.Slots = t.ceiling
	}
	return limits
}

func (t *Table[ID]) whole() Limits {
	whole := Limits{Slots: t.ceiling}
	for _, limits := range t.limits {
		whole.ShortSlots = max(whole.ShortSlots, limits.ShortSlots)
	}
	return whole
}

func (t *Table[ID]) usage(service string) *usage {
	u := t.used[service]
	if u == nil {
		u = &usage{}
		t.used[service] = u
	}
	return u
}

// compare orders urgent tasks before others and then by deadline.
func compare[ID comparable](a, b Task[ID]) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return a.Deadline.Compare(b.Deadline)
}
