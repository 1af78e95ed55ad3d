package logging

import (
	standard "log"
	"strings"

	"github.com/apex/log"
)

// NewStandardLogger returns a logger of the standard library that writes its lines to logger with the given prefix. It is
// for net/http, which reports errors of clients, such as an aborted TLS handshake (level debug), and panics (level error).
func NewStandardLogger(logger log.Interface, prefix string) *standard.Logger {
	return standard.New(standardWriter{logger, prefix}, "", 0)
}

type standardWriter struct {
	logger log.Interface
	prefix string
}

// Write implements io.Writer. The standard logger calls it once for each line.
func (w standardWriter) Write(line []byte) (int, error) {
	text := w.prefix + ": " + strings.TrimSpace(string(line))
	if strings.Contains(text, "panic") {
		w.logger.Error(text)
	} else {
		w.logger.Debug(text)
	}
	return len(line), nil
}
