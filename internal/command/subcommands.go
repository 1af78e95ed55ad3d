package command

// subcommands returns every subcommand of the program.
func subcommands() ([]*subcommand, []*group) {
	commands := []*subcommand{
		agentCommand(),
	}
	groups := []*group{
		newStandInGroup(),
	}
	return commands, groups
}
