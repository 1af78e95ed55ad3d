package api

import (
	"net/url"
	"strings"
	"time"
	"unicode"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Limits of a request beyond those of package wire.
const (
	// MaxRequest is the largest JSON text of a job in bytes. It allows for the bodies in base64, the header blocks, the
	// paths and the punctuation of a job at every limit.
	MaxRequest = 10 << 20
	// MaxPath is the longest path of a task in bytes. It is chosen so that a job at every limit fits into one frame.
	MaxPath = 8 << 10
	// MaxName is the longest name of a kind in bytes.
	MaxName = 128
	// MaxAnswer is the largest JSON text of an answer in bytes. It allows for the answers of a job in base64 with their
	// headers.
	MaxAnswer = 16 << 20
)

// JobRequest is the JSON body of a submission.
type JobRequest struct {
	Kind string `json:"kind"`
	// DeadlineMillis is the deadline in milliseconds after the receipt of the request; 0 when it is not set.
	DeadlineMillis uint32        `json:"deadline_ms,omitempty"`
	Tasks          []TaskRequest `json:"tasks"`
}

// TaskRequest is one task of a submission.
type TaskRequest struct {
	Path    string   `json:"path,omitempty"`
	Headers Headers  `json:"headers,omitempty"`
	Body    TaskBody `json:"body,omitempty"`
}

// Deadline returns the deadline as a duration from the receipt of the request; 0 when the caller set none.
func (r *JobRequest) Deadline() time.Duration {
	return time.Duration(r.DeadlineMillis) * time.Millisecond
}

// Specs converts the tasks to those of package wire.
func (r *JobRequest) Specs() []wire.TaskSpec {
	specs := make([]wire.TaskSpec, len(r.Tasks))
	for i := range r.Tasks {
		specs[i] = wire.TaskSpec{Path: r.Tasks[i].Path, Headers: r.Tasks[i].Headers, Body: r.Tasks[i].Body}
	}
	return specs
}

// ParseKey returns the idempotency key of a header value, without the quotes of a structured field. It returns a
// *RequestError when the key is longer than wire.MaxKey or holds anything but visible ASCII characters.
func ParseKey(value string) (string, error) {
	key := value
	if len(key) >= 2 && key[0] == '"' && key[len(key)-1] == '"' {
		key = key[1 : len(key)-1]
	}
	if len(key) > wire.MaxKey {
		return "", headersTooLarge("the idempotency key is longer than %d bytes", wire.MaxKey)
	}
	if key == "" {
		return "", invalid("the idempotency key is empty")
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return "", invalid("the idempotency key holds a character that is not visible ASCII")
		}
	}
	return key, nil
}

// CheckTask checks the path, the headers and the size of the body of a task or of a single request. It returns a
// *RequestError.
func CheckTask(task *TaskRequest) error {
	if len(task.Path) > MaxPath {
		return pathTooLong("the path is longer than %d bytes", MaxPath)
	}
	if message := checkPath(task.Path); message != "" {
		return invalid("%s", message)
	}
	if task.Headers.sizeBytes() > wire.MaxHeaders {
		return headersTooLarge("the headers are larger than %d bytes", wire.MaxHeaders)
	}
	if message := task.Headers.checkFields(); message != "" {
		return invalid("%s", message)
	}
	if len(task.Body) > wire.MaxTaskBody {
		return tooLarge("the body is larger than %d bytes", wire.MaxTaskBody)
	}
	return nil
}

func checkPath(path string) string {
	if path == "" {
		return ""
	}
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return "path: must begin with one slash"
	}
	if strings.ContainsFunc(path, func(c rune) bool { return c == ' ' || c == '#' || c == '\\' || unicode.IsControl(c) }) {
		return "path: holds a character that must be escaped"
	}
	parsed, err := url.ParseRequestURI(path)
	if err != nil {
		return "path: is not the path of a URL"
	}
	for segment := range strings.SplitSeq(parsed.Path, "/") {
		if segment == "." || segment == ".." {
			return "path: must not hold the segments . and .."
		}
	}
	return ""
}

func checkKind(kind string) string {
	switch {
	case kind == "":
		return "kind: is missing"
	case len(kind) > MaxName:
		return "kind: is too long"
	case strings.ContainsFunc(kind, func(c rune) bool { return unicode.IsControl(c) || c == unicode.ReplacementChar }):
		return "kind: holds a character that is not allowed"
	default:
		return ""
	}
}
