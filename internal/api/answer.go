// Package api defines the HTTP API for callers: JSON types, strict decoding, statuses and header names. Entries, the load
// generator and the operator tools share it, so that all of them agree on every field.
package api

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Names of the header fields of the API.
const (
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderCancelOnClose with the value true cancels a job with a key when the caller closes the connection.
	HeaderCancelOnClose = "Cancel-On-Close"
	// HeaderDeadline carries the deadline of a single request in milliseconds. A job carries it in its body.
	HeaderDeadline = "Coltsfootspur-Deadline-Ms"
	// HeaderOutcome carries the outcome in every response, so that an upstream's own error status cannot be confused with
	// a refusal.
	HeaderOutcome = "Coltsfootspur-Outcome"
	// HeaderReason carries the reason of a refusal.
	HeaderReason = "Coltsfootspur-Reason"
)

// ContentType is the media type of requests and answers.
const ContentType = "application/json"

// Outcome is the outcome of a job or of a task as callers see it.
type Outcome string

// Outcomes. OutcomeRunning is the state of a job that has no final outcome yet.
const (
	OutcomeComplete Outcome = "complete"
	OutcomeNotRun   Outcome = "not_run"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeRunning  Outcome = "running"
)

// Answer is the JSON body of every response to a job.
type Answer struct {
	Outcome Outcome      `json:"outcome"`
	Reason  wire.Reason  `json:"reason,omitempty"`
	Message string       `json:"message,omitempty"`
	Tasks   []TaskAnswer `json:"tasks,omitempty"`
}

// TaskAnswer is the outcome of one task. Status, Headers and Body are the upstream's answer; they are set only in a
// complete job.
type TaskAnswer struct {
	Outcome Outcome    `json:"outcome"`
	Status  int        `json:"status,omitempty"`
	Headers Headers    `json:"headers,omitempty"`
	Body    AnswerBody `json:"body,omitempty"`
}

// ErrMalformedAnswer is returned for an answer that does not conform to the API.
var ErrMalformedAnswer = eris.New("malformed answer")

// OutcomeFrom converts an outcome of package wire. An unrecognized value becomes OutcomeUnknown.
func OutcomeFrom(o wire.Outcome) Outcome {
	switch o {
	case wire.OutcomeComplete:
		return OutcomeComplete
	case wire.OutcomeNotRun:
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// AnswerFrom converts an answer of package wire. Unless the job is complete, only the outcome of each task is kept.
func AnswerFrom(a *wire.Answer) *Answer {
	answer := &Answer{Outcome: OutcomeFrom(a.Outcome), Reason: a.Reason, Message: a.Message}
	answer.Tasks = make([]TaskAnswer, len(a.Tasks))
	for i := range a.Tasks {
		task := &a.Tasks[i]
		answer.Tasks[i].Outcome = OutcomeFrom(task.Outcome)
		if answer.Outcome == OutcomeComplete {
			answer.Tasks[i].Status = int(task.Status)
			answer.Tasks[i].Headers = task.Headers
			answer.Tasks[i].Body = task.Body
		}
	}
	return answer
}

// Encode writes v as JSON. It does not escape the characters <, > and & of bodies. It returns an error of the encoder or
// of the writer.
func Encode(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	return eris.Wrap(encoder.Encode(v), "encode JSON")
}

// DecodeAnswer reads one answer of at most limit bytes. It returns ErrMalformedAnswer for unknown fields, for text after
// the answer and for an answer that exceeds the limit.
func DecodeAnswer(r io.Reader, limit int64) (*Answer, error) {
	decoder := json.NewDecoder(&limitedReader{source: r, limit: limit})
	decoder.DisallowUnknownFields()
	answer := new(Answer)
	if err := decoder.Decode(answer); err != nil {
		return nil, eris.Wrap(ErrMalformedAnswer, err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, eris.Wrap(ErrMalformedAnswer, "text after the answer")
	}
	return answer, nil
}
