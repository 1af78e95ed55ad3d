package logging_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/logging"
)

// Guards against limits that count the fields of a line instead of lines: the handler writes each field separately, so a
// line with twenty fields counted as twenty.
func TestLinesInPiecesCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	b := logging.NewBounded(&out)
	logger := logging.New(b, "info", logging.FormatLogfmt)
	fields := log.Fields{}
	for i := range 20 {
		fields[fmt.Sprintf("field%d", i)] = i
	}
	const lines = 200
	for range lines {
		logger.WithFields(fields).Info("entry: job answered")
	}
	b.Close()
	g.Expect(strings.Count(out.String(), "\n")).To(gomega.Equal(lines))
	g.Expect(out.String()).NotTo(gomega.ContainSubstring("dropped"))
}

// blockedWriter is an output without a reader: a write never returns.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// Guards against callers that block on an output that blocks.
func TestAnOutputThatNobodyReadsHoldsUpNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	b := logging.NewBounded(blockedWriter{})
	logger := logging.New(b, "info", logging.FormatLogfmt)
	began := time.Now()
	for range 10000 {
		logger.Info("entry: job answered")
	}
	b.Close()
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
}

// fullWriter is an output that, while it is blocked, accepts three bytes of each write and returns an error.
type fullWriter struct {
	bytes.Buffer
	blocked atomic.Bool
}

func (f *fullWriter) Write(p []byte) (int, error) {
	if f.blocked.Load() {
		n, _ := f.Buffer.Write(p[:min(len(p), 3)])
		return n, errors.New("resource temporarily unavailable")
	}
	return f.Buffer.Write(p)
}

// Guards against two lines that are joined after an incomplete write, and against dropped lines that are not reported.
func TestALineThatWasCutIsEndedAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	var out fullWriter
	out.blocked.Store(true)
	b := logging.NewBounded(&out)
	logger := logging.New(b, "info", logging.FormatLogfmt)
	logger.Info("entry: the first line, which is too long for an output that takes three bytes at each of its tries")
	time.Sleep(300 * time.Millisecond)
	out.blocked.Store(false)
	logger.Info("entry: second")
	b.Close()
	g.Expect(out.String()).To(gomega.MatchRegexp(`(?m)^timestamp=\S+ level=info message="entry: second"$`))
	g.Expect(out.String()).To(gomega.ContainSubstring(`message="log: lines were dropped" count=1`))
}
