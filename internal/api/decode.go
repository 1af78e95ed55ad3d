package api

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// maxEncodedBody is the largest JSON text of the body of one task in bytes: base64 with room for escaped slashes.
const maxEncodedBody = 2 * wire.MaxTaskBody

// maxEncodedHeaders is the largest JSON text of the headers of one task in bytes. An escaped byte takes six.
const maxEncodedHeaders = 6*wire.MaxHeaders + 1<<10

// maxEncodedText is the largest JSON text of any other field in bytes.
const maxEncodedText = 6*MaxPath + 1<<10

// errReadLimit is returned by a limitedReader at its limit.
var errReadLimit = eris.New("text is longer than the limit")

// limitedReader fails with errReadLimit when more than limit bytes are asked for.
type limitedReader struct {
	source io.Reader
	read   int64
	limit  int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.read >= l.limit {
		return 0, errReadLimit
	}
	if left := l.limit - l.read; int64(len(p)) > left {
		p = p[:left]
	}
	n, err := l.source.Read(p)
	l.read += int64(n)
	return n, err
}

// jobDecoder reads a job field by field, so that a limit stops the reading and not only the job.
type jobDecoder struct {
	reader *limitedReader
	json   *json.Decoder
	job    *JobRequest
	bytes  int
}

// DecodeJob reads a job. Unknown and repeated fields, text after the job and everything past a limit are errors. It
// returns a *RequestError.
func DecodeJob(r io.Reader) (*JobRequest, error) {
	reader := &limitedReader{source: r, limit: MaxRequest}
	d := &jobDecoder{reader: reader, json: json.NewDecoder(reader), job: new(JobRequest)}
	if err := readObject(d.json, d.field); err != nil {
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

func (d *jobDecoder) field(_ *json.Decoder, name string) error {
	switch name {
	case "kind":
		return d.text(&d.job.Kind, name)
	case "deadline_ms":
		return d.deadline()
	case "tasks":
		return d.tasks()
	default:
		return invalid("field %q is not known; allowed: kind, deadline_ms, tasks", shorten(name))
	}
}

func (d *jobDecoder) tasks() error {
	if err := expectDelim(d.json, '['); err != nil {
		return invalid("tasks: must be a list")
	}
	for d.more() {
		if len(d.job.Tasks) == wire.MaxTasks {
			return tooLarge("tasks: there are more than %d", wire.MaxTasks)
		}
		d.job.Tasks = append(d.job.Tasks, TaskRequest{})
		task := &d.job.Tasks[len(d.job.Tasks)-1]
		if err := d.task(task); err != nil {
			return err
		}
	}
	return expectDelim(d.json, ']')
}

func (d *jobDecoder) task(task *TaskRequest) error {
	err := readObject(d.json, func(_ *json.Decoder, name string) error { return d.taskField(task, name) })
	if err != nil {
		return err
	}
	if err := CheckTask(task); err != nil {
		return err
	}
	if d.bytes += len(task.Body); d.bytes > wire.MaxJobBody {
		return tooLarge("the bodies of the tasks are larger than %d bytes together", wire.MaxJobBody)
	}
	return nil
}

func (d *jobDecoder) taskField(task *TaskRequest, name string) error {
	switch name {
	case "body":
		return d.value(&task.Body, maxEncodedBody, tooLarge("body: is larger than %d bytes", wire.MaxTaskBody))
	case "headers":
		return d.value(&task.Headers, maxEncodedHeaders, headersTooLarge("headers: are larger than %d bytes", wire.MaxHeaders))
	case "path":
		return d.text(&task.Path, name)
	default:
		return invalid("field %q of a task is not known; allowed: body, headers, path", shorten(name))
	}
}

func (d *jobDecoder) text(target *string, name string) error {
	var value *string
	if err := d.value(&value, maxEncodedText, tooLarge("%s: is too long", name)); err != nil {
		return err
	}
	if value == nil {
		return invalid("%s: must be a string", name)
	}
	*target = *value
	return nil
}

func (d *jobDecoder) deadline() error {
	var value json.RawMessage
	if err := d.value(&value, maxEncodedText, tooLarge("deadline_ms: is too long")); err != nil {
		return err
	}
	millis, err := strconv.ParseUint(string(value), 10, 32)
	if err != nil || millis == 0 || millis > uint64(wire.MaxDeadline.Milliseconds()) {
		return invalid("deadline_ms: must be a whole number from 1 to %d", wire.MaxDeadline.Milliseconds())
	}
	d.job.DeadlineMillis = uint32(millis)
	return nil
}

// value decodes one value of at most limit bytes and returns past for a longer one.
func (d *jobDecoder) value(target any, limit int64, past error) error {
	d.reader.limit = min(MaxRequest, d.json.InputOffset()+limit)
	defer func() { d.reader.limit = MaxRequest }()
	err := d.json.Decode(target)
	if errors.Is(err, errReadLimit) && d.reader.read < MaxRequest {
		return past
	}
	return err
}

// more reports whether the list has another element. It bounds the white space that is skipped to find out.
func (d *jobDecoder) more() bool {
	d.reader.limit = min(MaxRequest, d.json.InputOffset()+maxEncodedText)
	defer func() { d.reader.limit = MaxRequest }()
	return d.json.More()
}

// readObject reads an object and passes the name of each field to read, which must consume the value. A name that
// occurs twice is an error.
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
			return invalid("field %q occurs twice", shorten(name))
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

func shorten(name string) string {
	const longest = 40
	if len(name) > longest {
		return name[:longest] + "..."
	}
	return name
}
