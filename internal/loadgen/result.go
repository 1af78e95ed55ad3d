package loadgen

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
)

// Ratio is a share or a quotient that is not a number when there was nothing to divide by. In JSON it is then null.
type Ratio float64

// ratio returns a/b.
func ratio(a, b uint64) Ratio {
	if b == 0 {
		return Ratio(math.NaN())
	}
	return Ratio(float64(a) / float64(b))
}

// Known reports whether there was something to divide by.
func (r Ratio) Known() bool { return !math.IsNaN(float64(r)) }

// MarshalJSON implements json.Marshaler.
func (r Ratio) MarshalJSON() ([]byte, error) {
	if !r.Known() {
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

// Result is the outcome of one run. Jobs is the sum of Complete, FailedNotRun, FailedUnknown, Partial, MixedUp,
// Malformed and Lost.
type Result struct {
	Deployment string  `json:"deployment,omitempty"`
	Service    string  `json:"service"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`

	// Jobs and Tasks were submitted. NotSent counts arrivals that the bound of jobs in flight kept back.
	Jobs    uint64 `json:"jobs"`
	Tasks   uint64 `json:"tasks"`
	NotSent uint64 `json:"not_sent"`

	Complete      uint64 `json:"complete"`
	FailedNotRun  uint64 `json:"failed_not_run"`
	FailedUnknown uint64 `json:"failed_unknown"`
	// Partial counts jobs with an answer that lacks a part, or with a failed answer that shows answers of tasks.
	Partial uint64 `json:"partial"`
	// MixedUp counts jobs that got the answer to another request.
	MixedUp uint64 `json:"mixed_up"`
	// Malformed counts jobs with an answer that does not follow the interface.
	Malformed uint64 `json:"malformed"`
	// Lost counts keys that never got any answer.
	Lost uint64 `json:"lost"`

	// Late counts jobs whose answer came more than LateTolerance after their deadline.
	Late uint64 `json:"late"`
	// Contradicted counts jobs that were complete and of which a later submission said that nothing was started.
	Contradicted uint64 `json:"contradicted"`
	// Resubmitted counts planned resubmissions, Retried those after a failed connection or an unknown outcome.
	Resubmitted uint64 `json:"resubmitted"`
	Retried     uint64 `json:"retried"`
	// CancelRequested counts jobs that the caller cancelled before their answer; Cancelled those of them that failed
	// with that reason.
	CancelRequested uint64 `json:"cancel_requested"`
	Cancelled       uint64 `json:"cancelled"`
	// UpstreamErrors counts tasks of complete jobs that the upstream answered with a status of 400 or more.
	UpstreamErrors uint64 `json:"upstream_errors"`

	// StartsCounted tells whether the counters of the upstreams were read; the next two are 0 otherwise.
	StartsCounted     bool   `json:"starts_counted"`
	TasksStarted      uint64 `json:"tasks_started"`
	TasksStartedTwice uint64 `json:"tasks_started_twice"`
	// MessagesWastedPerTask is per started task, or per task of a complete job when starts were not counted.
	MessagesWastedPerTask Ratio `json:"messages_wasted_per_task"`

	// Slowdown of complete jobs: response time divided by the ideal.
	SlowdownP50  Ratio `json:"slowdown_p50"`
	SlowdownP99  Ratio `json:"slowdown_p99"`
	SlowdownP999 Ratio `json:"slowdown_p999"`
	// ShortWaitP99 is the time beyond the ideal of complete jobs without a long task, in milliseconds. It includes the
	// time lost on an upstream that is not the fastest.
	ShortWaitP99 Ratio `json:"short_wait_p99_ms"`

	// Shares of jobs that were complete before their deadline, without those that their caller cancelled: all, the
	// urgent ones, those that arrived at a crest, and the urgent ones of these.
	InTimeShare            Ratio `json:"in_time_share"`
	UrgentInTimeShare      Ratio `json:"urgent_in_time_share"`
	CrestInTimeShare       Ratio `json:"crest_in_time_share"`
	CrestUrgentInTimeShare Ratio `json:"crest_urgent_in_time_share"`

	// ArrivalLagP99 is how late the generator itself sent jobs, in milliseconds. Response times include it.
	ArrivalLagP99 Ratio `json:"arrival_lag_p99_ms"`

	// Reasons counts failed jobs by reason.
	Reasons map[string]uint64 `json:"reasons"`
}

// Violations lists the promises of the design that the run saw broken, as text for people. It is empty for a good run.
func (r *Result) Violations() []string {
	counts := []struct {
		n    uint64
		text string
	}{
		{r.Partial, "jobs with a partial answer (P2)"},
		{r.MixedUp, "jobs with the answer to another request (P3)"},
		{r.Malformed, "jobs with a malformed answer"},
		{r.Lost, "jobs without any answer"},
		{r.Contradicted, "complete jobs that were later said not to have started (P4)"},
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
