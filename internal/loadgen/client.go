package loadgen

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// errNoAnswer is returned when a request got no complete response: the connection failed or the request timed out.
var errNoAnswer = eris.New("no answer")

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	// maxDrainBytes limits how much of an unused response body is read so that the connection can be reused.
	maxDrainBytes = 64 << 10
)

// client submits and cancels jobs over the callers' HTTP interface, which section 9 of the design describes.
type client struct {
	http    *http.Client
	token   string
	service string
}

// reply is the response to one submission.
type reply struct {
	status     int
	answer     *api.Answer // nil when the body does not conform to the interface
	retryAfter time.Duration
}

func newClient(c *Config) *client {
	connsPerEntry := max(1, c.MaxConnections/len(c.Entries))
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connsPerEntry,
		MaxIdleConnsPerHost: connsPerEntry,
		MaxIdleConns:        c.MaxConnections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &client{http: &http.Client{Transport: transport}, token: c.Token, service: url.PathEscape(c.Service.Name)}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// submit sends a job to an entry. It returns errNoAnswer when no complete response arrived.
func (c *client) submit(ctx context.Context, entry, key string, body []byte) (reply, error) {
	request, err := c.newRequest(ctx, http.MethodPost, entry+"/v1/services/"+c.service+"/jobs", bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Content-Type", api.ContentType)
	request.Header.Set(api.HeaderKey, key)
	// With GetBody set, the transport would silently retry a request that has an idempotency key on a new connection.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, eris.Wrap(errNoAnswer, err.Error())
	}
	defer response.Body.Close()
	return readReply(response)
}

// readReply reads a response. It returns errNoAnswer for a truncated response; a complete but malformed one is a reply
// without an answer.
func readReply(response *http.Response) (reply, error) {
	body := &errorTrackingReader{source: response.Body}
	answer, err := api.DecodeAnswer(body, api.MaxAnswer)
	if err != nil && body.failed {
		return reply{}, eris.Wrap(errNoAnswer, err.Error())
	}
	result := reply{status: response.StatusCode}
	if err == nil {
		result.answer = answer
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		result.retryAfter = time.Duration(seconds) * time.Second
	}
	return result, nil
}

// errorTrackingReader records whether a read from its source failed, which distinguishes a truncated response from a
// malformed one.
type errorTrackingReader struct {
	source io.Reader
	failed bool
}

// Read implements io.Reader.
func (f *errorTrackingReader) Read(p []byte) (int, error) {
	n, err := f.source.Read(p)
	if err != nil && err != io.EOF {
		f.failed = true
	}
	return n, err
}

// cancel asks an entry to cancel the tasks of a job that have not started.
func (c *client) cancel(ctx context.Context, entry, key string) error {
	target := entry + "/v1/services/" + c.service + "/jobs/" + url.PathEscape(key)
	request, err := c.newRequest(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(errNoAnswer, err.Error())
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
	return err
}

func (c *client) newRequest(ctx context.Context, method, target string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, eris.Wrap(ErrConfig, err.Error())
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	return request, nil
}
