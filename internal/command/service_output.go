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

// columnGap separates the columns of a table.
const columnGap = 2

// output prints results as text or JSON. In JSON every result and every error is one line on the standard output.
type output struct {
	std  streams
	json bool
}

// result prints v in JSON, or calls text. It returns ExitOK.
func (o *output) result(v any, text func()) int {
	if !o.json {
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

// jsonError is an error in JSON.
type jsonError struct {
	// Code is conflict, invalid, unreachable, not_found, unclear, not_indexed or failure.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Current is the present revision, set with conflict.
	Current *document.Document `json:"current,omitempty"`
	// Problems are set with invalid.
	Problems []document.Problem `json:"problems,omitempty"`
}

// fail prints an error and returns its exit code.
func (o *output) fail(err error) int {
	class := classify(err)
	if !o.json {
		fmt.Fprintf(o.std.err, "%s: %s\n", programName, eris.ToString(err, false))
		return class.exit
	}
	e := jsonError{Code: class.code, Message: eris.ToString(err, false)}
	var conflict *document.ConflictError
	if errors.As(err, &conflict) && !conflict.Unread {
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
	o.result(map[string]jsonError{"error": e}, nil)
	return class.exit
}

// table prints rows in columns.
func (o *output) table(rows [][]string) {
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
	_ = w.Flush() // an error of the standard output has nowhere to go
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

// state describes a revision in a table.
func state(deleted, dropped bool) string {
	switch {
	case deleted:
		return "deleted"
	case dropped:
		return "body dropped"
	default:
		return "written"
	}
}
