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

// direction names one side of a relayed connection: the entry accepts it, an agent or another entry dials it.
type direction int

const (
	toEntry direction = iota
	toDialler
)

// relay passes TCP connections on to the link address of an entry, or to the store. It reads the hello of each connection to learn who
// dials, and can then cut, delay or hold what the two sides send.
type relay struct {
	address string
	target  string

	mu      sync.Mutex
	pipes   map[*pipe]struct{}
	refused map[string]bool // diallers whose new connections are closed
	delay   time.Duration
}

// pipe is one relayed connection.
type pipe struct {
	relay          *relay
	dialler, entry net.Conn
	mu             sync.Mutex
	changed        *sync.Cond
	id             string // of the dialler; empty until its hello was read
	held           [2]bool
	closed         bool
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
	entry, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = dialler.Close()
		return
	}
	p := &pipe{relay: r, dialler: dialler, entry: entry}
	p.changed = sync.NewCond(&p.mu)
	r.mu.Lock()
	r.pipes[p] = struct{}{}
	r.mu.Unlock()
	go p.copy(toDialler, dialler, entry)
	p.copy(toEntry, entry, dialler)
	r.mu.Lock()
	delete(r.pipes, p)
	r.mu.Unlock()
}

// copy passes bytes on. While the direction is held it keeps them, and the end of the connection, to itself.
func (p *pipe) copy(d direction, to, from net.Conn) {
	var seen []byte
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if d == toEntry && seen != nil || d == toEntry && p.name() == "" {
			seen = append(seen, buffer[:n]...)
			if id := helloOf(seen); id != "" {
				p.identify(id)
				seen = nil
			}
		}
		if delay := p.relay.currentDelay(); delay > 0 && n > 0 {
			time.Sleep(delay)
		}
		p.awaitRelease(d)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			p.close()
			return
		}
	}
}

func (p *pipe) name() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

// identify notes who dials and closes the connection when the relay refuses it.
func (p *pipe) identify(id string) {
	p.mu.Lock()
	p.id = id
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
	_ = p.entry.Close()
}

func (r *relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// each calls f for the open connections of a dialler; an empty id means all.
func (r *relay) each(id string, f func(*pipe)) {
	r.mu.Lock()
	var chosen []*pipe
	for p := range r.pipes {
		if id == "" || p.name() == id {
			chosen = append(chosen, p)
		}
	}
	r.mu.Unlock()
	for _, p := range chosen {
		f(p)
	}
}

// cut closes the open connections of a dialler.
func (r *relay) cut(id string) { r.each(id, (*pipe).close) }

// refuse closes open and new connections of a dialler, or of all if the id is empty, until allow.
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

// silence holds what is sent on the open connections of a dialler in the given directions. The ends see an open
// connection. New connections work.
func (r *relay) silence(id string, directions ...direction) {
	r.each(id, func(p *pipe) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, d := range directions {
			p.held[d] = true
		}
	})
}

// release delivers what was held on connections that are still open.
func (r *relay) release(id string) {
	r.each(id, func(p *pipe) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.held = [2]bool{}
		p.changed.Broadcast()
	})
}

// setDelay delays what each side sends by at least d.
func (r *relay) setDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// helloOf returns the id in the hello of a dialler, given all bytes that it has sent, or "" while it is not complete.
// The hello is the first WebSocket frame (RFC 6455, section 5.2) after the HTTP request.
func helloOf(sent []byte) string {
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
