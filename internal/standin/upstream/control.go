package upstream

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

// controlServer serves counters and faults on an address of its own, so that it answers while connections for tasks are
// refused:
//
//	GET /counters   Counters as JSON
//	GET /tasks      the number of starts by task (value of the Coltsfootspur-Task header) as JSON
//	GET /faults     Faults as JSON
//	PUT /faults     replaces the faults; 204, or 400 with the cause
type controlServer struct {
	server  *http.Server
	address string
}

func (s *Server) listenControl() error {
	if s.options.ControlAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", s.options.ControlAddress)
	if err != nil {
		s.closeTaskServer()
		return eris.Wrapf(ErrListen, "%v", err)
	}
	e := echo.New()
	e.GET("/counters", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counters()) })
	e.GET("/tasks", func(c echo.Context) error { return c.JSON(http.StatusOK, s.recorder.ledger.startsByTask()) })
	e.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) })
	e.PUT("/faults", s.putFaults)
	server := &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
	s.control = &controlServer{server: server, address: listener.Addr().String()}
	go s.serve(server, listener)
	return nil
}

// ControlURL returns the base URL for counters and faults, or an empty string if there is no control address.
func (s *Server) ControlURL() string {
	if s.control == nil {
		return ""
	}
	return "http://" + s.control.address
}

func (s *Server) putFaults(c echo.Context) error {
	var f Faults
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	if err := s.SetFaults(f); err != nil {
		return c.String(http.StatusBadRequest, eris.ToString(err, false)+"\n")
	}
	return c.NoContent(http.StatusNoContent)
}

func (c *controlServer) close() { _ = c.server.Close() }
