package intake

import (
	"container/list"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// phase is what a connection does.
type phase int32

const (
	phaseNew    phase = iota // has sent nothing yet
	phaseHeader              // reads a header section
	phaseIdle                // waits for another request
	phaseBody                // reads a body, or has a request whose handler has not asked for the body
	pendingPhases
)

const (
	phaseServed phase = pendingPhases + iota // its request is complete
	phaseEnding                              // was evicted or refused
	phaseGone                                // closed or taken over by a link
)

const (
	// lingerTime is how long a connection stays open after a refusal, so that the client gets the answer before the reset that
	// the operating system sends for unread bytes.
	lingerTime = 100 * time.Millisecond
	// refusalWriteTimeout bounds the time to send a refusal.
	refusalWriteTimeout = 100 * time.Millisecond
	// retryAfterSeconds is the Retry-After value of refusals for lack of room: what holds the memory ends within seconds.
	retryAfterSeconds = 1
)

// ErrEnded is the error of reads from a connection that was refused or evicted.
var ErrEnded = eris.New("connection was refused or evicted")

// Conn is a connection of a Port.
type Conn struct {
	net.Conn
	port    *Port
	address netip.Addr

	// Guarded by the mutex of the port. phase is also read without it.
	phase     atomic.Int32
	element   *list.Element
	since     time.Time // when the phase began
	evictedIn phase
	cause     refusal

	progress  atomic.Int64 // Unix nanoseconds at which bytes last arrived
	bodyBytes atomic.Int64 // bytes of the body that have arrived

	heldMu sync.Mutex
	held   [poolKinds]int64 // memory taken from the pools

	deadlineMu  sync.Mutex
	interrupted bool
	linger      atomic.Bool

	// Used only by the goroutine that reads.
	scan      headerScan
	recent    recentLines
	readBytes int64 // since the header section began
	bodySize  int64 // of the present request, -1 if not known
}

// Read implements net.Conn. It counts the bytes and lines of header sections and refuses those that exceed a limit.
func (c *Conn) Read(p []byte) (int, error) {
	if phase(c.phase.Load()) == phaseEnding {
		c.answerEviction()
		return 0, c.readError(ErrEnded)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recent.add(p[:n])
		c.readBytes += int64(n)
		c.progress.Store(time.Now().UnixNano())
	}
	switch phase(c.phase.Load()) {
	case phaseEnding:
		c.answerEviction()
		return 0, c.readError(ErrEnded)
	case phaseNew, phaseIdle:
		if n > 0 {
			c.port.move(c, phaseHeader)
			return c.countHeader(p[:n], err)
		}
	case phaseHeader:
		return c.countHeader(p[:n], err)
	default:
	}
	return n, err
}

// Write implements net.Conn. It fails when the client does not read for the time that the port allows.
func (c *Conn) Write(p []byte) (int, error) {
	if timeout := c.port.options.WriteTimeout; timeout > 0 && phase(c.phase.Load()) < phaseEnding {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// countHeader counts bytes of a header section and returns the result of the read.
func (c *Conn) countHeader(data []byte, err error) (int, error) {
	if c.port.options.Encrypted {
		return len(data), err
	}
	c.scan.add(data)
	if c.scan.bytes > c.port.limits().HeaderBytes {
		c.port.refusals.add(headerTooLarge)
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		return 0, c.readError(ErrEnded)
	}
	if cost := c.scan.cost(); cost > 0 && !c.port.reserve(c, c.port.budget.headers, phaseHeader, cost, headerNoRoom) {
		c.port.refusals.add(headerNoRoom)
		c.refuse(http.StatusServiceUnavailable)
		return 0, c.readError(ErrEnded)
	}
	return len(data), err
}

// readError returns an error after which net/http closes the connection without an answer of its own.
func (c *Conn) readError(cause error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.Conn.RemoteAddr(), Err: cause}
}

// refuse sends an answer to a header section that was not read to its end. Nothing of the request has run.
func (c *Conn) refuse(status int) {
	c.port.move(c, phaseEnding)
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retryAfter)
	c.linger.Store(true)
}

// answerEviction sends an answer to a client that was evicted before its header section was complete. One that has sent nothing in
// time gets none. A new one that was evicted for others may have sent a request that was not read yet. The handler answers clients that
// were evicted in a body.
func (c *Conn) answerEviction() {
	if c.evictedIn != phaseHeader && c.evictedIn != phaseNew || c.linger.Load() || c.port.options.Encrypted || c.cause == idleTooLong {
		return
	}
	if c.cause == headerTooSlow {
		c.refuse(http.StatusRequestTimeout)
	} else {
		c.refuse(http.StatusServiceUnavailable)
	}
}

// hold takes memory of a pool until the connection holds an amount of it. It reports whether there was room.
func (c *Conn) hold(from *pool, amount int64) bool {
	c.heldMu.Lock()
	defer c.heldMu.Unlock()
	if more := amount - c.held[from.kind]; more > 0 {
		if !from.take(c.address, more) {
			return false
		}
		c.held[from.kind] = amount
	}
	return true
}

// holds returns the memory of a pool that the connection holds.
func (c *Conn) holds(of *pool) int64 {
	c.heldMu.Lock()
	defer c.heldMu.Unlock()
	return c.held[of.kind]
}

// release returns the memory of a pool that the connection holds beyond an amount.
func (c *Conn) release(to *pool, rest int64) {
	c.heldMu.Lock()
	defer c.heldMu.Unlock()
	if excess := c.held[to.kind] - rest; excess > 0 {
		c.held[to.kind] = rest
		to.put(c.address, excess)
	}
}

// releaseAll returns all memory that the connection holds.
func (c *Conn) releaseAll() {
	c.release(c.port.budget.headers, 0)
	c.release(c.port.budget.bodies, 0)
}

// beginSection begins a header section. Its first bytes may be in the read buffer of the server already, if the client sent them
// with the previous request.
func (c *Conn) beginSection() {
	rest := c.readBytes - int64(c.scan.bytes) - max(c.bodySize, 0)
	c.scan, c.readBytes = headerScan{}, 0
	if c.port.options.Encrypted {
		return
	}
	if c.bodySize >= 0 && rest <= 0 {
		return
	}
	rest = min(max(rest, 0), readBufferBytes)
	c.readBytes = rest
	c.scan = headerScan{bytes: int(rest), lines: min(c.recent.count(), int(rest)), started: rest > 0}
	if cost := c.scan.cost(); cost > 0 && !c.hold(c.port.budget.headers, cost) {
		c.port.evict(c, headerNoRoom)
	}
}

// interruptReads makes the present read and all later ones fail.
func (c *Conn) interruptReads() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only for a connection that is closed
}

// SetReadDeadline implements net.Conn. It has no effect once reads are interrupted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the sending side, as net/http does before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. After a refusal the connection is closed a moment later, so that the answer arrives.
func (c *Conn) Close() error {
	c.releaseAll()
	if c.linger.Swap(false) {
		err := c.CloseWrite()
		time.AfterFunc(lingerTime, func() {
			_ = c.Conn.Close() // the client may have closed it
			c.port.remove(c)
		})
		return err
	}
	err := c.Conn.Close()
	c.port.remove(c)
	return err
}

// SetLinger passes the setting on to the TCP connection, if it is one. It has no effect after a refusal, whose answer a reset could
// destroy.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && !c.linger.Load() {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, eris.New("connection has no descriptor")
}
