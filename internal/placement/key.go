package placement

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// uuidStringLength is the length of the canonical text form of a UUID.
const uuidStringLength = 36

// HashKey returns the hash of a service and an idempotency key.
func HashKey(service, key string) wire.KeyHash {
	w := newHashWriter()
	w.writeText(service)
	w.writeText(key)
	return w.sum()
}

// Digest returns the hash of the kind and the tasks of a job. Two jobs have the same digest only if their kinds and the
// paths, headers and bodies of all tasks are equal. Header names are compared case-insensitively, and the order of
// headers with different names is ignored. The deadline and the urgency are not hashed, so a resubmission may change
// them.
func Digest(job *wire.Job) [16]byte {
	w := newHashWriter()
	w.writeText(job.Kind)
	w.writeNumber(uint64(len(job.Tasks)))
	for i := range job.Tasks {
		w.writeTask(&job.Tasks[i])
	}
	return w.sum()
}

// KeyTime returns the creation time of a UUIDv7 key (RFC 9562) with a resolution of 1 ms. It returns false for any other
// key.
func KeyTime(key string) (time.Time, bool) {
	if len(key) != uuidStringLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var buf [8]byte
	copy(buf[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(buf[:]))), true
}

// hashWriter hashes fields with their lengths, so that different sequences of fields never produce the same input.
type hashWriter struct{ h hash.Hash }

func newHashWriter() hashWriter { return hashWriter{sha256.New()} }

func (w hashWriter) writeNumber(n uint64) {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], n)
	_, _ = w.h.Write(buf[:])
}

func (w hashWriter) writeBytes(b []byte) {
	w.writeNumber(uint64(len(b)))
	_, _ = w.h.Write(b)
}

func (w hashWriter) writeText(s string) { w.writeBytes([]byte(s)) }

func (w hashWriter) writeTask(task *wire.TaskSpec) {
	w.writeText(task.Path)
	headers := make([]wire.Header, len(task.Headers))
	for i, h := range task.Headers {
		headers[i] = wire.Header{Name: strings.ToLower(h.Name), Value: h.Value}
	}
	slices.SortStableFunc(headers, func(a, b wire.Header) int { return strings.Compare(a.Name, b.Name) })
	w.writeNumber(uint64(len(headers)))
	for _, h := range headers {
		w.writeText(h.Name)
		w.writeText(h.Value)
	}
	w.writeBytes(task.Body)
}

func (w hashWriter) sum() (sum [16]byte) {
	copy(sum[:], w.h.Sum(nil))
	return sum
}
