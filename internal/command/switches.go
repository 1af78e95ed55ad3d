package command

import "strings"

// endOfFlags ends the flags of a command line.
const endOfFlags = "--"

// expandSwitches gives each switch that stands alone the value true, because the flag parser knows only flags with
// values. A name that is a switch in one subcommand is one in all of them.
func expandSwitches(args []string, commands []*subcommand) []string {
	expanded := make([]string, 0, len(args))
	for i, arg := range args {
		if arg == endOfFlags {
			return append(expanded, args[i:]...)
		}
		if isSwitch(arg, commands) && !hasValue(args[i+1:]) {
			arg += "=true"
		}
		expanded = append(expanded, arg)
	}
	return expanded
}

func isSwitch(arg string, commands []*subcommand) bool {
	name, ok := strings.CutPrefix(arg, "--")
	if !ok {
		return false
	}
	for _, c := range commands {
		if _, toggle := c.settings.Has(name); toggle {
			return true
		}
	}
	return false
}

func hasValue(rest []string) bool { return len(rest) > 0 && (rest[0] == "true" || rest[0] == "false") }
