package jobentry

import (
	"net"
	"net/http"
	"sync"
)

// connections counts the connections of a server that carry a request or have not carried one yet. A server that closes drops each
// request whose header it has not read, so it must not do so before. A connection without a request is closed by the
// time limits of intake.Port.
type connections struct {
	mu   sync.Mutex
	busy map[net.Conn]struct{}
}

func newConnections() *connections { return &connections{busy: make(map[net.Conn]struct{})} }

// setState is the ConnState hook of the server.
func (c *connections) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		c.busy[conn] = struct{}{}
	} else {
		delete(c.busy, conn)
	}
}

// countBusy returns the number of connections with an open request, or without a request so far.
func (c *connections) countBusy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}
