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

// maxQueuedBytes bounds the memory that a slow peer can claim. It leaves room for several of the largest frames.
const maxQueuedBytes = 4 * wire.MaxFrame

// Peer is what a process told about itself in the handshake.
type Peer struct {
	Hello wire.Hello
	// Dialled is set on the side that opened the connection.
	Dialled bool
}

// Handler receives the events of a link. Its methods must not block for long.
type Handler interface {
	// OnMessage is called for each message except Ping, in the order of arrival, by one goroutine. It is called for
	// Pong, so that the handler can compare versions, and for Ping after it was answered.
	OnMessage(l *Link, m wire.Message)
	// OnClose is called once, after the last OnMessage.
	OnClose(l *Link, cause error)
}

// State tells what goes into the pings and pongs of a process.
type State interface {
	// Versions returns the version of the list of entries and the digest of the document revisions.
	Versions() (list, documents uint64)
}

// Options configures a link. Stats and State may be shared by all links of a process.
type Options struct {
	Clock     clock.Clock
	Stats     *Stats
	State     State
	Heartbeat time.Duration
}

// Link is an established connection to another process.
type Link struct {
	peer    Peer
	conn    Conn
	options Options
	handler Handler

	heartbeat    atomic.Int64 // interval in nanoseconds
	created      time.Time
	lastReceived atomic.Int64 // nanoseconds since created, so that a step of the wall clock closes no link
	received     atomic.Uint64
	pingSequence atomic.Uint64
	answered     atomic.Uint64 // highest sequence of the link's own pings that was answered

	mu     sync.Mutex
	queue  [][]byte
	queued int
	closed bool
	cause  error

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

// Peer returns what the other side told about itself.
func (l *Link) Peer() Peer { return l.peer }

// Done is closed when the link is closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// SetHeartbeat changes the interval of pings on the idle link.
func (l *Link) SetHeartbeat(interval time.Duration) {
	l.heartbeat.Store(int64(max(interval, minHeartbeat)))
}

// Start begins to carry messages. It must be called once.
func (l *Link) Start(handler Handler) {
	l.handler = handler
	l.touch()
	ctx, cancel := context.WithCancel(context.Background())
	go l.write(ctx)
	go l.watch()
	go func() {
		l.read(ctx)
		cancel()
		handler.OnClose(l, l.Cause())
	}()
}

// Send queues a message. It returns ErrClosed, ErrQueueFull or an error of the encoder. A message that was queued may
// still be lost when the link closes.
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
	if l.queued+len(frame) > maxQueuedBytes {
		return ErrQueueFull
	}
	l.queue = append(l.queue, frame)
	l.queued += len(frame)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// Probe sends a ping at once and closes the link when it is not answered within the given time. Other traffic is no
// answer: a connection can be dead in one direction, and then the peer's own heartbeats still arrive.
func (l *Link) Probe(within time.Duration) {
	sequence, err := l.ping()
	if err != nil {
		return // a full queue fails its sender, and a peer that reads nothing is found by the write timeout
	}
	timer := l.options.Clock.NewTimer(within)
	go func() {
		defer timer.Stop()
		select {
		case <-l.done:
		case <-timer.C():
			if l.answered.Load() < sequence {
				l.options.Stats.Silent.Add(1)
				l.Close(ErrSilent)
			}
		}
	}()
}

// Close closes the connection at once. Queued messages are dropped.
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

// Cause returns why the link was closed, or nil while it is open.
func (l *Link) Cause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}

// Flush waits until the queued messages were written or the context ends.
func (l *Link) Flush(ctx context.Context) error {
	const pollInterval = 5 * time.Millisecond
	for {
		l.mu.Lock()
		empty, closed := l.queued == 0, l.closed
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

// idle returns the time since a frame was received.
func (l *Link) idle() time.Duration {
	return l.options.Clock.Now().Sub(l.created) - time.Duration(l.lastReceived.Load())
}

func (l *Link) read(ctx context.Context) {
	for {
		frame, err := l.conn.ReadFrame(ctx)
		if err != nil {
			l.Close(eris.Wrapf(ErrClosed, "%v", err))
			return
		}
		l.touch()
		l.received.Add(1)
		m, err := wire.Decode(frame)
		if err != nil {
			l.Close(eris.Wrap(err, "receive"))
			return
		}
		l.options.Stats.countReceived(frame, !l.peer.Dialled)
		l.answer(m)
		l.handler.OnMessage(l, m)
	}
}

func (l *Link) write(ctx context.Context) {
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
	l.queued -= len(frame)
	l.mu.Unlock()
	l.options.Stats.countSent(frame, l.peer.Dialled)
	return true
}

// answer handles the heartbeats of the peer. The accepting side has more links, so its interval counts.
func (l *Link) answer(m wire.Message) {
	switch m := m.(type) {
	case *wire.Ping:
		l.pong(m)
	case *wire.Pong:
		// Users of a link send pings of their own with sequences that the link never reaches.
		if m.Sequence <= l.pingSequence.Load() {
			l.answered.Store(max(l.answered.Load(), m.Sequence))
		}
		if l.peer.Dialled && m.HeartbeatMillis > 0 {
			l.SetHeartbeat(time.Duration(m.HeartbeatMillis) * time.Millisecond)
		}
	}
}

// watch sends a ping when nothing was received for one interval and closes the link when silentPings had no answer.
func (l *Link) watch() {
	timer := l.options.Clock.NewTimer(time.Duration(l.heartbeat.Load()))
	defer timer.Stop()
	unanswered, before := 0, l.received.Load()
	for {
		select {
		case <-l.done:
			return
		case <-timer.C():
		}
		if now := l.received.Load(); now != before {
			unanswered, before = 0, now
		}
		delay := l.pingDelay(time.Duration(l.heartbeat.Load()))
		if idle := l.idle(); idle < delay {
			timer.Reset(delay - idle)
			continue
		}
		if unanswered == silentPings {
			l.options.Stats.Silent.Add(1)
			l.Close(ErrSilent)
			return
		}
		_, _ = l.ping() // a ping that cannot be queued counts as unanswered
		unanswered++
		timer.Reset(pingTimeout)
	}
}

// pingDelay is the time without traffic after which this side pings.
func (l *Link) pingDelay(interval time.Duration) time.Duration {
	if l.peer.Dialled {
		return interval
	}
	return time.Duration(acceptorDelay * float64(interval))
}

func (l *Link) ping() (sequence uint64, err error) {
	list, documents := l.versions()
	sequence = l.pingSequence.Add(1)
	return sequence, l.Send(&wire.Ping{Sequence: sequence, ListVersion: list, DocumentDigest: documents})
}

func (l *Link) pong(ping *wire.Ping) {
	list, documents := l.versions()
	pong := &wire.Pong{Sequence: ping.Sequence, ListVersion: list, DocumentDigest: documents}
	if !l.peer.Dialled {
		pong.HeartbeatMillis = uint32(time.Duration(l.heartbeat.Load()).Milliseconds())
	}
	_ = l.Send(pong)
}

func (l *Link) versions() (list, documents uint64) {
	if l.options.State == nil {
		return 0, 0
	}
	return l.options.State.Versions()
}
