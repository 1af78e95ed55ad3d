package command

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/loadgen"
)

// loadOutput describes how the result of a load run is printed.
type loadOutput struct {
	deploymentName string
	compactJSON    bool          // on one line instead of indented
	progress       *progressLine // nil for none
}

// runLoad applies load to entries, prints the result and returns the exit code, which is ExitOK only if every counter could
// be read and no guarantee was violated.
func runLoad(ctx context.Context, std streams, config loadgen.Config, out loadOutput) int {
	if out.progress != nil {
		config.Progress = out.progress.show
	}
	result, runErr := loadgen.Run(ctx, config)
	out.progress.clear()
	if result == nil {
		code := ExitFailure
		if eris.Is(runErr, loadgen.ErrConfig) {
			code = ExitUsage
		}
		return reportError(std, runErr, code)
	}
	result.Deployment = out.deploymentName
	if err := printLoadResult(std, result, out.compactJSON); err != nil {
		return reportError(std, eris.Wrap(err, "cannot write the result"), ExitFailure)
	}
	code := ExitOK
	if runErr != nil {
		code = reportError(std, runErr, ExitFailure)
	}
	for _, violation := range result.Violations() {
		code = reportError(std, eris.Errorf("seed %d: %s", result.Seed, violation), ExitFailure)
	}
	return code
}

func printLoadResult(std streams, result *loadgen.Result, compactJSON bool) error {
	indent := "  "
	if compactJSON {
		indent = ""
	}
	encoder := json.NewEncoder(std.out)
	encoder.SetIndent("", indent)
	return encoder.Encode(result)
}
