package jobentry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/logging"
)

// Timing of the start and the planned stop of a caller interface.
const (
	// balancerRotationTime is the time within which a load balancer takes an entry that is not ready out of rotation: two
	// checks, one second apart, and the time until connections that it opened before have arrived.
	balancerRotationTime = 2500 * time.Millisecond
	// answerReserve is the time before the forced end at which open jobs are given up, so that their answers can still be
	// sent.
	answerReserve = 500 * time.Millisecond
	// acceptReserve is the time before open jobs are given up from which no connection is accepted. A job takes less than a
	// second, so jobs that were accepted before are answered in time.
	acceptReserve = time.Second
	// answerFlushTimeout is the time within which the answers to jobs that are given up leave the process. It leaves some of
	// answerReserve for the exit.
	answerFlushTimeout  = 250 * time.Millisecond
	requestPollInterval = 20 * time.Millisecond
	// maxConfigurationWait is the longest wait for the first configuration before connections are accepted without it.
	// Requests are then refused with a reason.
	maxConfigurationWait      = 2 * time.Second
	configurationPollInterval = 2 * time.Millisecond
	// maxConnectionHold is the longest time that connections wait in the kernel for the first configuration. Connections
	// that have waited for longer are reset, so that their callers retry or use another entry, because short jobs would be
	// late.
	maxConnectionHold = 400 * time.Millisecond
	// callerIdleTimeout is how long a connection without a request stays open, also one that has not carried any yet.
	callerIdleTimeout = 60 * time.Second
	// callerHeaderTimeout is the longest time from the first byte of a request until its header is complete.
	callerHeaderTimeout = 5 * time.Second
)

// CallerServer serves the HTTP interface for callers of an entry, and stops it without interrupting requests.
type CallerServer struct {
	Entry   *Entry
	Handler http.Handler
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	Log   log.Interface

	stopping    atomic.Bool
	connections *connections
}

// Ready reports whether the load balancer may send new connections.
func (s *CallerServer) Ready() bool { return !s.stopping.Load() && s.Entry.Ready() }

// Serve accepts connections once a configuration is in force. After ctx ends it serves until all requests are answered and
// the load balancer has had time to stop sending new ones. Jobs that are still open shortly before the end of Grace are
// given up. It returns ErrListen if it cannot listen.
func (s *CallerServer) Serve(ctx context.Context, address string) error {
	listener, err := s.listen(ctx, address)
	if err != nil {
		return err
	}
	s.connections = newConnections()
	server := &http.Server{
		Handler: s.announceClose(), ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout,
		ErrorLog: logging.NewStandardLogger(s.Log, "entry"), ConnContext: withConn, ConnState: s.connections.setState,
	}
	failed := make(chan error, 1)
	pausable := newPausableListener(listener, s.Entry.overload.acceptPaused.Load)
	go func() { failed <- server.Serve(callerListener{pausable}) }()
	defer server.Close()
	select {
	case err := <-failed:
		return eris.Wrapf(ErrListen, "%v", err)
	case <-ctx.Done():
	}
	s.stop(server, pausable, failed)
	return nil
}

// listen returns a listener once a configuration is in force or maxConfigurationWait has passed. Connections that arrive
// earlier wait, unread, for up to maxConnectionHold and are then reset.
func (s *CallerServer) listen(ctx context.Context, address string) (net.Listener, error) {
	began := time.Now()
	for {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, eris.Wrapf(ErrListen, "%v", err)
		}
		if s.awaitConfiguration(ctx, time.Now().Add(maxConnectionHold)) {
			return listener, nil
		}
		if time.Since(began) > maxConfigurationWait {
			s.Log.Warn("entry: serving without a configuration, all requests are refused")
			return listener, nil
		}
		if err := listener.Close(); err != nil {
			s.Log.WithField("error", err.Error()).Warn("entry: listener cannot be closed")
		}
	}
}

// awaitConfiguration waits for a configuration until a time. It returns true when there is one or when ctx has ended, and
// false at the time.
func (s *CallerServer) awaitConfiguration(ctx context.Context, until time.Time) bool {
	for s.Entry.Catalog() == nil && ctx.Err() == nil {
		if time.Now().After(until) {
			return false
		}
		time.Sleep(configurationPollInterval)
	}
	return true
}

func (s *CallerServer) announceClose() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			r.Body = &callerBody{body: r.Body, conn: conn}
		}
		s.Handler.ServeHTTP(&closingWriter{ResponseWriter: w, stopping: &s.stopping}, r)
	})
}

// closingWriter announces the close of the connection with each response of a stopping process, so that callers open their
// next connection elsewhere and none sends a request while the process closes the connection.
type closingWriter struct {
	http.ResponseWriter
	stopping *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if w.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// stop performs a planned stop. A load balancer that has no other entry nearby may send connections for longer than
// balancerRotationTime; they are accepted as long as requests are open and there is time to serve them. served gets the error with
// which the server ends when its listener is closed.
func (s *CallerServer) stop(server *http.Server, listener net.Listener, served <-chan error) {
	began := time.Now()
	s.stopping.Store(true)
	s.Log.WithField("open", s.connections.countBusy()).Info("entry: stopping, not ready for new connections")
	giveUp := began.Add(s.Grace - answerReserve)
	s.awaitRequests(began, giveUp.Add(-acceptReserve))
	if err := listener.Close(); err != nil {
		s.Log.WithField("error", err.Error()).Warn("entry: listener cannot be closed")
	}
	select {
	case <-served: // every accepted connection is tracked now
	case <-time.After(time.Until(giveUp)): // the exit does not depend on the listener
	}
	s.awaitRequests(began, giveUp)
	if !s.endConnections(giveUp, (*callerConn).endUnlessPending) {
		if open := s.connections.countPending(); open > 0 {
			s.Log.WithField("open", open).Warn("entry: giving up the open jobs before the process is killed")
		}
		s.Entry.giveUpAll(context.Background()) // also refuses requests that are read from now on
		if !s.endConnections(time.Now().Add(answerFlushTimeout), func(c *callerConn) { c.endUnlessPending(); c.endBody() }) {
			s.connections.forEach((*callerConn).answerIncompleteHeader)
			if open := s.connections.countPending(); open > 0 {
				s.Log.WithField("open", open).Warn("entry: requests are still open at the end of the stop")
			}
		}
	}
	// Not earlier: the HTTP server drops a request that it reads after the call.
	if err := server.Close(); err != nil {
		s.Log.WithField("error", err.Error()).Warn("entry: connections cannot be closed")
	}
	s.Log.WithField("took_ms", time.Since(began).Milliseconds()).Info("entry: stopped")
}

// endConnections calls end for every open connection until none is left, and returns false if one is left at a time.
func (s *CallerServer) endConnections(until time.Time, end func(*callerConn)) bool {
	for {
		s.connections.forEach(end)
		switch {
		case s.connections.count() == 0:
			return true
		case !time.Now().Before(until):
			return false
		}
		time.Sleep(requestPollInterval)
	}
}

// awaitRequests waits until no request is open and balancerRotationTime has passed since the stop began, but not beyond a
// time.
func (s *CallerServer) awaitRequests(began, until time.Time) {
	for time.Now().Before(until) && (s.connections.countBusy() > 0 || time.Since(began) < balancerRotationTime) {
		time.Sleep(requestPollInterval)
	}
}
