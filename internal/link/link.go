package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxQueuedBytes bounds the memory of the send queue to a slow peer. It holds several frames of the largest size.
const maxQueuedBytes = 4 * wire.MaxFrame

// Peer describes the process at the other end of a link.
type Peer struct {
	// Hello is what the peer sent in the handshake, as a Hello or as a Welcome.
	Hello wire.Hello
	// Dialled is set on the side that opened the connection.
	Dialled bool
}

// Handler receives the events of a link. Its methods must not block for long.
type Handler interface {
	// OnMessage is called by one goroutine for each message in the order of arrival. This includes Pong and, after it
	// was answered, Ping, so that the handler can compare versions.
	OnMessage(l *Link, m wire.Message)
	// OnClose is called once, after the last OnMessage.
	OnClose(l *Link, cause error)
}

// VersionSource provides the versions that a process sends in its pings and pongs.
type VersionSource interface {
	// Versions returns the version of the list of entries and the digest of the document revisions. It must be safe for
	// concurrent use.
	Versions() (listVersion, documentDigest uint64)
}

// Options configures a link. Stats and Versions can be shared by all links of a process. Versions may be nil. Heartbeat is
// the initial interval of pings on the idle link.
type Options struct {
	Clock     clock.Clock
	Stats     *Stats
	Versions  VersionSource
	Heartbeat time.Duration
}

// Link is an established connection to another process.
type Link struct {
	peer    Peer
	conn    Conn
	options Options
	handler Handler

	heartbeat            atomic.Int64 // interval in nanoseconds
	created              time.Time
	lastReceived         atomic.Int64 // nanoseconds since created, so that a step of the wall clock does not close the link
	receivedFrames       atomic.Uint64
	lastPingSequence     atomic.Uint64 // sequence of the latest ping of this link
	lastAnsweredSequence atomic.Uint64 // highest answered sequence of the pings of this link

	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
	closed      bool
	cause       error

	wake chan struct{}
	done chan struct{}
}

func newLink(conn Conn, peer Peer, options Options) *Link {
	l := &Link{
		peer: peer, conn: conn, options: options,
		created: options.Clock.Now(), wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	l.heartbeat.Store(int64(max(options.Heartbeat, minHeartbeat)))
	l.touch()
	return l
}

// Peer returns the description of the other side.
func (l *Link) Peer() Peer { return l.peer }

// Done returns a channel that is closed when the link is closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// SetHeartbeat changes the interval of pings on the idle link. Values below 1.5 s are raised to it.
func (l *Link) SetHeartbeat(interval time.Duration) {
	l.heartbeat.Store(int64(max(interval, minHeartbeat)))
}

// Start starts sending and receiving messages. It must be called once.
func (l *Link) Start(handler Handler) {
	l.handler = handler
	l.touch()
	ctx, cancel := context.WithCancel(context.Background())
	go l.writeLoop(ctx)
	go l.monitorIdle()
	go func() {
		l.readLoop(ctx)
		cancel()
		handler.OnClose(l, l.Cause())
	}()
}

// Send queues a message. It returns ErrClosed, ErrQueueFull or an error of the encoder. A queued message is lost if the
// link closes before it is written.
func (l *Link) Send(m wire.Message) error {
	frame, err := wire.Encode(m)
	if err != nil {
		return eris.Wrap(err, "send")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	if l.queuedBytes+len(frame) > maxQueuedBytes {
		return ErrQueueFull
	}
	l.queue = append(l.queue, frame)
	l.queuedBytes += len(frame)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// Probe sends a ping at once and closes the link if it is not answered within the given time. Other traffic does not count
// as an answer: a connection can be dead in one direction while the heartbeats of the peer still arrive.
func (l *Link) Probe(within time.Duration) {
	sequence, err := l.sendPing()
	if err != nil {
		return // a full queue is reported to the sender, and the write timeout detects a peer that does not read
	}
	timer := l.options.Clock.NewTimer(within)
	go func() {
		defer timer.Stop()
		select {
		case <-l.done:
		case <-timer.C():
			if l.lastAnsweredSequence.Load() < sequence {
				l.options.Stats.SilentLinks.Add(1)
				l.Close(ErrSilent)
			}
		}
	}()
}

// Close closes the connection at once and drops queued messages. Only the first call has an effect.
func (l *Link) Close(cause error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	l.cause = cause
	l.queue = nil
	l.mu.Unlock()
	close(l.done)
	_ = l.conn.Close()
}

// Cause returns the error with which the link was closed, or nil while it is open.
func (l *Link) Cause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}

// Flush waits until all queued messages are written. It returns ErrClosed when the link closes before, or the error of the
// context when that ends.
func (l *Link) Flush(ctx context.Context) error {
	const pollInterval = 5 * time.Millisecond
	for {
		l.mu.Lock()
		empty, closed := l.queuedBytes == 0, l.closed
		l.mu.Unlock()
		if closed {
			return ErrClosed
		}
		if empty {
			return nil
		}
		timer := l.options.Clock.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C():
		}
	}
}

func (l *Link) touch() { l.lastReceived.Store(int64(l.options.Clock.Now().Sub(l.created))) }

// idleTime returns the time since the last frame was received.
func (l *Link) idleTime() time.Duration {
	return l.options.Clock.Now().Sub(l.created) - time.Duration(l.lastReceived.Load())
}

func (l *Link) readLoop(ctx context.Context) {
	for {
		frame, err := l.conn.ReadFrame(ctx)
		if err != nil {
			l.Close(eris.Wrapf(ErrClosed, "%v", err))
			return
		}
		l.touch()
		l.receivedFrames.Add(1)
		m, err := wire.Decode(frame)
		if err != nil {
			l.Close(eris.Wrap(err, "receive"))
			return
		}
		l.options.Stats.countReceived(frame, !l.peer.Dialled)
		l.handleHeartbeat(m)
		l.handler.OnMessage(l, m)
	}
}

func (l *Link) writeLoop(ctx context.Context) {
	for {
		select {
		case <-l.done:
			return
		case <-l.wake:
		}
		for _, frame := range l.takeQueue() {
			if !l.writeFrame(ctx, frame) {
				return
			}
		}
	}
}

func (l *Link) takeQueue() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	frames := l.queue
	l.queue = nil
	return frames
}

func (l *Link) writeFrame(ctx context.Context, frame []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := l.conn.WriteFrame(ctx, frame); err != nil {
		l.Close(eris.Wrapf(ErrClosed, "%v", err))
		return false
	}
	l.mu.Lock()
	l.queuedBytes -= len(frame)
	l.mu.Unlock()
	l.options.Stats.countSent(frame, l.peer.Dialled)
	return true
}

// handleHeartbeat answers pings and records pongs. The accepting side has more links, so its heartbeat interval is used.
func (l *Link) handleHeartbeat(m wire.Message) {
	switch m := m.(type) {
	case *wire.Ping:
		l.sendPong(m)
	case *wire.Pong:
		// Users of a link also send pings, with higher sequence numbers than those of the link ever get.
		if m.Sequence <= l.lastPingSequence.Load() {
			l.lastAnsweredSequence.Store(max(l.lastAnsweredSequence.Load(), m.Sequence))
		}
		if l.peer.Dialled && m.HeartbeatMillis > 0 {
			l.SetHeartbeat(time.Duration(m.HeartbeatMillis) * time.Millisecond)
		}
	}
}

// monitorIdle sends a ping when nothing was received for one interval, and closes the link when nothing is received after
// maxUnansweredPings pings.
func (l *Link) monitorIdle() {
	timer := l.options.Clock.NewTimer(time.Duration(l.heartbeat.Load()))
	defer timer.Stop()
	unanswered, before := 0, l.receivedFrames.Load()
	for {
		select {
		case <-l.done:
			return
		case <-timer.C():
		}
		if now := l.receivedFrames.Load(); now != before {
			unanswered, before = 0, now
		}
		delay := l.pingDelay(time.Duration(l.heartbeat.Load()))
		if idle := l.idleTime(); idle < delay {
			timer.Reset(delay - idle)
			continue
		}
		if unanswered == maxUnansweredPings {
			l.options.Stats.SilentLinks.Add(1)
			l.Close(ErrSilent)
			return
		}
		_, _ = l.sendPing() // a ping that cannot be queued counts as unanswered
		unanswered++
		timer.Reset(pingTimeout)
	}
}

// pingDelay returns the time without received frames after which this side pings.
func (l *Link) pingDelay(interval time.Duration) time.Duration {
	if l.peer.Dialled {
		return interval
	}
	return time.Duration(acceptorDelayFactor * float64(interval))
}

func (l *Link) sendPing() (sequence uint64, err error) {
	listVersion, documentDigest := l.versions()
	sequence = l.lastPingSequence.Add(1)
	return sequence, l.Send(&wire.Ping{Sequence: sequence, ListVersion: listVersion, DocumentDigest: documentDigest})
}

func (l *Link) sendPong(ping *wire.Ping) {
	listVersion, documentDigest := l.versions()
	pong := &wire.Pong{Sequence: ping.Sequence, ListVersion: listVersion, DocumentDigest: documentDigest}
	if !l.peer.Dialled {
		pong.HeartbeatMillis = uint32(time.Duration(l.heartbeat.Load()).Milliseconds())
	}
	_ = l.Send(pong)
}

func (l *Link) versions() (listVersion, documentDigest uint64) {
	if l.options.Versions == nil {
		return 0, 0
	}
	return l.options.Versions.Versions()
}
