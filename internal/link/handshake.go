package link

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/identity"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// authenticatedConn is a Conn whose peer can be identified by a certificate.
type authenticatedConn interface {
	// allowsIdentity reports whether the peer may identify itself as this process. It is true on a connection without TLS.
	allowsIdentity(role identity.Role, id string) bool
}

const notInCertificateMessage = "the certificate does not name this process"

// allowsIdentity reports whether the peer of the connection may identify itself as this process.
func allowsIdentity(conn Conn, role wire.Role, id string) bool {
	a, ok := conn.(authenticatedConn)
	if !ok {
		return true
	}
	if role == wire.RoleAgent {
		return a.allowsIdentity(identity.Agent, id)
	}
	return a.allowsIdentity(identity.Entry, id)
}

// Dial opens a connection, sends hello and waits for the welcome. It returns ErrDial, ErrHandshake or ErrRefused.
// The link carries messages only after Start has been called.
func Dial(ctx context.Context, dialer Dialer, address string, hello wire.Hello, options Options) (*Link, *wire.Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := dialer.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	hello.Protocol = wire.ProtocolVersion
	welcome, err := exchangeHello(ctx, conn, &hello)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	if !allowsIdentity(conn, wire.RoleEntry, welcome.ID) {
		_ = conn.Close()
		return nil, nil, eris.Wrapf(ErrRefused, "entry %q at %s: %s", welcome.ID, address, notInCertificateMessage)
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

func exchangeHello(ctx context.Context, conn Conn, hello *wire.Hello) (*wire.Welcome, error) {
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

// Accept waits for the hello on a new connection and answers with the welcome that decide returns. It returns ErrRefused
// when the peer is refused, and ErrHandshake when the peer does not follow the protocol.
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
	case !allowsIdentity(conn, hello.Role, hello.ID):
		welcome = &wire.Welcome{Refused: notInCertificateMessage}
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
