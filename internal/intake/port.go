package intake

import (
	"container/list"
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// sweepInterval is the interval at which pending connections are checked for their time limits.
	sweepInterval = 250 * time.Millisecond
	// minEvictionAge is the time for which no pending connection is evicted for another: the server may not have had processor
	// time to read its request.
	minEvictionAge = 100 * time.Millisecond
	// stallTime is the time without progress after which the memory of a connection may be given to another.
	stallTime = 250 * time.Millisecond
	// roomWait is how long a request waits for the memory of an evicted connection, and acceptPoll the interval at which a full
	// port checks for room.
	roomWait   = 50 * time.Millisecond
	acceptPoll = 5 * time.Millisecond
	// minBodyRate is the rate in bytes per second at which a body has to arrive after the header timeout.
	minBodyRate = 64 << 10
	// evictionCandidates is the number of oldest pending connections among which the one to evict is chosen.
	evictionCandidates = 64
)

// CallerWriteTimeout is the WriteTimeout of the callers of both modes. The largest answer, of 6 MiB, needs it at 1.7 Mbit/s.
const CallerWriteTimeout = 30 * time.Second

// Budget holds the shares of a process.
type Budget struct {
	shares          Shares
	headers, bodies *pool
}

// NewBudget returns the budget of a process with the given shares.
func NewBudget(s Shares) *Budget {
	return &Budget{shares: s, headers: newPool(headerPool, s.HeaderBytes), bodies: newPool(bodyPool, s.BodyBytes)}
}

// Shares returns the shares of the process.
func (b *Budget) Shares() Shares { return b.shares }

// VarsWithPorts returns the size and the use of the shares and of the ports by name, for metrics.
func (b *Budget) VarsWithPorts(ports map[string]*Port) *expvar.Map {
	vars := new(expvar.Map).Init()
	for name, read := range map[string]func() int64{
		"header_bytes": b.headers.inUse, "header_bytes_limit": func() int64 { return b.headers.limit },
		"body_bytes": b.bodies.inUse, "body_bytes_limit": func() int64 { return b.bodies.limit },
		"go_memory_limit": func() int64 { return b.shares.GoMemoryBytes },
	} {
		vars.Set(name, expvar.Func(func() any { return read() }))
	}
	for name, port := range ports {
		vars.Set(name, port.vars())
	}
	return vars
}

// PortOptions configures a Port.
type PortOptions struct {
	// Name names the port in logs.
	Name string
	// MaxPending and MaxOpen bound the pending connections and all connections without those that were hijacked.
	MaxPending, MaxOpen int
	// Limits returns the limits of a request. It must be fast. nil means the defaults.
	Limits func() Limits
	// KeepHeaders are the names of the fields that handlers use. Of a header section beyond the allowance, the others are dropped.
	// nil keeps all, and their memory until the end of the request.
	KeepHeaders []string
	// WriteTimeout is the longest time for which a write waits for the client; 0 means no limit of the port.
	WriteTimeout time.Duration
	// Encrypted is true if the server decrypts what it reads from the connections of the port. Header sections are then bounded by
	// the server, and the port bounds the connections and their time.
	Encrypted bool
	Log       log.Interface
}

// Port bounds the connections of one listener, which Listen returns. Install, or the methods ConnState, ConnContext and Handler,
// connect it with the server.
type Port struct {
	budget   *Budget
	options  PortOptions
	refusals refusalCounters

	mu        sync.Mutex
	open      int
	ending    int                       // open connections that were evicted or refused
	pending   [pendingPhases]*list.List // connections, those that entered the phase first at the front
	byAddress map[netip.Addr]int        // pending connections
	closed    bool
}

// CallerPort returns the port of callers, which gets the largest share.
func (b *Budget) CallerPort(o PortOptions) *Port {
	o.MaxPending, o.MaxOpen = b.shares.MaxPending, b.shares.MaxOpen
	return b.newPort(o)
}

// LinkPort returns the port of links.
func (b *Budget) LinkPort(o PortOptions) *Port {
	o.MaxPending, o.MaxOpen = b.shares.MaxLinkConns, b.shares.MaxLinkConns
	return b.newPort(o)
}

// SidePort returns a port for other clients than callers and links.
func (b *Budget) SidePort(o PortOptions) *Port {
	o.MaxPending, o.MaxOpen = b.shares.MaxSideConns, b.shares.MaxSideConns
	return b.newPort(o)
}

func (b *Budget) newPort(o PortOptions) *Port {
	p := &Port{budget: b, options: o, byAddress: make(map[netip.Addr]int)}
	for i := range p.pending {
		p.pending[i] = list.New()
	}
	return p
}

func (p *Port) limits() Limits {
	if p.options.Limits == nil {
		return Limits{}.withDefaults()
	}
	return p.options.Limits().withDefaults()
}

// vars returns the numbers of connections and refusals.
func (p *Port) vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("connections", expvar.Func(func() any { return p.count() }))
	vars.Set("max_pending", expvar.Func(func() any { return p.options.MaxPending }))
	vars.Set("max_open", expvar.Func(func() any { return p.options.MaxOpen }))
	vars.Set("refused", p.refusals.vars())
	return vars
}

// count returns the number of open connections by state.
func (p *Port) count() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]int{
		"open": p.open, "new": p.pending[phaseNew].Len(), "header": p.pending[phaseHeader].Len(), "idle": p.pending[phaseIdle].Len(), "body": p.pending[phaseBody].Len(),
	}
}

// Listen returns a listener whose connections are bounded by the port. While the port is full and no connection can be evicted,
// connections wait in the operating system. It can be called again after the listener was closed.
func (p *Port) Listen(inner net.Listener) net.Listener {
	p.mu.Lock()
	p.closed = false
	p.mu.Unlock()
	go p.sweepLoop()
	return &listener{Listener: inner, port: p}
}

type listener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.port.awaitRoom()
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.port.add(conn), nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.port.mu.Lock()
	l.port.closed = true
	l.port.mu.Unlock()
	return l.Listener.Close()
}

// awaitRoom returns when there is room for another connection or the listener is closed.
func (p *Port) awaitRoom() {
	for waited := false; !p.makeRoom(time.Now()); waited = true {
		if !waited {
			p.refusals.add(acceptPaused)
		}
		time.Sleep(acceptPoll)
	}
}

// makeRoom reports whether another connection can be accepted. It evicts one if there are too many, and if all are too many, not
// before the last one that was evicted is closed.
func (p *Port) makeRoom(now time.Time) bool {
	p.mu.Lock()
	pending := 0
	for _, l := range p.pending {
		pending += l.Len()
	}
	isFull := p.open >= p.options.MaxOpen
	if p.closed || !isFull && pending < p.options.MaxPending {
		p.mu.Unlock()
		return true
	}
	var victim *Conn
	if !isFull || p.ending == 0 {
		victim = p.evictionVictim(now)
	}
	p.mu.Unlock()
	if victim == nil || !p.evict(victim, evictedForOthers) {
		return false
	}
	return !isFull
}

// evictionVictim returns the connection to evict for a new one, or nil if all are too young. It is an idle or unused connection if
// there is one, and of the oldest in their phase one whose address has the most pending connections.
func (p *Port) evictionVictim(now time.Time) *Conn {
	for _, phase := range []phase{phaseIdle, phaseNew, phaseHeader, phaseBody} {
		var victim *Conn
		most, seen := 0, 0
		for e := p.pending[phase].Front(); e != nil && seen < evictionCandidates; e = e.Next() {
			c := e.Value.(*Conn)
			if now.Sub(c.since) < minEvictionAge {
				break
			}
			if n := p.byAddress[c.address]; n > most {
				victim, most = c, n
			}
			seen++
		}
		if victim != nil {
			return victim
		}
	}
	return nil
}

// evictStalled evicts a connection in a phase that holds memory of the pool and has made no progress for stallTime. It reports
// whether there was one.
func (p *Port) evictStalled(of *pool, in phase, kind refusal) bool {
	p.mu.Lock()
	now := time.Now()
	var victim *Conn
	seen := 0
	for e := p.pending[in].Front(); e != nil && seen < evictionCandidates; e = e.Next() {
		c := e.Value.(*Conn)
		if c.holds(of) > 0 && now.UnixNano()-c.progress.Load() > int64(stallTime) {
			if victim == nil || c.progress.Load() < victim.progress.Load() {
				victim = c
			}
		}
		seen++
	}
	p.mu.Unlock()
	return victim != nil && p.evict(victim, kind)
}

// reserve takes memory of a pool for a connection in a phase until it holds an amount. If there is no room it evicts a connection that has made no
// progress, and waits for a moment.
func (p *Port) reserve(c *Conn, from *pool, in phase, amount int64, kind refusal) bool {
	if c.hold(from, amount) {
		return true
	}
	if !p.evictStalled(from, in, kind) {
		return false
	}
	time.Sleep(roomWait)
	return c.hold(from, amount)
}

// sweepLoop ends pending connections that exceed their time, until the listener is closed and no connection is left.
func (p *Port) sweepLoop() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if p.sweep(now) {
			return
		}
		p.refusals.report(now, p.options.Name, p.options.Log)
	}
}

// sweep reports whether the listener is closed and no connection is left.
func (p *Port) sweep(now time.Time) (done bool) {
	limits := p.limits()
	type expiry struct {
		conn *Conn
		kind refusal
	}
	var expired []expiry
	p.mu.Lock()
	for phase, kind := range map[phase]refusal{phaseNew: idleTooLong, phaseIdle: idleTooLong, phaseHeader: headerTooSlow, phaseBody: bodyTooSlow} {
		for e := p.pending[phase].Front(); e != nil; e = e.Next() {
			c := e.Value.(*Conn)
			allowed := limits.HeaderTimeout
			if phase == phaseNew || phase == phaseIdle {
				allowed = limits.IdleTimeout
			}
			if now.Sub(c.since) <= allowed {
				break // those behind it are younger
			}
			if phase == phaseBody {
				allowed += time.Duration(c.bodyBytes.Load()) * time.Second / minBodyRate
			}
			if now.Sub(c.since) > allowed {
				expired = append(expired, expiry{c, kind})
			}
		}
	}
	done = p.closed && p.open == 0
	p.mu.Unlock()
	for _, x := range expired {
		p.evict(x.conn, x.kind)
	}
	return done
}

// Install sets the hooks and the handler of a server that has no hooks of its own.
func (p *Port) Install(s *http.Server) {
	s.Handler, s.ConnState, s.ConnContext = p.Handler(s.Handler), p.ConnState, p.ConnContext
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext is a hook for http.Server.
func (p *Port) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(conn))
}

// unwrap returns the connection of the port below TLS or other wrappers, or nil if there is none.
func unwrap(conn net.Conn) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = outer.NetConn()
	}
}

func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// ConnState is a hook for http.Server.
func (p *Port) ConnState(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		p.move(c, phaseBody)
	case http.StateIdle:
		c.releaseAll()
		p.move(c, phaseIdle)
		c.beginSection()
	case http.StateHijacked:
		c.releaseAll()
		p.remove(c)
	default:
	}
}

// add registers a connection that was accepted.
func (p *Port) add(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, port: p, since: time.Now()}
	if tcp, ok := inner.RemoteAddr().(*net.TCPAddr); ok {
		c.address = tcp.AddrPort().Addr().Unmap()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	c.phase.Store(int32(phaseNew))
	p.insert(c, phaseNew)
	return c
}

// insert puts a connection at the end of the list of its phase. p.mu must be held.
func (p *Port) insert(c *Conn, to phase) {
	if to < pendingPhases {
		c.element = p.pending[to].PushBack(c)
		p.byAddress[c.address]++
	}
}

// take removes a connection from the list of its phase. p.mu must be held.
func (p *Port) take(c *Conn) {
	if c.element == nil {
		return
	}
	p.pending[phase(c.phase.Load())].Remove(c.element)
	c.element = nil
	if p.byAddress[c.address]--; p.byAddress[c.address] <= 0 {
		delete(p.byAddress, c.address)
	}
}

// move puts a connection into a phase. It reports whether it did: a connection that ends is not moved.
func (p *Port) move(c *Conn, to phase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if phase(c.phase.Load()) >= phaseEnding {
		return false
	}
	p.take(c)
	c.since = time.Now()
	c.progress.Store(c.since.UnixNano())
	c.bodyBytes.Store(0)
	c.phase.Store(int32(to))
	p.insert(c, to)
	if to == phaseEnding {
		p.ending++
	}
	return true
}

// evict ends a pending connection: the next read of its goroutine fails. It reports whether the connection was pending.
func (p *Port) evict(c *Conn, kind refusal) bool {
	p.mu.Lock()
	isPending := phase(c.phase.Load()) < pendingPhases
	if isPending {
		p.take(c)
		c.evictedIn, c.cause = phase(c.phase.Load()), kind
		c.phase.Store(int32(phaseEnding))
		p.ending++
	}
	p.mu.Unlock()
	if isPending {
		p.refusals.add(kind)
		c.interruptReads()
	}
	return isPending
}

// remove forgets a connection.
func (p *Port) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if phase(c.phase.Load()) == phaseGone {
		return
	}
	if phase(c.phase.Load()) == phaseEnding {
		p.ending--
	}
	p.take(c)
	c.phase.Store(int32(phaseGone))
	p.open--
}
