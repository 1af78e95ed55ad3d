package jobentry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStopping means that the rest of a request was not read because the entry stops. Nothing of the request has run.
var ErrStopping = eris.New("the entry stops")

// incompleteRequestAnswer is the answer to a request whose header has not arrived completely when the entry ends. No job of it can
// have run.
const incompleteRequestAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Type: application/json\r\n" +
	"Content-Length: 2\r\nConnection: close\r\n\r\n{}"

// connections holds the open connections of a server for callers.
type connections struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newConnections() *connections { return &connections{open: make(map[*callerConn]struct{})} }

// setState is the ConnState hook of the server. A callerListener accepts the connections of the server.
func (c *connections) setState(conn net.Conn, state http.ConnState) {
	cc, ok := conn.(*callerConn)
	if !ok {
		return
	}
	cc.setState(state)
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, cc)
	} else {
		c.open[cc] = struct{}{}
	}
}

// forEach calls f for every open connection, without a lock.
func (c *connections) forEach(f func(*callerConn)) {
	c.mu.Lock()
	open := make([]*callerConn, 0, len(c.open))
	for cc := range c.open {
		open = append(open, cc)
	}
	c.mu.Unlock()
	for _, cc := range open {
		f(cc)
	}
}

// countBusy returns the number of connections with an open request or without a request so far. Clients open connections ahead of
// their requests, and the first request can arrive seconds later.
func (c *connections) countBusy() int {
	n := 0
	c.forEach(func(cc *callerConn) {
		if cc.isPending() || cc.isNew() {
			n++
		}
	})
	return n
}

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// countPending returns the number of connections with an open request, also if only a part of it has arrived.
func (c *connections) countPending() int {
	n := 0
	c.forEach(func(cc *callerConn) {
		if cc.isPending() {
			n++
		}
	})
	return n
}

// callerListener accepts connections as callerConn. The HTTP server must get its connections from it directly. A listener below it whose
// connections are not TCP connections has to pass on their SetLinger, CloseWrite and SyscallConn.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, accepted: time.Now()}, nil
}

// callerConn is a connection of a caller. It records whether the entry has read any part of a request that is not answered yet.
// Without one it can be closed at any time. Close then resets it, as the kernel does with a connection whose data nobody has read, so
// that a caller that is just sending a request learns that the request was not read. An end of file would leave that open.
type callerConn struct {
	net.Conn
	accepted time.Time

	mu      sync.Mutex
	state   http.ConnState
	pending bool // a part of a request was read, and the request is not answered yet
	// bodyReads counts the calls that read the body of the request.
	bodyReads int
	// refuseRequests ends the next Read that does not continue a request; refuseBody ends the reads of the body.
	refuseRequests, refuseBody bool
	ended                      bool // the caller has closed the connection, or it failed
}

func (c *callerConn) isPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

func (c *callerConn) isNew() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == http.StateNew
}

func (c *callerConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	switch state {
	case http.StateActive:
		c.pending = true
	case http.StateIdle:
		c.pending = false
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	refused := c.refuseRequests && !c.pending
	c.mu.Unlock()
	if refused {
		return 0, stoppingError()
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.pending {
		c.pending = true
		if c.refuseRequests || c.state == http.StateNew { // the deadline has passed, or is that of an idle connection
			_ = c.Conn.SetReadDeadline(time.Now().Add(callerHeaderTimeout)) // fails only on a closed connection
		}
	}
	if err != nil && c.refuseRequests && !c.pending {
		return n, stoppingError()
	}
	c.ended = c.ended || err != nil && !isTimeout(err) // the HTTP server ends reads with a deadline
	return n, err
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

// stoppingError is an error of a read, so that the HTTP server closes the connection and logs nothing.
func stoppingError() error { return &net.OpError{Op: "read", Net: "tcp", Err: ErrStopping} }

// SetReadDeadline implements net.Conn. The HTTP server sets the deadline of the header when it has accepted a connection; the idle
// timeout applies instead until the first byte has arrived.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateNew && !c.pending && !t.IsZero() {
		t = c.accepted.Add(callerIdleTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	unread := !c.pending && !c.ended
	c.mu.Unlock()
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok && unread {
		_ = l.SetLinger(0) // makes Close send a reset; fails only on a closed connection
	}
	return c.Conn.Close()
}

// CloseWrite lets the HTTP server send the end of an answer before it closes the connection.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn, for CallerGone.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, eris.New("the connection has no file descriptor")
}

// endUnlessPending makes the server close the connection if no part of a request has been read. A request that is read at this
// moment is served.
func (c *callerConn) endUnlessPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pending && !c.refuseRequests {
		c.refuseRequests = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a Read that waits; fails only on a closed connection
	}
}

// endBody ends the reads of a body that has not arrived completely, with ErrStopping.
func (c *callerConn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bodyReads > 0 && !c.refuseBody {
		c.refuseBody = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// answerIncompleteHeader refuses a request whose header has not arrived completely.
func (c *callerConn) answerIncompleteHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.pending || c.state == http.StateActive {
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(requestPollInterval))
	_, _ = c.Conn.Write([]byte(incompleteRequestAnswer)) // the caller may have gone
}

// callerBody is the body of a request. Its reads end with ErrStopping when the entry no longer waits for the rest.
type callerBody struct {
	body io.ReadCloser
	conn *callerConn
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.conn.mu.Lock()
	b.conn.bodyReads++
	b.conn.mu.Unlock()
	n, err := b.body.Read(p)
	b.conn.mu.Lock()
	defer b.conn.mu.Unlock()
	b.conn.bodyReads--
	if isTimeout(err) && b.conn.refuseBody {
		return n, ErrStopping
	}
	return n, err
}

// Close implements io.Closer.
func (b *callerBody) Close() error { return b.body.Close() }
