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

// ExitNotReady is the exit code of status for a process that runs but takes no work.
const ExitNotReady = 3

// Default and upper bound of the setting rows.
const (
	defaultStatusRows = 20
	maxStatusRows     = 100_000
)

// statusSettings holds the settings of the subcommand status.
type statusSettings struct {
	client  operatorClient
	maxRows int
}

func newStatusCommand() *subcommand {
	c := newSubcommand("status", "print a summary of one process; the exit code is 0 if it takes work and 3 if it does not")
	s := &statusSettings{}
	s.client.register(c.settings)
	c.settings.Int(&s.maxRows, "rows", defaultStatusRows, 1, maxStatusRows, "most rows of each table")
	c.run = s.run
	return c
}

func (s *statusSettings) run(ctx context.Context, std streams) int {
	readyStatus, reason, err := s.client.get(ctx, "/readyz")
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	r := &statusReport{w: std.out, maxRows: s.maxRows}
	r.addLine("takes work", readinessText(readyStatus, reason))
	if err := s.describe(ctx, r); err != nil {
		return reportError(std, err, ExitFailure)
	}
	if err := r.flush(); err != nil {
		return reportError(std, eris.Wrap(err, "cannot write the summary"), ExitFailure)
	}
	if readyStatus != http.StatusOK {
		return ExitNotReady
	}
	return ExitOK
}

func readinessText(status int, reason []byte) string {
	if status == http.StatusOK {
		return "yes"
	}
	return "no: " + strings.TrimSpace(string(reason))
}

// describe reads the metrics and the state of the process and adds the summary of its role to the report.
func (s *statusSettings) describe(ctx context.Context, r *statusReport) error {
	var metrics struct {
		Entry *entryMetrics
		Agent *agentMetrics
	}
	if err := s.client.getJSON(ctx, "/debug/vars", &metrics); err != nil {
		return err
	}
	switch {
	case metrics.Entry != nil:
		return s.describeEntry(ctx, r, metrics.Entry)
	case metrics.Agent != nil:
		return s.describeAgent(ctx, r, metrics.Agent)
	default:
		return eris.Wrap(errOperatorEndpoint, "/debug/vars has metrics of neither an entry nor an agent")
	}
}

// statusReport collects lines of a name and a value, and the tables that follow them.
type statusReport struct {
	w       io.Writer
	maxRows int
	lines   [][2]string
	tables  []reportTable
}

// reportTable is a table of a statusReport.
type reportTable struct {
	header []string
	rows   [][]string
}

func (r *statusReport) addLine(name, format string, args ...any) {
	if len(args) > 0 {
		format = fmt.Sprintf(format, args...)
	}
	r.lines = append(r.lines, [2]string{name, format})
}

// addTable adds a table unless it has no rows. The names of the columns in header are separated by '|'.
func (r *statusReport) addTable(header string, rows [][]string) {
	if len(rows) > 0 {
		r.tables = append(r.tables, reportTable{strings.Split(header, "|"), rows})
	}
}

func (r *statusReport) flush() error {
	w := tabwriter.NewWriter(r.w, 0, 0, columnGap, ' ', 0)
	for _, line := range r.lines {
		fmt.Fprintf(w, "%s\t%s\n", line[0], escapeUnprintable(line[1]))
	}
	for _, t := range r.tables {
		fmt.Fprintf(w, "\n%s\n", strings.Join(t.header, "\t"))
		shown := t.rows[:min(len(t.rows), r.maxRows)]
		for _, row := range shown {
			for i, cell := range row {
				row[i] = escapeUnprintable(cell)
			}
			fmt.Fprintln(w, strings.Join(row, "\t"))
		}
		if hidden := len(t.rows) - len(shown); hidden > 0 {
			fmt.Fprintf(w, "and %d more\n", hidden)
		}
	}
	return w.Flush()
}

// formatCounts returns "name=n name=n" with the largest n first, without zeros, or "none" if nothing is left.
func formatCounts(values map[string]uint64) string {
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

// escapeUnprintable escapes unprintable characters, so that a value from another process cannot control the terminal.
func escapeUnprintable(text string) string {
	quoted := strconv.Quote(text)
	return strings.ReplaceAll(quoted[1:len(quoted)-1], `\"`, `"`)
}

// formatMiB formats a number of bytes in MiB.
func formatMiB(n int) string { return fmt.Sprintf("%.1f MiB", float64(n)/(1<<20)) }
