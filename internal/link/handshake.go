package link

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/identity"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// authenticated is a Conn that knows from a certificate which process its peer is.
type authenticated interface {
	// mayBe reports whether the peer may call itself the process. It is true on a connection without certificates.
	mayBe(role identity.Role, id string) bool
}

const notInCertificate = "the certificate does not name this process"

// mayBe reports whether the peer of the connection may call itself the process.
func mayBe(conn Conn, role wire.Role, id string) bool {
	a, ok := conn.(authenticated)
	if !ok {
		return true
	}
	if role == wire.RoleAgent {
		return a.mayBe(identity.Agent, id)
	}
	return a.mayBe(identity.Entry, id)
}

// Dial opens a connection, sends hello and waits for the answer. It returns ErrDial, ErrHandshake or ErrRefused.
// The link carries messages only after Start.
func Dial(ctx context.Context, dialer Dialer, address string, hello wire.Hello, options Options) (*Link, *wire.Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := dialer.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	hello.Protocol = wire.ProtocolVersion
	welcome, err := exchange(ctx, conn, &hello)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	if !mayBe(conn, wire.RoleEntry, welcome.ID) {
		_ = conn.Close()
		return nil, nil, eris.Wrapf(ErrRefused, "entry %q at %s: %s", welcome.ID, address, notInCertificate)
	}
	peer := Peer{Dialled: true, Hello: wire.Hello{
		Protocol: welcome.Protocol, Role: wire.RoleEntry, ID: welcome.ID, Incarnation: welcome.Incarnation,
		DataCentre: welcome.DataCentre, Region: welcome.Region, DocumentRevisions: welcome.DocumentRevisions,
	}}
	if welcome.HeartbeatMillis > 0 {
		options.Heartbeat = max(options.Heartbeat, time.Duration(welcome.HeartbeatMillis)*time.Millisecond)
	}
	return newLink(conn, peer, options), welcome, nil
}

func exchange(ctx context.Context, conn Conn, hello *wire.Hello) (*wire.Welcome, error) {
	frame, err := wire.Encode(hello)
	if err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	if err := conn.WriteFrame(ctx, frame); err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	m, err := readMessage(ctx, conn)
	if err != nil {
		return nil, err
	}
	welcome, ok := m.(*wire.Welcome)
	if !ok {
		return nil, eris.Wrap(ErrHandshake, "peer did not answer with a welcome")
	}
	if welcome.Refused != "" {
		return nil, eris.Wrap(ErrRefused, welcome.Refused)
	}
	return welcome, nil
}

// Accept waits for the hello of a new connection and answers with the welcome that decide returns. When that welcome
// refuses the peer, Accept returns ErrRefused. It returns ErrHandshake when the peer does not follow the protocol.
func Accept(ctx context.Context, conn Conn, decide func(*wire.Hello) *wire.Welcome, options Options) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	l, err := accept(ctx, conn, decide, options)
	if err != nil {
		_ = conn.Close()
	}
	return l, err
}

func accept(ctx context.Context, conn Conn, decide func(*wire.Hello) *wire.Welcome, options Options) (*Link, error) {
	m, err := readMessage(ctx, conn)
	if err != nil {
		return nil, err
	}
	hello, ok := m.(*wire.Hello)
	if !ok {
		return nil, eris.Wrap(ErrHandshake, "peer did not begin with a hello")
	}
	var welcome *wire.Welcome
	switch {
	case hello.Protocol != wire.ProtocolVersion:
		welcome = &wire.Welcome{Refused: "protocol version is not supported"}
	case !mayBe(conn, hello.Role, hello.ID):
		welcome = &wire.Welcome{Refused: notInCertificate}
	default:
		welcome = decide(hello)
	}
	welcome.Protocol = wire.ProtocolVersion
	frame, err := wire.Encode(welcome)
	if err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	if err := conn.WriteFrame(ctx, frame); err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	if welcome.Refused != "" {
		return nil, eris.Wrap(ErrRefused, welcome.Refused)
	}
	if welcome.HeartbeatMillis > 0 {
		options.Heartbeat = time.Duration(welcome.HeartbeatMillis) * time.Millisecond
	}
	return newLink(conn, Peer{Hello: *hello}, options), nil
}

func readMessage(ctx context.Context, conn Conn) (wire.Message, error) {
	frame, err := conn.ReadFrame(ctx)
	if err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	m, err := wire.Decode(frame)
	if err != nil {
		return nil, eris.Wrap(ErrHandshake, err.Error())
	}
	return m, nil
}
