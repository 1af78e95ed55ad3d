package command

import (
	"encoding/json"
	"fmt"

	"github.com/coltsfootspur/coltsfootspur/internal/loadgen"
)

// printResult prints the result of a load run and returns ExitFailure if it saw a broken promise.
func printResult(std streams, result *loadgen.Result, asJSON bool) int {
	var text []byte
	var err error
	if asJSON {
		text, err = json.Marshal(result)
	} else {
		text, err = json.MarshalIndent(result, "", "  ")
	}
	if err != nil {
		fmt.Fprintf(std.err, "coltsfootspur: %v\n", err)
		return ExitFailure
	}
	fmt.Fprintf(std.out, "%s\n", text)
	violations := result.Violations()
	for _, v := range violations {
		fmt.Fprintf(std.err, "coltsfootspur: %s\n", v)
	}
	if len(violations) > 0 {
		return ExitFailure
	}
	return ExitOK
}
