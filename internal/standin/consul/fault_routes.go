package consul

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
)

// addFaultRoutes adds the endpoints for fault injection. They also answer while the store is down.
//
//	GET  /fault                  returns the active faults
//	PUT  /fault                  replaces them; the body is a Faults object, {} makes the store healthy
//	POST /fault/expire-leases    ends every session
//	POST /fault/snapshot         saves the data
//	POST /fault/restore          restores the saved data
//	GET  /fault/calls            counts and rates of calls by kind
func (s *Server) addFaultRoutes(g *echo.Group) {
	g.Use(s.authorize)
	g.GET("", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) })
	g.PUT("", s.putFaults)
	g.POST("/expire-leases", func(c echo.Context) error { return runAction(c, s.ExpireLeases) })
	g.POST("/snapshot", func(c echo.Context) error { return runAction(c, s.Snapshot) })
	g.POST("/restore", func(c echo.Context) error { return runAction(c, s.Restore) })
	g.GET("/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Calls()) })
}

func runAction(c echo.Context, run func()) error {
	run()
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) putFaults(c echo.Context) error {
	var f Faults
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if err := s.SetFaults(f); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, s.Faults())
}

// authorize requires the bearer token of Options.FaultToken, if that is set. It compares the tokens in constant time.
func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		want := []byte("Bearer " + s.options.FaultToken)
		got := []byte(c.Request().Header.Get(echo.HeaderAuthorization))
		if s.options.FaultToken != "" && subtle.ConstantTimeCompare(want, got) != 1 {
			return c.String(http.StatusUnauthorized, "bearer token is missing or wrong")
		}
		return next(c)
	}
}
