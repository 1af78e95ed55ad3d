package link_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// oneWayConn is a connection that receives frames from the peer but loses all frames to it.
type oneWayConn struct {
	incoming chan []byte
	closed   chan struct{}
}

func (c *oneWayConn) ReadFrame(context.Context) ([]byte, error) {
	select {
	case frame := <-c.incoming:
		return frame, nil
	case <-c.closed:
		return nil, io.EOF
	}
}

func (c *oneWayConn) WriteFrame(context.Context, []byte) error { return nil }

func (c *oneWayConn) Close() error {
	close(c.closed)
	return nil
}

type ignoreHandler struct{}

func (ignoreHandler) OnMessage(*link.Link, wire.Message) {}
func (ignoreHandler) OnClose(*link.Link, error)          {}

// Guards against a link that is dead in one direction and passes a probe because the heartbeats of the peer still arrive. A
// document or a start that was sent on it would not be sent again on a new link in time.
func TestProbeIsNotAnsweredByOtherTraffic(t *testing.T) {
	synctest.Test(t, checkProbeOfOneWayLink)
}

func checkProbeOfOneWayLink(t *testing.T) {
	t.Helper()
	g := gomega.NewWithT(t)
	conn := &oneWayConn{incoming: make(chan []byte, 4), closed: make(chan struct{})}
	send := func(m wire.Message) {
		frame, err := wire.Encode(m)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		conn.incoming <- frame
	}
	send(&wire.Hello{Protocol: wire.ProtocolVersion, Role: wire.RoleAgent, ID: "w1"})
	welcome := func(*wire.Hello) *wire.Welcome { return &wire.Welcome{ID: "e1"} }
	l, err := link.Accept(context.Background(), conn, welcome, link.Options{Clock: clock.System{}, Stats: &link.Stats{}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l.Start(ignoreHandler{})
	const within = 100 * time.Millisecond
	l.Probe(within)
	time.Sleep(within / 5)
	send(&wire.Ping{Sequence: 1}) // the heartbeat of the peer
	time.Sleep(within)
	synctest.Wait()
	g.Expect(l.Done()).To(gomega.BeClosed())
}
