package command

// subcommands returns every subcommand of the program.
func subcommands() ([]*subcommand, []*group) {
	commands := []*subcommand{
		loadCommand(),
		statusCommand(),
		dumpCommand(),
	}
	groups := []*group{}
	return commands, groups
}
