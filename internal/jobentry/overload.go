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
	// maxLate bounds one observation: a suspend of the host lasts seconds and is no overload.
	maxLate = 150 * time.Millisecond
	// maxAcceptLag is the mean lateness of the control loop above which no connection is accepted: those that wait in the
	// kernel cost nothing, while links that are not served in time are lost with all their runs after runs.OwnerSilence.
	maxAcceptLag = 40 * time.Millisecond
	// calmLag is the mean lateness below which the entry keeps up.
	calmLag = 10 * time.Millisecond
	// calmTime is the time for which an entry has to keep up before it asks for new connections again. The balancer checks
	// once a second.
	calmTime = 2 * time.Second
	// gatePoll is the resolution of the gate in front of new connections.
	gatePoll = 2 * time.Millisecond
)

// overload follows the lateness of the control loop. Tick is called by the control goroutine, the other methods by any.
type overload struct {
	last  time.Time
	mean  time.Duration
	since time.Time // when the entry last did not keep up
	// closed stops new connections, busy tells the balancer to send them elsewhere.
	closed, busy atomic.Bool
}

// tick notes that the loop has come to a tick that was due an interval after the last one. It returns whether the entry
// has become busy or has ceased to be.
func (o *overload) tick(now time.Time) (changed bool) {
	late := time.Duration(0)
	if !o.last.IsZero() {
		late = min(max(now.Sub(o.last)-tickInterval, 0), maxLate)
	}
	o.last = now
	o.mean += time.Duration(lagWeight * float64(late-o.mean))
	o.closed.Store(o.mean > maxAcceptLag)
	if o.mean > calmLag {
		o.since = now
	}
	busy := o.mean > maxAcceptLag || o.busy.Load() && now.Sub(o.since) < calmTime
	return o.busy.Swap(busy) != busy
}

// gate is a listener that accepts no connection while the entry does not keep up.
type gate struct {
	net.Listener
	closed func() bool
}

// Accept implements net.Listener.
func (g gate) Accept() (net.Conn, error) {
	for g.closed() {
		time.Sleep(gatePoll)
	}
	return g.Listener.Accept()
}
