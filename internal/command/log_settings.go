package command

import (
	"io"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/logging"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// logSettings holds the settings of the log, which every long-running subcommand has.
type logSettings struct{ level, format string }

func (l *logSettings) register(set *settings.Set) {
	set.Choice(&l.level, "log-level", "info", "least severe level that is logged", "debug", "info", "warn", "error")
	set.Choice(&l.format, "log-format", logging.FormatLogfmt, "format of the log",
		logging.FormatText, logging.FormatLogfmt, logging.FormatJSON)
}

func (l *logSettings) logger(w io.Writer) *log.Logger { return logging.New(w, l.level, l.format) }
