package agent

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Headers that the agent adds to each call. HeaderTask is "<key in hex>/<task index>" and HeaderIdempotencyKey
// "<key in hex>-<task index>"; both are the same for every attempt of a task.
const (
	HeaderTask           = "Coltsfootspur-Task"
	HeaderAttempt        = "Coltsfootspur-Attempt"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerPrefix         = "Coltsfootspur-"
)

const (
	dialTimeout = time.Second
	// idleTimeout is below the 5 s after which common servers close an idle connection. A request that is written while
	// the upstream closes the connection has an unknown outcome.
	idleTimeout = 4 * time.Second
	// maxStaleTries bounds how often a call moves to another connection because the pooled one was closed unused.
	maxStaleTries = 3
)

// HTTPUpstream calls an upstream over HTTP/1.1 with a bounded pool of connections.
type HTTPUpstream struct {
	base      *url.URL
	transport *http.Transport
}

// NewHTTPUpstream returns an upstream at an http URL that uses at most the given number of connections.
func NewHTTPUpstream(base *url.URL, connections int) *HTTPUpstream {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: wire.MaxHeaders,
	}
	return &HTTPUpstream{base: base, transport: transport}
}

// Call implements Upstream.
func (u *HTTPUpstream) Call(ctx context.Context, request Request) (*Response, error) {
	for try := 1; ; try++ {
		response, err, stale := u.try(ctx, request)
		if stale && try < maxStaleTries {
			continue
		}
		return response, err
	}
}

// CloseIdle closes the idle connections.
func (u *HTTPUpstream) CloseIdle() { u.transport.CloseIdleConnections() }

// try makes one call. stale is set when a pooled connection broke before anything was written to it.
func (u *HTTPUpstream) try(ctx context.Context, request Request) (response *Response, err error, stale bool) {
	var sent sentBytes
	call, err := u.newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn}), request)
	if err != nil {
		return nil, err, false
	}
	answer, err := u.transport.RoundTrip(call)
	if err != nil {
		if sent.none() {
			return nil, eris.Wrapf(ErrNotReached, "%v", err), sent.reused
		}
		return nil, convertError(ctx, err), false
	}
	defer func() { _ = answer.Body.Close() }()
	response, err = readAnswer(ctx, answer)
	return response, err, false
}

func (u *HTTPUpstream) newRequest(ctx context.Context, request Request) (*http.Request, error) {
	target, err := u.target(request.Path)
	if err != nil {
		return nil, err
	}
	// A body without GetBody keeps net/http from sending the request again after a lost connection. It would do so for
	// GET and for every request with an Idempotency-Key.
	body := io.NopCloser(bytes.NewReader(request.Body))
	call, err := http.NewRequestWithContext(ctx, request.Method, target.String(), body)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalidRequest, "%v", err)
	}
	call.ContentLength = int64(len(request.Body))
	copyRequestHeaders(call, request.Headers)
	key := hex.EncodeToString(request.Key[:])
	task := strconv.Itoa(int(request.Task))
	call.Header.Set(HeaderIdempotencyKey, key+"-"+task)
	call.Header.Set(HeaderTask, key+"/"+task)
	call.Header.Set(HeaderAttempt, strconv.FormatUint(request.Attempt, 10))
	return call, nil
}

// target appends a path with an optional query to the base URL. The path cannot change the host.
func (u *HTTPUpstream) target(path string) (*url.URL, error) {
	if path == "" {
		path = "/"
	}
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return nil, eris.Wrap(ErrInvalidRequest, "path does not begin with a single slash")
	}
	parsed, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalidRequest, "%v", err)
	}
	target := u.base.JoinPath(parsed.EscapedPath())
	target.RawQuery = parsed.RawQuery
	return target, nil
}

func readAnswer(ctx context.Context, answer *http.Response) (*Response, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wire.MaxAnswerBody+1))
	if err != nil {
		return nil, convertError(ctx, err)
	}
	if len(body) > wire.MaxAnswerBody {
		return nil, eris.Wrapf(ErrAnswerTooLarge, "body has more than %d bytes", wire.MaxAnswerBody)
	}
	return &Response{Status: uint16(answer.StatusCode), Headers: answerHeaders(answer), Body: body}, nil
}

func convertError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrapf(ErrTimeout, "%v", err)
	}
	if strings.Contains(err.Error(), "server response headers exceeded") {
		return eris.Wrapf(ErrAnswerTooLarge, "%v", err)
	}
	return eris.Wrapf(ErrLost, "%v", err)
}
