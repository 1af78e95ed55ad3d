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
	HeaderTask    = "Coltsfootspur-Task"
	HeaderAttempt = "Coltsfootspur-Attempt"
	HeaderWork    = "Work-Ms"
	HeaderAnswer  = "Answer-Bytes"
)

// Limits of a request.
const (
	maxBody   = 4 << 20
	maxWork   = 10 * time.Minute
	maxAnswer = 16 << 20
)

// Answer is the body of an answer. BodySHA256 is the hash of the request body in hex.
type Answer struct {
	Upstream   string  `json:"upstream"`
	Task       string  `json:"task"`
	Attempt    string  `json:"attempt"`
	Method     string  `json:"method"`
	Path       string  `json:"path"`
	BodySHA256 string  `json:"body_sha256"`
	BodyBytes  int     `json:"body_bytes"`
	WorkMillis float64 `json:"work_ms"`
	// Starts is how often this task has begun here, including this time; 0 without a task header.
	Starts uint32 `json:"starts"`
	// Padding fills the answer to the size that the request asked for.
	Padding string `json:"padding,omitempty"`
}

// wish is what a request asks for.
type wish struct {
	WorkMillis  float64 `json:"work_ms"`
	AnswerBytes int     `json:"answer_bytes"`
}

func readWish(r *http.Request, body []byte) wish {
	var w wish
	_ = json.Unmarshal(body, &w) // any body is allowed; one that is not such JSON asks for nothing
	if v, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64); err == nil {
		w.WorkMillis = v
	}
	if v, err := strconv.Atoi(r.Header.Get(HeaderAnswer)); err == nil {
		w.AnswerBytes = v
	}
	w.WorkMillis = min(max(w.WorkMillis, 0), float64(maxWork.Milliseconds()))
	w.AnswerBytes = min(max(w.AnswerBytes, 0), maxAnswer)
	return w
}

func (s *Server) serveTask(c echo.Context) error {
	r := c.Request()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil {
		return c.String(http.StatusBadRequest, "body cannot be read\n")
	}
	if len(body) > maxBody {
		return c.String(http.StatusRequestEntityTooLarge, "body is too large\n")
	}
	task := r.Header.Get(HeaderTask)
	starts := s.tally.begin(task)
	if s.options.OnStart != nil {
		s.options.OnStart(Start{s.options.Name, task, r.Header.Get(HeaderAttempt), r.RemoteAddr, time.Now()})
	}
	faults := s.Faults()
	if faults.Fail {
		s.tally.end(failed)
		return c.String(http.StatusInternalServerError, "failure on demand\n")
	}
	asked := readWish(r, body)
	if !s.work(r.Context(), asked.WorkMillis, faults) {
		s.tally.end(cancelled)
		return r.Context().Err()
	}
	if faults.Reset {
		s.tally.end(reset)
		return resetConnection(c)
	}
	s.tally.end(answered)
	return c.JSON(http.StatusOK, Answer{
		Upstream: s.options.Name, Task: task, Attempt: r.Header.Get(HeaderAttempt),
		Method: r.Method, Path: r.URL.RequestURI(), BodySHA256: digest(body), BodyBytes: len(body),
		WorkMillis: asked.WorkMillis, Starts: starts, Padding: strings.Repeat("x", asked.AnswerBytes),
	})
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// work takes the time of a task. It returns false when the client closed the connection before.
func (s *Server) work(ctx context.Context, millis float64, faults Faults) bool {
	if faults.Hang {
		<-ctx.Done()
		return false
	}
	factor := s.options.Factor
	if faults.Slow > 0 {
		factor *= faults.Slow
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
