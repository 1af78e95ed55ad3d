// Package slots decides which tasks of an agent run and which wait. It starts no goroutines and reads no clock: the
// caller passes in the current time, so that tests control it.
package slots

import (
	"slices"
	"time"
)

// Limits are the limits of one service on one agent, or of the agent as a whole.
type Limits struct {
	// Slots is the maximum number of tasks that run at once.
	Slots int
	// ShortSlots is the number of these slots that long tasks may not use. Values outside [0, Slots] are clamped.
	ShortSlots int
}

// longSlots returns the maximum number of long tasks that run at once.
func (l Limits) longSlots() int { return l.Slots - min(max(l.ShortSlots, 0), l.Slots) }

// Task is a task that needs a slot. ID must be unique among the tasks of a table. Urgent tasks are queued before others.
// Long tasks may not use the slots that are reserved for short ones.
type Task[ID comparable] struct {
	ID       ID
	Service  string
	Urgent   bool
	Long     bool
	Deadline time.Time
}

// Outcome is the decision of Add about a task.
type Outcome int

// Outcomes of Add.
const (
	// Busy means that the task was refused: neither a slot nor a place in the queue is free.
	Busy Outcome = iota
	// Queued means that the task waits for a slot; Dequeue returns it later.
	Queued
	// Running means that the task holds a slot until Release.
	Running
)

// Load is the occupancy of a table, in tasks. RunningLong is the number of long tasks among the running ones.
type Load struct{ Running, RunningLong, Queued int }

// usage counts the occupied slots of one service or of the whole agent.
type usage struct{ running, runningLong int }

// Table assigns slots to tasks. It is not safe for concurrent use.
type Table[ID comparable] struct {
	maxRunning     int
	maxQueued      int
	limits         map[string]Limits
	running        map[ID]Task[ID]
	usageByService map[string]*usage
	totalUsage     usage
	queue          []Task[ID] // urgent first, then by deadline
}

// New returns a table that runs at most maxRunning tasks of all services at once and queues at most maxQueued tasks.
func New[ID comparable](maxRunning, maxQueued int) *Table[ID] {
	return &Table[ID]{
		maxRunning: maxRunning, maxQueued: maxQueued,
		limits: make(map[string]Limits), running: make(map[ID]Task[ID]), usageByService: make(map[string]*usage),
	}
}

// SetLimits sets the limits of a service. Lower limits do not affect running tasks.
func (t *Table[ID]) SetLimits(service string, limits Limits) { t.limits[service] = limits }

// Add gives the task a slot, queues it or refuses it, and returns which of these it did.
func (t *Table[ID]) Add(task Task[ID]) Outcome {
	if t.fits(task) && !t.wouldOvertake(task) {
		t.assignSlot(task)
		return Running
	}
	if !t.canQueue(task) {
		return Busy
	}
	index, _ := slices.BinarySearchFunc(t.queue, task, compareTasks[ID])
	for index < len(t.queue) && compareTasks(t.queue[index], task) == 0 {
		index++
	}
	t.queue = slices.Insert(t.queue, index, task)
	return Queued
}

// WouldRefuse reports whether Add would return Busy.
func (t *Table[ID]) WouldRefuse(task Task[ID]) bool {
	return (!t.fits(task) || t.wouldOvertake(task)) && !t.canQueue(task)
}

// Release frees the slot of a running task. It does nothing when the task holds no slot.
func (t *Table[ID]) Release(id ID) {
	task, ok := t.running[id]
	if !ok {
		return
	}
	delete(t.running, id)
	u := t.usageOf(task.Service)
	u.running--
	t.totalUsage.running--
	if task.Long {
		u.runningLong--
		t.totalUsage.runningLong--
	}
}

// Cancel removes a task from the queue and reports whether it was queued.
func (t *Table[ID]) Cancel(id ID) bool {
	index := slices.IndexFunc(t.queue, func(q Task[ID]) bool { return q.ID == id })
	if index < 0 {
		return false
	}
	t.queue = slices.Delete(t.queue, index, index+1)
	return true
}

// Dequeue removes two kinds of tasks from the queue and returns them: those that get a slot now and those whose deadline
// has passed.
func (t *Table[ID]) Dequeue(now time.Time) (ready, expired []Task[ID]) {
	waiting := t.queue[:0]
	for _, task := range t.queue {
		switch {
		case !task.Deadline.After(now):
			expired = append(expired, task)
		case t.fits(task):
			t.assignSlot(task)
			ready = append(ready, task)
		default:
			waiting = append(waiting, task)
		}
	}
	clear(t.queue[len(waiting):])
	t.queue = waiting
	return ready, expired
}

// EarliestDeadline returns the earliest deadline among the queued tasks; ok is false when the queue is empty.
func (t *Table[ID]) EarliestDeadline() (deadline time.Time, ok bool) {
	for _, task := range t.queue {
		if !ok || task.Deadline.Before(deadline) {
			deadline, ok = task.Deadline, true
		}
	}
	return deadline, ok
}

// Load returns the occupancy of the table.
func (t *Table[ID]) Load() Load {
	return Load{Running: t.totalUsage.running, RunningLong: t.totalUsage.runningLong, Queued: len(t.queue)}
}

// fits reports whether the limits leave a slot for the task. Slots reserved for short work are checked for the service
// and, because all services share the slots of the agent, also for the agent as a whole.
func (t *Table[ID]) fits(task Task[ID]) bool {
	limits, u := t.limitsOf(task.Service), t.usageOf(task.Service)
	if t.totalUsage.running >= t.maxRunning || u.running >= limits.Slots {
		return false
	}
	if !task.Long {
		return true
	}
	return u.runningLong < limits.longSlots() && t.totalUsage.runningLong < t.agentLimits().longSlots()
}

// wouldOvertake reports whether the queue has a task that could run now and precedes the given one.
func (t *Table[ID]) wouldOvertake(task Task[ID]) bool {
	for _, waiting := range t.queue {
		if compareTasks(waiting, task) > 0 {
			return false
		}
		if t.fits(waiting) {
			return true
		}
	}
	return false
}

// canQueue reports whether the queue has a place for the task. One place is reserved for short tasks if slots are reserved
// for them; otherwise, queued long tasks could fill the queue and the agent would refuse short ones.
func (t *Table[ID]) canQueue(task Task[ID]) bool {
	if len(t.queue) >= t.maxQueued {
		return false
	}
	if !task.Long || t.agentLimits().ShortSlots == 0 {
		return true
	}
	waitingLong := 0
	for _, waiting := range t.queue {
		if waiting.Long {
			waitingLong++
		}
	}
	return waitingLong < t.maxQueued-1
}

func (t *Table[ID]) assignSlot(task Task[ID]) {
	t.running[task.ID] = task
	u := t.usageOf(task.Service)
	u.running++
	t.totalUsage.running++
	if task.Long {
		u.runningLong++
		t.totalUsage.runningLong++
	}
}

// limitsOf returns the limits of a service. A service without a limit of its own may use all slots of the agent.
func (t *Table[ID]) limitsOf(service string) Limits {
	limits, ok := t.limits[service]
	if !ok || limits.Slots <= 0 || limits.Slots > t.maxRunning {
		limits.Slots = t.maxRunning
	}
	return limits
}

// agentLimits returns the limits of the agent as a whole: all its slots, and the largest number of short slots of any
// service.
func (t *Table[ID]) agentLimits() Limits {
	limits := Limits{Slots: t.maxRunning}
	for _, serviceLimits := range t.limits {
		limits.ShortSlots = max(limits.ShortSlots, serviceLimits.ShortSlots)
	}
	return limits
}

func (t *Table[ID]) usageOf(service string) *usage {
	u := t.usageByService[service]
	if u == nil {
		u = &usage{}
		t.usageByService[service] = u
	}
	return u
}

// compareTasks orders urgent tasks before others, and tasks of equal urgency by deadline.
func compareTasks[ID comparable](a, b Task[ID]) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return a.Deadline.Compare(b.Deadline)
}
