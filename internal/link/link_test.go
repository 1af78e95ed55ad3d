package link_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against messages that are lost or reordered, and against more than one call of OnClose.
func TestMessagesArriveInOrderAndCloseIsReportedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newAcceptor(t)
	near, far, nearRecorder, farRecorder := a.dial(t, a.address, dialOptions())
	const count = 200
	for i := range uint64(count) {
		g.Expect(near.Send(&wire.Cancel{Attempts: []uint64{i}})).To(gomega.Succeed())
		g.Expect(far.Send(&wire.Accepted{Attempts: []uint64{i}})).To(gomega.Succeed())
	}
	waitUntil(t, func() bool { return len(farRecorder.received()) == count && len(nearRecorder.received()) == count }, "all messages arrive")
	for i, m := range farRecorder.received() {
		g.Expect(m).To(gomega.Equal(&wire.Cancel{Attempts: []uint64{uint64(i)}}))
	}
	near.Close(link.ErrClosed)
	near.Close(link.ErrSilent)
	waitUntil(t, func() bool { return len(farRecorder.closed()) == 1 && len(nearRecorder.closed()) == 1 }, "both sides report the end")
	g.Expect(nearRecorder.closed()[0]).To(gomega.MatchError(link.ErrClosed))
	g.Expect(near.Send(&wire.Leaving{})).To(gomega.MatchError(link.ErrClosed))
}

// Guards against a refused process that treats the link as established, and against an error without the cause.
func TestRefusedHandshakeReturnsTheCause(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newAcceptor(t)
	a.decide = func(*wire.Hello) *wire.Welcome { return &wire.Welcome{Refused: "another agent has this id"} }
	_, _, err := link.Dial(context.Background(), link.WebSocketDialer{Token: token}, a.address, wire.Hello{}, dialOptions())
	g.Expect(errors.Is(err, link.ErrRefused)).To(gomega.BeTrue())
	g.Expect(err.Error()).To(gomega.ContainSubstring("another agent has this id"))
	g.Expect(errors.Is(a.refusal(t), link.ErrRefused)).To(gomega.BeTrue())
}

// Guards against links of processes without the token. An empty token must be refused too.
func TestWrongTokenIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newAcceptor(t)
	for _, wrong := range []string{"", "test-toke", "test-token2"} {
		_, _, err := link.Dial(context.Background(), link.WebSocketDialer{Token: wrong}, a.address, wire.Hello{}, dialOptions())
		g.Expect(errors.Is(err, link.ErrRefused)).To(gomega.BeTrue(), wrong)
		g.Expect(errors.Is(a.refusal(t), link.ErrRefused)).To(gomega.BeTrue(), wrong)
	}
}

// Guards against accepting a peer with another protocol version, or one whose first message is not a Hello.
func TestInvalidFirstMessageIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newAcceptor(t)
	cases := []struct {
		first wire.Message
		want  error
	}{
		{&wire.Hello{Protocol: wire.ProtocolVersion + 1}, link.ErrRefused},
		{&wire.Leaving{}, link.ErrHandshake},
	}
	for _, c := range cases {
		conn, err := link.WebSocketDialer{Token: token}.Dial(context.Background(), a.address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		frame, err := wire.Encode(c.first)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(conn.WriteFrame(context.Background(), frame)).To(gomega.Succeed())
		g.Expect(errors.Is(a.refusal(t), c.want)).To(gomega.BeTrue())
		_ = conn.Close()
	}
}

// Guards against an address without a listener being reported as a refusal by the peer.
func TestUnreachablePeerIsADialError(t *testing.T) {
	g := gomega.NewWithT(t)
	_, _, err := link.Dial(context.Background(), link.WebSocketDialer{Token: token}, "127.0.0.1:1", wire.Hello{}, dialOptions())
	g.Expect(errors.Is(err, link.ErrDial)).To(gomega.BeTrue())
}

// Guards against a link that stays open after a frame that is not a message.
func TestMalformedFrameClosesTheLink(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newAcceptor(t)
	conn, err := link.WebSocketDialer{Token: token}.Dial(context.Background(), a.address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	hello, err := wire.Encode(&wire.Hello{Protocol: wire.ProtocolVersion})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.WriteFrame(context.Background(), hello)).To(gomega.Succeed())
	far, farRecorder := a.accepted(t), &recorder{}
	far.Start(farRecorder)
	g.Expect(conn.WriteFrame(context.Background(), []byte{0, 1, 2})).To(gomega.Succeed())
	waitUntil(t, func() bool { return len(farRecorder.closed()) == 1 }, "the link closes")
	g.Expect(errors.Is(farRecorder.closed()[0], wire.ErrUnknownType)).To(gomega.BeTrue())
}

// Guards against a probe that does not detect a silent peer, or that closes a link whose peer answers.
func TestProbeDetectsASilentPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newAcceptor(t)
	r := newRelay(t, a.address)
	options := dialOptions()
	options.Heartbeat = time.Minute // so that only the probe can detect the silence in time
	near, _, nearRecorder, _ := a.dial(t, r.address, options)
	const within = 800 * time.Millisecond
	near.Probe(within)
	waitUntil(t, func() bool { return len(nearRecorder.received()) > 0 }, "the pong arrives")
	time.Sleep(within + 50*time.Millisecond)
	g.Expect(near.Cause()).To(gomega.BeNil())
	r.dropTraffic()
	near.Probe(within)
	waitUntil(t, func() bool { return len(nearRecorder.closed()) == 1 }, "the silent link closes")
	g.Expect(nearRecorder.closed()[0]).To(gomega.MatchError(link.ErrSilent))
	g.Expect(options.Stats.SilentLinks.Load()).To(gomega.BeEquivalentTo(1))
}

// Guards against a peer that does not read and thereby takes unbounded memory or blocks the sender.
func TestQueueOfASlowPeerIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newAcceptor(t)
	conn, err := link.WebSocketDialer{Token: token}.Dial(context.Background(), a.address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	hello, err := wire.Encode(&wire.Hello{Protocol: wire.ProtocolVersion})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.WriteFrame(context.Background(), hello)).To(gomega.Succeed())
	far := a.accepted(t)
	far.Start(&recorder{})
	large := &wire.Start{Body: make([]byte, wire.MaxFrame/2)}
	var full error
	began := time.Now()
	for sent := 0; sent < 64 && full == nil; sent++ {
		full = far.Send(large)
	}
	g.Expect(full).To(gomega.MatchError(link.ErrQueueFull))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 5*time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	g.Expect(far.Flush(ctx)).To(gomega.MatchError(context.DeadlineExceeded))
	far.Close(link.ErrClosed)
	_ = conn.Close()
}

// Guards against a slow host, or a process that resets the connection, being reported as an address without a listener.
func TestProbeDistinguishesRefusalFromOtherFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	dialer := link.WebSocketDialer{Token: token}
	g.Expect(dialer.Probe(context.Background(), address)).To(gomega.Succeed())
	g.Expect(listener.Close()).To(gomega.Succeed())
	g.Expect(errors.Is(dialer.Probe(context.Background(), address), link.ErrConnectionRefused)).To(gomega.BeTrue())
	for _, cause := range []error{syscall.ECONNRESET, syscall.EHOSTUNREACH, context.DeadlineExceeded} {
		dialer.DialContext = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: cause}
		}
		err := dialer.Probe(context.Background(), address)
		g.Expect(errors.Is(err, link.ErrDial)).To(gomega.BeTrue())
		g.Expect(errors.Is(err, link.ErrConnectionRefused)).To(gomega.BeFalse(), "%v", cause)
	}
}
