package command

import (
	"slices"

	"github.com/integrii/flaggy"
)

// newParser returns a parser that never ends the process itself, and all subcommands including those of groups.
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
	return parser, withMembers(commands, groups)
}

// withMembers returns the subcommands together with those of the groups.
func withMembers(commands []*subcommand, groups []*group) []*subcommand {
	all := slices.Clone(commands)
	for _, g := range groups {
		all = append(all, g.members...)
	}
	return all
}

func commandOf(commands []*subcommand, selected *selection) *subcommand {
	for _, c := range commands {
		if c.flags == selected.last() {
			return c
		}
	}
	return nil
}
