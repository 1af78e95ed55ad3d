package api

import (
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// ReasonNoKey is the reason in the answer to a query or a cancellation when the home has no record of the key.
const ReasonNoKey wire.Reason = "no_key"

// httpMapping is the representation of a reason in HTTP. retryAfter is 0 when a retry is pointless.
type httpMapping struct {
	outcome    Outcome
	status     int
	retryAfter time.Duration
}

// Times after which a retry can succeed. They are used when the refusal itself does not carry one.
const (
	retryAfterShort = 1 * time.Second // demand exceeds capacity, or another entry can answer
	retryAfterLong  = 5 * time.Second // depends on an expulsion, a recovery or an upstream
)

var httpMappings = map[wire.Reason]httpMapping{
	wire.ReasonInvalidRequest:  {OutcomeNotRun, http.StatusBadRequest, 0},
	wire.ReasonTooLarge:        {OutcomeNotRun, http.StatusRequestEntityTooLarge, 0},
	wire.ReasonUnauthorized:    {OutcomeNotRun, http.StatusUnauthorized, 0},
	wire.ReasonNoService:       {OutcomeNotRun, http.StatusNotFound, 0},
	wire.ReasonNoKind:          {OutcomeNotRun, http.StatusNotFound, 0},
	wire.ReasonNoUpstream:      {OutcomeNotRun, http.StatusServiceUnavailable, retryAfterLong},
	wire.ReasonKeyConflict:     {OutcomeNotRun, http.StatusConflict, 0},
	wire.ReasonCancelled:       {OutcomeNotRun, http.StatusConflict, 0},
	wire.ReasonQuota:           {OutcomeNotRun, http.StatusTooManyRequests, retryAfterShort},
	wire.ReasonOverloaded:      {OutcomeNotRun, http.StatusServiceUnavailable, retryAfterShort},
	wire.ReasonTableFull:       {OutcomeNotRun, http.StatusServiceUnavailable, retryAfterLong},
	wire.ReasonStopping:        {OutcomeNotRun, http.StatusServiceUnavailable, retryAfterShort},
	wire.ReasonDeadline:        {OutcomeNotRun, http.StatusServiceUnavailable, retryAfterShort},
	wire.ReasonUpstreamRefused: {OutcomeNotRun, http.StatusServiceUnavailable, retryAfterShort},
	wire.ReasonHomeUnreachable: {OutcomeUnknown, http.StatusServiceUnavailable, retryAfterLong},
	wire.ReasonRecovering:      {OutcomeUnknown, http.StatusServiceUnavailable, retryAfterLong},
	wire.ReasonExpelled:        {OutcomeUnknown, http.StatusServiceUnavailable, retryAfterLong},
	wire.ReasonUpstreamTimeout: {OutcomeUnknown, http.StatusGatewayTimeout, 0},
	wire.ReasonUpstreamLost:    {OutcomeUnknown, http.StatusBadGateway, 0},
	wire.ReasonAnswerTooLarge:  {OutcomeUnknown, http.StatusBadGateway, 0},
	wire.ReasonKeyExpired:      {OutcomeUnknown, http.StatusGone, 0},
	wire.ReasonAnswerExpired:   {OutcomeUnknown, http.StatusGone, 0},
	ReasonNoKey:                {OutcomeUnknown, http.StatusNotFound, 0},
}

// Status returns the HTTP status of an answer. A deadline that passed after a task was started is a timeout (504).
func Status(outcome Outcome, reason wire.Reason) int {
	switch {
	case outcome == OutcomeComplete:
		return http.StatusOK
	case outcome == OutcomeRunning:
		return http.StatusAccepted
	case outcome == OutcomeUnknown && reason == wire.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	if mapping, ok := httpMappings[reason]; ok {
		return mapping.status
	}
	if outcome == OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// OutcomeOf returns the usual outcome for a reason, and OutcomeUnknown for an unrecognized reason.
func OutcomeOf(reason wire.Reason) Outcome {
	if mapping, ok := httpMappings[reason]; ok {
		return mapping.outcome
	}
	return OutcomeUnknown
}

// RetryAfter returns the value of the header Retry-After in whole seconds, or "" when the header is not sent. delay is
// the time that the refusal itself carries; 0 means the usual time for the reason.
func RetryAfter(outcome Outcome, reason wire.Reason, delay time.Duration) string {
	usual := httpMappings[reason]
	if delay <= 0 && outcome == usual.outcome {
		delay = usual.retryAfter
	}
	if delay <= 0 || outcome == OutcomeComplete {
		return ""
	}
	seconds := (delay + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}
