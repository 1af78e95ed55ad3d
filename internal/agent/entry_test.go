package agent_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const token = "test-token"

var silentLog = &log.Logger{Handler: discard.Default}

// testEntry accepts links from agents and stores the messages that they send.
type testEntry struct {
	t           testing.TB
	id          string
	incarnation uint64
	address     string
	server      *http.Server
	// list and revisions are sent in the Welcome message of each link.
	list      *wire.EntryList
	revisions map[string]uint64

	mu       sync.Mutex
	links    []*link.Link
	hellos   []wire.Hello
	results  map[uint64][]*wire.Result
	messages []wire.Message
}

// dedicatedHost is a loopback address that no other process uses, so that the port of an entry or an upstream that is
// closed for a while stays free.
var dedicatedHost = fmt.Sprintf("127.%d.%d.3", 64+os.Getpid()>>8&63, os.Getpid()&255)

func newTestEntry(t testing.TB, id string) *testEntry {
	t.Helper()
	return newTestEntryAt(t, id, "127.0.0.1")
}

func newTestEntryAt(t testing.TB, id, host string) *testEntry {
	t.Helper()
	e := &testEntry{t: t, id: id, incarnation: uint64(id[1]), results: map[uint64][]*wire.Result{}}
	e.listen(host + ":0")
	t.Cleanup(e.close)
	return e
}

func (e *testEntry) listen(address string) {
	e.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		e.t.Fatal(err)
	}
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: http.HandlerFunc(e.accept)}
	go func() { _ = e.server.Serve(listener) }()
}

func (e *testEntry) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := link.Upgrade(w, r, token)
	if err != nil {
		return
	}
	l, err := link.Accept(context.Background(), conn, func(h *wire.Hello) *wire.Welcome {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.hellos = append(e.hellos, *h)
		return &wire.Welcome{ID: e.id, Incarnation: e.incarnation, List: e.list, DocumentRevisions: e.revisions}
	}, link.Options{Clock: clock.System{}, Stats: &link.Stats{}})
	if err != nil {
		return
	}
	l.Start(e)
	e.mu.Lock()
	e.links = append(e.links, l)
	e.mu.Unlock()
}

// OnMessage implements link.Handler.
func (e *testEntry) OnMessage(_ *link.Link, m wire.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.messages = append(e.messages, m)
	if r, ok := m.(*wire.Result); ok {
		e.results[r.Attempt] = append(e.results[r.Attempt], r)
	}
}

// OnClose implements link.Handler.
func (e *testEntry) OnClose(closed *link.Link, _ error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, l := range e.links {
		if l == closed {
			e.links = append(e.links[:i:i], e.links[i+1:]...)
			return
		}
	}
}

// close stops listening and closes all links.
func (e *testEntry) close() {
	_ = e.server.Close()
	e.closeLinks()
}

// closeLinks closes all links.
func (e *testEntry) closeLinks() {
	for _, l := range e.openLinks() {
		l.Close(link.ErrClosed)
	}
}

func (e *testEntry) openLinks() []*link.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*link.Link(nil), e.links...)
}

// waitLinked waits for a link and returns the newest one.
func (e *testEntry) waitLinked() *link.Link {
	e.t.Helper()
	g := gomega.NewWithT(e.t)
	g.Eventually(func() int { return len(e.openLinks()) }, 8*time.Second, 5*time.Millisecond).ShouldNot(gomega.BeZero())
	links := e.openLinks()
	return links[len(links)-1]
}

func (e *testEntry) send(m wire.Message) {
	e.t.Helper()
	if err := e.waitLinked().Send(m); err != nil {
		e.t.Fatal(err)
	}
}

// newStart returns a valid Start for a job without an idempotency key.
func (e *testEntry) newStart(attempt uint64, changes ...func(*wire.Start)) *wire.Start {
	s := &wire.Start{
		Attempt: attempt, Home: e.id, HomeIncarnation: e.incarnation, Task: 0, Tasks: 1,
		Service: "bench", Kind: "run", Method: http.MethodPost, Path: "/run", BudgetMillis: 5000,
	}
	s.Key[0], s.Key[1], s.Key[2] = e.id[1], byte(attempt), byte(attempt>>8)
	for _, change := range changes {
		change(s)
	}
	return s
}

func (e *testEntry) result(attempt uint64) *wire.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	if all := e.results[attempt]; len(all) > 0 {
		return all[len(all)-1]
	}
	return nil
}

// waitResult waits for a result of an attempt and returns the newest one.
func (e *testEntry) waitResult(attempt uint64) *wire.Result {
	e.t.Helper()
	g := gomega.NewWithT(e.t)
	g.Eventually(func() *wire.Result { return e.result(attempt) }, 8*time.Second, 2*time.Millisecond).ShouldNot(gomega.BeNil())
	return e.result(attempt)
}

// receivedMessages returns the received messages of one type.
func receivedMessages[M wire.Message](e *testEntry) []M {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []M
	for _, m := range e.messages {
		if typed, ok := m.(M); ok {
			all = append(all, typed)
		}
	}
	return all
}

// receivedHellos returns the Hello messages of all links so far.
func (e *testEntry) receivedHellos() []wire.Hello {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wire.Hello(nil), e.hellos...)
}
