package command

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// reportUsageError prints the error of an invalid command line and how to get help, and returns ExitUsage.
func reportUsageError(std streams, selected *selection, err error) int {
	code := reportError(std, err, ExitUsage)
	fmt.Fprintf(std.err, "Run %q for help.\n", selected.commandPath()+" --help")
	return code
}

// reportError prints an error and returns code.
func reportError(std streams, err error, code int) int {
	fmt.Fprintf(std.err, "%s: %s\n", programName, eris.ToString(err, false))
	return code
}

// reportSettingsError prints every invalid setting and returns ExitUsage.
func reportSettingsError(std streams, err error) int {
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) {
		return reportError(std, err, ExitUsage)
	}
	for _, problem := range invalid.Problems {
		fmt.Fprintf(std.err, "%s: setting %s\n", programName, problem)
	}
	return ExitUsage
}
