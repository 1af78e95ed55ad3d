package entry

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// control is the state of an entry. It belongs to the control goroutine.
type control struct {
	entry       *Entry
	options     Options
	log         log.Interface
	incarnation uint64
	metrics     *metrics
	random      *rand.Rand

	now    time.Time
	timers timerQueue

	list     wire.EntryList
	services map[string]*service
	agents   map[string]*agentSession
	peers    map[string]*peer

	jobs        map[uint64]*job
	running     map[wire.KeyHash]*job
	forwards    map[uint64]*forward
	lastJob     uint64
	lastAttempt uint64
	lastRequest uint64

	stopping bool
	drained  chan struct{}
}

func newControl(e *Entry) *control {
	now := e.options.Clock.Now()
	return &control{
		entry: e, options: e.options, log: e.log, incarnation: e.incarnation, metrics: newMetrics(e),
		random: rand.New(rand.NewPCG(e.incarnation, uint64(now.UnixNano()))), now: now,
		services: make(map[string]*service), agents: make(map[string]*agentSession), peers: make(map[string]*peer),
		jobs: make(map[uint64]*job), running: make(map[wire.KeyHash]*job), forwards: make(map[uint64]*forward),
	}
}

// service is one service with its document and the policy that holds its waiting tasks.
type service struct {
	name     string
	revision uint64
	policy   dispatch.Policy
}
