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

// Guards against a bound that counts the fields of a line instead of lines: a line with twenty fields took twenty places.
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

// unread is an output whose reader has gone away: a write never returns.
type unread struct{}

func (unread) Write([]byte) (int, error) { select {} }

// Guards against work that waits for the log.
func TestAnOutputThatNobodyReadsHoldsUpNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	b := logging.NewBounded(unread{})
	logger := logging.New(b, "info", logging.FormatLogfmt)
	began := time.Now()
	for range 10000 {
		logger.Info("entry: job answered")
	}
	b.Close()
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
}

// full is an output that takes the first bytes of a line and then nothing for a while.
type full struct {
	bytes.Buffer
	blocked atomic.Bool
}

func (f *full) Write(p []byte) (int, error) {
	if f.blocked.Load() {
		n, _ := f.Buffer.Write(p[:min(len(p), 3)])
		return n, errors.New("resource temporarily unavailable")
	}
	return f.Buffer.Write(p)
}

// Guards against two lines that run into each other, and against a loss that no line tells of.
func TestALineThatWasCutIsEndedAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	var out full
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
