package agent

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// countingConn counts the bytes that were passed to the operating system. After closeAndCount it writes nothing more, so
// the count is final even if net/http still uses the connection in another goroutine.
type countingConn struct {
	net.Conn
	mu       sync.Mutex
	written  uint64
	isClosed bool
}

// Write implements net.Conn. It counts the bytes before it writes them, since a failed write may have sent a part of them.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.isClosed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += uint64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countingConn) bytesWritten() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// closeAndCount closes the connection and returns the final count.
func (c *countingConn) closeAndCount() uint64 {
	c.mu.Lock()
	c.isClosed = true
	written := c.written
	c.mu.Unlock()
	_ = c.Close()
	return written
}

// requestSendTracker detects whether any byte of one request was sent.
type requestSendTracker struct {
	conn          *countingConn
	writtenBefore uint64
	reused        bool
}

// gotConn is the GotConn hook of httptrace. It is called before the request is written.
func (s *requestSendTracker) gotConn(info httptrace.GotConnInfo) {
	s.conn, _ = info.Conn.(*countingConn)
	s.reused = info.Reused
	if s.conn != nil {
		s.writtenBefore = s.conn.bytesWritten()
	}
}

// sentNothing closes the connection of a failed call and reports whether nothing of the request was or will be sent.
func (s *requestSendTracker) sentNothing() bool {
	return s.conn == nil || s.conn.closeAndCount() == s.writtenBefore
}
