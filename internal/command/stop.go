package command

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Default and bounds of the setting stop-timeout. The default is longer than the longest deadline of a job (60 s) plus
// the handover.
const (
	defaultStopTimeout = 75 * time.Second
	minStopTimeout     = 100 * time.Millisecond
	maxStopTimeout     = 10 * time.Minute
)

// usageError reports a setting that the role did not accept.
func usageError(std streams, err error) int {
	fmt.Fprintf(std.err, "coltsfootspur: %s\n", eris.ToString(err, false))
	return ExitUsage
}
