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
	tasksPerJob        = 2
	jobDeadline        = 30 * time.Second
	retention          = 10 * time.Minute
	silentAgentTimeout = 3 * time.Hour
)

// simulation drives several homes and agents as deterministic state machines. Messages wait in one queue per direction
// of a link; cutting a link drops them.
type simulation struct {
	t            *rapid.T
	now          time.Time
	list         *wire.EntryList // the value in the store
	storeOutage  bool            // while true, the list in the store is neither read nor changed
	lastID       uint64
	homes        []*home
	agents       []*agent
	keys         []*key
	messages     map[[2]string][]func()
	cutLinks     map[[2]string]bool
	jobByAttempt map[uint64]*job
	counts       map[string]int
}

// key is an idempotency key and the starts of its tasks.
type key struct {
	hash    wire.KeyHash
	region  string
	created time.Time
	starts  []keyStart
}

// keyStart is the start of one task at an upstream.
type keyStart struct {
	at   time.Time
	task uint16
	job  *job
}

// home is an entry process with its table and the jobs that it runs.
type home struct {
	self    wire.Member
	table   *submission.Table
	alive   bool
	jobs    map[submission.Job]*job
	waiting []request
}

// request is a submission on its way through the entries.
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

// agent is an agent process with its records and the tasks in its queue and at its upstream.
type agent struct {
	ref     submission.AgentRef
	started time.Time
	table   *records.Table
	alive   bool
	// declaredGone is true while the agent has crashed, was chosen to be declared gone by an operator, and has not been
	// replaced.
	declaredGone bool
	queued       []*wire.Start
	running      []*wire.Start
}

func (h *home) name() string  { return fmt.Sprintf("%s/%d", h.self.ID, h.self.Incarnation) }
func (a *agent) name() string { return fmt.Sprintf("%s/%d", a.ref.ID, a.ref.Incarnation) }

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1_700_000_000, 0), messages: map[[2]string][]func(){}, cutLinks: map[[2]string]bool{},
		jobByAttempt: map[uint64]*job{}, counts: map[string]int{},
	}
	for i := range 3 {
		sim.startEntry(fmt.Sprintf("entry-%d", i))
	}
	for i := range 3 {
		sim.startAgent(fmt.Sprintf("agent-%d", i))
	}
	return sim
}

func (sim *simulation) nextID() uint64 { sim.lastID++; return sim.lastID }

// draw returns a number below n. The number is composed of single bits, because rapid.IntRange prefers small numbers and
// most actions would rarely be drawn.
func (sim *simulation) draw(n int, label string) int {
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
	}).Draw(sim.t, label)
}

func (sim *simulation) send(from, to string, f func()) {
	if from == to || sim.cutLinks[[2]string{from, to}] {
		return
	}
	link := [2]string{from, to}
	sim.messages[link] = append(sim.messages[link], f)
}

// deliver delivers the oldest message of one direction of one link.
func (sim *simulation) deliver() {
	links := slices.SortedFunc(maps.Keys(sim.messages), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	if len(links) == 0 {
		return
	}
	link := links[sim.draw(len(links), "link")]
	f := sim.messages[link][0]
	sim.messages[link] = sim.messages[link][1:]
	if len(sim.messages[link]) == 0 {
		delete(sim.messages, link)
	}
	f()
}

func (sim *simulation) cutLink(a, b string) {
	for _, link := range [][2]string{{a, b}, {b, a}} {
		delete(sim.messages, link)
		sim.cutLinks[link] = true
	}
}

func (sim *simulation) restoreLink(a, b string) {
	delete(sim.cutLinks, [2]string{a, b})
	delete(sim.cutLinks, [2]string{b, a})
}
