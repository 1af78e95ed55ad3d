package loadgen

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// fault is a breach of the interface by one answer.
type fault uint8

const (
	faultNone fault = iota
	// faultPartial is an answer that lacks a task or a part of its answer, or a failed one that shows answers.
	faultPartial
	// faultMixedUp is the answer to another task or another job.
	faultMixedUp
	// faultMalformed is an answer that does not follow the interface, or whose status does not fit it.
	faultMalformed
)

// proof is the part of a stand-in upstream's answer that tells which request it ran: the echoed text, or the hash of the
// request body in hex, or both.
type proof struct {
	Echo       *string `json:"echo"`
	BodySHA256 *string `json:"body_sha256"`
	// Padding must have the size that the request asked for.
	Padding *string `json:"padding"`
}

// checkAnswer compares an answer with the job. upstreamErrors counts the tasks that the upstream itself failed.
func checkAnswer(job *plannedJob, key string, status int, answer *api.Answer) (found fault, upstreamErrors int) {
	switch answer.Outcome {
	case api.OutcomeComplete:
		if status != http.StatusOK {
			return faultMalformed, 0
		}
		return checkComplete(job, key, answer)
	case api.OutcomeNotRun, api.OutcomeUnknown:
		return checkFailed(job, status, answer), 0
	default:
		return faultMalformed, 0
	}
}

func checkComplete(job *plannedJob, key string, answer *api.Answer) (found fault, upstreamErrors int) {
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
		if found := checkProof(task.Body, job, key, i); found != faultNone {
			return found, 0
		}
	}
	return faultNone, upstreamErrors
}

// checkProof checks the answer of an upstream to one task.
func checkProof(body []byte, job *plannedJob, key string, task int) fault {
	var got proof
	if err := json.Unmarshal(body, &got); err != nil || (got.Echo == nil && got.BodySHA256 == nil) {
		return faultPartial
	}
	if got.Echo != nil {
		if found := checkEcho(*got.Echo, job.echo(key, task)); found != faultNone {
			return found
		}
	}
	if got.BodySHA256 != nil && *got.BodySHA256 != digest(job.body(key, task)) {
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

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func checkFailed(job *plannedJob, status int, answer *api.Answer) fault {
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
