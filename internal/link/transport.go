// Package link carries messages between two processes of the system over one connection. It detects silent connections
// with heartbeats and counts the traffic.
package link

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/identity"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Path is the HTTP path on which a process accepts links.
const Path = "/link"

// Errors of this package.
var (
	// ErrClosed means that the link or its connection is closed.
	ErrClosed = eris.New("link is closed")
	// ErrSilent means that the link was closed because the peer did not answer pings in time.
	ErrSilent = eris.New("peer is silent")
	// ErrQueueFull means that a message was not queued because the peer reads too slowly.
	ErrQueueFull = eris.New("send queue is full")
	// ErrRefused means that one side refused the link, for example because of the token or the certificate of the other.
	ErrRefused = eris.New("link was refused")
	// ErrDial means that no connection to the peer could be opened.
	ErrDial = eris.New("peer cannot be reached")
	// ErrHandshake means that the connection failed during the handshake, or that the peer violated its protocol.
	ErrHandshake = eris.New("handshake failed")
	// ErrConnectionRefused means that the host of the peer is reachable and no process listens at the address.
	ErrConnectionRefused = eris.New("connection refused")
)

// Conn is a connection that preserves frame boundaries.
type Conn interface {
	// ReadFrame returns the next frame. It is called by one goroutine at a time.
	ReadFrame(ctx context.Context) ([]byte, error)
	// WriteFrame sends one frame. It is called by one goroutine at a time.
	WriteFrame(ctx context.Context, frame []byte) error
	// Close releases the connection at once and unblocks readers and writers.
	Close() error
}

// Dialer opens connections to other processes.
type Dialer interface {
	// Dial connects to host:port. It returns ErrDial when the peer cannot be reached.
	Dial(ctx context.Context, address string) (Conn, error)
}

// Prober checks whether a process listens at an address.
type Prober interface {
	// Probe opens a connection to host:port and closes it at once. It returns ErrConnectionRefused when the host refuses
	// it, and ErrDial when it fails in any other way, for example with a timeout or a reset.
	Probe(ctx context.Context, address string) error
}

// WebSocketDialer opens WebSocket connections and authenticates with the link token.
type WebSocketDialer struct {
	Token string
	// TLS encrypts the links and presents the certificate of this process; nil means plain TCP. With TLS, the peer's
	// certificate has to name the entry that answers.
	TLS *tls.Config
	// DialContext replaces the default TCP dialer; nil means the default.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dial implements Dialer.
func (d WebSocketDialer) Dial(ctx context.Context, address string) (Conn, error) {
	transport := &http.Transport{DialContext: d.DialContext, TLSClientConfig: d.TLS, DisableKeepAlives: true}
	options := &websocket.DialOptions{
		HTTPHeader:      http.Header{"Authorization": {bearerPrefix + d.Token}},
		CompressionMode: websocket.CompressionDisabled,
		HTTPClient:      &http.Client{Transport: transport},
	}
	scheme := "ws://"
	if d.TLS != nil {
		scheme = "wss://"
	}
	conn, response, err := websocket.Dial(ctx, scheme+address+Path, options)
	if err != nil {
		if response != nil && response.StatusCode == http.StatusUnauthorized {
			return nil, eris.Wrapf(ErrRefused, "%s: link token does not match", address)
		}
		return nil, eris.Wrapf(ErrDial, "%s: %v", address, err)
	}
	return newWebSocketConn(conn, response.TLS), nil
}

// Probe implements Prober. It sends nothing on the connection.
func (d WebSocketDialer) Probe(ctx context.Context, address string) error {
	dial := d.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return eris.Wrapf(ErrConnectionRefused, "%s", address)
	case err != nil:
		return eris.Wrapf(ErrDial, "%s: %v", address, err)
	}
	_ = conn.Close()
	return nil
}

const bearerPrefix = "Bearer "

// Authorized reports whether the request carries the bearer token. The comparison takes constant time. An empty token
// authorizes no request.
func Authorized(r *http.Request, token string) bool {
	given, ok := BearerToken(r)
	return ok && token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(token)) == 1
}

// BearerToken returns the bearer token that the request carries.
func BearerToken(r *http.Request) (token string, ok bool) {
	return strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
}

// Upgrade upgrades an HTTP request for Path to a connection. It returns ErrRefused when the token does not match and
// ErrHandshake when the upgrade fails; the error response has then been written.
func Upgrade(w http.ResponseWriter, r *http.Request, token string) (Conn, error) {
	if !Authorized(r, token) {
		http.Error(w, "link token does not match", http.StatusUnauthorized)
		return nil, eris.Wrap(ErrRefused, "link token does not match")
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, eris.Wrapf(ErrHandshake, "%v", err)
	}
	return newWebSocketConn(conn, r.TLS), nil
}

// webSocketConn is a Conn over a WebSocket connection.
type webSocketConn struct {
	conn *websocket.Conn
	// names are the names in the peer's certificate. They are checked only when encrypted is set.
	names     identity.Names
	encrypted bool
}

func newWebSocketConn(conn *websocket.Conn, state *tls.ConnectionState) webSocketConn {
	conn.SetReadLimit(wire.MaxFrame)
	return webSocketConn{conn: conn, names: identity.PeerNames(state), encrypted: state != nil}
}

// allowsIdentity implements authenticatedConn.
func (c webSocketConn) allowsIdentity(role identity.Role, id string) bool {
	return !c.encrypted || c.names.Has(role, id)
}

func (c webSocketConn) ReadFrame(ctx context.Context) ([]byte, error) {
	_, frame, err := c.conn.Read(ctx)
	return frame, err
}

func (c webSocketConn) WriteFrame(ctx context.Context, frame []byte) error {
	return c.conn.Write(ctx, websocket.MessageBinary, frame)
}

func (c webSocketConn) Close() error { return c.conn.CloseNow() }
