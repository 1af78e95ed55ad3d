package supervise

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/logging"
)

// Guards against a process that has logged its stop and does not exit before it is killed because one service does not return: the
// supervisor waited 10 s for it.
func TestStopDoesNotWaitForAServiceThatHangs(t *testing.T) {
	g := gomega.NewWithT(t)
	var output bytes.Buffer
	tree := New("entry", logging.New(&output, "info", logging.FormatLogfmt))
	started, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	tree.Add("hangs", func(context.Context) error {
		close(started)
		<-release
		return nil
	})
	stop := tree.Start()
	<-started
	began := time.Now()
	stop()
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", stopTimeout+time.Second))
	g.Expect(output.String()).To(gomega.ContainSubstring("hangs"), "the log names the service")
}
