package dispatch

import (
	"math/rand/v2"
	"time"
)

// Classes of waiting tasks, in the order in which they are served.
const (
	classUrgent = 0
	classNormal = 1
	classes     = 2
)

// taskState is the state of a task within the policy.
type taskState uint8

const (
	stateWaiting taskState = iota // in the queue of its kind, or parked until a time
	stateRunning                  // at least one attempt is open
	stateEnded
)

// avoidance keeps a task from an upstream for some time.
type avoidance struct {
	up    *upstream
	until instant
}

// task is one task from Submit to its end.
type task struct {
	job       *job
	index     uint16
	state     taskState
	parked    bool
	cancelled bool
	started   bool  // an attempt started and is over
	refusals  uint8 // refused attempts
	starts    uint8 // attempts that started and are over
	running   uint8 // open attempts
	hedged    bool
	since     instant // time from which it waits
	entry     uint64  // sequence number of its live queue item, 0 for none
	avoid     [2]avoidance
}

func (t *task) ref() TaskRef { return TaskRef{t.job.id, t.index} }

func (t *task) avoids(u *upstream, now instant) bool {
	for i := range t.avoid {
		if t.avoid[i].up == u && t.avoid[i].until > now {
			return true
		}
	}
	return false
}

// job is one job with open tasks.
type job struct {
	id                  uint64
	kind                *kind
	team                *team
	class               int
	idempotent          bool
	submitted, deadline instant
	key                 instant // position in the queue
	work                instant // expected service time of one task at the submission
	tasks               []task
	open, waiting       int
	sent                bool // an attempt was sent
}

// kind is one request kind of the service.
type kind struct {
	name    string
	index   int
	long    bool // by configuration
	pool    *pool
	times   estimate
	queues  [classes]taskQueue
	blocked [classes]uint64 // pass in which the queue was found blocked
	// generation changes when the learned times have changed enough to compute estimates again.
	generation uint64
	// mean and median are those of times as of the generation.
	mean, median instant
	// usual is the expected time at the upstreams of the pool that can be trusted, and peerRate the mean success rate of
	// the upstreams, as of reviewed.
	usual, reviewed instant
	peerRate        float64
	mostHealthy     bool // the last result of at least half of the upstreams is a success
}

func newKind(name string, index int) *kind {
	return &kind{name: name, index: index, mean: coldService, median: coldService, peerRate: 1, mostHealthy: true}
}

// refresh computes what depends on the learned times again.
func (k *kind) refresh() {
	k.generation++
	k.mean, k.median = k.times.mean(), k.times.median()
}

// team holds the retry budget of one team.
type team struct{ retryTokens float64 }

// engine implements Policy; the chooser makes the difference between the policies.
type engine struct {
	base       time.Time
	dataCentre string
	random     *rand.Rand
	chooser    chooser
	config     Config
	namedKinds bool // some upstream names its kinds
	upstreams  map[string]*upstream
	active     []*upstream
	kinds      map[string]*kind
	kindList   []*kind
	// mix stands for all kinds together. Its index is 0.
	mix         *kind
	pools       map[poolKey]*pool
	poolList    []*pool
	jobs        map[uint64]*job
	teams       map[string]*team
	timers      timerHeap
	parked      taskQueue
	hedges      hedgeQueue
	sequence    uint64
	pass        uint64
	waiting     [classes]int
	cursor      int
	streak      int // urgent assignments since the last other one
	recheck     instant
	assignments []Assignment
	refusals    []Refusal
	counters    Stats
	hedgeTokens float64
}

func newEngine(o Options, c chooser) *engine {
	e := &engine{
		base: o.Now, dataCentre: o.DataCentre, random: o.Random, chooser: c, config: o.Config.withDefaults(),
		upstreams: make(map[string]*upstream), kinds: make(map[string]*kind), pools: make(map[poolKey]*pool),
		jobs: make(map[uint64]*job), teams: make(map[string]*team), mix: newKind("", 0),
	}
	return e
}

func (e *engine) at(now time.Time) instant { return instant(now.Sub(e.base)) }

func (e *engine) time(at instant) time.Time { return e.base.Add(time.Duration(at)) }

// SetConfig implements Policy.
func (e *engine) SetConfig(now time.Time, c Config) {
	e.config = c.withDefaults()
	for _, k := range e.kindList {
		k.long = e.config.Kinds[k.name].Long
	}
	e.rebuildPools(e.at(now))
}

// SetUpstream implements Policy.
func (e *engine) SetUpstream(now time.Time, u Upstream) {
	at := e.at(now)
	up := e.upstreams[u.ID]
	if up == nil {
		up = &upstream{removed: true, roundTrip: coldRoundTrip}
		e.upstreams[u.ID] = up
	}
	if up.Run != u.Run {
		up.forgetFailures()
	}
	wasRemoved := up.removed
	up.Upstream, up.removed = u, false
	up.near = u.DataCentre == e.dataCentre
	if !up.measured && !up.near {
		up.roundTrip = remoteRoundTrip
	}
	named := e.namedKinds
	e.namedKinds = e.namedKinds || len(u.Kinds) > 0
	if wasRemoved {
		up.index = len(e.active)
		e.active = append(e.active, up)
		up.restUntil, up.failureRestUntil, up.rest, up.foreign, up.foreignLong = 0, 0, 0, 0, 0
	} else {
		e.leavePools(up, at)
	}
	if named != e.namedKinds {
		e.rebuildPools(at)
		return
	}
	e.joinPools(up, at)
}

// RemoveUpstream implements Policy.
func (e *engine) RemoveUpstream(now time.Time, id string) {
	at := e.at(now)
	up := e.upstreams[id]
	if up == nil || up.removed {
		return
	}
	e.leavePools(up, at)
	last := len(e.active) - 1
	e.active[up.index] = e.active[last]
	e.active[up.index].index = up.index
	e.active = e.active[:last]
	up.removed, up.index, up.removedAt = true, -1, at
	e.forget(at)
}

// memoryOfRemoved is the time for which the learned times of a removed upstream are kept.
const memoryOfRemoved = instant(30 * time.Minute)

// forget drops upstreams that were removed long ago and have no open attempt.
func (e *engine) forget(now instant) {
	for id, u := range e.upstreams {
		if u.removed && len(u.attempts) == 0 && now-u.removedAt > memoryOfRemoved {
			delete(e.upstreams, id)
		}
	}
}

// Report implements Policy.
func (e *engine) Report(now time.Time, id string, load Load) {
	up := e.upstreams[id]
	if up == nil {
		return
	}
	at := e.at(now)
	up.learnLoad(at, load)
	if up.removed {
		return
	}
	e.place(up, at)
	for i := range up.pools {
		up.pools[i].pool.recent.add(up)
	}
}

// Submit implements Policy.
func (e *engine) Submit(now time.Time, j Job) *Refusal {
	at := e.at(now)
	k := e.kindOf(j.Kind, at)
	class := classNormal
	if j.Urgent {
		class = classUrgent
	}
	n := int(j.Tasks)
	if n == 0 {
		return nil
	}
	deadline := e.at(j.Deadline)
	jb := &job{
		id: j.ID, kind: k, class: class, idempotent: j.Idempotent, submitted: at, deadline: deadline,
		tasks: make([]task, n), open: n, work: k.mean,
	}
	jb.key = e.orderKey(jb)
	if r := e.admit(at, jb); r != nil {
		r.Ref.Job = j.ID
		e.counters.count(r.Reason, 1)
		return r
	}
	k.pool.arrivals.add(jb)
	jb.team = e.teamOf(j.Team)
	e.jobs[j.ID] = jb
	e.timers.push(deadline, jb)
	if len(k.pool.ups) == 0 {
		e.timers.push(at+upstreamGrace, jb)
	}
	for i := range jb.tasks {
		t := &jb.tasks[i]
		t.job, t.index = jb, uint16(i)
		e.enqueue(t, at)
	}
	return nil
}

// Cancel implements Policy.
func (e *engine) Cancel(_ time.Time, refs []TaskRef) []TaskRef {
	var removed []TaskRef
	for _, ref := range refs {
		t := e.find(ref)
		if t == nil || t.state == stateEnded {
			continue
		}
		t.cancelled = true
		if t.state == stateWaiting {
			e.dequeue(t)
			e.end(t)
			removed = append(removed, ref)
		}
	}
	return removed
}

func (e *engine) find(ref TaskRef) *task {
	j := e.jobs[ref.Job]
	if j == nil || int(ref.Index) >= len(j.tasks) {
		return nil
	}
	return &j.tasks[ref.Index]
}

func (e *engine) kindOf(name string, now instant) *kind {
	if k := e.kinds[name]; k != nil {
		return k
	}
	k := newKind(name, 1+len(e.kindList))
	k.long = e.config.Kinds[name].Long
	e.kinds[name] = k
	e.kindList = append(e.kindList, k)
	k.pool = e.poolOf(k, now)
	return k
}

func (e *engine) teamOf(name string) *team {
	t := e.teams[name]
	if t == nil {
		t = &team{}
		e.teams[name] = t
	}
	return t
}

// enqueue puts a task into the queue of its kind.
func (e *engine) enqueue(t *task, now instant) {
	j := t.job
	t.since = now
	e.sequence++
	t.state, t.parked, t.entry = stateWaiting, false, e.sequence
	j.waiting++
	j.kind.queues[j.class].push(queueItem{j.key, e.sequence, t})
	j.kind.pool.backlog[j.class].add(j.key, j.work)
	e.waiting[j.class]++
}

// park keeps a task out of the queue until a time; it still counts as waiting.
func (e *engine) park(t *task, until instant) {
	e.sequence++
	t.state, t.parked, t.entry = stateWaiting, true, e.sequence
	t.job.waiting++
	e.parked.push(queueItem{until, e.sequence, t})
	e.waiting[t.job.class]++
}

// dequeue takes a waiting task out of its queue in O(1).
func (e *engine) dequeue(t *task) {
	j := t.job
	t.entry = 0
	j.waiting--
	e.waiting[j.class]--
	if t.parked {
		e.parked.drop()
		return
	}
	j.kind.queues[j.class].drop()
	j.kind.pool.backlog[j.class].add(j.key, -j.work)
}

// end gives a task its end.
func (e *engine) end(t *task) {
	t.state = stateEnded
	t.job.open--
	if t.job.open == 0 {
		delete(e.jobs, t.job.id)
		t.job.tasks = nil // the job itself stays in the timers until its deadline
	}
}
