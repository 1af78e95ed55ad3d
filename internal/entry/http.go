package entry

import (
	"bytes"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/intake"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// noRoomRetryMillis is the Retry-After of a request for which there was no memory: what holds it ends within seconds.
const noRoomRetryMillis = 1000

// newCallerServer returns the HTTP interface for callers.
func (e *Entry) newCallerServer() *echo.Echo {
	server := echo.New()
	server.HideBanner, server.HidePort = true, true
	server.HTTPErrorHandler = writeEchoError
	server.Use(e.control.metrics.countCallers)
	group := server.Group("/v1/services/:service", e.authorizeCaller)
	group.POST("/jobs", e.postJob)
	group.POST("/requests/:kind", e.postRequest)
	group.GET("/jobs/:key", e.getJob)
	group.DELETE("/jobs/:key", e.deleteJob)
	return server
}

// authorizeCaller is a middleware that refuses requests without a valid caller token.
func (e *Entry) authorizeCaller(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !e.isCallerAuthorized(c.Request(), c.Param("service")) {
			c.Response().Header().Set("WWW-Authenticate", "Bearer")
			return writeRefusal(c, wire.ReasonUnauthorized, "the caller's token is missing or wrong")
		}
		return next(c)
	}
}

// postJob handles POST /v1/services/{service}/jobs.
func (e *Entry) postJob(c echo.Context) error {
	body, err := e.readBody(c, api.MaxRequest)
	if err != nil {
		return writeRequestError(c, err)
	}
	defer body.Release() // the job keeps its bodies until it is answered
	request, err := api.DecodeJob(bytes.NewReader(body.Bytes))
	if err != nil {
		return writeRequestError(c, err)
	}
	job := wire.Job{Kind: request.Kind, Tasks: request.Specs(), BudgetMillis: request.DeadlineMillis}
	job.Digest = placement.Digest(&job)
	reply, err := e.submitFromCaller(c, job)
	if err != nil {
		return writeRequestError(c, err)
	}
	return writeReply(c, reply)
}

// postRequest handles POST /v1/services/{service}/requests/{kind}, which submits a job of one task. The upstream's answer
// is returned unchanged.
func (e *Entry) postRequest(c echo.Context) error {
	body, err := e.readBody(c, wire.MaxTaskBody)
	if err != nil {
		return writeRequestError(c, err)
	}
	defer body.Release() // the job keeps it until it is answered
	task := &api.TaskRequest{Headers: api.ForwardedHeaders(c.Request().Header), Body: body.Bytes}
	if err := api.CheckTask(task); err != nil {
		return writeRequestError(c, err)
	}
	budget, err := api.ParseDeadline(c.Request().Header.Get(api.HeaderDeadline))
	if err != nil {
		return writeRequestError(c, err)
	}
	job := wire.Job{
		Kind: c.Param("kind"), BudgetMillis: budget,
		Tasks: []wire.TaskSpec{{Headers: task.Headers, Body: task.Body}},
	}
	job.Digest = digestSingleTask(job)
	reply, err := e.submitFromCaller(c, job)
	if err != nil {
		return writeRequestError(c, err)
	}
	if reply.Answer != nil && reply.Answer.Outcome == wire.OutcomeComplete && len(reply.Answer.Tasks) == 1 {
		return writeSingleTaskAnswer(c, &reply.Answer.Tasks[0])
	}
	return writeReply(c, reply)
}

// digestSingleTask returns the digest of a job of one task, computed over the body and its content type. Other header
// fields, such as trace identifiers, differ between two submissions of the same request.
func digestSingleTask(job wire.Job) [16]byte {
	task := job.Tasks[0]
	task.Headers = slices.DeleteFunc(slices.Clone(task.Headers), func(h wire.Header) bool {
		return h.Name != echo.HeaderContentType
	})
	job.Tasks = []wire.TaskSpec{task}
	return placement.Digest(&job)
}

// readBody reads the body of a request. The error is a *api.RequestError or intake.ErrNoRoom.
func (e *Entry) readBody(c echo.Context, limit int) (*intake.Body, error) {
	body, err := e.callers.ReadBodyUpTo(c.Response(), c.Request(), limit)
	switch {
	case errors.Is(err, intake.ErrBodyTooLarge):
		return nil, api.BodyReadError(&http.MaxBytesError{Limit: int64(limit)}, limit)
	case err != nil && !errors.Is(err, intake.ErrNoRoom):
		return nil, api.BodyReadError(err, limit)
	}
	return body, err
}

// submitFromCaller completes the job from the request and waits for its answer. When the caller closes the connection, a
// job without a key is cancelled; one with a key is cancelled only if the caller asked for it.
func (e *Entry) submitFromCaller(c echo.Context, job wire.Job) (*wire.ForwardReply, error) {
	header := c.Request().Header
	job.Service = c.Param("service")
	if value := header.Get(api.HeaderKey); value != "" {
		key, err := api.ParseKey(value)
		if err != nil {
			return nil, err
		}
		job.Key = key
	}
	cancelOnClose := job.Key == "" || header.Get(api.HeaderCancelOnClose) == "true"
	e.inProgress.Add(1)
	defer e.inProgress.Add(-1)
	return e.sendAndWait(c, submission{action: wire.ForwardSubmit, job: job}, cancelOnClose), nil
}

// sendAndWait sends a request to the control goroutine and waits for the reply.
func (e *Entry) sendAndWait(c echo.Context, s submission, cancelOnClose bool) *wire.ForwardReply {
	replies := make(chan *wire.ForwardReply, 1)
	s.reply = func(r *wire.ForwardReply) { replies <- r }
	issuedKey := make(chan string, 1)
	s.onKeyIssued = func(key string) { issuedKey <- key }
	e.post(func(control *control) { control.handleCallerRequest(s) })
	ctx := c.Request().Context()
	select {
	case r := <-replies:
		setIssuedKey(c, issuedKey)
		return r
	case <-e.stopped:
		return unknownReply(wire.ReasonStopping, "the entry was stopped")
	case <-ctx.Done():
		if cancelOnClose {
			e.cancelAbandoned(s, issuedKey)
		}
		return unknownReply(wire.ReasonCancelled, "the caller closed the connection")
	}
}

// setIssuedKey puts the issued key of a job into the response header if the job got one.
func setIssuedKey(c echo.Context, issuedKey <-chan string) {
	select {
	case key := <-issuedKey:
		c.Response().Header().Set(api.HeaderKey, key)
	default:
	}
}

// cancelAbandoned cancels the job of a caller that closed its connection.
func (e *Entry) cancelAbandoned(s submission, issuedKey <-chan string) {
	e.post(func(control *control) {
		job := wire.Job{Service: s.job.Service, Key: s.job.Key}
		select {
		case job.Key = <-issuedKey:
		default:
		}
		control.handleCallerRequest(submission{action: wire.ForwardCancelJob, job: job, reply: func(*wire.ForwardReply) {}})
	})
}

// getJob handles GET /v1/services/{service}/jobs/{key}, which returns the state of a job.
func (e *Entry) getJob(c echo.Context) error { return e.handleKeyRequest(c, wire.ForwardQuery) }

// deleteJob handles DELETE /v1/services/{service}/jobs/{key}, which cancels a job. The reply is the job's final answer.
func (e *Entry) deleteJob(c echo.Context) error { return e.handleKeyRequest(c, wire.ForwardCancelJob) }

func (e *Entry) handleKeyRequest(c echo.Context, action wire.ForwardAction) error {
	key, err := api.ParseKey(c.Param("key"))
	if err != nil {
		return writeRequestError(c, err)
	}
	job := wire.Job{Service: c.Param("service"), Key: key}
	return writeReply(c, e.sendAndWait(c, submission{action: action, job: job}, false))
}

func writeRefusal(c echo.Context, reason wire.Reason, message string) error {
	return writeAnswer(c, &wire.Answer{Outcome: wire.OutcomeNotRun, Reason: reason, Message: message})
}

func writeRequestError(c echo.Context, err error) error {
	var requestError *api.RequestError
	if errors.As(err, &requestError) {
		return writeJSON(c, requestError.Status, requestError.Answer(), 0)
	}
	if errors.Is(err, intake.ErrNoRoom) {
		return writeAnswer(c, &wire.Answer{
			Outcome: wire.OutcomeNotRun, Reason: wire.ReasonOverloaded, Message: "no room for the request", RetryAfterMillis: noRoomRetryMillis,
		})
	}
	return writeRefusal(c, wire.ReasonInvalidRequest, "the request cannot be read")
}

func writeReply(c echo.Context, r *wire.ForwardReply) error {
	switch r.Status {
	case wire.ForwardAnswered:
		return writeAnswer(c, r.Answer)
	case wire.ForwardPending:
		return writeJSON(c, http.StatusAccepted, &api.Answer{Outcome: api.OutcomeRunning}, 0)
	case wire.ForwardConflict:
		return writeRefusal(c, wire.ReasonKeyConflict, "the idempotency key was used with another body")
	case wire.ForwardNotFound:
		answer := &api.Answer{Outcome: api.OutcomeUnknown, Reason: api.ReasonNoKey, Message: "the key is not known"}
		return writeJSON(c, http.StatusNotFound, answer, 0)
	default:
		return writeAnswer(c, unknownReply(wire.ReasonHomeUnreachable, "").Answer)
	}
}

func writeAnswer(c echo.Context, a *wire.Answer) error {
	answer := api.AnswerFrom(a)
	status := api.Status(answer.Outcome, answer.Reason)
	return writeJSON(c, status, answer, time.Duration(a.RetryAfterMillis)*time.Millisecond)
}

func writeJSON(c echo.Context, status int, answer *api.Answer, retryAfter time.Duration) error {
	header := c.Response().Header()
	header.Set(echo.HeaderContentType, api.ContentType)
	header.Set(api.HeaderOutcome, string(answer.Outcome))
	if answer.Reason != "" {
		header.Set(api.HeaderReason, string(answer.Reason))
	}
	if seconds := api.RetryAfter(answer.Outcome, answer.Reason, retryAfter); seconds != "" {
		header.Set(echo.HeaderRetryAfter, seconds)
	}
	c.Response().WriteHeader(status)
	return api.Encode(c.Response(), answer)
}

// writeSingleTaskAnswer returns the upstream's answer to a single task unchanged.
func writeSingleTaskAnswer(c echo.Context, a *wire.TaskAnswer) error {
	header := c.Response().Header()
	for _, h := range a.Headers {
		header.Add(h.Name, h.Value)
	}
	header.Set(api.HeaderOutcome, string(api.OutcomeComplete))
	c.Response().WriteHeader(int(a.Status))
	_, err := c.Response().Write(a.Body)
	return err
}

// writeEchoError answers a request that has no handler, for example one for an unknown path, or whose handler returned an
// error before it wrote an answer.
func writeEchoError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	answer := &api.Answer{Outcome: api.OutcomeNotRun, Reason: wire.ReasonInvalidRequest, Message: http.StatusText(status)}
	if status >= http.StatusInternalServerError {
		answer.Outcome, answer.Reason = api.OutcomeUnknown, ""
	}
	_ = writeJSON(c, status, answer, 0)
}
