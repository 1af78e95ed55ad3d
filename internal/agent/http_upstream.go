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

// Headers that the agent sets in each request to the upstream. The value of HeaderTask is "<key in hex>/<task index>" and
// that of HeaderIdempotencyKey "<key in hex>-<task index>"; both are the same for every attempt at a task.
const (
	HeaderTask           = "Coltsfootspur-Task"
	HeaderAttempt        = "Coltsfootspur-Attempt"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerPrefix         = "Coltsfootspur-"
)

const (
	dialTimeout = time.Second
	// idleTimeout is below the 5 s after which common servers close an idle connection. The outcome of a request that is
	// written while the upstream closes its connection is unknown.
	idleTimeout = 4 * time.Second
	// maxStaleTries is the maximum number of tries of a call. A call is tried again on another connection only if its
	// pooled connection was closed before anything of the request was written to it.
	maxStaleTries = 3
)

// HTTPUpstreamClient calls an upstream over HTTP/1.1 with a bounded pool of connections.
type HTTPUpstreamClient struct {
	baseURL   *url.URL
	transport *http.Transport
}

// NewHTTPUpstreamClient returns a client for the upstream at an http URL. It opens at most the given number of connections.
func NewHTTPUpstreamClient(base *url.URL, connections int) *HTTPUpstreamClient {
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
	return &HTTPUpstreamClient{baseURL: base, transport: transport}
}

// Call implements UpstreamClient.
func (u *HTTPUpstreamClient) Call(ctx context.Context, request Request) (*Response, error) {
	for try := 1; ; try++ {
		response, err, stale := u.callOnce(ctx, request)
		if stale && try < maxStaleTries {
			continue
		}
		return response, err
	}
}

// CloseIdle closes the idle connections.
func (u *HTTPUpstreamClient) CloseIdle() { u.transport.CloseIdleConnections() }

// callOnce sends the request once. stale is true if a pooled connection failed before anything of it was written.
func (u *HTTPUpstreamClient) callOnce(ctx context.Context, request Request) (response *Response, err error, stale bool) {
	var sent requestSendTracker
	httpRequest, err := u.newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn}), request)
	if err != nil {
		return nil, err, false
	}
	httpResponse, err := u.transport.RoundTrip(httpRequest)
	if err != nil {
		if sent.sentNothing() {
			return nil, eris.Wrapf(ErrNotReached, "%v", err), sent.reused
		}
		return nil, classifyError(ctx, err), false
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response, err = readAnswer(ctx, httpResponse)
	return response, err, false
}

func (u *HTTPUpstreamClient) newRequest(ctx context.Context, request Request) (*http.Request, error) {
	target, err := u.targetURL(request.Path)
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not send a request again after a lost connection. With an empty body or GetBody it
	// would do so for GET and for every request with an Idempotency-Key.
	body := io.NopCloser(bytes.NewReader(request.Body))
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, target.String(), body)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalidRequest, "%v", err)
	}
	httpRequest.ContentLength = int64(len(request.Body))
	copyRequestHeaders(httpRequest, request.Headers)
	key := hex.EncodeToString(request.Key[:])
	task := strconv.Itoa(int(request.Task))
	httpRequest.Header.Set(HeaderIdempotencyKey, key+"-"+task)
	httpRequest.Header.Set(HeaderTask, key+"/"+task)
	httpRequest.Header.Set(HeaderAttempt, strconv.FormatUint(request.Attempt, 10))
	return httpRequest, nil
}

// targetURL appends a path with an optional query to the base URL. It rejects paths that could change the host.
func (u *HTTPUpstreamClient) targetURL(path string) (*url.URL, error) {
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
	target := u.baseURL.JoinPath(parsed.EscapedPath())
	target.RawQuery = parsed.RawQuery
	return target, nil
}

func readAnswer(ctx context.Context, httpResponse *http.Response) (*Response, error) {
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, wire.MaxAnswerBody+1))
	if err != nil {
		return nil, classifyError(ctx, err)
	}
	if len(body) > wire.MaxAnswerBody {
		return nil, eris.Wrapf(ErrAnswerTooLarge, "body has more than %d bytes", wire.MaxAnswerBody)
	}
	return &Response{Status: uint16(httpResponse.StatusCode), Headers: answerHeaders(httpResponse), Body: body}, nil
}

func classifyError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrapf(ErrTimeout, "%v", err)
	}
	if strings.Contains(err.Error(), "server response headers exceeded") {
		return eris.Wrapf(ErrAnswerTooLarge, "%v", err)
	}
	return eris.Wrapf(ErrConnectionLost, "%v", err)
}
