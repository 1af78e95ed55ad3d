package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// inform shows the help or the version.
func inform(std streams, selected *selection, command *subcommand) int {
	if !selected.help {
		fmt.Fprintln(std.out, versionText())
		return ExitOK
	}
	var described []settings.Description
	if command != nil {
		described = command.settings.Describe()
	}
	if err := writeHelp(std.out, selected, described); err != nil {
		return reportError(std, err, ExitFailure)
	}
	return ExitOK
}

// writeHelp writes the help of the selected subcommand. described are the settings of it; nil for the root and for groups.
func writeHelp(w io.Writer, selected *selection, described []settings.Description) error {
	var text strings.Builder
	last := selected.last()
	fmt.Fprintf(&text, "Usage: %s%s\n\n%s\n", selected.name(), usageOf(last), last.Description)
	writeSubcommands(&text, last)
	writePositionals(&text, last)
	writeFlags(&text, described)
	if len(selected.path) == 1 {
		text.WriteString("\nFlags:\n  --help     show this help, or that of a subcommand\n  --version  show the version\n")
		text.WriteString("\nEach flag of a subcommand can be set by an environment variable too; the flag wins.\n")
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func usageOf(sub *flaggy.Subcommand) string {
	if len(sub.Subcommands) > 0 {
		return " SUBCOMMAND [--flag VALUE ...]"
	}
	usage := ""
	if len(sub.Flags) > 0 {
		usage = " [--flag VALUE ...]"
	}
	for _, positional := range sub.PositionalFlags {
		usage += " " + strings.ToUpper(positional.Name)
	}
	return usage
}

func writeSubcommands(w io.Writer, sub *flaggy.Subcommand) {
	if len(sub.Subcommands) == 0 {
		return
	}
	fmt.Fprint(w, "\nSubcommands:\n")
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range sub.Subcommands {
		if !s.Hidden {
			fmt.Fprintf(table, "  %s\t%s\n", s.Name, s.Description)
		}
	}
	if sub.Name == programName {
		fmt.Fprintf(table, "  %s\tprint the completion script for a shell: %s\n", completionName, strings.Join(completionShells, ", "))
	}
	// Writing to a strings.Builder cannot fail.
	_ = table.Flush()
}

func writePositionals(w io.Writer, sub *flaggy.Subcommand) {
	if len(sub.PositionalFlags) == 0 {
		return
	}
	fmt.Fprint(w, "\nArguments:\n")
	for _, p := range sub.PositionalFlags {
		fmt.Fprintf(w, "  %s\n      %s\n", strings.ToUpper(p.Name), p.Description)
	}
}

func writeFlags(w io.Writer, described []settings.Description) {
	if len(described) == 0 {
		return
	}
	fmt.Fprint(w, "\nFlags:\n")
	for _, d := range described {
		fallback := d.Default
		if fallback == "" {
			fallback = "none"
		}
		fmt.Fprintf(w, "  --%s VALUE\n      %s\n      %s; default: %s; environment: %s\n",
			d.Name, d.Usage, d.Allowed, fallback, d.Environment)
	}
}
