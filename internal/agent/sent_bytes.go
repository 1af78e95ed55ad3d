package agent

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// countingConn counts the bytes that were handed to the operating system. After seal it writes nothing more, so the
// count is final although net/http may still hold the connection in another goroutine.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written uint64
	sealed  bool
}

// Write implements net.Conn. It counts before it writes, since a failed write may have sent a part.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += uint64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countingConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection and returns the final count.
func (c *countingConn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	written := c.written
	c.mu.Unlock()
	_ = c.Close()
	return written
}

// sentBytes tells whether anything of one request was sent.
type sentBytes struct {
	conn   *countingConn
	before uint64
	reused bool
}

// gotConn is the GotConn hook of httptrace. It is called before the request is written.
func (s *sentBytes) gotConn(info httptrace.GotConnInfo) {
	s.conn, _ = info.Conn.(*countingConn)
	s.reused = info.Reused
	if s.conn != nil {
		s.before = s.conn.count()
	}
}

// none reports, after the call failed, that nothing was sent and nothing will be. It closes the connection.
func (s *sentBytes) none() bool {
	return s.conn == nil || s.conn.seal() == s.before
}
