package command

import "strings"

// endOfFlags is the argument that ends the flags of a command line.
const endOfFlags = "--"

// expandBoolFlags appends =true to each boolean flag without a value, because the flag parser supports only flags with
// values. A name that is a boolean flag in one subcommand is one in all of them.
func expandBoolFlags(args []string, commands []*subcommand) []string {
	expanded := make([]string, 0, len(args))
	for i, arg := range args {
		if arg == endOfFlags {
			return append(expanded, args[i:]...)
		}
		if isBoolFlag(arg, commands) && !hasValue(args[i+1:]) {
			arg += "=true"
		}
		expanded = append(expanded, arg)
	}
	return expanded
}

func isBoolFlag(arg string, commands []*subcommand) bool {
	name, ok := strings.CutPrefix(arg, "--")
	if !ok {
		return false
	}
	for _, c := range commands {
		if _, isBool := c.settings.Has(name); isBool {
			return true
		}
	}
	return false
}

// hasValue reports whether the arguments after a boolean flag begin with its value.
func hasValue(rest []string) bool { return len(rest) > 0 && (rest[0] == "true" || rest[0] == "false") }
