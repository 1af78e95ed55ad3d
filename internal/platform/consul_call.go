package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxReply bounds the memory that one answer can claim. A watch returns every key below its prefix.
	maxReply = 64 << 20
	// maxErrorText bounds the part of an error answer that goes into an error.
	maxErrorText = 200
	// headerIndex carries the index of a read.
	headerIndex = "X-Consul-Index"
)

// reply is an answer with a status below 300, or 404 of a read.
type reply struct {
	status int
	index  uint64
	body   []byte
}

// read makes a GET call. A status of 404 is an answer without keys.
func (c *Consul) read(ctx context.Context, kind callKind, path string, query url.Values, limit time.Duration) (*reply, error) {
	r, _, err := c.call(ctx, http.MethodGet, path, query, nil, limit)
	if err == nil && r.status >= http.StatusMultipleChoices && r.status != http.StatusNotFound {
		err = readError(r)
	}
	c.stats.count(kind, err)
	return r, err
}

func readError(r *reply) error {
	switch {
	case r.status == http.StatusTooManyRequests || r.status >= http.StatusInternalServerError:
		return eris.Wrapf(ErrUnavailable, "status %d: %s", r.status, r.text())
	default:
		return eris.Wrapf(ErrRejected, "status %d: %s", r.status, r.text())
	}
}

// write makes a PUT call. Without an answer it returns ErrUnavailable only if no connection was made.
func (c *Consul) write(ctx context.Context, kind callKind, path string, query url.Values, body []byte) (*reply, error) {
	r, connected, err := c.call(ctx, http.MethodPut, path, query, body, c.timeout)
	switch {
	case err != nil && connected:
		err = eris.Wrapf(ErrOutcomeUnknown, "%v", err)
	case err == nil && r.status >= http.StatusMultipleChoices:
		err = writeError(r)
	}
	c.stats.count(kind, err)
	return r, err
}

// writeError converts a status. The published protocol answers 429 to a write that was not attempted; any status from
// 500 can also come after a write that was committed.
func writeError(r *reply) error {
	switch {
	case r.status == http.StatusNotFound || strings.Contains(r.text(), "invalid session"):
		return eris.Wrap(ErrNotFound, r.text())
	case r.status == http.StatusRequestEntityTooLarge:
		return eris.Wrap(ErrTooLarge, r.text())
	case r.status == http.StatusTooManyRequests:
		return eris.Wrapf(ErrUnavailable, "status %d: %s", r.status, r.text())
	case r.status >= http.StatusInternalServerError:
		return eris.Wrapf(ErrOutcomeUnknown, "status %d: %s", r.status, r.text())
	default:
		return eris.Wrapf(ErrRejected, "status %d: %s", r.status, r.text())
	}
}

// call returns the whole answer, or ErrUnavailable. Connected tells whether the request may have reached the store.
func (c *Consul) call(ctx context.Context, method, path string, query url.Values, body []byte, limit time.Duration) (*reply, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), method, path, query, body)
	if err != nil {
		return nil, false, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, connected.Load(), eris.Wrapf(ErrUnavailable, "%v", err)
	}
	defer response.Body.Close()
	r, err := readReply(response)
	return r, true, err
}

func (c *Consul) request(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Request, error) {
	target := strings.TrimSuffix(c.base.String(), "/") + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(ErrRejected, "%v", err)
	}
	if c.token != "" {
		request.Header.Set("X-Consul-Token", c.token)
	}
	return request, nil
}

func readReply(response *http.Response) (*reply, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "answer was cut off: %v", err)
	}
	if len(body) > maxReply {
		return nil, eris.Wrapf(ErrTooLarge, "answer has more than %d bytes", maxReply)
	}
	// A missing index is read as 1: index 0 would turn a loop of blocking queries into one without waits.
	index, _ := strconv.ParseUint(response.Header.Get(headerIndex), 10, 64)
	return &reply{status: response.StatusCode, index: max(index, 1), body: body}, nil
}

func (r *reply) text() string {
	text := strings.TrimSpace(string(r.body))
	return text[:min(len(text), maxErrorText)]
}

// snapshot decodes the keys of a read.
func (r *reply) snapshot() (Snapshot, error) {
	s := Snapshot{Index: r.index}
	if r.status == http.StatusNotFound {
		return s, nil
	}
	var pairs []pair
	if err := json.Unmarshal(r.body, &pairs); err != nil {
		return Snapshot{}, eris.Wrapf(ErrUnavailable, "answer is malformed: %v", err)
	}
	for _, p := range pairs {
		s.Entries = append(s.Entries, p.entry())
	}
	return s, nil
}

// accepted decodes the answer to a conditional write.
func (r *reply) accepted(key string) error {
	switch r.text() {
	case "true":
		return nil
	case "false":
		return eris.Wrap(ErrConflict, key)
	default:
		return eris.Wrapf(ErrOutcomeUnknown, "answer is malformed: %q", r.text())
	}
}
