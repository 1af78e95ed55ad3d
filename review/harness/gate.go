//go:build review

package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// gate is the path to a worker. While it is shut, connections are refused or reset, and the worker behind it runs on.
type gate struct {
	handler http.Handler
	address string

	mu     sync.Mutex
	server *http.Server
}

// open lets connections pass. A listener that was just closed can need a moment.
func (g *gate) open() error {
	var listener net.Listener
	var err error
	for deadline := time.Now().Add(time.Second); ; time.Sleep(5 * time.Millisecond) {
		if listener, err = net.Listen("tcp", g.address); err == nil || time.Now().After(deadline) {
			break
		}
	}
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server = &http.Server{Handler: g.handler}
	go func(s *http.Server) { _ = s.Serve(listener) }(g.server)
	return nil
}

// refuse cuts the worker off: new connections are refused, and those that are open break.
func (g *gate) refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.server.Close()
}
