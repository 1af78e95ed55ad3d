package api

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxEncodedBody is the largest JSON text of the body of one task in bytes. It allows for base64 with escaped slashes.
const maxEncodedBody = 2 * wire.MaxTaskBody

// maxEncodedHeaders is the largest JSON text of the headers of one task in bytes. An escaped byte takes six bytes.
const maxEncodedHeaders = 6*wire.MaxHeaders + 1<<10

// maxEncodedText is the largest JSON text of any other field in bytes.
const maxEncodedText = 6*MaxPath + 1<<10

// errReadLimit is returned by a limitedReader at its limit.
var errReadLimit = eris.New("text is longer than the limit")

// limitedReader fails with errReadLimit when more than limit bytes are read.
type limitedReader struct {
	source    io.Reader
	bytesRead int64
	limit     int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.bytesRead >= l.limit {
		return 0, errReadLimit
	}
	if left := l.limit - l.bytesRead; int64(len(p)) > left {
		p = p[:left]
	}
	n, err := l.source.Read(p)
	l.bytesRead += int64(n)
	return n, err
}

// jobDecoder decodes a job field by field, so that reading stops as soon as a limit is exceeded.
type jobDecoder struct {
	reader    *limitedReader
	json      *json.Decoder
	job       *JobRequest
	bodyBytes int
}

// DecodeJob reads a job. Unknown and repeated fields, text after the job and exceeded limits are errors. The error is a
// *RequestError.
func DecodeJob(r io.Reader) (*JobRequest, error) {
	reader := &limitedReader{source: r, limit: MaxRequest}
	d := &jobDecoder{reader: reader, json: json.NewDecoder(reader), job: new(JobRequest)}
	if err := readObject(d.json, d.decodeField); err != nil {
		return nil, requestError(err)
	}
	d.reader.limit = MaxRequest
	if _, err := d.json.Token(); err != io.EOF {
		return nil, invalid("there is text after the job")
	}
	if message := checkKind(d.job.Kind); message != "" {
		return nil, invalid("%s", message)
	}
	if len(d.job.Tasks) == 0 {
		return nil, invalid("tasks: must hold 1 to %d tasks", wire.MaxTasks)
	}
	return d.job, nil
}

func (d *jobDecoder) decodeField(_ *json.Decoder, name string) error {
	switch name {
	case "kind":
		return d.decodeText(&d.job.Kind, name)
	case "deadline_ms":
		return d.decodeDeadline()
	case "tasks":
		return d.decodeTasks()
	default:
		return invalid("field %q is not known; allowed: kind, deadline_ms, tasks", truncateName(name))
	}
}

func (d *jobDecoder) decodeTasks() error {
	if err := expectDelim(d.json, '['); err != nil {
		return invalid("tasks: must be a list")
	}
	for d.hasMore() {
		if len(d.job.Tasks) == wire.MaxTasks {
			return tooLarge("tasks: there are more than %d", wire.MaxTasks)
		}
		d.job.Tasks = append(d.job.Tasks, TaskRequest{})
		task := &d.job.Tasks[len(d.job.Tasks)-1]
		if err := d.decodeTask(task); err != nil {
			return err
		}
	}
	return expectDelim(d.json, ']')
}

func (d *jobDecoder) decodeTask(task *TaskRequest) error {
	err := readObject(d.json, func(_ *json.Decoder, name string) error { return d.decodeTaskField(task, name) })
	if err != nil {
		return err
	}
	if err := CheckTask(task); err != nil {
		return err
	}
	if d.bodyBytes += len(task.Body); d.bodyBytes > wire.MaxJobBody {
		return tooLarge("the bodies of the tasks are larger than %d bytes together", wire.MaxJobBody)
	}
	return nil
}

func (d *jobDecoder) decodeTaskField(task *TaskRequest, name string) error {
	switch name {
	case "body":
		return d.decodeValue(&task.Body, maxEncodedBody, tooLarge("body: is larger than %d bytes", wire.MaxTaskBody))
	case "headers":
		return d.decodeValue(&task.Headers, maxEncodedHeaders, headersTooLarge("headers: are larger than %d bytes", wire.MaxHeaders))
	case "path":
		return d.decodeText(&task.Path, name)
	default:
		return invalid("field %q of a task is not known; allowed: body, headers, path", truncateName(name))
	}
}

func (d *jobDecoder) decodeText(target *string, name string) error {
	var value *string
	if err := d.decodeValue(&value, maxEncodedText, tooLarge("%s: is too long", name)); err != nil {
		return err
	}
	if value == nil {
		return invalid("%s: must be a string", name)
	}
	*target = *value
	return nil
}

func (d *jobDecoder) decodeDeadline() error {
	var value json.RawMessage
	if err := d.decodeValue(&value, maxEncodedText, tooLarge("deadline_ms: is too long")); err != nil {
		return err
	}
	millis, err := strconv.ParseUint(string(value), 10, 32)
	if err != nil || millis == 0 || millis > uint64(wire.MaxDeadline.Milliseconds()) {
		return invalid("deadline_ms: must be a whole number from 1 to %d", wire.MaxDeadline.Milliseconds())
	}
	d.job.DeadlineMillis = uint32(millis)
	return nil
}

// decodeValue decodes one value of at most limit bytes. It returns limitErr for a longer one.
func (d *jobDecoder) decodeValue(target any, limit int64, limitErr error) error {
	d.reader.limit = min(MaxRequest, d.json.InputOffset()+limit)
	defer func() { d.reader.limit = MaxRequest }()
	err := d.json.Decode(target)
	if errors.Is(err, errReadLimit) && d.reader.bytesRead < MaxRequest {
		return limitErr
	}
	return err
}

// hasMore reports whether the list has another element. It limits the whitespace that is skipped before the element.
func (d *jobDecoder) hasMore() bool {
	d.reader.limit = min(MaxRequest, d.json.InputOffset()+maxEncodedText)
	defer func() { d.reader.limit = MaxRequest }()
	return d.json.More()
}

// readObject reads an object and calls read with the name of each field. read must consume the value. A name that occurs
// twice is an error.
func readObject(decoder *json.Decoder, read func(*json.Decoder, string) error) error {
	if err := expectDelim(decoder, '{'); err != nil {
		return err
	}
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if seen[name] {
			return invalid("field %q occurs twice", truncateName(name))
		}
		seen[name] = true
		if err := read(decoder, name); err != nil {
			return err
		}
	}
	return expectDelim(decoder, '}')
}

func expectDelim(decoder *json.Decoder, want json.Delim) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	if token != want {
		return invalid("expected %q", want.String())
	}
	return nil
}

func truncateName(name string) string {
	const longest = 40
	if len(name) > longest {
		return name[:longest] + "..."
	}
	return name
}
