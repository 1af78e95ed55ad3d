package logging_test

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/logging"
)

// Guards against a panic of a handler that is logged at the level of client errors and so stays unnoticed.
func TestStandardLoggerReportsPanicsAsErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	standard := logging.NewStandardLogger(logging.New(&out, "info", logging.FormatLogfmt), "entry")
	standard.Printf("http: TLS handshake error from %s: EOF", "10.0.0.1:5000")
	g.Expect(out.String()).To(gomega.BeEmpty())
	standard.Print("http: panic serving 10.0.0.1:5000: index out of range")
	g.Expect(out.String()).To(gomega.ContainSubstring("level=error"))
	g.Expect(out.String()).To(gomega.ContainSubstring("entry: http: panic serving"))
}
