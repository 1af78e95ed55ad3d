package api

import (
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// ReasonNoKey is the reason of a query or a cancellation of a key that the home does not know.
const ReasonNoKey wire.Reason = "no_key"

// rule is how a reason appears in HTTP. RetryAfter is 0 when a repetition makes no sense.
type rule struct {
	outcome    Outcome
	status     int
	retryAfter time.Duration
}

// Times after which a repetition can succeed, used when the refusal itself carries none.
const (
	retrySoon  = 1 * time.Second // demand above capacity, or another entry can answer
	retryLater = 5 * time.Second // waits for an expulsion, a recovery or an upstream
)

var rules = map[wire.Reason]rule{
	wire.ReasonInvalidRequest:  {OutcomeNotRun, http.StatusBadRequest, 0},
	wire.ReasonTooLarge:        {OutcomeNotRun, http.StatusRequestEntityTooLarge, 0},
	wire.ReasonUnauthorized:    {OutcomeNotRun, http.StatusUnauthorized, 0},
	wire.ReasonNoService:       {OutcomeNotRun, http.StatusNotFound, 0},
	wire.ReasonNoKind:          {OutcomeNotRun, http.StatusNotFound, 0},
	wire.ReasonNoUpstream:      {OutcomeNotRun, http.StatusServiceUnavailable, retryLater},
	wire.ReasonKeyConflict:     {OutcomeNotRun, http.StatusConflict, 0},
	wire.ReasonCancelled:       {OutcomeNotRun, http.StatusConflict, 0},
	wire.ReasonQuota:           {OutcomeNotRun, http.StatusTooManyRequests, retrySoon},
	wire.ReasonOverloaded:      {OutcomeNotRun, http.StatusServiceUnavailable, retrySoon},
	wire.ReasonTableFull:       {OutcomeNotRun, http.StatusServiceUnavailable, retryLater},
	wire.ReasonStopping:        {OutcomeNotRun, http.StatusServiceUnavailable, retrySoon},
	wire.ReasonDeadline:        {OutcomeNotRun, http.StatusServiceUnavailable, retrySoon},
	wire.ReasonUpstreamRefused: {OutcomeNotRun, http.StatusServiceUnavailable, retrySoon},
	wire.ReasonHomeUnreachable: {OutcomeUnknown, http.StatusServiceUnavailable, retryLater},
	wire.ReasonRecovering:      {OutcomeUnknown, http.StatusServiceUnavailable, retryLater},
	wire.ReasonExpelled:        {OutcomeUnknown, http.StatusServiceUnavailable, retryLater},
	wire.ReasonUpstreamTimeout: {OutcomeUnknown, http.StatusGatewayTimeout, 0},
	wire.ReasonUpstreamLost:    {OutcomeUnknown, http.StatusBadGateway, 0},
	wire.ReasonAnswerTooLarge:  {OutcomeUnknown, http.StatusBadGateway, 0},
	wire.ReasonKeyExpired:      {OutcomeUnknown, http.StatusGone, 0},
	wire.ReasonAnswerExpired:   {OutcomeUnknown, http.StatusGone, 0},
	ReasonNoKey:                {OutcomeUnknown, http.StatusNotFound, 0},
}

// Status returns the HTTP status of an answer. A deadline that passed after a start is a timeout (504).
func Status(outcome Outcome, reason wire.Reason) int {
	switch {
	case outcome == OutcomeComplete:
		return http.StatusOK
	case outcome == OutcomeRunning:
		return http.StatusAccepted
	case outcome == OutcomeUnknown && reason == wire.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	if known, ok := rules[reason]; ok {
		return known.status
	}
	if outcome == OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// OutcomeOf returns the outcome that a reason usually comes with; OutcomeUnknown for a reason that is not known.
func OutcomeOf(reason wire.Reason) Outcome {
	if known, ok := rules[reason]; ok {
		return known.outcome
	}
	return OutcomeUnknown
}

// RetryAfter returns the value of the header Retry-After in whole seconds, or "" when none is sent. Wanted is the
// time that the refusal itself carries; 0 stands for the usual one of the reason.
func RetryAfter(outcome Outcome, reason wire.Reason, wanted time.Duration) string {
	usual := rules[reason]
	if wanted <= 0 && outcome == usual.outcome {
		wanted = usual.retryAfter
	}
	if wanted <= 0 || outcome == OutcomeComplete {
		return ""
	}
	seconds := (wanted + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}
