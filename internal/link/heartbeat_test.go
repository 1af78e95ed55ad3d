package link_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Sizes of the headers of IPv4 and TCP with timestamps, and of WebSocket with and without a mask.
const (
	tcpIPHeaderBytes  = 52
	maskedHeaderBytes = 6
	plainHeaderBytes  = 2
)

// Guards against heartbeats that exceed their share of the control budget, and against a heartbeatBytes that no longer
// matches the messages.
func TestHeartbeatsStayWithinTheControlBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	const large = 1<<32 - 1
	ping, err := wire.Encode(&wire.Ping{Sequence: large, ListVersion: large, DocumentDigest: 1<<64 - 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	pong, err := wire.Encode(&wire.Pong{Sequence: large, ListVersion: large, DocumentDigest: 1<<64 - 1, HeartbeatMillis: 1 << 20})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	roundTripBytes := len(ping) + maskedHeaderBytes + tcpIPHeaderBytes + len(pong) + plainHeaderBytes + tcpIPHeaderBytes + tcpIPHeaderBytes
	const budget = 0.4 * 5_000 // bytes per second
	for _, links := range []int{1, 10, 13, 14, 100, 730, 800} {
		perSecond := float64(links*roundTripBytes) / link.HeartbeatInterval(links).Seconds()
		g.Expect(perSecond).To(gomega.BeNumerically("<=", budget), "%d links", links)
	}
	atTarget := float64(737*roundTripBytes) / link.HeartbeatInterval(737).Seconds()
	g.Expect(atTarget).To(gomega.BeNumerically("<=", 0.22*5_000), "730 agents and 7 entries leave room for the other parts")
	g.Expect(link.HeartbeatInterval(13)).To(gomega.Equal(1500 * time.Millisecond))
}

// memoryConn is one end of a connection in memory. Once dropWrites is closed, everything that is written is lost.
type memoryConn struct {
	in, out    chan []byte
	closed     chan struct{}
	once       *sync.Once
	dropWrites chan struct{}
}

func memoryPair() (a, b *memoryConn) {
	x, y := make(chan []byte, 64), make(chan []byte, 64)
	closed, once, dropWrites := make(chan struct{}), &sync.Once{}, make(chan struct{})
	return &memoryConn{x, y, closed, once, dropWrites}, &memoryConn{y, x, closed, once, dropWrites}
}

func (c *memoryConn) ReadFrame(ctx context.Context) ([]byte, error) {
	select {
	case frame := <-c.in:
		return frame, nil
	case <-c.closed:
		return nil, link.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *memoryConn) WriteFrame(_ context.Context, frame []byte) error {
	select {
	case <-c.dropWrites:
		return nil
	default:
	}
	select {
	case c.out <- frame:
		return nil
	case <-c.closed:
		return link.ErrClosed
	}
}

func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

type memoryDialer struct{ conn link.Conn }

func (d memoryDialer) Dial(context.Context, string) (link.Conn, error) { return d.conn, nil }

// memoryLinks returns the two ends of a link in memory that use the fake clock. It has to run in a synctest bubble.
func memoryLinks(t *testing.T, fake *clock.Fake, heartbeat time.Duration) (near, far *link.Link, dropWrites chan struct{}, stats *link.Stats) {
	t.Helper()
	g := gomega.NewWithT(t)
	a, b := memoryPair()
	stats = &link.Stats{}
	accepted := make(chan *link.Link, 1)
	go func() {
		welcome := func(*wire.Hello) *wire.Welcome {
			return &wire.Welcome{ID: "e1", HeartbeatMillis: uint32(heartbeat.Milliseconds())}
		}
		l, _ := link.Accept(context.Background(), b, welcome, link.Options{Clock: fake, Stats: &link.Stats{}})
		accepted <- l
	}()
	near, _, err := link.Dial(context.Background(), memoryDialer{a}, "", wire.Hello{}, link.Options{Clock: fake, Stats: stats})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	far = <-accepted
	near.Start(&recorder{})
	far.Start(&recorder{})
	t.Cleanup(func() { near.Close(link.ErrClosed); far.Close(link.ErrClosed) })
	return near, far, a.dropWrites, stats
}

// advance moves the fake clock in small steps and waits after each step until the links are idle. A pause in real time is
// not enough: on a loaded machine the clock would run ahead of the links, and a ping would count as unanswered.
func advance(fake *clock.Fake, total, step time.Duration) {
	for ; total > 0; total -= step {
		fake.Advance(step)
		synctest.Wait()
	}
}

// Guards against both ends pinging at the same moment, which doubles the traffic of idle links, and against an idle link
// that is closed as silent.
func TestIdleLinkCarriesOnePingPerInterval(t *testing.T) {
	// With the shortest interval, the age of the last answer equals the wait for it when the next ping is due.
	for _, interval := range []time.Duration{1500 * time.Millisecond, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) { checkIdleLink(t, interval) })
	}
}

func checkIdleLink(t *testing.T, interval time.Duration) {
	t.Helper()
	g := gomega.NewWithT(t)
	fake := clock.NewFake(time.Unix(1_700_000_000, 0))
	near, far, _, stats := memoryLinks(t, fake, interval)
	const intervals = 30
	advance(fake, intervals*interval, interval/16)
	g.Expect(near.Cause()).To(gomega.BeNil())
	g.Expect(far.Cause()).To(gomega.BeNil())
	frames := stats.SentFrames[link.ClassControl].Load() + stats.ReceivedFrames[link.ClassControl].Load()
	g.Expect(frames).To(gomega.BeNumerically("<=", 2*intervals))
	g.Expect(frames).To(gomega.BeNumerically(">=", intervals))
}

// Guards against a silent idle link that is closed earlier or later than after one interval and two unanswered pings.
func TestSilentIdleLinkIsClosedAfterTwoPings(t *testing.T) {
	synctest.Test(t, checkSilentIdleLink)
}

func checkSilentIdleLink(t *testing.T) {
	t.Helper()
	g := gomega.NewWithT(t)
	fake := clock.NewFake(time.Unix(1_700_000_000, 0))
	const interval, pings = 20 * time.Second, 2 * time.Second
	near, far, dropWrites, _ := memoryLinks(t, fake, interval)
	close(dropWrites)
	advance(fake, interval+pings-time.Second/2, interval/64)
	g.Expect(near.Cause()).To(gomega.BeNil())
	g.Expect(far.Cause()).To(gomega.BeNil())
	advance(fake, 2*time.Second, interval/64)
	g.Expect(near.Cause()).To(gomega.MatchError(link.ErrSilent))
	g.Expect(far.Cause()).To(gomega.HaveOccurred())
}

// Guards against a dialling side that keeps the interval of the handshake after the accepting side has lengthened it.
func TestPongCarriesTheNewInterval(t *testing.T) {
	synctest.Test(t, checkPongChangesInterval)
}

func checkPongChangesInterval(t *testing.T) {
	t.Helper()
	g := gomega.NewWithT(t)
	fake := clock.NewFake(time.Unix(1_700_000_000, 0))
	const before, after = 2 * time.Second, 20 * time.Second
	_, far, _, stats := memoryLinks(t, fake, before)
	far.SetHeartbeat(after)
	advance(fake, 2*before, before/16)
	sent := stats.SentFrames[link.ClassControl].Load()
	advance(fake, 5*after, after/32)
	g.Expect(stats.SentFrames[link.ClassControl].Load() - sent).To(gomega.BeNumerically("<=", 6))
}
