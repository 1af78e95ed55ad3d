//go:build review

package main

import (
	"bytes"
	"io"
	"net"
	"regexp"
	"sync"
	"time"
)

// proxy passes the links of agents to an entry. It cuts off agents by the names of their machines, which it reads from the first
// frame of a link: nothing passes on their links, in either direction, and new ones hang.
type proxy struct {
	target string

	mu  sync.Mutex
	cut map[string]chan struct{} // by the name of the machine; closed when the cut is over
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, cut: make(map[string]chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(conn)
		}
	}()
	return p, nil
}

// setCut begins or ends the cut of an agent.
func (p *proxy) setCut(name string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.cut[name]; old != nil {
		close(old)
		delete(p.cut, name)
	}
	if cut {
		p.cut[name] = make(chan struct{})
	}
}

// await waits until an agent is not cut off.
func (p *proxy) await(name string) {
	p.mu.Lock()
	over := p.cut[name]
	p.mu.Unlock()
	if over != nil {
		<-over
	}
}

// linkEnds are the connections of one link.
type linkEnds struct {
	proxy *proxy
	mu    sync.Mutex
	name  string // of the agent's machine, once it is known
	first []byte // what the agent has sent before that
}

func (p *proxy) pass(agent net.Conn) {
	entry, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = agent.Close()
		return
	}
	l := &linkEnds{proxy: p}
	go l.copy(entry, agent, true)
	l.copy(agent, entry, false)
}

func (l *linkEnds) copy(to, from net.Conn, fromAgent bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.proxy.await(l.identify(buffer[:n], fromAgent)) // also the end of a connection shows only after the cut
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

var machineName = regexp.MustCompile(`side-[a-z]+-[0-9]+`)

// identify returns the name of the agent's machine, empty while it is not known.
func (l *linkEnds) identify(data []byte, fromAgent bool) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.name != "" || !fromAgent {
		return l.name
	}
	l.first = append(l.first, data...)
	if _, frame, ok := bytes.Cut(l.first, []byte("\r\n\r\n")); ok {
		l.name = machineName.FindString(unmask(frame))
	}
	return l.name
}

// unmask returns the payload of the first WebSocket frame of a client, as far as it has arrived.
func unmask(frame []byte) string {
	if len(frame) < 8 {
		return ""
	}
	head := 2
	switch frame[1] & 0x7f {
	case 126:
		head += 2
	case 127:
		head += 8
	}
	if len(frame) < head+4 {
		return ""
	}
	key, payload := frame[head:head+4], bytes.Clone(frame[head+4:])
	for i := range payload {
		payload[i] ^= key[i%len(key)]
	}
	return string(payload)
}
