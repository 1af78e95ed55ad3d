package jobentry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
)

// startCallerServer serves a handler on a free port. stop begins the planned stop; stopped is closed when it is done.
func startCallerServer(t *testing.T, grace time.Duration, handler http.HandlerFunc) (address string, stop func(), stopped <-chan struct{}) {
	g := gomega.NewWithT(t)
	logger := &log.Logger{Handler: discard.Default}
	e, err := New(Options{ID: "entry-1", LinkAddress: "127.0.0.1:0", LinkToken: "token", Log: logger})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	e.catalog.Store(&catalog.Catalog{})
	entryContext, stopEntry := context.WithCancel(context.Background())
	go func() { _ = e.Run(entryContext) }()
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address = reserved.Addr().String()
	g.Expect(reserved.Close()).To(gomega.Succeed())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	server := &CallerServer{Entry: e, Handler: handler, Grace: grace, Log: logger}
	go func() {
		defer close(done)
		_ = server.Serve(ctx, address)
	}()
	t.Cleanup(func() {
		stop()
		<-done
		stopEntry()
	})
	g.Eventually(func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err
	}).Should(gomega.Succeed())
	return address, stop, done
}

// Guards against a planned stop that cuts a request: one whose connection was accepted just before the entry ceased to accept, and
// whose header arrives some time after it, is served as long as the grace period lasts.
func TestPlannedStopServesAConnectionThatWasJustAccepted(t *testing.T) {
	for _, delay := range []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			checkRequestAcrossTheStop(t, delay)
		})
	}
}

// checkRequestAcrossTheStop opens a connection 300 ms before a stopping entry ceases to accept, and completes a request on it
// after a delay. The request must be served, and the stop must end after it.
func checkRequestAcrossTheStop(t *testing.T, delay time.Duration) {
	g := gomega.NewWithT(t)
	const work = 600 * time.Millisecond
	address, stop, stopped := startCallerServer(t, 6*time.Second, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "done")
	})
	stop()
	time.Sleep(balancerRotationTime - 300*time.Millisecond)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(delay)
	_, err = io.WriteString(conn, "Host: entry.example\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	g.Expect(io.ReadAll(response.Body)).To(gomega.BeEquivalentTo("done"))
	g.Expect(response.Close).To(gomega.BeTrue(), "the caller opens its next connection elsewhere")
	g.Eventually(stopped).WithTimeout(time.Second).Should(gomega.BeClosed())
}

// Guards against a stop that lasts until the process is killed because a caller keeps a connection open without a request.
func TestPlannedStopEndsBeforeTheKillBesideASilentConnection(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	const grace = 4 * time.Second
	address, stop, stopped := startCallerServer(t, grace, func(http.ResponseWriter, *http.Request) {})
	stop()
	began := time.Now()
	time.Sleep(balancerRotationTime / 2)
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	g.Eventually(stopped).WithTimeout(grace).Should(gomega.BeClosed())
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", grace))
}

// Guards against a connection that is closed without an answer while its caller sends the first request: clients open connections
// ahead of their requests, and the time for the header was counted from the acceptance of the connection.
func TestConnectionThatWasOpenedAheadIsServed(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	address, _, _ := startCallerServer(t, 4*time.Second, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	time.Sleep(callerHeaderTimeout + 300*time.Millisecond)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry.example\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(conn, "\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
}

// Guards against a header that is never completed and keeps its connection open.
func TestHeaderThatIsNotCompletedEndsTheConnection(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	address, _, _ := startCallerServer(t, 4*time.Second, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(callerHeaderTimeout + time.Second))).To(gomega.Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(io.EOF))
}

// Guards against a stop that closes a connection as if it had read the request of its caller. A caller whose connection is reset
// submits the job again; one that gets an end of file cannot tell whether the job has run.
func TestPlannedStopResetsConnectionsWithoutARequest(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(map[bool]string{false: "new", true: "idle"}[used], func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			address, stop, stopped := startCallerServer(t, 4*time.Second, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			if used {
				_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: entry.example\r\n\r\n")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			stop()
			g.Eventually(stopped).WithTimeout(4 * time.Second).Should(gomega.BeClosed())
			_, err = conn.Read(make([]byte, 1))
			g.Expect(err).To(gomega.MatchError(syscall.ECONNRESET))
		})
	}
}

// Guards against a stop that drops a request of which it has read a part.
func TestPlannedStopAnswersAnIncompleteRequest(t *testing.T) {
	for name, part := range map[string]string{
		"header": "POST / HTTP/1.1\r\nHost: entry.example\r\n",
		"body":   "POST / HTTP/1.1\r\nHost: entry.example\r\nContent-Length: 100\r\n\r\n{",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			address, stop, stopped := startCallerServer(t, 4*time.Second, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); errors.Is(err, ErrStopping) {
					w.Header().Set("Retry-After", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
			conn, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			_, err = io.WriteString(conn, part)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			stop()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_ = response.Body.Close()
			g.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
			g.Expect(response.Header.Get("Retry-After")).To(gomega.Equal("1"))
			g.Expect(response.Close).To(gomega.BeTrue())
			g.Eventually(stopped).Should(gomega.BeClosed())
		})
	}
}

// Guards against a stop that lasts until the process is killed: the HTTP server waits for Accept to return, also while the entry is
// overloaded and accepts nothing.
func TestPausedListenerEndsWhenItIsClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l := newPausableListener(inner, func() bool { return true })
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	g.Expect(l.Close()).To(gomega.Succeed())
	g.Eventually(accepted).Should(gomega.Receive(gomega.MatchError(net.ErrClosed)))
}
