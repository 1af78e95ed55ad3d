package jobentry

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters for the detection of CPU overload. Entries differ in size, and the load balancer does not know their sizes.
const (
	// lagWeight is the weight of one tick in the mean lag, which therefore covers the last 100 ms.
	lagWeight = 0.2
	// maxTickLag bounds the lag of one tick: a suspend of the host lasts for seconds and is not an overload.
	maxTickLag = 150 * time.Millisecond
	// maxAcceptLag is the mean lag of the control loop above which no connection is accepted. Connections that wait in the
	// kernel cost nothing, while a link that is not served within runs.OwnerTimeout is lost with all its runs.
	maxAcceptLag = 40 * time.Millisecond
	// recoveredLag is the mean lag below which the entry is not overloaded.
	recoveredLag = 10 * time.Millisecond
	// recoveryTime is how long the lag must stay below recoveredLag until the entry is ready for new connections again. The
	// load balancer checks once per second.
	recoveryTime = 2 * time.Second
	// maxTickAge is the age of the last tick from which the control loop counts as hung. It is shorter than the interval at which
	// the load balancer checks, and longer than the pause of a process whose CPU quota is used up.
	maxTickAge = 500 * time.Millisecond
	// acceptPollInterval is the interval at which pausableListener checks whether it may accept connections again.
	acceptPollInterval = 2 * time.Millisecond
)

// overload tracks the lag of the control loop. Only the control goroutine calls recordTick; the atomic fields are read by
// others too.
type overload struct {
	lastTick    atomic.Int64 // Unix nanoseconds, 0 before the first tick
	meanLag     time.Duration
	lastLagging time.Time // when the mean lag was last above recoveredLag
	// acceptPaused stops accepting connections; busy makes the entry not ready, so that the load balancer sends connections
	// to others.
	acceptPaused, busy atomic.Bool
}

// recordTick records a tick of the control loop, which is due tickInterval after the previous one. It returns whether busy
// has changed.
func (o *overload) recordTick(now time.Time) (changed bool) {
	lag := time.Duration(0)
	if last := o.lastTick.Swap(now.UnixNano()); last != 0 {
		lag = min(max(now.Sub(time.Unix(0, last))-tickInterval, 0), maxTickLag)
	}
	o.meanLag += time.Duration(lagWeight * float64(lag-o.meanLag))
	o.acceptPaused.Store(o.meanLag > maxAcceptLag)
	if o.meanLag > recoveredLag {
		o.lastLagging = now
	}
	busy := o.meanLag > maxAcceptLag || o.busy.Load() && now.Sub(o.lastLagging) < recoveryTime
	return o.busy.Swap(busy) != busy
}

// isHung reports whether the control loop has not ticked for maxTickAge. While it hangs, busy keeps its last value.
func (o *overload) isHung(now time.Time) bool {
	last := o.lastTick.Load()
	return last != 0 && now.Sub(time.Unix(0, last)) >= maxTickAge
}

// pausableListener is a listener that accepts no connection while paused returns true.
type pausableListener struct {
	net.Listener
	paused func() bool
	once   sync.Once
	closed chan struct{}
}

func newPausableListener(l net.Listener, paused func() bool) *pausableListener {
	return &pausableListener{Listener: l, paused: paused, closed: make(chan struct{})}
}

// Accept implements net.Listener. It waits while the listener is paused and returns net.ErrClosed after Close.
func (l *pausableListener) Accept() (net.Conn, error) {
	for l.paused() {
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(acceptPollInterval):
		}
	}
	return l.Listener.Accept()
}

// Close implements net.Listener.
func (l *pausableListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
