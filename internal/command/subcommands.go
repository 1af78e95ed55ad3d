package command

// subcommands returns every subcommand of the program.
func subcommands() ([]*subcommand, []*group) {
	commands := []*subcommand{
		entryCommand(),
		agentCommand(),
		devCommand(),
		loadCommand(),
		statusCommand(),
		dumpCommand(),
		agentGoneCommand(),
		policyCompareCommand(),
	}
	groups := []*group{
		newServiceGroup(),
		newCertificateGroup(),
		newGroup("stand-in", "stand-ins for outside systems, for tests and trials",
			standinPlatformCommand(),
			standinUpstreamCommand(),
		),
	}
	return commands, groups
}
