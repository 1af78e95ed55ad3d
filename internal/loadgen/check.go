package loadgen

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// fault is the way in which one answer violates the interface.
type fault uint8

const (
	faultNone fault = iota
	// faultPartial is an answer in which a task or a part of a task's answer is missing, or a failed answer that contains
	// task answers.
	faultPartial
	// faultMixedUp is an answer that belongs to another task or another job.
	faultMixedUp
	// faultMalformed is an answer that does not conform to the interface, or whose HTTP status does not match its outcome.
	faultMalformed
)

// upstreamAnswer holds the fields of a stand-in upstream's answer that identify the request it ran: the echoed text, the
// SHA-256 hash of the request body in hex, or both.
type upstreamAnswer struct {
	Echo       *string `json:"echo"`
	BodySHA256 *string `json:"body_sha256"`
	// Padding must have the size that the request specified.
	Padding *string `json:"padding"`
}

// checkAnswer compares an answer with the job and returns the first fault. upstreamErrors counts the tasks that the
// upstream answered with a status of 400 or more.
func checkAnswer(job *plannedJob, key string, status int, answer *api.Answer) (found fault, upstreamErrors int) {
	switch answer.Outcome {
	case api.OutcomeComplete:
		if status != http.StatusOK {
			return faultMalformed, 0
		}
		return checkCompleteAnswer(job, key, answer)
	case api.OutcomeNotRun, api.OutcomeUnknown:
		return checkFailedAnswer(job, status, answer), 0
	default:
		return faultMalformed, 0
	}
}

func checkCompleteAnswer(job *plannedJob, key string, answer *api.Answer) (found fault, upstreamErrors int) {
	if len(answer.Tasks) != len(job.tasks) {
		return faultPartial, 0
	}
	for i := range answer.Tasks {
		task := &answer.Tasks[i]
		if task.Outcome != api.OutcomeComplete || task.Status == 0 {
			return faultPartial, 0
		}
		if task.Status >= http.StatusBadRequest {
			upstreamErrors++
			continue
		}
		if found := checkTaskAnswer(task.Body, job, key, i); found != faultNone {
			return found, 0
		}
	}
	return faultNone, upstreamErrors
}

// checkTaskAnswer compares the upstream's answer to one task with the request of that task.
func checkTaskAnswer(body []byte, job *plannedJob, key string, task int) fault {
	var got upstreamAnswer
	if err := json.Unmarshal(body, &got); err != nil || (got.Echo == nil && got.BodySHA256 == nil) {
		return faultPartial
	}
	if got.Echo != nil {
		if found := checkEcho(*got.Echo, job.expectedEcho(key, task)); found != faultNone {
			return found
		}
	}
	if got.BodySHA256 != nil && *got.BodySHA256 != sha256Hex(job.taskBody(key, task)) {
		return faultMixedUp
	}
	if got.Padding != nil && len(*got.Padding) != int(job.tasks[task].padding) {
		return faultPartial
	}
	return faultNone
}

func checkEcho(got, want string) fault {
	switch {
	case got == want:
		return faultNone
	case strings.HasPrefix(want, got):
		return faultPartial
	default:
		return faultMixedUp
	}
}

func sha256Hex(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func checkFailedAnswer(job *plannedJob, status int, answer *api.Answer) fault {
	if status < http.StatusBadRequest || answer.Reason == "" {
		return faultMalformed
	}
	if len(answer.Tasks) != 0 && len(answer.Tasks) != len(job.tasks) {
		return faultPartial
	}
	for i := range answer.Tasks {
		task := &answer.Tasks[i]
		if task.Status != 0 || len(task.Headers) != 0 || len(task.Body) != 0 {
			return faultPartial
		}
		if answer.Outcome == api.OutcomeNotRun && task.Outcome != api.OutcomeNotRun {
			return faultMalformed
		}
	}
	return faultNone
}
