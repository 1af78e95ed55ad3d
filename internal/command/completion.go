package command

import (
	"fmt"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// completionName is the subcommand that prints a completion script.
const completionName = "completion"

var completionShells = []string{"bash", "zsh", "fish", "powershell", "nushell"}

// completion prints the completion script for a shell.
func completion(parser *flaggy.Parser, args []string, std streams) int {
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
