package command

// subcommands returns every subcommand of the program.
func subcommands() ([]*subcommand, []*group) {
	commands := []*subcommand{
		newEntryCommand(),
		newAgentCommand(),
		newDevCommand(),
		newLoadCommand(),
		newStatusCommand(),
		newDumpCommand(),
		newAgentGoneCommand(),
		newPolicyCompareCommand(),
	}
	groups := []*group{
		newServiceGroup(),
		newCertificateGroup(),
		newConfigGroup(),
		newGroup("stand-in", "run stand-ins for external systems, for tests and experiments",
			newStandInPlatform(),
			newStandInUpstream(),
		),
	}
	return commands, groups
}
