package command

import (
	"cmp"
	"context"
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

// Bounds of the setting rows.
const (
	defaultStatusRows = 20
	maxStatusRows     = 100_000
)

// statusSettings are the settings of the subcommand status.
type statusSettings struct {
	operator operator
	rows     int
}

func statusCommand() *subcommand {
	c := newSubcommand("status", "print a summary of one process; the exit code is 0 if it takes work and 3 if it does not")
	s := &statusSettings{}
	s.operator.register(c.settings)
	c.settings.Int(&s.rows, "rows", defaultStatusRows, 1, maxStatusRows, "most rows of each table")
	c.run = s.run
	return c
}

func (s *statusSettings) run(ctx context.Context, std streams) int {
	ready, cause, err := s.operator.get(ctx, "/readyz")
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	r := &report{w: std.out, rows: s.rows}
	r.line("takes work", readiness(ready, cause))
	if err := s.describe(ctx, r); err != nil {
		return reportError(std, err, ExitFailure)
	}
	if err := r.flush(); err != nil {
		return reportError(std, eris.Wrap(err, "write the summary"), ExitFailure)
	}
	if ready != http.StatusOK {
		return ExitNotReady
	}
	return ExitOK
}

func readiness(status int, cause []byte) string {
	if status == http.StatusOK {
		return "yes"
	}
	return "no: " + strings.TrimSpace(string(cause))
}

// describe reads metrics and state and adds the summary of the role to the report.
func (s *statusSettings) describe(ctx context.Context, r *report) error {
	var metrics struct {
		Entry *entryMetrics
		Agent *agentMetrics
	}
	if err := s.operator.decode(ctx, "/debug/vars", &metrics); err != nil {
		return err
	}
	switch {
	case metrics.Entry != nil:
		return s.describeEntry(ctx, r, metrics.Entry)
	case metrics.Agent != nil:
		return s.describeAgent(ctx, r, metrics.Agent)
	default:
		return eris.Wrap(errOperator, "/debug/vars has metrics of neither an entry nor an agent")
	}
}

// report collects lines of names and values, and tables that follow them.
type report struct {
	w      io.Writer
	rows   int
	lines  [][2]string
	tables []table
}

// table is a table of a report.
type table struct {
	header []string
	rows   [][]string
}

func (r *report) line(name, format string, args ...any) {
	if len(args) > 0 {
		format = fmt.Sprintf(format, args...)
	}
	r.lines = append(r.lines, [2]string{name, format})
}

// table adds a table, unless it has no rows.
func (r *report) table(header string, rows [][]string) {
	if len(rows) > 0 {
		r.tables = append(r.tables, table{strings.Split(header, "|"), rows})
	}
}

func (r *report) flush() error {
	w := tabwriter.NewWriter(r.w, 0, 0, columnGap, ' ', 0)
	for _, line := range r.lines {
		fmt.Fprintf(w, "%s\t%s\n", line[0], printable(line[1]))
	}
	for _, t := range r.tables {
		fmt.Fprintf(w, "\n%s\n", strings.Join(t.header, "\t"))
		shown := t.rows[:min(len(t.rows), r.rows)]
		for _, row := range shown {
			for i, cell := range row {
				row[i] = printable(cell)
			}
			fmt.Fprintln(w, strings.Join(row, "\t"))
		}
		if hidden := len(t.rows) - len(shown); hidden > 0 {
			fmt.Fprintf(w, "and %d more\n", hidden)
		}
	}
	return w.Flush()
}

// counts returns "name=n name=n", the largest first, or "none".
func counts(values map[string]uint64) string {
	names := slices.SortedFunc(maps.Keys(values), func(a, b string) int {
		return cmp.Or(cmp.Compare(values[b], values[a]), strings.Compare(a, b))
	})
	parts := make([]string, 0, len(names))
	for _, name := range names {
		if values[name] > 0 {
			parts = append(parts, name+"="+strconv.FormatUint(values[name], 10))
		}
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

// mebibytes formats a number of bytes.
func mebibytes(n int) string { return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20)) }
