package command

import (
	"fmt"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// completionSubcommand is the name of the subcommand that prints a completion script.
const completionSubcommand = "completion"

var completionShells = []string{"bash", "zsh", "fish", "powershell", "nushell"}

// printCompletion prints the completion script for the shell that args name.
func printCompletion(parser *flaggy.Parser, args []string, std streams) int {
	shell := strings.Join(args, " ")
	script := ""
	switch shell {
	case "bash":
		script = flaggy.GenerateBashCompletion(parser)
	case "zsh":
		script = flaggy.GenerateZshCompletion(parser)
	case "fish":
		script = flaggy.GenerateFishCompletion(parser)
	case "powershell":
		script = flaggy.GeneratePowerShellCompletion(parser)
	case "nushell":
		script = flaggy.GenerateNushellCompletion(parser)
	default:
		err := eris.Wrapf(errUsage, "unknown shell %q; allowed: %s", shell, strings.Join(completionShells, ", "))
		return reportError(std, err, ExitUsage)
	}
	fmt.Fprint(std.out, script)
	return ExitOK
}
