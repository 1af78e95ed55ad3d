package slots_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/slots"
)

type task = slots.Task[int]

// model tracks the state of every task and checks the table against it.
type model struct {
	g          *gomega.WithT
	table      *slots.Table[int]
	maxRunning int
	maxQueued  int
	limits     map[string]slots.Limits
	now        time.Time
	lastID     int
	running    map[int]task
	waiting    map[int]task
}

func newModel(t *rapid.T) *model {
	m := &model{
		g:          gomega.NewWithT(t),
		maxRunning: rapid.IntRange(1, 4).Draw(t, "max running"),
		maxQueued:  rapid.IntRange(1, 5).Draw(t, "queue"),
		limits:     map[string]slots.Limits{},
		now:        time.Unix(1_700_000_000, 0),
		running:    map[int]task{},
		waiting:    map[int]task{},
	}
	m.table = slots.New[int](m.maxRunning, m.maxQueued)
	for _, service := range []string{"a", "b"} {
		limits := slots.Limits{
			Slots:      rapid.IntRange(0, m.maxRunning).Draw(t, "slots"),
			ShortSlots: rapid.IntRange(0, m.maxRunning).Draw(t, "short"),
		}
		m.table.SetLimits(service, limits)
		if limits.Slots == 0 { // no limit set: the service may use all slots
			limits.Slots = m.maxRunning
		}
		m.limits[service] = limits
	}
	return m
}

// fits reports whether all limits are kept when one more task runs. It counts the running tasks anew.
func (m *model) fits(added task) bool {
	running, runningLong, ofService, longOfService, shortSlots := 0, 0, 0, 0, 0
	for _, r := range m.running {
		running++
		if r.Service == added.Service {
			ofService++
		}
		if r.Long {
			runningLong++
			if r.Service == added.Service {
				longOfService++
			}
		}
	}
	for _, l := range m.limits {
		shortSlots = max(shortSlots, l.ShortSlots)
	}
	limits := m.limits[added.Service]
	if running >= m.maxRunning || ofService >= limits.Slots {
		return false
	}
	return !added.Long || runningLong < m.maxRunning-shortSlots && longOfService < limits.Slots-limits.ShortSlots
}

func (m *model) add(t *rapid.T) {
	m.lastID++
	added := task{
		ID: m.lastID, Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
		Urgent: rapid.Bool().Draw(t, "urgent"), Long: rapid.Bool().Draw(t, "long"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "budget")) * time.Millisecond),
	}
	wouldRefuse := m.table.WouldRefuse(added)
	outcome := m.table.Add(added)
	m.g.Expect(outcome == slots.Busy).To(gomega.Equal(wouldRefuse), "WouldRefuse agrees with Add")
	switch outcome {
	case slots.Running:
		m.g.Expect(m.fits(added)).To(gomega.BeTrue(), "Add exceeds no limit")
		for _, waiting := range m.waiting {
			m.g.Expect(m.fits(waiting) && !precedes(added, waiting)).To(gomega.BeFalse(), "a new task does not overtake a queued one that precedes it")
		}
		m.running[added.ID] = added
	case slots.Queued:
		m.waiting[added.ID] = added
	case slots.Busy:
		m.g.Expect(m.fits(added) && len(m.waiting) == 0).To(gomega.BeFalse(), "a task is not refused while a slot is free and the queue is empty")
		m.g.Expect(added.Long || len(m.waiting) == m.maxQueued).To(gomega.BeTrue(), "short tasks may use the whole queue")
	}
}

func (m *model) release(t *rapid.T) {
	if id, ok := drawID(t, m.running); ok {
		m.table.Release(id)
		delete(m.running, id)
	}
}

func (m *model) cancel(t *rapid.T) {
	if id, ok := drawID(t, m.waiting); ok {
		m.g.Expect(m.table.Cancel(id)).To(gomega.BeTrue())
		delete(m.waiting, id)
	}
}

func (m *model) advanceClock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "step")) * time.Millisecond)
	ready, expired := m.table.Dequeue(m.now)
	for _, x := range expired {
		m.g.Expect(x.Deadline.After(m.now)).To(gomega.BeFalse(), "only tasks past their deadline expire")
		delete(m.waiting, x.ID)
	}
	for _, started := range ready {
		m.g.Expect(m.waiting).To(gomega.HaveKey(started.ID))
		m.g.Expect(m.fits(started)).To(gomega.BeTrue(), "Dequeue exceeds no limit")
		m.g.Expect(started.Deadline.After(m.now)).To(gomega.BeTrue(), "a task past its deadline does not start")
		delete(m.waiting, started.ID)
		for _, other := range m.waiting {
			if other.Service == started.Service && other.Long == started.Long && other.Deadline.After(m.now) {
				m.g.Expect(precedes(other, started)).To(gomega.BeFalse(), "urgent first, then by deadline")
			}
		}
		m.running[started.ID] = started
	}
	for _, x := range m.waiting {
		m.g.Expect(x.Deadline.After(m.now)).To(gomega.BeTrue(), "a task past its deadline does not stay in the queue")
		m.g.Expect(m.fits(x)).To(gomega.BeFalse(), "no task waits while it could run")
	}
}

func precedes(a, b task) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	return a.Deadline.Before(b.Deadline)
}

func (m *model) checkLoad() {
	load := m.table.Load()
	long := 0
	for _, x := range m.running {
		if x.Long {
			long++
		}
	}
	m.g.Expect(load).To(gomega.Equal(slots.Load{Running: len(m.running), RunningLong: long, Queued: len(m.waiting)}))
	m.g.Expect(len(m.waiting)).To(gomega.BeNumerically("<=", m.maxQueued))
	_, ok := m.table.EarliestDeadline()
	m.g.Expect(ok).To(gomega.Equal(len(m.waiting) > 0), "EarliestDeadline reports whether a task is queued")
}

// drawID draws one of the tasks. It orders them by ID, because the order of a map would make a run irreproducible.
func drawID(t *rapid.T, tasks map[int]task) (int, bool) {
	if len(tasks) == 0 {
		return 0, false
	}
	id := -1
	skip := rapid.IntRange(0, len(tasks)-1).Draw(t, "which")
	for range skip + 1 {
		next := -1
		for candidate := range tasks {
			if candidate > id && (next < 0 || candidate < next) {
				next = candidate
			}
		}
		id = next
	}
	return id, true
}

// Guards against lost tasks, more running tasks than slots, long tasks in slots that are reserved for short ones, a wrong
// order of starts, and a free slot while a task waits for it.
func TestTableKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { m.checkLoad() },
			"add":     m.add,
			"addMore": m.add,
			"end":     m.release,
			"cancel":  m.cancel,
			"advance": m.advanceClock,
		})
	})
}

// Guards against long tasks that fill the queue, so that short tasks are refused although slots are reserved for them.
func TestLongTasksLeaveQueueSpaceForShortTasks(t *testing.T) {
	g := gomega.NewWithT(t)
	table := slots.New[int](2, 2)
	table.SetLimits("a", slots.Limits{Slots: 2, ShortSlots: 1})
	now := time.Unix(1_700_000_000, 0)
	add := func(id int, long bool) slots.Outcome {
		return table.Add(task{ID: id, Service: "a", Long: long, Deadline: now.Add(time.Second)})
	}
	g.Expect(add(1, true)).To(gomega.Equal(slots.Running))
	g.Expect(add(2, true)).To(gomega.Equal(slots.Queued))
	g.Expect(add(3, true)).To(gomega.Equal(slots.Busy))
	g.Expect(add(4, false)).To(gomega.Equal(slots.Running))
	g.Expect(add(5, false)).To(gomega.Equal(slots.Queued))
}
