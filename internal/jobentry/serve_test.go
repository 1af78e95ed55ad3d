package jobentry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/intake"
)

func newTestPort(logger log.Interface) *intake.Port {
	return intake.NewBudget(intake.NewShares(intake.Resources{})).CallerPort(intake.PortOptions{Name: "callers", Log: logger})
}

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
	server := &CallerServer{Entry: e, Handler: handler, Grace: grace, Log: logger, Port: newTestPort(logger)}
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
