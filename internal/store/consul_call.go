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
	// maxReply bounds the memory that one answer can claim. A watch returns every key below its prefix.
	maxReply = 64 << 20
	// headerIndex carries the index of a read.
	headerIndex = "X-Consul-Index"
)

// reply is an answer with a status below 300, or 404 of a read.
type reply struct {
	*httpcall.Reply
	index uint64
}

// read makes a GET call. A status of 404 is an answer without keys.
func (c *Consul) read(ctx context.Context, kind callKind, path string, query url.Values, limit time.Duration) (*reply, error) {
	r, _, err := c.call(ctx, http.MethodGet, path, query, nil, limit)
	if err == nil && r.Status >= http.StatusMultipleChoices && r.Status != http.StatusNotFound {
		err = readError(r)
	}
	c.stats.count(kind, err)
	return r, err
}

func readError(r *reply) error {
	switch {
	case r.Status == http.StatusTooManyRequests || r.Status >= http.StatusInternalServerError:
		return eris.Wrapf(ErrUnavailable, "status %d: %s", r.Status, r.Text())
	default:
		return eris.Wrapf(ErrRejected, "status %d: %s", r.Status, r.Text())
	}
}

// write makes a PUT call. Without an answer it returns ErrUnavailable only if no connection was made.
func (c *Consul) write(ctx context.Context, kind callKind, path string, query url.Values, body []byte) (*reply, error) {
	r, connected, err := c.call(ctx, http.MethodPut, path, query, body, c.timeout)
	switch {
	case err != nil && connected:
		err = eris.Wrapf(ErrOutcomeUnknown, "%v", err)
	case err == nil && r.Status >= http.StatusMultipleChoices:
		err = writeError(r)
	}
	c.stats.count(kind, err)
	return r, err
}

// writeError converts a status. The published protocol answers 429 to a write that was not attempted; any status from
// 500 can also come after a write that was committed.
func writeError(r *reply) error {
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

// call returns the whole answer, or ErrUnavailable. Reached tells whether the request may have reached the store.
func (c *Consul) call(ctx context.Context, method, path string, query url.Values, body []byte, limit time.Duration) (*reply, bool, error) {
	answer, reached, err := c.client.Do(ctx, httpcall.Request{Method: method, Path: path, Query: query, Body: body, Limit: limit})
	switch {
	case errors.Is(err, httpcall.ErrTooLarge):
		return nil, reached, eris.Wrapf(ErrTooLarge, "%v", err)
	case errors.Is(err, httpcall.ErrRequest):
		return nil, false, eris.Wrapf(ErrRejected, "%v", err)
	case err != nil:
		return nil, reached, eris.Wrapf(ErrUnavailable, "%v", err)
	}
	// A missing index is read as 1: index 0 would turn a loop of blocking queries into one without waits.
	index, _ := strconv.ParseUint(answer.Header.Get(headerIndex), 10, 64)
	return &reply{Reply: answer, index: max(index, 1)}, true, nil
}

// snapshot decodes the keys of a read.
func (r *reply) snapshot() (Snapshot, error) {
	s := Snapshot{Index: r.index}
	if r.Status == http.StatusNotFound {
		return s, nil
	}
	var pairs []pair
	if err := json.Unmarshal(r.Body, &pairs); err != nil {
		return Snapshot{}, eris.Wrapf(ErrUnavailable, "answer is malformed: %v", err)
	}
	for _, p := range pairs {
		s.Entries = append(s.Entries, p.entry())
	}
	return s, nil
}

// accepted decodes the answer to a conditional write.
func (r *reply) accepted(key string) error {
	switch r.Text() {
	case "true":
		return nil
	case "false":
		return eris.Wrap(ErrConflict, key)
	default:
		return eris.Wrapf(ErrOutcomeUnknown, "answer is malformed: %q", r.Text())
	}
}
