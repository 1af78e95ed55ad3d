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
	stateWaiting taskState = iota // in the queue of its kind, or parked
	stateRunning                  // at least one attempt is open
	stateEnded
)

// avoidance keeps a task from being sent to an upstream until the given time.
type avoidance struct {
	upstream *upstream
	until    instant
}

// task is one task from Submit until it ends.
type task struct {
	job            *job
	index          uint16
	state          taskState
	parked         bool // kept out of the queue until a time
	cancelled      bool
	hasStarted     bool    // an earlier attempt started and has ended
	refusals       uint8   // attempts that agents refused, up to 255
	finishedStarts uint8   // attempts that started and have ended
	openAttempts   uint8   // attempts that were sent and have not ended
	hedged         bool    // a second attempt was sent while the first was open
	waitingSince   instant // time at which the task last began to wait
	queueSeq       uint64  // sequence number of its current queue item, 0 for none
	avoid          [2]avoidance
}

func (t *task) ref() TaskRef { return TaskRef{t.job.id, t.index} }

// avoids reports whether the task must not be sent to the upstream now.
func (t *task) avoids(u *upstream, now instant) bool {
	for i := range t.avoid {
		if t.avoid[i].upstream == u && t.avoid[i].until > now {
			return true
		}
	}
	return false
}

// job is one job with tasks that have not ended.
type job struct {
	id                      uint64
	kind                    *kind
	team                    *team
	class                   int
	idempotent              bool
	submitted, deadline     instant
	orderKey                instant // order of service: queued tasks are sorted by it, lowest first
	taskWork                instant // expected service time of one task as of the submission
	tasks                   []task
	openTasks, waitingTasks int
	anySent                 bool // an attempt of one of its tasks was sent
}

// kind is one request kind of the service.
type kind struct {
	name           string
	index          int
	configuredLong bool // the document declares its tasks as long
	pool           *pool
	serviceTimes   durationEstimate
	queues         [classes]taskQueue
	blockedPass    [classes]uint64 // pass in which no upstream was found for the head
	// timesGeneration changes when serviceTimes has changed enough to invalidate derived estimates.
	timesGeneration uint64
	// mean and median are those of serviceTimes as of timesGeneration.
	mean, median instant
	// typicalService is the expected service time at the upstreams of the pool that are neither ejected nor untrusted,
	// and meanSuccess the mean success rate of all upstreams of the pool, both as of peerStatsAt.
	typicalService, peerStatsAt instant
	meanSuccess                 float64
	mostHealthy                 bool // the last result of at least half of the upstreams was a success
}

func newKind(name string, index int) *kind {
	return &kind{name: name, index: index, mean: defaultService, median: defaultService, meanSuccess: 1, mostHealthy: true}
}

// updateEstimates recomputes what is derived from serviceTimes.
func (k *kind) updateEstimates() {
	k.timesGeneration++
	k.mean, k.median = k.serviceTimes.mean(), k.serviceTimes.median()
}

// team holds the retry budget of one team.
type team struct{ retryTokens float64 }

// engine implements Policy. The policies differ only in the chooser.
type engine struct {
	startTime      time.Time // instant 0
	dataCentre     string
	random         *rand.Rand
	chooser        chooser
	config         Config
	anyKindsListed bool                 // some upstream has listed the kinds that it serves
	upstreams      map[string]*upstream // including removed ones, by ID
	active         []*upstream          // those that are not removed
	kinds          map[string]*kind
	kindList       []*kind
	// allKinds holds the estimates over all kinds together. Its index is 0.
	allKinds      *kind
	pools         map[poolKey]*pool
	poolList      []*pool
	jobs          map[uint64]*job
	teams         map[string]*team
	timers        timerHeap
	parked        taskQueue // ordered by the time at which a task is queued again
	hedges        hedgeQueue
	sequence      uint64
	pass          uint64       // number of the current call of Next
	waiting       [classes]int // waiting tasks, parked ones included
	refreshCursor int          // index in active of the next upstream to refresh
	urgentStreak  int          // urgent assignments since the last assignment of normal class
	recheckAt     instant      // time of the next call of Next while tasks wait
	assignments   []Assignment
	refusals      []Refusal
	counters      Stats
	hedgeTokens   float64
}

func newEngine(o Options, c chooser) *engine {
	e := &engine{
		startTime: o.Now, dataCentre: o.DataCentre, random: o.Random, chooser: c, config: o.Config.withDefaults(),
		upstreams: make(map[string]*upstream), kinds: make(map[string]*kind), pools: make(map[poolKey]*pool),
		jobs: make(map[uint64]*job), teams: make(map[string]*team), allKinds: newKind("", 0),
	}
	return e
}

// instantOf converts a time to an instant.
func (e *engine) instantOf(now time.Time) instant { return instant(now.Sub(e.startTime)) }

// timeOf converts an instant to a time.
func (e *engine) timeOf(at instant) time.Time { return e.startTime.Add(time.Duration(at)) }

// SetConfig implements Policy.
func (e *engine) SetConfig(now time.Time, c Config) {
	e.config = c.withDefaults()
	for _, k := range e.kindList {
		k.configuredLong = e.config.Kinds[k.name].Long
	}
	e.rebuildPools(e.instantOf(now))
}

// SetUpstream implements Policy.
func (e *engine) SetUpstream(now time.Time, u Upstream) {
	at := e.instantOf(now)
	up := e.upstreams[u.ID]
	if up == nil {
		up = &upstream{removed: true, roundTrip: defaultRoundTrip}
		e.upstreams[u.ID] = up
	}
	if up.Incarnation != u.Incarnation {
		up.resetFailures()
	}
	wasRemoved := up.removed
	up.Upstream, up.removed = u, false
	up.sameDataCentre = u.DataCentre == e.dataCentre
	if !up.roundTripMeasured && !up.sameDataCentre {
		up.roundTrip = defaultRemoteRoundTrip
	}
	hadKindsListed := e.anyKindsListed
	e.anyKindsListed = e.anyKindsListed || len(u.Kinds) > 0
	if wasRemoved {
		up.index = len(e.active)
		e.active = append(e.active, up)
		up.backoffUntil, up.failureBackoffUntil, up.backoff, up.reportedForeign, up.reportedForeignLong = 0, 0, 0, 0, 0
	} else {
		e.leavePools(up, at)
	}
	if hadKindsListed != e.anyKindsListed {
		e.rebuildPools(at)
		return
	}
	e.joinPools(up, at)
}

// RemoveUpstream implements Policy.
func (e *engine) RemoveUpstream(now time.Time, id string) {
	at := e.instantOf(now)
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
	e.dropRemovedUpstreams(at)
}

// removedRetention is the time for which the estimates of a removed upstream are kept.
const removedRetention = instant(30 * time.Minute)

// dropRemovedUpstreams deletes upstreams that were removed long ago and have no open attempt.
func (e *engine) dropRemovedUpstreams(now instant) {
	for id, u := range e.upstreams {
		if u.removed && len(u.attempts) == 0 && now-u.removedAt > removedRetention {
			delete(e.upstreams, id)
		}
	}
}

// ReportLoad implements Policy.
func (e *engine) ReportLoad(now time.Time, id string, load Load) {
	up := e.upstreams[id]
	if up == nil {
		return
	}
	at := e.instantOf(now)
	up.learnLoad(at, load)
	if up.removed {
		return
	}
	e.updateAvailability(up, at)
	for i := range up.pools {
		up.pools[i].pool.recent.add(up)
	}
}

// Submit implements Policy.
func (e *engine) Submit(now time.Time, j Job) *Refusal {
	at := e.instantOf(now)
	k := e.kindOf(j.Kind, at)
	class := classNormal
	if j.Urgent {
		class = classUrgent
	}
	n := int(j.Tasks)
	if n == 0 {
		return nil
	}
	deadline := e.instantOf(j.Deadline)
	jb := &job{
		id: j.ID, kind: k, class: class, idempotent: j.Idempotent, submitted: at, deadline: deadline,
		tasks: make([]task, n), openTasks: n, taskWork: k.mean,
	}
	jb.orderKey = e.computeOrderKey(jb)
	if r := e.admit(at, jb); r != nil {
		r.Ref.Job = j.ID
		e.counters.countRefusals(r.Reason, 1)
		return r
	}
	k.pool.arrivals.add(jb)
	jb.team = e.teamOf(j.Team)
	e.jobs[j.ID] = jb
	e.timers.push(deadline, jb)
	if len(k.pool.upstreams) == 0 {
		e.timers.push(at+instant(UpstreamGrace), jb)
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
		t := e.findTask(ref)
		if t == nil || t.state == stateEnded {
			continue
		}
		t.cancelled = true
		if t.state == stateWaiting {
			e.dequeue(t)
			e.endTask(t)
			removed = append(removed, ref)
		}
	}
	return removed
}

func (e *engine) findTask(ref TaskRef) *task {
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
	k.configuredLong = e.config.Kinds[name].Long
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

// enqueue adds a task to the queue of its kind.
func (e *engine) enqueue(t *task, now instant) {
	j := t.job
	t.waitingSince = now
	e.sequence++
	t.state, t.parked, t.queueSeq = stateWaiting, false, e.sequence
	j.waitingTasks++
	j.kind.queues[j.class].push(queueItem{j.orderKey, e.sequence, t})
	j.kind.pool.backlog[j.class].add(j.orderKey, j.taskWork)
	e.waiting[j.class]++
}

// park keeps a task out of the queue until a time. A parked task still counts as waiting.
func (e *engine) park(t *task, until instant) {
	e.sequence++
	t.state, t.parked, t.queueSeq = stateWaiting, true, e.sequence
	t.job.waitingTasks++
	e.parked.push(queueItem{until, e.sequence, t})
	e.waiting[t.job.class]++
}

// dequeue removes a waiting task from its queue in O(1).
func (e *engine) dequeue(t *task) {
	j := t.job
	t.queueSeq = 0
	j.waitingTasks--
	e.waiting[j.class]--
	if t.parked {
		e.parked.markStale()
		return
	}
	j.kind.queues[j.class].markStale()
	j.kind.pool.backlog[j.class].add(j.orderKey, -j.taskWork)
}

// endTask marks a task as ended. The job is deleted with its last task.
func (e *engine) endTask(t *task) {
	t.state = stateEnded
	t.job.openTasks--
	if t.job.openTasks == 0 {
		delete(e.jobs, t.job.id)
		t.job.tasks = nil // timers still refer to the job until its deadline
	}
}
