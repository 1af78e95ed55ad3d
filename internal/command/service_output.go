package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// output prints results as text or JSON. As JSON, every result and every error is one line on the standard output.
type output struct {
	std        streams
	jsonOutput bool
}

// printResult prints v as JSON, or calls text, and returns the exit code.
func (o *output) printResult(v any, text func()) int {
	if !o.jsonOutput {
		text()
		return ExitOK
	}
	encoder := json.NewEncoder(o.std.out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		fmt.Fprintf(o.std.err, "%s: the result cannot be printed: %v\n", programName, err)
		return ExitFailure
	}
	return ExitOK
}

// jsonError is the JSON form of an error.
type jsonError struct {
	// Code is conflict, invalid, unreachable, not_found, unclear, not_indexed or failure.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Current is the current revision without its body. It is set with conflict if it could be read.
	Current *document.Document `json:"current,omitempty"`
	// Problems is set with invalid.
	Problems []document.Problem `json:"problems,omitempty"`
}

// printError prints an error and returns its exit code.
func (o *output) printError(err error) int {
	class := classifyError(err)
	if !o.jsonOutput {
		fmt.Fprintf(o.std.err, "%s: %s\n", programName, eris.ToString(err, false))
		return class.exitCode
	}
	e := jsonError{Code: class.jsonCode, Message: eris.ToString(err, false)}
	var conflict *document.ConflictError
	if errors.As(err, &conflict) && !conflict.CurrentUnknown {
		e.Current = &conflict.Current
		e.Current.Body = ""
	}
	var invalid *document.InvalidError
	if errors.As(err, &invalid) {
		e.Problems = invalid.Problems
	}
	var region *document.HomeRegionError
	if errors.As(err, &region) {
		e.Problems = []document.Problem{region.Problem()}
	}
	o.printResult(map[string]jsonError{"error": e}, nil)
	return class.exitCode
}

// printTable prints rows in columns.
func (o *output) printTable(rows [][]string) {
	w := tabwriter.NewWriter(o.std.out, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush() // a failure of the standard output cannot be reported
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

// revisionState returns the state of a revision as shown in tables.
func revisionState(deleted, bodyDropped bool) string {
	switch {
	case deleted:
		return "deleted"
	case bodyDropped:
		return "body dropped"
	default:
		return "written"
	}
}
