package command

// standInMembers are the constructors of the members of the group stand-in. Each file standin_*.go adds its own.
var standInMembers []func() *subcommand

// newStandInGroup returns the group of stand-ins for outside systems, for tests and trials.
func newStandInGroup() *group {
	var members []*subcommand
	for _, construct := range standInMembers {
		members = append(members, construct())
	}
	return newGroup("stand-in", "stand-ins for outside systems, for tests and trials", members...)
}
