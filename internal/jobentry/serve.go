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

// Times of a planned stop of a caller interface.
const (
	// balancerRotationTime is the time after which a balancer has taken an entry that is not ready out of rotation: two checks,
	// one second apart, and the way of the connections that it opened before.
	balancerRotationTime = 2500 * time.Millisecond
	// answerReserve is kept before the end by force for the answers to jobs that are given up then.
	answerReserve = 500 * time.Millisecond
	// acceptReserve is the time before jobs are given up from which no connection is accepted: a job takes less than a
	// second, so that what was accepted before is answered.
	acceptReserve = time.Second
	// answerFlushTimeout is the time in which the answers to jobs that are given up leave the process.
	answerFlushTimeout  = 150 * time.Millisecond
	requestPollInterval = 20 * time.Millisecond
	// maxConfigurationWait is the longest wait for the first configuration before connections are accepted; after it, requests
	// are refused with a reason.
	maxConfigurationWait      = 2 * time.Second
	configurationPollInterval = 2 * time.Millisecond
	// maxConnectionHold is the longest time that connections wait in the kernel for the first configuration. Those that waited
	// for longer are reset, so that their callers try elsewhere or again: short jobs are late after it.
	maxConnectionHold   = 400 * time.Millisecond
	callerIdleTimeout   = 60 * time.Second
	callerHeaderTimeout = 5 * time.Second
)

// Callers serves an HTTP interface for callers in front of an entry, and stops it without cutting a request.
type Callers struct {
	Entry   *Entry
	Handler http.Handler
	// Grace is the time between the order to stop and the end by force.
	Grace time.Duration
	Log   log.Interface

	stopping atomic.Bool
	requests atomic.Int64
}

// Ready reports whether the balancer may send new connections.
func (s *Callers) Ready() bool { return !s.stopping.Load() && s.Entry.Ready() }

// Serve accepts connections once a configuration is in force. It takes requests until ctx ends and then until all are
// answered and the balancer has had the time to stop sending more. Jobs that are open shortly before the end by force are
// given up.
func (s *Callers) Serve(ctx context.Context, address string) error {
	listener, err := s.listen(ctx, address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: s.countRequests(), ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout,
		ErrorLog: logging.Standard(s.Log, "entry"), ConnContext: withConn,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(pausableListener{listener, s.Entry.overload.acceptPaused.Load}) }()
	defer server.Close()
	select {
	case err := <-failed:
		return eris.Wrapf(ErrListen, "%v", err)
	case <-ctx.Done():
	}
	s.stop(server, listener)
	return nil
}

// listen opens the listener and returns it when a configuration is in force. Connections that come before wait for it for
// the hold time, and nothing of them is read.
func (s *Callers) listen(ctx context.Context, address string) (net.Listener, error) {
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

// awaitConfiguration waits for a configuration until a time. It returns whether requests can be taken, also at the end of ctx.
func (s *Callers) awaitConfiguration(ctx context.Context, until time.Time) bool {
	for s.Entry.Catalog() == nil && ctx.Err() == nil {
		if time.Now().After(until) {
			return false
		}
		time.Sleep(configurationPollInterval)
	}
	return true
}

func (s *Callers) countRequests() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		defer s.requests.Add(-1)
		s.Handler.ServeHTTP(w, r)
	})
}

// stop ends the service as planned. The balancer may send connections for longer than the rotation time when it has no
// other entry near, so that they are accepted while jobs are open and there is time to serve them.
func (s *Callers) stop(server *http.Server, listener net.Listener) {
	began := time.Now()
	s.stopping.Store(true)
	s.Log.WithField("open", s.requests.Load()).Info("entry: stopping, not ready for new connections")
	giveUp := began.Add(s.Grace - answerReserve)
	s.awaitRequests(began, giveUp.Add(-acceptReserve))
	if err := listener.Close(); err != nil {
		s.Log.WithField("error", err.Error()).Warn("entry: listener cannot be closed")
	}
	s.awaitRequests(began, giveUp)
	if open := s.requests.Load(); open > 0 {
		s.Log.WithField("open", open).Warn("entry: open jobs are given up shortly before the end by force")
		s.Entry.giveUpAll(context.Background())
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerFlushTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.Log.WithField("error", err.Error()).Warn("entry: connections are left open at the end")
	}
	s.Log.WithField("took_ms", time.Since(began).Milliseconds()).Info("entry: stopped")
}

// awaitRequests waits until no request is open and the rotation time has passed, but no longer than until a time.
func (s *Callers) awaitRequests(began, until time.Time) {
	for time.Now().Before(until) && (s.requests.Load() > 0 || time.Since(began) < balancerRotationTime) {
		time.Sleep(requestPollInterval)
	}
}
