package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
)

// Headers that a request can carry.
const (
	HeaderTask        = "Coltsfootspur-Task"
	HeaderAttempt     = "Coltsfootspur-Attempt"
	HeaderWorkMillis  = "Work-Ms"
	HeaderAnswerBytes = "Answer-Bytes"
)

// Limits of a request.
const (
	maxBodyBytes   = 4 << 20
	maxWorkTime    = 10 * time.Minute
	maxAnswerBytes = 16 << 20
)

// Answer is the body of the response to a task. BodySHA256 is the hash of the request body in hex, BodyBytes its length.
type Answer struct {
	Upstream   string  `json:"upstream"`
	Task       string  `json:"task"`
	Attempt    string  `json:"attempt"`
	Method     string  `json:"method"`
	Path       string  `json:"path"`
	BodySHA256 string  `json:"body_sha256"`
	BodyBytes  int     `json:"body_bytes"`
	WorkMillis float64 `json:"work_ms"`
	// Starts is the number of starts of this task in the Ledger, including this one; 0 if it is not counted.
	Starts uint32 `json:"starts"`
	// Padding has the length that the request specified.
	Padding string `json:"padding,omitempty"`
}

// workRequest is the work time and the size of the padding that a request specifies.
type workRequest struct {
	WorkMillis  float64 `json:"work_ms"`
	AnswerBytes int     `json:"answer_bytes"`
}

// parseWorkRequest reads the headers Work-Ms and Answer-Bytes or else the body, and limits the values.
func parseWorkRequest(r *http.Request, body []byte) workRequest {
	var w workRequest
	_ = json.Unmarshal(body, &w) // any body is allowed; one that is not such JSON specifies nothing
	if v, err := strconv.ParseFloat(r.Header.Get(HeaderWorkMillis), 64); err == nil {
		w.WorkMillis = v
	}
	if v, err := strconv.Atoi(r.Header.Get(HeaderAnswerBytes)); err == nil {
		w.AnswerBytes = v
	}
	w.WorkMillis = min(max(w.WorkMillis, 0), float64(maxWorkTime.Milliseconds()))
	w.AnswerBytes = min(max(w.AnswerBytes, 0), maxAnswerBytes)
	return w
}

func (s *Server) serveTask(c echo.Context) error {
	r := c.Request()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return c.String(http.StatusBadRequest, "body cannot be read\n")
	}
	if len(body) > maxBodyBytes {
		return c.String(http.StatusRequestEntityTooLarge, "body is too large\n")
	}
	task := r.Header.Get(HeaderTask)
	starts := s.recorder.recordStart(task)
	if s.options.OnStart != nil {
		s.options.OnStart(Start{s.options.Name, task, r.Header.Get(HeaderAttempt), r.RemoteAddr, time.Now()})
	}
	faults := s.Faults()
	if faults.Fail {
		s.recorder.recordEnd(outcomeFailed)
		return c.String(http.StatusInternalServerError, "failure on demand\n")
	}
	requested := parseWorkRequest(r, body)
	if !s.simulateWork(r.Context(), requested.WorkMillis, faults) {
		s.recorder.recordEnd(outcomeCancelled)
		return r.Context().Err()
	}
	if faults.Reset {
		s.recorder.recordEnd(outcomeReset)
		return resetConnection(c)
	}
	s.recorder.recordEnd(outcomeAnswered)
	return c.JSON(http.StatusOK, Answer{
		Upstream: s.options.Name, Task: task, Attempt: r.Header.Get(HeaderAttempt),
		Method: r.Method, Path: r.URL.RequestURI(), BodySHA256: sha256Hex(body), BodyBytes: len(body),
		WorkMillis: requested.WorkMillis, Starts: starts, Padding: strings.Repeat("x", requested.AnswerBytes),
	})
}

func sha256Hex(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// simulateWork waits for the work time of a task. It returns false if the client closes the connection earlier.
func (s *Server) simulateWork(ctx context.Context, millis float64, faults Faults) bool {
	if faults.Hang {
		<-ctx.Done()
		return false
	}
	factor := s.options.Factor
	if faults.SlowdownFactor > 0 {
		factor *= faults.SlowdownFactor
	}
	timer := time.NewTimer(time.Duration(millis * factor * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// resetConnection closes the connection with a TCP reset.
func resetConnection(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return conn.Close()
}
