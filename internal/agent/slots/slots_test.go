package slots_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/slots"
)

type task = slots.Task[int]

// model knows where every task is and checks the table against it.
type model struct {
	g       *gomega.WithT
	table   *slots.Table[int]
	ceiling int
	queue   int
	limits  map[string]slots.Limits
	now     time.Time
	next    int
	running map[int]task
	waiting map[int]task
}

func newModel(t *rapid.T) *model {
	m := &model{
		g:       gomega.NewWithT(t),
		ceiling: rapid.IntRange(1, 4).Draw(t, "ceiling"),
		queue:   rapid.IntRange(1, 5).Draw(t, "queue"),
		limits:  map[string]slots.Limits{},
		now:     time.Unix(1_700_000_000, 0),
		running: map[int]task{},
		waiting: map[int]task{},
	}
	m.table = slots.New[int](m.ceiling, m.queue)
	for _, service := range []string{"a", "b"} {
		l := slots.Limits{
			Slots:      rapid.IntRange(0, m.ceiling).Draw(t, "slots"),
			ShortSlots: rapid.IntRange(0, m.ceiling).Draw(t, "short"),
		}
		m.table.SetLimits(service, l)
		if l.Slots == 0 { // not stated in the document
			l.Slots = m.ceiling
		}
		m.limits[service] = l
	}
	return m
}

// fits is the rule in plain words: all limits hold with one more task.
func (m *model) fits(x task) bool {
	total, long, service, serviceLong, short := 0, 0, 0, 0, 0
	for _, r := range m.running {
		total++
		if r.Service == x.Service {
			service++
		}
		if r.Long {
			long++
			if r.Service == x.Service {
				serviceLong++
			}
		}
	}
	for _, l := range m.limits {
		short = max(short, l.ShortSlots)
	}
	limit := m.limits[x.Service]
	if total >= m.ceiling || service >= limit.Slots {
		return false
	}
	return !x.Long || long < m.ceiling-short && serviceLong < limit.Slots-limit.ShortSlots
}

func (m *model) add(t *rapid.T) {
	m.next++
	x := task{
		ID: m.next, Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
		Urgent: rapid.Bool().Draw(t, "urgent"), Long: rapid.Bool().Draw(t, "long"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "budget")) * time.Millisecond),
	}
	full := m.table.Full(x)
	outcome := m.table.Add(x)
	m.g.Expect(outcome == slots.Busy).To(gomega.Equal(full), "Full agrees with Add")
	switch outcome {
	case slots.Running:
		m.g.Expect(m.fits(x)).To(gomega.BeTrue(), "a task runs within the limits")
		for _, w := range m.waiting {
			m.g.Expect(m.fits(w) && !before(x, w)).To(gomega.BeFalse(), "a task does not overtake one that comes first")
		}
		m.running[x.ID] = x
	case slots.Queued:
		m.waiting[x.ID] = x
	case slots.Busy:
		m.g.Expect(m.fits(x) && len(m.waiting) == 0).To(gomega.BeFalse(), "a free slot is used")
		m.g.Expect(x.Long || len(m.waiting) == m.queue).To(gomega.BeTrue(), "short work may use the whole queue")
	}
}

func (m *model) end(t *rapid.T) {
	if id, ok := draw(t, m.running); ok {
		m.table.Done(id)
		delete(m.running, id)
	}
}

func (m *model) cancel(t *rapid.T) {
	if id, ok := draw(t, m.waiting); ok {
		m.g.Expect(m.table.Cancel(id)).To(gomega.BeTrue())
		delete(m.waiting, id)
	}
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "step")) * time.Millisecond)
	start, expired := m.table.Next(m.now)
	for _, x := range expired {
		m.g.Expect(x.Deadline.After(m.now)).To(gomega.BeFalse(), "only late tasks expire")
		delete(m.waiting, x.ID)
	}
	for _, x := range start {
		m.g.Expect(m.waiting).To(gomega.HaveKey(x.ID))
		m.g.Expect(m.fits(x)).To(gomega.BeTrue(), "a task starts within the limits")
		m.g.Expect(x.Deadline.After(m.now)).To(gomega.BeTrue(), "a late task does not start")
		delete(m.waiting, x.ID)
		for _, other := range m.waiting {
			if other.Service == x.Service && other.Long == x.Long && other.Deadline.After(m.now) {
				m.g.Expect(before(other, x)).To(gomega.BeFalse(), "urgent first, then by deadline")
			}
		}
		m.running[x.ID] = x
	}
	for _, x := range m.waiting {
		m.g.Expect(x.Deadline.After(m.now)).To(gomega.BeTrue(), "a late task does not wait")
		m.g.Expect(m.fits(x)).To(gomega.BeFalse(), "no task waits while a slot is free for it")
	}
}

func before(a, b task) bool {
	if a.Urgent != b.Urgent {
		return a.Urgent
	}
	return a.Deadline.Before(b.Deadline)
}

func (m *model) check() {
	load := m.table.Load()
	long := 0
	for _, x := range m.running {
		if x.Long {
			long++
		}
	}
	m.g.Expect(load).To(gomega.Equal(slots.Load{Running: len(m.running), RunningLong: long, Queued: len(m.waiting)}))
	m.g.Expect(len(m.waiting)).To(gomega.BeNumerically("<=", m.queue))
	_, ok := m.table.Earliest()
	m.g.Expect(ok).To(gomega.Equal(len(m.waiting) > 0), "Earliest knows whether a task waits")
}

func draw(t *rapid.T, tasks map[int]task) (int, bool) {
	if len(tasks) == 0 {
		return 0, false
	}
	lowest := -1
	skip := rapid.IntRange(0, len(tasks)-1).Draw(t, "which")
	for range skip + 1 {
		following := -1
		for id := range tasks {
			if id > lowest && (following < 0 || id < following) {
				following = id
			}
		}
		lowest = following
	}
	return lowest, true
}

// Guards against lost tasks, against more tasks than slots, against long work in slots that are kept for short work,
// against a wrong order and against a free slot while a task waits for it.
func TestTableKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { m.check() },
			"add":     m.add,
			"addMore": m.add,
			"end":     m.end,
			"cancel":  m.cancel,
			"advance": m.advance,
		})
	})
}

// Guards against long tasks that fill the queue, so that short ones are refused although slots are kept for them.
func TestLongWorkLeavesRoomForShortWork(t *testing.T) {
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
