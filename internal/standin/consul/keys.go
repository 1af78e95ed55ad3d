package consul

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	// defaultWait and maxWait are the default and the longest wait of a blocking query in the published protocol.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	headerIndex = "X-Consul-Index"
)

// write counts a write of the given kind, applies the faults, runs change and sends the answer that it returns: a string as
// text, anything else as JSON. change must not send an answer itself.
func (s *Server) write(c echo.Context, kind string, change func(d *data) (status int, answer any)) error {
	s.calls.count(kind, s.options.Clock.Now())
	if !s.faults.apply(c.Request().Context(), c.Response()) {
		return nil
	}
	if s.faults.takeDrop() {
		panic(http.ErrAbortHandler)
	}
	var status int
	var answer any
	s.store.update(func(d *data) { status, answer = change(d) })
	if s.faults.takeLoss() {
		panic(http.ErrAbortHandler)
	}
	if text, ok := answer.(string); ok {
		return c.String(status, text)
	}
	return c.JSON(status, answer)
}

// requestKey returns the key of a request, unescaped.
func requestKey(c echo.Context) string { return strings.TrimPrefix(c.Request().URL.Path, "/v1/kv/") }

func (s *Server) getKey(c echo.Context) error {
	key := requestKey(c)
	query := c.QueryParams()
	read := func(d *data) ([]pair, uint64) { return d.get(key) }
	kind := "get"
	if query.Has("recurse") {
		read = func(d *data) ([]pair, uint64) { return d.list(key) }
		kind = "list"
	}
	index, wait, err := parseBlockingQuery(query.Get("index"), query.Get("wait"))
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if query.Has("index") {
		kind = "watch"
	}
	s.calls.count(kind, s.options.Clock.Now())
	if !s.faults.apply(c.Request().Context(), c.Response()) {
		return nil
	}
	found, foundIndex := s.store.query(c.Request().Context(), read, index, wait)
	c.Response().Header().Set(headerIndex, strconv.FormatUint(foundIndex, 10))
	if len(found) == 0 {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, found)
}

// parseBlockingQuery parses the parameters of a blocking query. Without an index the query does not block: it returns 0, 0.
func parseBlockingQuery(index, wait string) (uint64, time.Duration, error) {
	if index == "" {
		return 0, 0, nil
	}
	waitIndex, err := strconv.ParseUint(index, 10, 64)
	if err != nil {
		return 0, 0, err
	}
	if wait == "" {
		return waitIndex, defaultWait, nil
	}
	limit, err := time.ParseDuration(wait)
	return waitIndex, min(limit, maxWait), err
}

func (s *Server) putKey(c echo.Context) error {
	key := requestKey(c)
	query := c.QueryParams()
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, int64(s.options.MaxValue)+1))
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if len(value) > s.options.MaxValue {
		return c.String(http.StatusRequestEntityTooLarge, "Request body is too large")
	}
	if query.Has("cas") {
		expected, err := strconv.ParseUint(query.Get("cas"), 10, 64)
		if err != nil {
			return c.String(http.StatusBadRequest, err.Error())
		}
		return s.write(c, "put", func(d *data) (int, any) { return http.StatusOK, d.compareAndSwap(key, value, expected) })
	}
	if query.Has("acquire") {
		return s.acquire(c, key, value, query.Get("acquire"))
	}
	return s.write(c, "put", func(d *data) (int, any) {
		d.put(key, value)
		return http.StatusOK, true
	})
}

// acquire writes a key and binds it to a session.
func (s *Server) acquire(c echo.Context, key string, value []byte, id string) error {
	return s.write(c, "acquire", func(d *data) (int, any) {
		if _, ok := d.sessions[id]; !ok {
			return http.StatusInternalServerError, "invalid session " + strconv.Quote(id)
		}
		return http.StatusOK, d.acquire(key, value, id)
	})
}

func (s *Server) deleteKey(c echo.Context) error {
	key := requestKey(c)
	return s.write(c, "delete", func(d *data) (int, any) {
		d.remove(key)
		return http.StatusOK, true
	})
}

func (s *Server) getLeader(c echo.Context) error {
	if !s.faults.apply(c.Request().Context(), c.Response()) {
		return nil
	}
	return c.JSON(http.StatusOK, s.address)
}
