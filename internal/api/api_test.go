package api_test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

func jobText(task string, n int) string {
	return `{"kind":"k","tasks":[` + strings.TrimSuffix(strings.Repeat(task+",", n), ",") + `]}`
}

func taskTextWithBody(size int) string {
	return `{"body":"` + base64.StdEncoding.EncodeToString(make([]byte, size)) + `"}`
}

// Guards against accepting a job that exceeds a limit or has a field that would be ignored, and against a wrong status.
func TestDecodeJobRefuses(t *testing.T) {
	cases := map[string]struct {
		text   string
		status int
	}{
		"empty":             {``, 400},
		"not an object":     {`[]`, 400},
		"cut off":           {`{"kind":"k","tasks":[{}`, 400},
		"no tasks":          {`{"kind":"k"}`, 400},
		"empty tasks":       {`{"kind":"k","tasks":[]}`, 400},
		"null tasks":        {`{"kind":"k","tasks":null}`, 400},
		"null task":         {`{"kind":"k","tasks":[null]}`, 400},
		"no kind":           {`{"tasks":[{}]}`, 400},
		"null kind":         {`{"kind":null,"tasks":[{}]}`, 400},
		"unknown field":     {`{"kind":"k","tasks":[{}],"urgent":true}`, 400},
		"other letter case": {`{"Kind":"k","tasks":[{}]}`, 400},
		"unknown in task":   {`{"kind":"k","tasks":[{"work":1}]}`, 400},
		"repeated field":    {`{"kind":"k","kind":"l","tasks":[{}]}`, 400},
		"repeated in task":  {`{"kind":"k","tasks":[{"path":"/a","path":"/b"}]}`, 400},
		"text after job":    {`{"kind":"k","tasks":[{}]} {}`, 400},
		"zero deadline":     {`{"kind":"k","deadline_ms":0,"tasks":[{}]}`, 400},
		"negative deadline": {`{"kind":"k","deadline_ms":-1,"tasks":[{}]}`, 400},
		"long deadline":     {`{"kind":"k","deadline_ms":60001,"tasks":[{}]}`, 400},
		"not base64":        {`{"kind":"k","tasks":[{"body":"%%"}]}`, 400},
		"header list":       {`{"kind":"k","tasks":[{"headers":["a"]}]}`, 400},
		"header number":     {`{"kind":"k","tasks":[{"headers":{"a":1}}]}`, 400},
		"header injection":  {`{"kind":"k","tasks":[{"headers":{"a":"b\r\nc: d"}}]}`, 400},
		"framing header":    {`{"kind":"k","tasks":[{"headers":{"Content-Length":"5"}}]}`, 400},
		"relative path":     {`{"kind":"k","tasks":[{"path":"a"}]}`, 400},
		"path with host":    {`{"kind":"k","tasks":[{"path":"//host/a"}]}`, 400},
		"path upwards":      {`{"kind":"k","tasks":[{"path":"/a/%2e%2e/b"}]}`, 400},
		"141 tasks":         {jobText(`{}`, wire.MaxTasks+1), 413},
		"task body":         {jobText(taskTextWithBody(wire.MaxTaskBody+1), 1), 413},
		"huge task body":    {jobText(taskTextWithBody(4*wire.MaxTaskBody), 1), 413},
		"job body":          {jobText(taskTextWithBody(wire.MaxTaskBody), wire.MaxJobBody/wire.MaxTaskBody+1), 413},
		"request":           {`{"kind":"k","tasks":[{}]` + strings.Repeat(" ", api.MaxRequest) + `}`, 413},
		"header block":      {jobText(`{"headers":{"a":"`+strings.Repeat("b", wire.MaxHeaders)+`"}}`, 1), 431},
		"huge header block": {jobText(`{"headers":{"a":"`+strings.Repeat("b", 20*wire.MaxHeaders)+`"}}`, 1), 431},
		"long path":         {jobText(`{"path":"/`+strings.Repeat("a", api.MaxPath)+`"}`, 1), 414},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := api.DecodeJob(strings.NewReader(c.text))
			var refused *api.RequestError
			g.Expect(errors.As(err, &refused)).To(gomega.BeTrue(), "error: %v", err)
			g.Expect(refused.Status).To(gomega.Equal(c.status), refused.Message)
			g.Expect(refused.Answer().Outcome).To(gomega.Equal(api.OutcomeNotRun))
		})
	}
}

// countingReader is an endless reader that counts the bytes that were read.
type countingReader struct {
	text      []byte
	bytesRead int
}

func (c *countingReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = c.text[min(c.bytesRead, len(c.text)-1)]
		c.bytesRead++
	}
	return len(p), nil
}

// Guards against reading an oversized body to its end before it is refused.
func TestDecodeJobStopsReadingAtTheLimitOfATask(t *testing.T) {
	g := gomega.NewWithT(t)
	endless := &countingReader{text: []byte(`{"kind":"k","tasks":[{"body":"A`)}
	_, err := api.DecodeJob(endless)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(endless.bytesRead).To(gomega.BeNumerically("<", 3*wire.MaxTaskBody))
}

// Guards against refusing a job that is at every limit at once, and against such a job that does not fit into a frame.
func TestDecodeJobAcceptsTheLimitsAndFitsAFrame(t *testing.T) {
	g := gomega.NewWithT(t)
	body := taskTextWithBody(wire.MaxJobBody / wire.MaxTasks)
	task := strings.TrimSuffix(body, "}") + `,"path":"/` + strings.Repeat("p", api.MaxPath-1) +
		`","headers":{"x":"` + strings.Repeat("h", wire.MaxHeaders-1) + `"}}`
	job, err := api.DecodeJob(strings.NewReader(jobText(task, wire.MaxTasks)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = wire.Encode(&wire.Forward{Job: wire.Job{Tasks: job.Specs()}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against a task whose body, path or headers change when the job is encoded and decoded.
func TestJobSurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		sent := &api.JobRequest{Kind: "hot-wax", DeadlineMillis: rapid.Uint32Range(1, 60_000).Draw(t, "deadline")}
		for range rapid.IntRange(1, 5).Draw(t, "tasks") {
			task := api.TaskRequest{Path: "/a/" + rapid.StringMatching(`[a-z]{0,8}`).Draw(t, "path")}
			task.Body = drawBody(t)
			for range rapid.IntRange(0, 3).Draw(t, "headers") {
				name := rapid.SampledFrom([]string{"a", "B"}).Draw(t, "name")
				task.Headers = append(task.Headers, wire.Header{Name: name, Value: rapid.StringMatching(`[ -~]{0,5}`).Draw(t, "value")})
			}
			sent.Tasks = append(sent.Tasks, task)
		}
		var text bytes.Buffer
		g.Expect(api.Encode(&text, sent)).To(gomega.Succeed())
		received, err := api.DecodeJob(&text)
		g.Expect(err).NotTo(gomega.HaveOccurred(), text.String())
		for i := range sent.Tasks {
			g.Expect(string(received.Tasks[i].Body)).To(gomega.Equal(string(sent.Tasks[i].Body)))
			g.Expect(received.Tasks[i].Path).To(gomega.Equal(sent.Tasks[i].Path))
			g.Expect(received.Tasks[i].Headers).To(gomega.ConsistOf(asAny(sent.Tasks[i].Headers)...))
		}
	})
}

func asAny(headers api.Headers) []any {
	list := make([]any, 0, len(headers))
	for _, h := range headers {
		list = append(list, h)
	}
	return list
}

func drawBody(t *rapid.T) []byte {
	bodies := [][]byte{
		{},
		[]byte(`{"work_ms":5,"echo":"<a&b>"}`), []byte(`"text"`), []byte(`null`), []byte(`1e999`),
		{0xff, 0x00},
		[]byte(`{"base64":"AA=="}`), []byte(`{"base64":5}`), []byte(`{"base64":"AA==","x":1}`), []byte("\"\xff\""),
	}
	return rapid.SampledFrom(bodies).Draw(t, "body")
}

// Guards against an answer body that differs from what the upstream sent, and against a JSON body that is mistaken for the
// base64 form.
func TestAnswerBodySurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		sent := &wire.Answer{Outcome: wire.OutcomeComplete, Tasks: []wire.TaskAnswer{{
			Outcome: wire.OutcomeComplete, Status: 200, Body: drawBody(t),
			Headers: []wire.Header{{Name: "Set-Cookie", Value: "a"}, {Name: "Set-Cookie", Value: "b"}},
		}}}
		var text bytes.Buffer
		g.Expect(api.Encode(&text, api.AnswerFrom(sent))).To(gomega.Succeed())
		received, err := api.DecodeAnswer(&text, api.MaxAnswer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(received.Tasks[0].Body)).To(gomega.Equal(string(sent.Tasks[0].Body)))
		g.Expect([]wire.Header(received.Tasks[0].Headers)).To(gomega.Equal(sent.Tasks[0].Headers))
	})
}

// Guards against a failed job whose answer contains the answers of some of its tasks.
func TestFailedJobHasNoTaskAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	answer := api.AnswerFrom(&wire.Answer{
		Outcome: wire.OutcomeUnknown, Reason: wire.ReasonUpstreamLost,
		Tasks: []wire.TaskAnswer{{Outcome: wire.OutcomeComplete, Status: 200, Body: []byte("1")}, {Outcome: wire.OutcomeUnknown}},
	})
	text, err := json.Marshal(answer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(text)).To(gomega.Equal(
		`{"outcome":"unknown","reason":"upstream_lost","tasks":[{"outcome":"complete"},{"outcome":"unknown"}]}`))
}

// Guards against accepting an answer that has unknown fields, is followed by a second value or exceeds the size limit.
func TestDecodeAnswerIsStrict(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, text := range []string{``, `{"outcome":"complete","extra":1}`, `{"outcome":"complete"}{}`, `{"outcome":"complete","message":"` + strings.Repeat("a", 100) + `"}`} {
		_, err := api.DecodeAnswer(strings.NewReader(text), 80)
		g.Expect(errors.Is(err, api.ErrMalformedAnswer)).To(gomega.BeTrue(), text)
	}
}

// Guards against a status from which callers cannot see whether a retry is safe and useful.
func TestStatusAndRetryAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	cases := []struct {
		outcome api.Outcome
		reason  wire.Reason
		status  int
		retry   string
	}{
		{api.OutcomeComplete, "", http.StatusOK, ""},
		{api.OutcomeRunning, "", http.StatusAccepted, ""},
		{api.OutcomeNotRun, wire.ReasonNoService, 404, ""},
		{api.OutcomeNotRun, wire.ReasonNoUpstream, 503, "5"},
		{api.OutcomeNotRun, wire.ReasonKeyConflict, 409, ""},
		{api.OutcomeNotRun, wire.ReasonQuota, 429, "1"},
		{api.OutcomeNotRun, wire.ReasonDeadline, 503, "1"},
		{api.OutcomeUnknown, wire.ReasonDeadline, 504, ""},
		{api.OutcomeUnknown, wire.ReasonUpstreamTimeout, 504, ""},
		{api.OutcomeUnknown, wire.ReasonUpstreamLost, 502, ""},
		{api.OutcomeUnknown, wire.ReasonAnswerTooLarge, 502, ""},
		{api.OutcomeUnknown, wire.ReasonRecovering, 503, "5"},
		{api.OutcomeUnknown, wire.ReasonKeyExpired, 410, ""},
		{api.OutcomeUnknown, api.ReasonNoKey, 404, ""},
		{api.OutcomeNotRun, "new_reason", 503, ""},
		{api.OutcomeUnknown, "new_reason", 502, ""},
	}
	for _, c := range cases {
		name := fmt.Sprintf("%s %s", c.outcome, c.reason)
		g.Expect(api.Status(c.outcome, c.reason)).To(gomega.Equal(c.status), name)
		g.Expect(api.RetryAfter(c.outcome, c.reason, 0)).To(gomega.Equal(c.retry), name)
	}
	g.Expect(api.RetryAfter(api.OutcomeNotRun, wire.ReasonOverloaded, 2100*time.Millisecond)).To(gomega.Equal("3"))
}

// Guards against accepting a key that is empty, too long or has bytes that are not safe in a header or a URL.
func TestParseKey(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, refused := range []string{"", `""`, "a b", "ä", "a\n", strings.Repeat("k", wire.MaxKey+1)} {
		_, err := api.ParseKey(refused)
		g.Expect(err).To(gomega.HaveOccurred(), refused)
	}
	for value, key := range map[string]string{"k-1": "k-1", `"k-1"`: "k-1", `"`: `"`, strings.Repeat("k", wire.MaxKey): strings.Repeat("k", wire.MaxKey)} {
		g.Expect(api.ParseKey(value)).To(gomega.Equal(key))
	}
}

// Guards against a decoder that panics, or that accepts a job that exceeds a limit or cannot be forwarded.
func FuzzDecodeJob(f *testing.F) {
	for _, seed := range []string{
		`{"kind":"k","deadline_ms":2000,"tasks":[{"body":{"work_ms":50},"headers":{"A":["b","c"]},"path":"/x?y=z"}]}`,
		`{"kind":"k","tasks":[{"body":"AA=="},{"body":null},{}]}`, `{"kind":"\ud800","tasks":[{}]}`, `{"tasks":[[]]}`, `{`, ``,
		`{"kind":"k","tasks":[{"headers":{"a":"1","a":"2"}}]}`, `{"kind":"k","deadline_ms":1e3,"tasks":[{}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		job, err := api.DecodeJob(bytes.NewReader(text))
		if err != nil {
			var refused *api.RequestError
			if !errors.As(err, &refused) || refused.Status < 400 || refused.Status > 499 {
				t.Fatalf("unexpected error: %v", err)
			}
			return
		}
		if len(job.Tasks) < 1 || len(job.Tasks) > wire.MaxTasks || job.Kind == "" || job.Deadline() > wire.MaxDeadline {
			t.Fatalf("job exceeds a limit: %+v", job)
		}
		var reencoded bytes.Buffer
		if err := api.Encode(&reencoded, job); err != nil {
			t.Fatalf("accepted job cannot be encoded: %v", err)
		}
		if _, err := api.DecodeJob(&reencoded); err != nil {
			t.Fatalf("accepted job is refused when it is sent again: %v", err)
		}
	})
}
