package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// boundedQueue is the number of lines that wait for the output; at the peak it covers a second without output.
	boundedQueue = 1024
	// boundedRate is the number of lines a second that are written; the rest of the second is dropped and counted.
	boundedRate = 400
	// writePause and maxWriteTries bound the wait for an output that takes nothing at the moment.
	writePause    = 5 * time.Millisecond
	maxWriteTries = 20
	// closeTimeout bounds the wait for an output that nobody reads.
	closeTimeout = 200 * time.Millisecond
)

// Bounded is a writer for logs that never blocks: lines that the output does not take in time, and those beyond a rate,
// are dropped and counted in a line of their own.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	cause   atomic.Value // text of the last error of the output
	ended   chan struct{}

	mu      sync.Mutex
	closed  bool
	second  int64
	count   int
	partial []byte // the beginning of a line whose end was not written yet
}

// NewBounded returns a writer to out. One goroutine writes until Close.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, boundedQueue), ended: make(chan struct{})}
	b.cause.Store("")
	go b.write(out)
	return b
}

// Write takes lines, also in pieces: the logfmt handler writes each field by itself. It never returns an error.
func (b *Bounded) Write(piece []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.partial = append(b.partial, piece...)
	for {
		end := bytes.IndexByte(b.partial, '\n')
		if end < 0 {
			return len(piece), nil
		}
		b.take(b.partial[:end+1])
		b.partial = b.partial[end+1:]
	}
}

// take queues a copy of one whole line.
func (b *Bounded) take(line []byte) {
	if b.closed || !b.admit(time.Now().Unix()) {
		b.dropped.Add(1)
		return
	}
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.dropped.Add(1)
	}
}

// admit reports whether the rate allows another line in a second.
func (b *Bounded) admit(second int64) bool {
	if b.second != second {
		b.second, b.count = second, 0
	}
	b.count++
	return b.count <= boundedRate
}

func (b *Bounded) write(out io.Writer) {
	defer close(b.ended)
	cut := false // the output ends with a part of a line
	for line := range b.lines {
		if cut {
			line = append([]byte{'\n'}, line...)
		}
		var err error
		if cut, err = writeLine(out, line); err != nil {
			b.dropped.Add(1)
			b.cause.Store(err.Error())
			continue
		}
		if n := b.dropped.Swap(0); n > 0 {
			note := fmt.Sprintf("level=warn message=\"log: lines were dropped\" count=%d error=%q\n", n, b.cause.Swap(""))
			if cut, err = writeLine(out, []byte(note)); err != nil {
				b.dropped.Add(n)
			}
		}
	}
}

// writeLine writes a line. An output that is a full pipe in non-blocking mode gets some time to be read. Cut tells whether
// a part of the line was written before the error.
func writeLine(out io.Writer, line []byte) (cut bool, err error) {
	for try := 0; ; try++ {
		n, err := out.Write(line)
		cut = cut || n > 0
		if err == nil || try == maxWriteTries {
			return cut && err != nil, err
		}
		line = line[n:]
		time.Sleep(writePause)
	}
}

// Close writes what waits, as far as the output takes it within 200 ms. Later lines are dropped.
func (b *Bounded) Close() {
	b.mu.Lock()
	b.closed = true
	close(b.lines)
	b.mu.Unlock()
	select {
	case <-b.ended:
	case <-time.After(closeTimeout):
	}
}
