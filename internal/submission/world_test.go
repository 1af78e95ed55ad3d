package submission_test

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const (
	tasksPerJob = 2
	jobDeadline = 30 * time.Second
	retention   = 10 * time.Minute
	agentMemory = 3 * time.Hour
)

// world drives several homes and agents as pure state machines. Messages wait in one queue per direction of a link;
// a cut link loses them.
type world struct {
	t      *rapid.T
	now    time.Time
	list   *wire.EntryList // the value in the store
	outage bool            // of the store: the list is neither read nor changed
	serial uint64
	homes  []*home
	agents []*agent
	keys   []*key
	queues map[[2]string][]func()
	down   map[[2]string]bool
	owner  map[uint64]*job // by attempt
	counts map[string]int
}

// key is an idempotency key with the starts of its tasks.
type key struct {
	hash    wire.KeyHash
	region  string
	created time.Time
	starts  []keyStart
}

type keyStart struct {
	at   time.Time
	task uint16
	job  *job
}

type home struct {
	self    wire.Member
	table   *submission.Table
	alive   bool
	jobs    map[submission.Job]*job
	waiting []request
}

type request struct {
	key    *key
	s      submission.Submission
	origin *home
}

// job is a running submission with the state of its tasks.
type job struct {
	home     *home
	member   wire.Member
	id       submission.Job
	key      *key
	digest   [16]byte
	deadline time.Time
	tasks    [tasksPerJob]task
	started  int
	notRun   bool
}

type task struct {
	attempt uint64 // 0 when no attempt is open
	agent   *agent
	result  *wire.Result // the final result of a started task
}

type agent struct {
	ref     submission.AgentRef
	started time.Time
	table   *records.Table
	alive   bool
	// stated is set while an operator stated that the crashed agent is gone and it was not replaced.
	stated  bool
	queued  []*wire.Start
	running []*wire.Start
}

func (h *home) name() string  { return fmt.Sprintf("%s/%d", h.self.ID, h.self.Incarnation) }
func (a *agent) name() string { return fmt.Sprintf("%s/%d", a.ref.ID, a.ref.Incarnation) }

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), queues: map[[2]string][]func(){}, down: map[[2]string]bool{},
		owner: map[uint64]*job{}, counts: map[string]int{},
	}
	for i := range 3 {
		w.join(fmt.Sprintf("entry-%d", i))
	}
	for i := range 3 {
		w.startAgent(fmt.Sprintf("agent-%d", i))
	}
	return w
}

func (w *world) next() uint64 { w.serial++; return w.serial }

// draw returns a number below n. rapid.IntRange prefers small numbers, which starves most actions, so the number is
// made of single bits.
func (w *world) draw(n int, label string) int {
	if n == 1 {
		return 0
	}
	return rapid.Custom(func(t *rapid.T) int {
		for {
			v := 0
			for range bits.Len(uint(n - 1)) {
				v <<= 1
				if rapid.Bool().Draw(t, "") {
					v |= 1
				}
			}
			if v < n {
				return v
			}
		}
	}).Draw(w.t, label)
}

// Links.

func (w *world) send(from, to string, f func()) {
	if from == to || w.down[[2]string{from, to}] {
		return
	}
	link := [2]string{from, to}
	w.queues[link] = append(w.queues[link], f)
}

// deliver passes on the oldest message of one direction of one link.
func (w *world) deliver() {
	links := slices.SortedFunc(maps.Keys(w.queues), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	if len(links) == 0 {
		return
	}
	link := links[w.draw(len(links), "link")]
	f := w.queues[link][0]
	w.queues[link] = w.queues[link][1:]
	if len(w.queues[link]) == 0 {
		delete(w.queues, link)
	}
	f()
}

func (w *world) cut(a, b string) {
	for _, link := range [][2]string{{a, b}, {b, a}} {
		delete(w.queues, link)
		w.down[link] = true
	}
}

func (w *world) restore(a, b string) {
	delete(w.down, [2]string{a, b})
	delete(w.down, [2]string{b, a})
}
