package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/httpcall"
)

const (
	// maxReplyBytes bounds the memory for one response. A watch returns every key below its prefix.
	maxReplyBytes = 64 << 20
	// headerIndex is the header with the index of a read.
	headerIndex = "X-Consul-Index"
)

// reply is a response with the index of its X-Consul-Index header, at least 1.
type reply struct {
	*httpcall.Reply
	index uint64
}

// read makes a GET call. Status 404 is not an error: it means that there are no such keys.
func (c *Consul) read(ctx context.Context, kind callKind, path string, query url.Values, timeout time.Duration) (*reply, error) {
	r, _, err := c.call(ctx, http.MethodGet, path, query, nil, timeout)
	if err == nil && r.Status >= http.StatusMultipleChoices && r.Status != http.StatusNotFound {
		err = readStatusError(r)
	}
	c.stats.count(kind, err)
	return r, err
}

// readStatusError converts the status of a failed read to an error.
func readStatusError(r *reply) error {
	switch {
	case r.Status == http.StatusTooManyRequests || r.Status >= http.StatusInternalServerError:
		return eris.Wrapf(ErrUnavailable, "status %d: %s", r.Status, r.Text())
	default:
		return eris.Wrapf(ErrRejected, "status %d: %s", r.Status, r.Text())
	}
}

// write makes a PUT call. If it gets no answer, it returns ErrUnavailable only if no connection was made, and otherwise
// ErrOutcomeUnknown.
func (c *Consul) write(ctx context.Context, kind callKind, path string, query url.Values, body []byte) (*reply, error) {
	r, connected, err := c.call(ctx, http.MethodPut, path, query, body, c.timeout)
	switch {
	case err != nil && connected:
		err = eris.Wrapf(ErrOutcomeUnknown, "%v", err)
	case err == nil && r.Status >= http.StatusMultipleChoices:
		err = writeStatusError(r)
	}
	c.stats.count(kind, err)
	return r, err
}

// writeStatusError converts the status of a failed write to an error. The published protocol answers 429 to a write that
// was not attempted. A status of 500 or above can also follow a write that was committed.
func writeStatusError(r *reply) error {
	switch {
	case r.Status == http.StatusNotFound || strings.Contains(r.Text(), "invalid session"):
		return eris.Wrap(ErrNotFound, r.Text())
	case r.Status == http.StatusRequestEntityTooLarge:
		return eris.Wrap(ErrTooLarge, r.Text())
	case r.Status == http.StatusTooManyRequests:
		return eris.Wrapf(ErrUnavailable, "status %d: %s", r.Status, r.Text())
	case r.Status >= http.StatusInternalServerError:
		return eris.Wrapf(ErrOutcomeUnknown, "status %d: %s", r.Status, r.Text())
	default:
		return eris.Wrapf(ErrRejected, "status %d: %s", r.Status, r.Text())
	}
}

// call makes a call and returns its response with any status. The error is ErrUnavailable, ErrTooLarge or ErrRejected. The
// second result reports whether the request may have reached the store.
func (c *Consul) call(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration) (*reply, bool, error) {
	response, reached, err := c.client.Do(ctx, httpcall.Request{Method: method, Path: path, Query: query, Body: body, Timeout: timeout})
	switch {
	case errors.Is(err, httpcall.ErrReplyTooLarge):
		return nil, reached, eris.Wrapf(ErrTooLarge, "%v", err)
	case errors.Is(err, httpcall.ErrInvalidRequest):
		return nil, false, eris.Wrapf(ErrRejected, "%v", err)
	case err != nil:
		return nil, reached, eris.Wrapf(ErrUnavailable, "%v", err)
	}
	// A missing index counts as 1: a blocking query with index 0 returns at once, so a loop of them would never wait.
	index, _ := strconv.ParseUint(response.Header.Get(headerIndex), 10, 64)
	return &reply{Reply: response, index: max(index, 1)}, true, nil
}

// decodeSnapshot decodes the response to a read.
func (r *reply) decodeSnapshot() (Snapshot, error) {
	s := Snapshot{Index: r.index}
	if r.Status == http.StatusNotFound {
		return s, nil
	}
	var pairs []kvPair
	if err := json.Unmarshal(r.Body, &pairs); err != nil {
		return Snapshot{}, eris.Wrapf(ErrUnavailable, "response is malformed: %v", err)
	}
	for _, p := range pairs {
		s.Entries = append(s.Entries, p.entry())
	}
	return s, nil
}

// writeOutcome decodes the response to a conditional write: nil if it took effect, ErrConflict if its condition did not
// hold.
func (r *reply) writeOutcome(key string) error {
	switch r.Text() {
	case "true":
		return nil
	case "false":
		return eris.Wrap(ErrConflict, key)
	default:
		return eris.Wrapf(ErrOutcomeUnknown, "response is malformed: %q", r.Text())
	}
}
