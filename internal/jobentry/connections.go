package jobentry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestTimeout is the age up to which a connection without a request counts as busy. Callers send their request as soon as
// they are connected.
const firstRequestTimeout = 500 * time.Millisecond

// connections tracks the connections of a server that carry a request or are about to. A server that shuts down drops each request
// whose header it has not read yet, so it must not do so before.
type connections struct {
	mu     sync.Mutex
	active map[net.Conn]bool
	fresh  map[net.Conn]time.Time // connections without a request so far, with the time of their acceptance
}

func newConnections() *connections {
	return &connections{active: make(map[net.Conn]bool), fresh: make(map[net.Conn]time.Time)}
}

// setState is the ConnState hook of the server.
func (c *connections) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, conn)
	delete(c.fresh, conn)
	switch state {
	case http.StateNew:
		c.fresh[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = true
	}
}

// busy returns the number of connections with an open request, or whose first request is expected.
func (c *connections) busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.active)
	for _, accepted := range c.fresh {
		if time.Since(accepted) < firstRequestTimeout {
			n++
		}
	}
	return n
}
