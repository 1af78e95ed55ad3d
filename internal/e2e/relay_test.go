package e2e_test

import (
	"bytes"
	"encoding/binary"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// direction is the side that receives the data: the entry, which accepts the connection, or the agent or entry that dialled.
type direction int

const (
	toEntry direction = iota
	toDialler
)

// relay forwards TCP connections to the link address of an entry or to the store. It reads the hello of each link to
// identify the dialler, and can then close connections, delay data or hold it back in either direction.
type relay struct {
	address string
	target  string

	mu      sync.Mutex
	pipes   map[*pipe]struct{}
	refused map[string]bool // ids of diallers whose connections are closed; the empty id refuses all
	delay   time.Duration
}

// pipe is one relayed connection.
type pipe struct {
	relay           *relay
	dialler, target net.Conn
	mu              sync.Mutex
	changed         *sync.Cond
	diallerID       string  // empty until the hello has been read
	held            [2]bool // by direction
	closed          bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{
		address: listener.Addr().String(), target: target,
		pipes: make(map[*pipe]struct{}), refused: make(map[string]bool),
	}
	t.Cleanup(func() {
		_ = listener.Close()
		r.cut("")
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

func (r *relay) serve(dialler net.Conn) {
	if r.isRefused("") {
		_ = dialler.Close()
		return
	}
	target, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = dialler.Close()
		return
	}
	p := &pipe{relay: r, dialler: dialler, target: target}
	p.changed = sync.NewCond(&p.mu)
	r.mu.Lock()
	r.pipes[p] = struct{}{}
	r.mu.Unlock()
	go p.copy(toDialler, dialler, target)
	p.copy(toEntry, target, dialler)
	r.mu.Lock()
	delete(r.pipes, p)
	r.mu.Unlock()
}

// copy forwards data in one direction. While that direction is held, it forwards neither data nor the end of the connection.
func (p *pipe) copy(d direction, to, from net.Conn) {
	var sent []byte
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if d == toEntry && sent != nil || d == toEntry && p.currentDiallerID() == "" {
			sent = append(sent, buffer[:n]...)
			if id := parseHelloID(sent); id != "" {
				p.identify(id)
				sent = nil
			}
		}
		if delay := p.relay.currentDelay(); delay > 0 && n > 0 {
			time.Sleep(delay)
		}
		p.awaitRelease(d)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.close()
			return
		}
	}
}

func (p *pipe) currentDiallerID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.diallerID
}

// identify stores the id of the dialler and closes the connection if the relay refuses this dialler.
func (p *pipe) identify(id string) {
	p.mu.Lock()
	p.diallerID = id
	p.mu.Unlock()
	if p.relay.isRefused(id) {
		p.close()
	}
}

func (r *relay) isRefused(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused[id]
}

func (p *pipe) awaitRelease(d direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.held[d] && !p.closed {
		p.changed.Wait()
	}
}

func (p *pipe) close() {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	_ = p.dialler.Close()
	_ = p.target.Close()
}

func (r *relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// forEach calls f for each open connection of a dialler; an empty id selects all connections.
func (r *relay) forEach(id string, f func(*pipe)) {
	r.mu.Lock()
	var matching []*pipe
	for p := range r.pipes {
		if id == "" || p.currentDiallerID() == id {
			matching = append(matching, p)
		}
	}
	r.mu.Unlock()
	for _, p := range matching {
		f(p)
	}
}

// cut closes the open connections of a dialler; an empty id selects all.
func (r *relay) cut(id string) { r.forEach(id, (*pipe).close) }

// refuse closes the open connections of a dialler, and any new one until allow is called. An empty id selects all diallers.
func (r *relay) refuse(id string) {
	r.mu.Lock()
	r.refused[id] = true
	r.mu.Unlock()
	r.cut(id)
}

func (r *relay) allow(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.refused, id)
}

// silence holds back what is sent in the given directions on the open connections of a dialler. Both ends see an open
// connection. New connections are not affected.
func (r *relay) silence(id string, directions ...direction) {
	r.forEach(id, func(p *pipe) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, d := range directions {
			p.held[d] = true
		}
	})
}

// release delivers the data that was held back on connections that are still open.
func (r *relay) release(id string) {
	r.forEach(id, func(p *pipe) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.held = [2]bool{}
		p.changed.Broadcast()
	})
}

// setDelay delays data in both directions by at least d.
func (r *relay) setDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// parseHelloID returns the id in the hello of a dialler, or "" if the bytes that it sent so far hold no complete hello. The
// hello is the first WebSocket frame (RFC 6455, section 5.2) after the HTTP request.
func parseHelloID(sent []byte) string {
	_, frame, found := bytes.Cut(sent, []byte("\r\n\r\n"))
	if !found || len(frame) < 2 {
		return ""
	}
	length, frame := int(frame[1]&0x7f), frame[2:]
	if length == 126 {
		if len(frame) < 2 {
			return ""
		}
		length, frame = int(binary.BigEndian.Uint16(frame)), frame[2:]
	}
	const maskLength = 4
	if len(frame) < maskLength+length {
		return ""
	}
	mask, payload := frame[:maskLength], bytes.Clone(frame[maskLength:maskLength+length])
	for i := range payload {
		payload[i] ^= mask[i%maskLength]
	}
	m, err := wire.Decode(payload)
	if err != nil {
		return ""
	}
	if hello, ok := m.(*wire.Hello); ok {
		return hello.ID
	}
	return ""
}
