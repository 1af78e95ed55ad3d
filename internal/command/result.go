package command

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"

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

// maxScale bounds factors of the load.
const maxScale = 1000

// positive parses a number above 0.
func positive(target *float64) func(string) error {
	return func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n > 0 && n <= maxScale) {
			return eris.New("is out of range")
		}
		*target = n
		return nil
	}
}
