package dispatch

// poolKey identifies the kinds that the same upstreams can serve. The name is set only while some upstream names its
// kinds.
type poolKey struct {
	memoryMB     uint32
	accelerators uint16
	name         string
}

// pool holds the upstreams that can serve a group of kinds.
type pool struct {
	kindName string // any kind of the group
	ups      []*upstream
	// idle holds those that are expected to have a free slot, open those with a place in the agent's queue at least.
	idle, open []*upstream
	recent     recent
	// had is set once there was an upstream; emptySince is the time at which the last one left.
	had        bool
	emptySince instant
	full       uint64 // pass in which no upstream had room
	backlog    [classes]backlog
	drain      drain
	queue      standingQueue
	arrivals   arrivals
}

func (e *engine) poolKeyOf(k *kind) poolKey {
	c := e.config.Kinds[k.name]
	key := poolKey{memoryMB: c.MemoryMB, accelerators: c.Accelerators}
	if e.namedKinds {
		key.name = k.name
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
	e.recall(p)
	return p
}

// recall finds out when the last upstream of a new pool left.
func (e *engine) recall(p *pool) {
	for _, u := range e.upstreams {
		if u.removed && e.config.eligible(u.Upstream, p.kindName) {
			p.had, p.emptySince = true, max(p.emptySince, u.removedAt)
		}
	}
}

// rebuildPools groups kinds and upstreams again after a change of the configuration.
func (e *engine) rebuildPools(now instant) {
	former := make([]*pool, len(e.kindList))
	for i, k := range e.kindList {
		former[i] = k.pool
	}
	for _, u := range e.active {
		u.pools = nil
	}
	e.pools, e.poolList = make(map[poolKey]*pool), nil
	for i, k := range e.kindList {
		k.pool = e.poolOf(k, now)
		k.pool.inherit(former[i], now)
	}
	for _, j := range e.jobs {
		j.kind.pool.backlog[j.class].add(j.key, j.work*instant(j.queued()))
	}
	for _, p := range e.poolList {
		if len(p.ups) == 0 {
			e.armGrace(p, now)
		}
	}
}

// inherit keeps the history of the pool that the kind belonged to.
func (p *pool) inherit(former *pool, now instant) {
	if former == nil {
		return
	}
	p.drain, p.queue, p.arrivals = former.drain, former.queue, former.arrivals
	if len(p.ups) > 0 || p.had || !former.had {
		return
	}
	p.had, p.emptySince = true, former.emptySince
	if len(former.ups) > 0 {
		p.emptySince = now
	}
}

// queued counts the tasks of the job in the queue of its kind.
func (j *job) queued() int {
	n := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.entry != 0 && !t.parked {
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

func (e *engine) joinPool(u *upstream, p *pool, now instant) {
	if !e.config.eligible(u.Upstream, p.kindName) {
		return
	}
	p.ups = append(p.ups, u)
	p.had = true
	u.pools = append(u.pools, membership{pool: p, idle: -1, open: -1})
	u.idle, u.open = e.chooser.room(e, u, now)
	for i := range u.pools {
		u.pools[i].setIdle(u, u.idle)
		u.pools[i].setOpen(u, u.open)
	}
}

func (e *engine) leavePools(u *upstream, now instant) {
	for i := range u.pools {
		m := &u.pools[i]
		m.setIdle(u, false)
		m.setOpen(u, false)
		m.pool.remove(u)
		if len(m.pool.ups) == 0 {
			m.pool.emptySince = now
			e.armGrace(m.pool, now)
		}
	}
	u.pools = nil
}

// armGrace bounds the wait of the jobs of a pool without upstreams.
func (e *engine) armGrace(p *pool, now instant) {
	for _, j := range e.jobs {
		if j.kind.pool == p && j.waiting > 0 {
			e.timers.push(now+upstreamGrace, j)
		}
	}
}

func (p *pool) remove(u *upstream) {
	p.recent.remove(u)
	for i, other := range p.ups {
		if other == u {
			last := len(p.ups) - 1
			p.ups[i] = p.ups[last]
			p.ups = p.ups[:last]
			return
		}
	}
}

func (m *membership) setIdle(u *upstream, want bool) {
	if want == (m.idle >= 0) {
		return
	}
	set := &m.pool.idle
	if want {
		m.idle = len(*set)
		*set = append(*set, u)
		return
	}
	last := len(*set) - 1
	moved := (*set)[last]
	(*set)[m.idle] = moved
	moved.member(m.pool).idle = m.idle
	*set = (*set)[:last]
	m.idle = -1
}

func (m *membership) setOpen(u *upstream, want bool) {
	if want == (m.open >= 0) {
		return
	}
	set := &m.pool.open
	if want {
		m.open = len(*set)
		*set = append(*set, u)
		return
	}
	last := len(*set) - 1
	moved := (*set)[last]
	(*set)[m.open] = moved
	moved.member(m.pool).open = m.open
	*set = (*set)[:last]
	m.open = -1
}

func (u *upstream) member(p *pool) *membership {
	for i := range u.pools {
		if u.pools[i].pool == p {
			return &u.pools[i]
		}
	}
	return nil
}

// place puts an upstream into the sets that its load allows. It is called after each change of its load.
func (e *engine) place(u *upstream, now instant) {
	idle, open := e.chooser.room(e, u, now)
	if idle == u.idle && open == u.open {
		return
	}
	u.idle, u.open = idle, open
	for i := range u.pools {
		u.pools[i].setIdle(u, idle)
		u.pools[i].setOpen(u, open)
	}
}

// refreshed is the number of upstreams whose sets each call of Next checks, because estimates change with time.
const refreshed = 4

func (e *engine) refresh(now instant) {
	n := min(refreshed, len(e.active))
	if now >= e.recheck && e.waiting[classUrgent]+e.waiting[classNormal] > 0 {
		n = len(e.active)
	}
	for range n {
		if e.cursor >= len(e.active) {
			e.cursor = 0
		}
		e.place(e.active[e.cursor], now)
		e.cursor++
	}
}
