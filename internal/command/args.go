package command

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// errArguments is returned for arguments that no setting of the subcommand accepts.
var errArguments = eris.New("invalid arguments")

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

// checkArguments refuses flags and arguments that the flag parser passes over. A misspelt flag must not be ignored,
// because it may be the one that keeps an edit from overwriting another.
func checkArguments(args []string, set *settings.Set, trailing []string) error {
	if len(trailing) > 0 {
		return eris.Wrapf(errArguments, "unexpected %q", trailing[0])
	}
	for i := 0; i < len(args); i++ {
		if !strings.HasPrefix(args[i], "-") {
			continue
		}
		name, _, assigned := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		if found, _ := set.Has(name); !found {
			return eris.Wrapf(errArguments, "unknown flag %s", args[i])
		}
		if !assigned {
			i++ // the next argument is the value
		}
	}
	return nil
}
