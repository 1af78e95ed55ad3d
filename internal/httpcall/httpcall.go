// Package httpcall is a client for calls to one HTTP server. Each call has a timeout, the size of a response is limited, and
// a failed call reports whether it may have reached the server.
package httpcall

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a call.
var (
	// ErrNoAnswer means that no complete response was received.
	ErrNoAnswer = eris.New("no answer")
	// ErrConnectionRefused means that nothing listens on the address, so that the server did not receive the call.
	ErrConnectionRefused = eris.New("connection refused")
	// ErrConnectionClosed means that the server closed the connection, or its process ended, before it had sent a response. It
	// includes ErrNoAnswer.
	ErrConnectionClosed = eris.Wrap(ErrNoAnswer, "connection closed")
	// ErrReplyTooLarge means that the response body exceeds Options.MaxReplyBytes.
	ErrReplyTooLarge = eris.New("answer is too large")
	// ErrInvalidRequest means that no HTTP request can be made from the base URL, the method or the path.
	ErrInvalidRequest = eris.New("invalid request")
)

const (
	// idleTimeout closes idle connections before a firewall or NAT on the way drops their state.
	idleTimeout = 30 * time.Second
	// maxErrorTextBytes bounds the part of a response body that goes into an error message.
	maxErrorTextBytes = 200
)

// Options configures a Client.
type Options struct {
	// BaseURL is the base URL of the server, with the scheme http or https.
	BaseURL string
	// DialTimeout bounds the TCP connect and, separately, the TLS handshake.
	DialTimeout time.Duration
	// MaxReplyBytes is the largest response body in bytes.
	MaxReplyBytes int64
	// MaxIdleConns is the number of idle connections that are kept.
	MaxIdleConns int
	// KeepAlive configures TCP keep-alive, with which the operating system closes a dead connection.
	KeepAlive net.KeepAliveConfig
	// Header is sent with each call.
	Header http.Header
	// ReceiveBuffer is the size in bytes of the receive buffer of each connection, which bounds the part of a response that is
	// on the way; 0 leaves it to the operating system. The operating system may use up to twice the value.
	ReceiveBuffer int
}

// Client makes calls to one server. It follows no redirects. It uses HTTP/1.1 only, which has one call at a time on a
// connection: a call that times out closes its connection, so that a dead connection is not used for further calls.
type Client struct {
	base   *url.URL
	header http.Header
	max    int64 // bytes of a response body
	client *http.Client
}

// New returns a client. It makes no call. It returns ErrInvalidRequest if BaseURL is not an http or https URL with
// a host.
func New(o Options) (*Client, error) {
	base, err := url.Parse(o.BaseURL)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, eris.Wrapf(ErrInvalidRequest, "address %q is not an http or https URL", o.BaseURL)
	}
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAliveConfig: o.KeepAlive}
	if o.ReceiveBuffer > 0 {
		dialer.Control = func(_, _ string, conn syscall.RawConn) error { return setReceiveBuffer(conn, o.ReceiveBuffer) }
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: o.DialTimeout,
		TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{},
		MaxIdleConnsPerHost: o.MaxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base: base, header: o.Header, max: o.MaxReplyBytes,
		client: &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// setReceiveBuffer sets the size of the receive buffer before the connection is opened, because the window that is announced
// then does not shrink.
func setReceiveBuffer(conn syscall.RawConn, size int) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
	return errors.Join(controlErr, err)
}

// Request is one call. Path is appended to the base URL and must already be escaped.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header // sent in addition to that of the client, and replaces its values
	Body   []byte
	// Timeout bounds the call until the whole response has been read or, with a BodyTimeout, until its header has.
	Timeout time.Duration
	// BodyTimeout bounds reading the body of the response, from the arrival of its header; 0 means that Timeout includes it.
	BodyTimeout time.Duration
}

// Reply is a complete response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Text returns the beginning of the body, for use in an error message.
func (r *Reply) Text() string {
	text := strings.TrimSpace(string(r.Body))
	return text[:min(len(text), maxErrorTextBytes)]
}

// Do makes a call. reached reports whether the server may have received the request. The error is ErrNoAnswer,
// ErrConnectionRefused, ErrReplyTooLarge or ErrInvalidRequest. A response with an error status is a reply, not an error.
func (c *Client) Do(ctx context.Context, r Request) (reply *Reply, reached bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(r.Timeout, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return nil, false, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, connected.Load(), transportError(err, connected.Load())
	}
	defer response.Body.Close()
	if r.BodyTimeout > 0 {
		timer.Reset(r.BodyTimeout)
	}
	reply, err = c.readReply(response)
	return reply, true, err
}

// transportError returns ErrConnectionRefused if the connection was refused, ErrConnectionClosed if it was closed without a response,
// and otherwise ErrNoAnswer.
func transportError(err error, connected bool) error {
	if !connected && errors.Is(err, syscall.ECONNREFUSED) {
		return eris.Wrapf(ErrConnectionRefused, "%v", err)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return eris.Wrapf(ErrConnectionClosed, "%v", err)
	}
	return eris.Wrapf(ErrNoAnswer, "%v", err)
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	target := strings.TrimSuffix(c.base.String(), "/") + r.Path
	if len(r.Query) > 0 {
		target += "?" + r.Query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, eris.Wrapf(ErrInvalidRequest, "%v", err)
	}
	for _, header := range []http.Header{c.header, r.Header} {
		for name, values := range header {
			request.Header[name] = values
		}
	}
	return request, nil
}

func (c *Client) readReply(response *http.Response) (*Reply, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, c.max+1))
	if err != nil {
		return nil, eris.Wrapf(ErrNoAnswer, "answer was cut off: %v", err)
	}
	if int64(len(body)) > c.max {
		return nil, eris.Wrapf(ErrReplyTooLarge, "more than %d bytes", c.max)
	}
	return &Reply{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
