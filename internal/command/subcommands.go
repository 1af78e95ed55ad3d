package command

// subcommands returns every subcommand of the program.
func subcommands() ([]*subcommand, []*group) {
	return []*subcommand{}, []*group{
		newServiceGroup(),
		newStandInGroup(),
	}
}
