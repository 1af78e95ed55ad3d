package dispatch

// poolKey identifies a group of kinds that the same upstreams can serve. kindName is set only while some upstream lists
// the kinds that it serves.
type poolKey struct {
	memoryMB     uint32
	accelerators uint16
	kindName     string
}

// pool holds the upstreams that can serve a group of kinds.
type pool struct {
	kindName  string // one kind of the group
	upstreams []*upstream
	// withFreeSlot holds the upstreams that are expected to have a free slot, accepting those that accept a task, at
	// least into the queue of the agent.
	withFreeSlot, accepting []*upstream
	recent                  recentReports
	// hadUpstream is set once the pool has had an upstream. emptySince is the time at which the last one left.
	hadUpstream   bool
	emptySince    instant
	fullPass      uint64 // pass in which no upstream accepted a task
	backlog       [classes]backlog
	drain         drainMeter
	standingQueue standingQueue
	arrivals      arrivalRates
}

func (e *engine) poolKeyOf(k *kind) poolKey {
	c := e.config.Kinds[k.name]
	key := poolKey{memoryMB: c.MemoryMB, accelerators: c.Accelerators}
	if e.anyKindsListed {
		key.kindName = k.name
	}
	return key
}

func (e *engine) poolOf(k *kind, now instant) *pool {
	key := e.poolKeyOf(k)
	if p := e.pools[key]; p != nil {
		return p
	}
	p := &pool{kindName: k.name}
	e.pools[key] = p
	e.poolList = append(e.poolList, p)
	for _, u := range e.active {
		e.joinPool(u, p, now)
	}
	e.restoreEmptySince(p)
	return p
}

// restoreEmptySince sets the time at which the last upstream of a new pool left, from the removed upstreams.
func (e *engine) restoreEmptySince(p *pool) {
	for _, u := range e.upstreams {
		if u.removed && e.config.eligible(u.Upstream, p.kindName) {
			p.hadUpstream, p.emptySince = true, max(p.emptySince, u.removedAt)
		}
	}
}

// rebuildPools groups kinds and upstreams into pools again after a change that affects eligibility.
func (e *engine) rebuildPools(now instant) {
	previous := make([]*pool, len(e.kindList))
	for i, k := range e.kindList {
		previous[i] = k.pool
	}
	for _, u := range e.active {
		u.pools = nil
	}
	e.pools, e.poolList = make(map[poolKey]*pool), nil
	for i, k := range e.kindList {
		k.pool = e.poolOf(k, now)
		k.pool.inheritHistory(previous[i], now)
	}
	for _, j := range e.jobs {
		j.kind.pool.backlog[j.class].add(j.orderKey, j.taskWork*instant(j.queuedTasks()))
	}
	for _, p := range e.poolList {
		if len(p.upstreams) == 0 {
			e.startGrace(p, now)
		}
	}
}

// inheritHistory copies the measurements of the previous pool of a kind.
func (p *pool) inheritHistory(previous *pool, now instant) {
	if previous == nil {
		return
	}
	p.drain, p.standingQueue, p.arrivals = previous.drain, previous.standingQueue, previous.arrivals
	if len(p.upstreams) > 0 || p.hadUpstream || !previous.hadUpstream {
		return
	}
	p.hadUpstream, p.emptySince = true, previous.emptySince
	if len(previous.upstreams) > 0 {
		p.emptySince = now
	}
}

// queuedTasks returns the number of tasks of the job in the queue of its kind.
func (j *job) queuedTasks() int {
	n := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.queueSeq != 0 && !t.parked {
			n++
		}
	}
	return n
}

func (e *engine) joinPools(u *upstream, now instant) {
	for _, p := range e.poolList {
		e.joinPool(u, p, now)
	}
}

// joinPool adds an upstream to a pool whose kinds it can serve.
func (e *engine) joinPool(u *upstream, p *pool, now instant) {
	if !e.config.eligible(u.Upstream, p.kindName) {
		return
	}
	p.upstreams = append(p.upstreams, u)
	p.hadUpstream = true
	u.pools = append(u.pools, membership{pool: p, freeSlotIndex: -1, acceptingIndex: -1})
	u.hasFreeSlot, u.accepting = e.chooser.availability(e, u, now)
	for i := range u.pools {
		u.pools[i].setHasFreeSlot(u, u.hasFreeSlot)
		u.pools[i].setAccepting(u, u.accepting)
	}
}

// leavePools removes an upstream from all its pools.
func (e *engine) leavePools(u *upstream, now instant) {
	for i := range u.pools {
		m := &u.pools[i]
		m.setHasFreeSlot(u, false)
		m.setAccepting(u, false)
		m.pool.remove(u)
		if len(m.pool.upstreams) == 0 {
			m.pool.emptySince = now
			e.startGrace(m.pool, now)
		}
	}
	u.pools = nil
}

// startGrace sets timers that bound the wait of the jobs of a pool without upstreams.
func (e *engine) startGrace(p *pool, now instant) {
	for _, j := range e.jobs {
		if j.kind.pool == p && j.waitingTasks > 0 {
			e.timers.push(now+instant(UpstreamGrace), j)
		}
	}
}

func (p *pool) remove(u *upstream) {
	p.recent.remove(u)
	for i, other := range p.upstreams {
		if other == u {
			last := len(p.upstreams) - 1
			p.upstreams[i] = p.upstreams[last]
			p.upstreams = p.upstreams[:last]
			return
		}
	}
}

// setHasFreeSlot adds the upstream to the set withFreeSlot of the pool or removes it.
func (m *membership) setHasFreeSlot(u *upstream, member bool) {
	if member == (m.freeSlotIndex >= 0) {
		return
	}
	set := &m.pool.withFreeSlot
	if member {
		m.freeSlotIndex = len(*set)
		*set = append(*set, u)
		return
	}
	last := len(*set) - 1
	moved := (*set)[last]
	(*set)[m.freeSlotIndex] = moved
	moved.membershipIn(m.pool).freeSlotIndex = m.freeSlotIndex
	*set = (*set)[:last]
	m.freeSlotIndex = -1
}

// setAccepting adds the upstream to the set accepting of the pool or removes it.
func (m *membership) setAccepting(u *upstream, member bool) {
	if member == (m.acceptingIndex >= 0) {
		return
	}
	set := &m.pool.accepting
	if member {
		m.acceptingIndex = len(*set)
		*set = append(*set, u)
		return
	}
	last := len(*set) - 1
	moved := (*set)[last]
	(*set)[m.acceptingIndex] = moved
	moved.membershipIn(m.pool).acceptingIndex = m.acceptingIndex
	*set = (*set)[:last]
	m.acceptingIndex = -1
}

func (u *upstream) membershipIn(p *pool) *membership {
	for i := range u.pools {
		if u.pools[i].pool == p {
			return &u.pools[i]
		}
	}
	return nil
}

// updateAvailability updates the sets of the pools that depend on the load of an upstream. It must be called after each
// change of that load.
func (e *engine) updateAvailability(u *upstream, now instant) {
	hasFreeSlot, accepting := e.chooser.availability(e, u, now)
	if hasFreeSlot == u.hasFreeSlot && accepting == u.accepting {
		return
	}
	u.hasFreeSlot, u.accepting = hasFreeSlot, accepting
	for i := range u.pools {
		u.pools[i].setHasFreeSlot(u, hasFreeSlot)
		u.pools[i].setAccepting(u, accepting)
	}
}

// refreshedPerPass is the number of upstreams whose availability each call of Next updates, because load estimates
// change with time.
const refreshedPerPass = 4

// refreshAvailability updates the availability of some upstreams, or of all when tasks wait and a recheck is due.
func (e *engine) refreshAvailability(now instant) {
	n := min(refreshedPerPass, len(e.active))
	if now >= e.recheckAt && e.waiting[classUrgent]+e.waiting[classNormal] > 0 {
		n = len(e.active)
	}
	for range n {
		if e.refreshCursor >= len(e.active) {
			e.refreshCursor = 0
		}
		e.updateAvailability(e.active[e.refreshCursor], now)
		e.refreshCursor++
	}
}
