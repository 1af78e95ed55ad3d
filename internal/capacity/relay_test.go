package capacity

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// segmentPayload is the payload in bytes of a full TCP segment with timestamps on Ethernet.
const segmentPayload = 1448

// relay is a TCP proxy that counts the bytes and segments of its connections in both directions.
type relay struct {
	address string
	target  string

	bytes, segments atomic.Int64
	mu              sync.Mutex
	conns           []net.Conn
}

// startRelay starts a relay to target on a free loopback address. It is stopped at the end of the benchmark.
func startRelay(b *testing.B, target string) *relay {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	r := &relay{address: listener.Addr().String(), target: target}
	b.Cleanup(func() {
		_ = listener.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, c := range r.conns {
			_ = c.Close()
		}
	})
	go r.accept(listener)
	return r
}

func (r *relay) accept(listener net.Listener) {
	for {
		clientConn, err := listener.Accept()
		if err != nil {
			return
		}
		targetConn, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = clientConn.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, clientConn, targetConn)
		r.mu.Unlock()
		go r.copy(clientConn, targetConn)
		go r.copy(targetConn, clientConn)
	}
}

// copy forwards data in one direction. It assumes that the data of one read was sent at once, so the number of segments is
// an estimate.
func (r *relay) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.bytes.Add(int64(n))
			r.segments.Add(int64((n + segmentPayload - 1) / segmentPayload))
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wireBytes returns the bytes on the wire, including the TCP and IP headers of each segment and of its acknowledgement.
func (r *relay) wireBytes() float64 {
	return float64(r.bytes.Load() + 2*segmentHeaderBytes*r.segments.Load())
}
