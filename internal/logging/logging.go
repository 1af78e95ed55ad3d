// Package logging configures the structured logs of a process.
package logging

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
	"github.com/apex/log/handlers/text"
)

// Formats of the log.
const (
	FormatText   = "text"
	FormatLogfmt = "logfmt"
	FormatJSON   = "json"
)

// New returns a logger that writes to w. The level is one of debug, info, warn and error; an unknown level means info. An
// unknown format means FormatLogfmt.
func New(w io.Writer, level, format string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return &log.Logger{Handler: handler(w, format), Level: parsed}
}

func handler(w io.Writer, format string) log.Handler {
	switch format {
	case FormatJSON:
		return json.New(w)
	case FormatText:
		return text.New(w)
	default:
		return logfmt.New(w)
	}
}
