package consul

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// maxTTL is the longest TTL of a session that the published protocol allows.
const maxTTL = 24 * time.Hour

// sessionRequest is the body of a request for a session. Node checks are not simulated.
type sessionRequest struct {
	Name     string
	TTL      string
	Behavior string
}

func (s *Server) createSession(c echo.Context) error {
	var r sessionRequest
	if err := c.Echo().JSONSerializer.Deserialize(c, &r); err != nil {
		return c.String(http.StatusBadRequest, "Request decode failed")
	}
	created := session{Name: r.Name, Behavior: r.Behavior, TTL: r.TTL}
	if created.Behavior == "" {
		created.Behavior = behaviorRelease
	}
	if created.Behavior != behaviorRelease && created.Behavior != behaviorDelete {
		return c.String(http.StatusBadRequest, "Invalid Behavior")
	}
	if r.TTL != "" {
		ttl, err := time.ParseDuration(r.TTL)
		if err != nil || ttl < s.options.MinTTL || ttl > maxTTL {
			return c.String(http.StatusBadRequest, "Invalid Session TTL")
		}
		created.ttl = ttl
	}
	return s.write(c, "session_create", func(d *data) (int, any) {
		return http.StatusOK, map[string]string{"ID": d.createSession(created, s.options.Clock.Now()).ID}
	})
}

func (s *Server) renewSession(c echo.Context) error {
	id := c.Param("id")
	return s.write(c, "session_renew", func(d *data) (int, any) {
		renewed, ok := d.sessions[id]
		if !ok {
			return http.StatusNotFound, "Session id '" + id + "' not found"
		}
		renewed.expires = s.options.Clock.Now().Add(renewed.ttl)
		d.sessions[id] = renewed
		return http.StatusOK, []session{renewed}
	})
}

func (s *Server) destroySession(c echo.Context) error {
	id := c.Param("id")
	return s.write(c, "session_destroy", func(d *data) (int, any) {
		d.destroySession(id)
		return http.StatusOK, true
	})
}
