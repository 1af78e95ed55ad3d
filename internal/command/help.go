package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// printHelpOrVersion prints the help or the version and returns the exit code. command is nil for the root and for groups.
func printHelpOrVersion(std streams, selected *selection, command *subcommand) int {
	if !selected.helpRequested {
		fmt.Fprintln(std.out, versionText())
		return ExitOK
	}
	var descriptions []settings.Description
	if command != nil {
		descriptions = command.settings.Describe()
	}
	if err := writeHelp(std.out, selected, descriptions); err != nil {
		return reportError(std, err, ExitFailure)
	}
	return ExitOK
}

// writeHelp writes the help of the selected subcommand. descriptions are those of its settings; nil for the root and for
// groups.
func writeHelp(w io.Writer, selected *selection, descriptions []settings.Description) error {
	var text strings.Builder
	last := selected.last()
	fmt.Fprintf(&text, "Usage: %s%s\n\n%s\n", selected.commandPath(), usageSuffix(last), last.Description)
	writeSubcommands(&text, last)
	writePositionals(&text, last)
	writeFlags(&text, descriptions)
	if len(selected.path) == 1 {
		text.WriteString("\nFlags:\n  --help     show this help, or that of a subcommand\n  --version  show the version\n")
		text.WriteString("\nEach flag of a subcommand can also be set by an environment variable; the flag takes precedence.\n")
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// usageSuffix returns the part of the usage line after the command path.
func usageSuffix(sub *flaggy.Subcommand) string {
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
		fmt.Fprintf(table, "  %s\tprint the completion script for a shell: %s\n",
			completionSubcommand, strings.Join(completionShells, ", "))
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

func writeFlags(w io.Writer, descriptions []settings.Description) {
	if len(descriptions) == 0 {
		return
	}
	fmt.Fprint(w, "\nFlags:\n")
	for _, d := range descriptions {
		defaultText := d.Default
		if defaultText == "" {
			defaultText = "none"
		}
		fmt.Fprintf(w, "  --%s VALUE\n      %s\n      %s; default: %s; environment: %s\n",
			d.Name, d.Usage, d.Allowed, defaultText, d.Environment)
	}
}
