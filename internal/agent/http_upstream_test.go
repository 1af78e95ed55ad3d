package agent_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/agent"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

func newHTTPUpstreamClient(t testing.TB, base string, connections int) *agent.HTTPUpstreamClient {
	t.Helper()
	parsed, err := url.Parse(base)
	if err != nil {
		t.Fatal(err)
	}
	u := agent.NewHTTPUpstreamClient(parsed, connections)
	t.Cleanup(u.CloseIdle)
	return u
}

func contextWithTimeout(t testing.TB, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return ctx
}

// Guards against forwarded headers that apply to one connection only, against a caller that sets the headers of the agent,
// and against a path that changes the host.
func TestRequestToTheUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := make(chan *http.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-Kept", "2")
	}))
	defer server.Close()
	u := newHTTPUpstreamClient(t, server.URL+"/base", 2)
	response, err := u.Call(contextWithTimeout(t, 5*time.Second), agent.Request{
		Key: wire.KeyHash{1, 2}, Task: 9, Attempt: 77, Method: http.MethodPut, Path: "/a%2Fb?q=1", Body: []byte("x"),
		Headers: []wire.Header{
			{Name: "x-own", Value: "yes"},
			{Name: "Connection", Value: "X-Private"},
			{Name: "X-Private", Value: "1"},
			{Name: "idempotency-key", Value: "forged"},
			{Name: "coltsfootspur-task", Value: "forged"},
			{Name: "Coltsfootspur-Other", Value: "forged"},
			{Name: "Transfer-Encoding", Value: "chunked"},
			{Name: "Content-Length", Value: "100"},
		},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r := <-seen
	g.Expect(r.URL.RequestURI()).To(gomega.Equal("/base/a%2Fb?q=1"))
	g.Expect(r.Header.Values(agent.HeaderIdempotencyKey)).To(gomega.Equal([]string{"01020000000000000000000000000000-9"}))
	g.Expect(r.Header.Values(agent.HeaderTask)).To(gomega.Equal([]string{"01020000000000000000000000000000/9"}))
	g.Expect(r.Header.Get(agent.HeaderAttempt)).To(gomega.Equal("77"))
	g.Expect(r.Header.Get("X-Own")).To(gomega.Equal("yes"))
	g.Expect(r.Header).NotTo(gomega.HaveKey("X-Private"))
	g.Expect(r.Header).NotTo(gomega.HaveKey("Coltsfootspur-Other"))
	g.Expect(r.ContentLength).To(gomega.BeEquivalentTo(1))
	g.Expect(response.Headers).To(gomega.ContainElement(wire.Header{Name: "X-Kept", Value: "2"}))
	for _, h := range response.Headers {
		g.Expect(h.Name).NotTo(gomega.BeElementOf("X-Hop", "Connection", "Content-Length"))
	}
	for _, path := range []string{"//other.example/x", "http://other.example/", "relative", "/bad%zz"} {
		_, err := u.Call(contextWithTimeout(t, time.Second), agent.Request{Method: http.MethodGet, Path: path})
		g.Expect(errors.Is(err, agent.ErrInvalidRequest)).To(gomega.BeTrue(), path)
	}
}

// Guards against a request that net/http sends a second time after a lost connection, as it does for GET and for requests
// with an Idempotency-Key.
func TestLostConnectionIsNotRepeated(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range [][]byte{nil, []byte("x")} {
			g := gomega.NewWithT(t)
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) == 1 {
					return // leaves a connection in the pool
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					_ = conn.Close()
				}
			}))
			u := newHTTPUpstreamClient(t, server.URL, 1)
			request := agent.Request{Method: method, Path: "/", Body: body}
			_, err := u.Call(contextWithTimeout(t, 5*time.Second), request)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = u.Call(contextWithTimeout(t, 5*time.Second), request)
			g.Expect(errors.Is(err, agent.ErrConnectionLost)).To(gomega.BeTrue(), method)
			g.Expect(calls.Load()).To(gomega.BeEquivalentTo(2), method)
			server.Close()
		}
	}
}

// serverConnections tracks the open connections of a server.
type serverConnections struct {
	mu   sync.Mutex
	open map[net.Conn]http.ConnState
}

// trackConnections tracks the connections of a server. It must be called before the server is started.
func trackConnections(server *httptest.Server) *serverConnections {
	c := &serverConnections{open: make(map[net.Conn]http.ConnState)}
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.open[conn] = state; state == http.StateClosed {
			delete(c.open, conn)
		}
	}
	return c
}

// closeIdle closes the idle connections, as a server does after an idle timeout, and waits until the client has closed its
// side, too.
func (c *serverConnections) closeIdle(t testing.TB) {
	t.Helper()
	idle := func() (all []net.Conn) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for conn, state := range c.open {
			if state == http.StateIdle {
				all = append(all, conn)
			}
		}
		return all
	}
	g := gomega.NewWithT(t)
	g.Eventually(idle, 5*time.Second, time.Millisecond).ShouldNot(gomega.BeEmpty())
	for _, conn := range idle() {
		g.Expect(conn.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	}
	g.Eventually(idle, 5*time.Second, time.Millisecond).Should(gomega.BeEmpty())
}

// Guards against ErrNotReached for a call of which something was sent, and against calls that fail because the upstream has
// closed an idle connection.
func TestErrorsOfACall(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/large":
			_, _ = w.Write(make([]byte, wire.MaxAnswerBody+1))
		case "/headers":
			w.Header().Set("X-Large", string(make([]byte, 2*wire.MaxHeaders)))
		case "/hang":
			<-release
		}
	}))
	connections := trackConnections(server)
	server.Start()
	defer server.Close()
	defer close(release)
	u := newHTTPUpstreamClient(t, server.URL, 2)
	call := func(path string, within time.Duration) error {
		_, err := u.Call(contextWithTimeout(t, within), agent.Request{Method: http.MethodPost, Path: path})
		return err
	}
	g.Expect(errors.Is(call("/large", 5*time.Second), agent.ErrAnswerTooLarge)).To(gomega.BeTrue())
	g.Expect(errors.Is(call("/headers", 5*time.Second), agent.ErrAnswerTooLarge)).To(gomega.BeTrue())
	g.Expect(errors.Is(call("/hang", 100*time.Millisecond), agent.ErrTimeout)).To(gomega.BeTrue())
	for range 20 {
		g.Expect(call("/", 5*time.Second)).To(gomega.Succeed())
		connections.closeIdle(t)
	}
	const unused = "http://127.0.0.1:1"
	_, err := newHTTPUpstreamClient(t, unused, 1).Call(contextWithTimeout(t, 5*time.Second), agent.Request{Method: http.MethodGet, Path: "/"})
	g.Expect(errors.Is(err, agent.ErrNotReached)).To(gomega.BeTrue())
}

// Guards against more connections than the maximum, and against an error other than ErrNotReached for a call that gets no
// connection before its deadline.
func TestConnectionsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	entered := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	}))
	defer server.Close()
	defer close(release)
	u := newHTTPUpstreamClient(t, server.URL, 1)
	request := agent.Request{Method: http.MethodPost, Path: "/"}
	go func() { _, _ = u.Call(contextWithTimeout(t, 5*time.Second), request) }()
	<-entered
	_, err := u.Call(contextWithTimeout(t, 100*time.Millisecond), request)
	g.Expect(errors.Is(err, agent.ErrNotReached)).To(gomega.BeTrue())
}
