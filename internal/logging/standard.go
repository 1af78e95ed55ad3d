package logging

import (
	standard "log"
	"strings"

	"github.com/apex/log"
)

// Standard returns a logger of the standard library whose lines go to logger with the prefix of a part. It is for net/http,
// which reports faults of clients, such as a TLS handshake that was broken off (level debug), and panics (level error).
func Standard(logger log.Interface, prefix string) *standard.Logger {
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
