package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// ExitNotReady is the exit code of status for a process that runs and takes no work.
const ExitNotReady = 3

// maxLineItems bounds the items of an object that are shown on one line.
const maxLineItems = 16

// libraryMetrics are the metrics that package expvar publishes by itself; they belong to no role.
var libraryMetrics = []string{"cmdline", "memstats"}

func statusCommand() *subcommand {
	c := newSubcommand("status", "print a summary of one process; the exit code is 0 if it takes work and 3 if it does not")
	o := &operator{}
	o.register(c.settings)
	c.run = func(ctx context.Context, std streams) int { return status(ctx, o, std) }
	return c
}

func dumpCommand() *subcommand {
	c := newSubcommand("dump", "print the state of one process as JSON")
	o := &operator{}
	o.register(c.settings)
	c.run = func(ctx context.Context, std streams) int { return dump(ctx, o, std) }
	return c
}

func dump(ctx context.Context, o *operator, std streams) int {
	code, body, err := o.get(ctx, "/dump")
	if err == nil && code != http.StatusOK {
		err = eris.Wrapf(errOperator, "/dump answered with status %d: %.200s", code, body)
	}
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	var text bytes.Buffer
	if err := json.Indent(&text, bytes.TrimSpace(body), "", "  "); err != nil {
		return reportError(std, eris.Wrapf(errOperator, "/dump: %v", err), ExitFailure)
	}
	fmt.Fprintln(std.out, text.String())
	return ExitOK
}

func status(ctx context.Context, o *operator, std streams) int {
	ready, cause, err := o.get(ctx, "/readyz")
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	metrics, err := o.document(ctx, "/debug/vars")
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	state, err := o.document(ctx, "/dump")
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	if err := writeStatus(std.out, ready, string(cause), state, metrics); err != nil {
		return reportError(std, err, ExitFailure)
	}
	if ready != http.StatusOK {
		return ExitNotReady
	}
	return ExitOK
}

// writeStatus writes the summary: readiness, the state with lists and large objects as counts, and the metrics.
func writeStatus(w io.Writer, ready int, cause string, state, metrics map[string]any) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	readiness := "yes"
	if ready != http.StatusOK {
		readiness = "no: " + strings.TrimSpace(cause)
	}
	fmt.Fprintf(table, "takes work\t%s\n", readiness)
	writeFields(table, "", state)
	for _, role := range slices.Sorted(maps.Keys(metrics)) {
		if values, ok := metrics[role].(map[string]any); ok && !slices.Contains(libraryMetrics, role) {
			fmt.Fprintf(table, "metrics of the %s\t\n", role)
			writeFields(table, "  ", values)
		}
	}
	return table.Flush()
}

func writeFields(w io.Writer, indent string, fields map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(w, "%s%s\t%s\n", indent, strings.ReplaceAll(name, "_", " "), summary(fields[name]))
	}
}

// summary returns one line for a value of JSON.
func summary(value any) string {
	switch v := value.(type) {
	case nil:
		return "none"
	case string:
		return printable(v)
	case json.Number:
		return v.String()
	case []any:
		return strconv.Itoa(len(v)) + " items"
	case map[string]any:
		return summaryOfObject(v)
	default:
		return fmt.Sprint(v)
	}
}

func summaryOfObject(object map[string]any) string {
	if len(object) > maxLineItems {
		return strconv.Itoa(len(object)) + " items"
	}
	parts := make([]string, 0, len(object))
	for _, name := range slices.Sorted(maps.Keys(object)) {
		value := object[name]
		if inner, ok := value.(map[string]any); ok {
			parts = append(parts, fmt.Sprintf("%s=(%d items)", printable(name), len(inner)))
			continue
		}
		parts = append(parts, printable(name)+"="+summary(value))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}

// printable removes control characters, so that a value from another process cannot change the terminal.
func printable(text string) string {
	quoted := strconv.Quote(text)
	return strings.ReplaceAll(quoted[1:len(quoted)-1], `\"`, `"`)
}
