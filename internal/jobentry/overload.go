package jobentry

import (
	"net"
	"sync/atomic"
	"time"
)

// Times by which an entry finds that its processor cannot keep up. Entries differ in size, and the balancer does not know
// it.
const (
	// lagWeight is the weight of one tick in the mean lateness; it then covers the last 100 ms.
	lagWeight = 0.2
	// maxTickLag bounds one observation: a suspend of the host lasts seconds and is no overload.
	maxTickLag = 150 * time.Millisecond
	// maxAcceptLag is the mean lateness of the control loop above which no connection is accepted: those that wait in the
	// kernel cost nothing, while links that are not served in time are lost with all their runs after runs.OwnerTimeout.
	maxAcceptLag = 40 * time.Millisecond
	// recoveredLag is the mean lateness below which the entry keeps up.
	recoveredLag = 10 * time.Millisecond
	// recoveryTime is the time for which an entry has to keep up before it asks for new connections again. The balancer checks
	// once a second.
	recoveryTime = 2 * time.Second
	// acceptPollInterval is the resolution of the gate in front of new connections.
	acceptPollInterval = 2 * time.Millisecond
)

// overload follows the lateness of the control loop. Tick is called by the control goroutine, the other methods by any.
type overload struct {
	lastTick    time.Time
	meanLag     time.Duration
	lastLagging time.Time // when the entry last did not keep up
	// acceptPaused stops new connections, busy tells the balancer to send them elsewhere.
	acceptPaused, busy atomic.Bool
}

// recordTick notes that the loop has come to a tick that was due an interval after the last one. It returns whether the entry
// has become busy or has ceased to be.
func (o *overload) recordTick(now time.Time) (changed bool) {
	late := time.Duration(0)
	if !o.lastTick.IsZero() {
		late = min(max(now.Sub(o.lastTick)-tickInterval, 0), maxTickLag)
	}
	o.lastTick = now
	o.meanLag += time.Duration(lagWeight * float64(late-o.meanLag))
	o.acceptPaused.Store(o.meanLag > maxAcceptLag)
	if o.meanLag > recoveredLag {
		o.lastLagging = now
	}
	busy := o.meanLag > maxAcceptLag || o.busy.Load() && now.Sub(o.lastLagging) < recoveryTime
	return o.busy.Swap(busy) != busy
}

// pausableListener is a listener that accepts no connection while the entry does not keep up.
type pausableListener struct {
	net.Listener
	paused func() bool
}

// Accept implements net.Listener.
func (g pausableListener) Accept() (net.Conn, error) {
	for g.paused() {
		time.Sleep(acceptPollInterval)
	}
	return g.Listener.Accept()
}
