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
	// maxQueuedLines is the number of lines that can wait for the output. At the peak rate it covers a stall of at least one
	// second.
	maxQueuedLines = 1024
	// maxLinesPerSecond is the number of lines that are accepted in each second. Further lines are dropped and counted.
	maxLinesPerSecond = 400
	// maxLineBytes is the length from which a line is cut, so that the queue holds at most 4 MB. Lines contain text of clients.
	maxLineBytes = 4 << 10
	// writeRetryDelay and maxWriteTries bound the wait for an output that temporarily accepts no data.
	writeRetryDelay = 5 * time.Millisecond
	maxWriteTries   = 20
	// closeTimeout bounds the wait in Close for an output that blocks.
	closeTimeout = 200 * time.Millisecond
)

// Bounded is a log writer that never blocks. Lines that the output does not accept in time and lines that exceed the rate
// limit are dropped. The number of dropped lines is logged as a separate line.
type Bounded struct {
	lines     chan []byte
	dropped   atomic.Int64
	lastError atomic.Value // text of the last write error of the output
	done      chan struct{}

	mu            sync.Mutex
	closed        bool
	second        int64
	linesInSecond int
	partial       []byte // the beginning of a line whose end has not been passed to Write yet
}

// NewBounded returns a writer to out. A goroutine writes the lines until Close is called.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	b.lastError.Store("")
	go b.writeLoop(out)
	return b
}

// Write accepts whole lines or parts of lines: the logfmt handler writes each field separately. It cuts lines at maxLineBytes. It
// never returns an error.
func (b *Bounded) Write(piece []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for rest := piece; ; {
		end := bytes.IndexByte(rest, '\n')
		part := rest
		if end >= 0 {
			part = rest[:end]
		}
		b.partial = append(b.partial, part[:min(len(part), maxLineBytes-len(b.partial))]...)
		if end < 0 {
			return len(piece), nil
		}
		b.enqueue(append(b.partial, '\n'))
		b.partial, rest = b.partial[:0], rest[end+1:]
	}
}

// enqueue queues a copy of a whole line, or drops and counts the line.
func (b *Bounded) enqueue(line []byte) {
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

// admit counts a line and reports whether the rate limit admits it in the given second of Unix time.
func (b *Bounded) admit(second int64) bool {
	if b.second != second {
		b.second, b.linesInSecond = second, 0
	}
	b.linesInSecond++
	return b.linesInSecond <= maxLinesPerSecond
}

func (b *Bounded) writeLoop(out io.Writer) {
	defer close(b.done)
	lineCut := false // the output ends with an incomplete line
	for line := range b.lines {
		if lineCut {
			line = append([]byte{'\n'}, line...)
		}
		var err error
		if lineCut, err = writeLine(out, line); err != nil {
			b.dropped.Add(1)
			b.lastError.Store(err.Error())
			continue
		}
		if n := b.dropped.Swap(0); n > 0 {
			note := fmt.Sprintf("level=warn message=\"log: lines were dropped\" count=%d error=%q\n", n, b.lastError.Swap(""))
			if lineCut, err = writeLine(out, []byte(note)); err != nil {
				b.dropped.Add(n)
			}
		}
	}
}

// writeLine writes a line. It retries for a while, so that a full pipe in non-blocking mode can be drained by its reader.
// lineCut reports whether a part of the line was written before the error.
func writeLine(out io.Writer, line []byte) (lineCut bool, err error) {
	for try := 0; ; try++ {
		n, err := out.Write(line)
		lineCut = lineCut || n > 0
		if err == nil || try == maxWriteTries {
			return lineCut && err != nil, err
		}
		line = line[n:]
		time.Sleep(writeRetryDelay)
	}
}

// Close writes the queued lines for up to 200 ms. Later lines are dropped. It must be called once.
func (b *Bounded) Close() {
	b.mu.Lock()
	b.closed = true
	close(b.lines)
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}
