package command

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// reportUsage reports a command line that is not understood and where help is found.
func reportUsage(std streams, selected *selection, err error) int {
	code := reportError(std, err, ExitUsage)
	fmt.Fprintf(std.err, "Run %q for help.\n", selected.name()+" --help")
	return code
}

// reportError reports an error and returns the exit code.
func reportError(std streams, err error, code int) int {
	fmt.Fprintf(std.err, "%s: %s\n", programName, eris.ToString(err, false))
	return code
}

// reportSettings reports every setting that is not allowed.
func reportSettings(std streams, err error) int {
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) {
		return reportError(std, err, ExitUsage)
	}
	for _, problem := range invalid.Problems {
		fmt.Fprintf(std.err, "%s: setting %s\n", programName, problem)
	}
	return ExitUsage
}
