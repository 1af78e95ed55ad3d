package loadgen

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
)

// Ratio is a quotient. It is NaN, and null in JSON, when the denominator is 0.
type Ratio float64

// ratio returns a/b, or NaN if b is 0.
func ratio(a, b uint64) Ratio {
	if b == 0 {
		return Ratio(math.NaN())
	}
	return Ratio(float64(a) / float64(b))
}

// IsDefined reports whether the ratio has a value, which means that its denominator was not 0.
func (r Ratio) IsDefined() bool { return !math.IsNaN(float64(r)) }

// MarshalJSON implements json.Marshaler.
func (r Ratio) MarshalJSON() ([]byte, error) {
	if !r.IsDefined() {
		return []byte("null"), nil
	}
	return strconv.AppendFloat(nil, float64(r), 'f', -1, 64), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Ratio) UnmarshalJSON(text []byte) error {
	if bytes.Equal(text, []byte("null")) {
		*r = Ratio(math.NaN())
		return nil
	}
	return json.Unmarshal(text, (*float64)(r))
}

// Result is the result of one run. Jobs is the sum of Complete, FailedNotRun, FailedUnknown, Partial, MixedUp,
// Malformed and Lost.
type Result struct {
	Deployment string  `json:"deployment,omitempty"`
	Service    string  `json:"service"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`

	// Jobs and Tasks count what was submitted. NotSent counts arrivals that were not sent because the limit of jobs in
	// flight had been reached.
	Jobs    uint64 `json:"jobs"`
	Tasks   uint64 `json:"tasks"`
	NotSent uint64 `json:"not_sent"`

	Complete      uint64 `json:"complete"`
	FailedNotRun  uint64 `json:"failed_not_run"`
	FailedUnknown uint64 `json:"failed_unknown"`
	// Partial counts jobs with an incomplete answer, or with a failed answer that contains answers of tasks.
	Partial uint64 `json:"partial"`
	// MixedUp counts jobs that got the answer to another request.
	MixedUp uint64 `json:"mixed_up"`
	// Malformed counts jobs with an answer that does not conform to the interface.
	Malformed uint64 `json:"malformed"`
	// Lost counts jobs whose submissions all remained without an answer.
	Lost uint64 `json:"lost"`

	// Late counts jobs whose answer arrived more than LateTolerance after their deadline.
	Late uint64 `json:"late"`
	// Contradicted counts complete jobs for which a later submission was answered with not_run.
	Contradicted uint64 `json:"contradicted"`
	// Resubmitted counts planned resubmissions, Retried the retries after a failed connection or an unknown outcome.
	Resubmitted uint64 `json:"resubmitted"`
	Retried     uint64 `json:"retried"`
	// CancelRequested counts jobs that the caller cancelled before they were answered, Cancelled those of them that failed
	// with the reason cancelled.
	CancelRequested uint64 `json:"cancel_requested"`
	Cancelled       uint64 `json:"cancelled"`
	// UpstreamErrors counts tasks of complete jobs that the upstream answered with a status of 400 or more.
	UpstreamErrors uint64 `json:"upstream_errors"`

	// StartsCounted is true if the counters of the upstreams were read. TasksStarted and TasksStartedTwice are 0 otherwise.
	StartsCounted     bool   `json:"starts_counted"`
	TasksStarted      uint64 `json:"tasks_started"`
	TasksStartedTwice uint64 `json:"tasks_started_twice"`
	// MessagesWastedPerTask is the number of wasted messages per started task, or per task of a complete job if starts were
	// not counted.
	MessagesWastedPerTask Ratio `json:"messages_wasted_per_task"`

	// Percentiles of the slowdown of complete jobs: the response time divided by the ideal response time.
	SlowdownP50  Ratio `json:"slowdown_p50"`
	SlowdownP99  Ratio `json:"slowdown_p99"`
	SlowdownP999 Ratio `json:"slowdown_p999"`
	// ShortWaitP99 is the 99th percentile of the response time minus the ideal response time, in milliseconds, of complete
	// jobs without a long task. It includes the time lost by running on an upstream that is not the fastest.
	ShortWaitP99 Ratio `json:"short_wait_p99_ms"`

	// Shares of jobs that were complete before their deadline, not counting jobs that their caller cancelled: of all jobs,
	// of urgent jobs, of jobs that arrived at a demand peak, and of urgent jobs that arrived at a demand peak.
	InTimeShare           Ratio `json:"in_time_share"`
	UrgentInTimeShare     Ratio `json:"urgent_in_time_share"`
	PeakInTimeShare       Ratio `json:"crest_in_time_share"`
	PeakUrgentInTimeShare Ratio `json:"crest_urgent_in_time_share"`

	// ArrivalLagP99 is the 99th percentile of how late the generator sent jobs, in milliseconds. Response times include it.
	ArrivalLagP99 Ratio `json:"arrival_lag_p99_ms"`

	// Reasons counts failed jobs by the reason in their answer.
	Reasons map[string]uint64 `json:"reasons"`
}

// Violations describes the violations of the design's guarantees that the run detected, as text for operators. P1 to P4
// are the guarantees' names in the design. The list is empty if there were none.
func (r *Result) Violations() []string {
	counts := []struct {
		n    uint64
		text string
	}{
		{r.Partial, "jobs with a partial answer (P2)"},
		{r.MixedUp, "jobs with the answer to another request (P3)"},
		{r.Malformed, "jobs with a malformed answer"},
		{r.Lost, "jobs without any answer"},
		{r.Contradicted, "complete jobs that were later answered with not_run (P4)"},
		{r.TasksStartedTwice, "tasks that were started twice (P1)"},
	}
	var list []string
	for _, c := range counts {
		if c.n > 0 {
			list = append(list, fmt.Sprintf("%d %s", c.n, c.text))
		}
	}
	return list
}
