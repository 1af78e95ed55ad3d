package command

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// minStopTimeout is the shortest stop timeout that the settings accept.
const minStopTimeout = 100 * time.Millisecond

// usageError reports a setting that the role did not accept.
func usageError(std streams, err error) int {
	fmt.Fprintf(std.err, "coltsfootspur: %s\n", eris.ToString(err, false))
	return ExitUsage
}
