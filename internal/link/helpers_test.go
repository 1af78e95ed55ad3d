package link_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const token = "test-token"

// recorder is a link.Handler that records messages and causes.
type recorder struct {
	mu       sync.Mutex
	messages []wire.Message
	causes   []error
}

// OnMessage implements link.Handler.
func (r *recorder) OnMessage(_ *link.Link, m wire.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

// OnClose implements link.Handler.
func (r *recorder) OnClose(_ *link.Link, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.causes = append(r.causes, cause)
}

func (r *recorder) received() []wire.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]wire.Message(nil), r.messages...)
}

func (r *recorder) closed() []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]error(nil), r.causes...)
}

// acceptor accepts links on a loopback socket.
type acceptor struct {
	address string
	options link.Options
	decide  func(*wire.Hello) *wire.Welcome
	links   chan *link.Link
	errs    chan error
}

func newAcceptor(t testing.TB) *acceptor {
	t.Helper()
	a := &acceptor{
		options: link.Options{Clock: clock.System{}, Stats: &link.Stats{}},
		decide:  func(*wire.Hello) *wire.Welcome { return &wire.Welcome{ID: "e1", Incarnation: 7} },
		links:   make(chan *link.Link, 8),
		errs:    make(chan error, 8),
	}
	server := httptest.NewServer(http.HandlerFunc(a.serve))
	t.Cleanup(server.Close)
	a.address = strings.TrimPrefix(server.URL, "http://")
	return a
}

func (a *acceptor) serve(w http.ResponseWriter, r *http.Request) {
	conn, err := link.Upgrade(w, r, token)
	if err != nil {
		a.errs <- err
		return
	}
	l, err := link.Accept(context.Background(), conn, a.decide, a.options)
	if err != nil {
		a.errs <- err
		return
	}
	a.links <- l
}

// accepted returns the next accepted link.
func (a *acceptor) accepted(t testing.TB) *link.Link {
	t.Helper()
	return receiveNext(t, a.links)
}

// refusal returns the error with which the next connection was refused.
func (a *acceptor) refusal(t testing.TB) error {
	t.Helper()
	return receiveNext(t, a.errs)
}

func receiveNext[T any](t testing.TB, from <-chan T) T {
	t.Helper()
	select {
	case item := <-from:
		return item
	case <-time.After(10 * time.Second):
		t.Fatal("the acceptor reported nothing in time")
		panic("unreachable")
	}
}

func dialOptions() link.Options {
	return link.Options{Clock: clock.System{}, Stats: &link.Stats{}}
}

// dial connects to the address and starts both ends.
func (a *acceptor) dial(t testing.TB, address string, options link.Options) (near, far *link.Link, nearRecorder, farRecorder *recorder) {
	t.Helper()
	g := gomega.NewWithT(t)
	near, _, err := link.Dial(context.Background(), link.WebSocketDialer{Token: token}, address, wire.Hello{ID: "u1"}, options)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	far = a.accepted(t)
	nearRecorder, farRecorder = &recorder{}, &recorder{}
	near.Start(nearRecorder)
	far.Start(farRecorder)
	t.Cleanup(func() { near.Close(link.ErrClosed); far.Close(link.ErrClosed) })
	return near, far, nearRecorder, farRecorder
}

// relay forwards TCP bytes until dropTraffic is called. After that, connections stay open and all bytes are dropped.
type relay struct {
	address  string
	dropping chan struct{}
}

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{address: listener.Addr().String(), dropping: make(chan struct{})}
	done := make(chan struct{})
	t.Cleanup(func() { close(done); _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			go r.copy(server, client)
			go r.copy(client, server)
			go func() { <-done; _ = client.Close(); _ = server.Close() }()
		}
	}()
	return r
}

func (r *relay) dropTraffic() { close(r.dropping) }

func (r *relay) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 1<<16)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case <-r.dropping:
			continue // the bytes are lost, as in a network partition
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// waitUntil polls the condition for up to 10 s, which is enough on a loaded machine too.
func waitUntil(t testing.TB, condition func() bool, what string) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("did not happen in time: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
