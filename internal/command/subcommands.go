package command

// subcommands returns every subcommand of the program.
func subcommands() ([]*subcommand, []*group) {
	return []*subcommand{agentCommand()}, []*group{
		newGroup("stand-in", "stand-ins for the systems around coltsfootspur", standinUpstreamCommand()),
	}
}
