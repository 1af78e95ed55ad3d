package command

import (
	"slices"

	"github.com/integrii/flaggy"
)

// newParser returns a parser and all subcommands including those of groups. The parser leaves the help, the version and
// unexpected arguments to this package, so that it never ends the process.
func newParser(commands []*subcommand, groups []*group) (*flaggy.Parser, []*subcommand) {
	parser := flaggy.NewParser(programName)
	parser.Description = "dispatcher for tasks of less than a second"
	parser.Version = Version
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	for _, c := range commands {
		parser.AttachSubcommand(c.flags, 1)
	}
	for _, g := range groups {
		parser.AttachSubcommand(g.flags, 1)
	}
	return parser, flattenGroups(commands, groups)
}

// flattenGroups returns the subcommands together with those of the groups.
func flattenGroups(commands []*subcommand, groups []*group) []*subcommand {
	all := slices.Clone(commands)
	for _, g := range groups {
		all = append(all, g.members...)
	}
	return all
}

// findCommand returns the selected subcommand, or nil if the root or a group is selected.
func findCommand(commands []*subcommand, selected *selection) *subcommand {
	for _, c := range commands {
		if c.flags == selected.last() {
			return c
		}
	}
	return nil
}
