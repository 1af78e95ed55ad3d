package capacity

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// segmentPayload is the payload in bytes of a full TCP segment with time stamps on an Ethernet path.
const segmentPayload = 1448

// relay passes connections on to a target and counts what they carry in both directions.
type relay struct {
	address string
	target  string

	bytes, segments atomic.Int64
	mu              sync.Mutex
	open            []net.Conn
}

// startRelay listens on a loopback address of its own.
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
		for _, c := range r.open {
			_ = c.Close()
		}
	})
	go r.accept(listener)
	return r
}

func (r *relay) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		r.open = append(r.open, near, far)
		r.mu.Unlock()
		go r.copy(near, far)
		go r.copy(far, near)
	}
}

// copy counts what one read returns as sent at once, so the number of segments is an estimate.
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

// wireBytes returns the bytes with the headers of TCP and IP of each segment and of its acknowledgement.
func (r *relay) wireBytes() float64 {
	return float64(r.bytes.Load() + 2*segmentBytes*r.segments.Load())
}
