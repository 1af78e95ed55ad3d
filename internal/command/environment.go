package command

import (
	"fmt"
	"io"
	"strings"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
	"github.com/coltsfootspur/coltsfootspur/platform"
)

// reportUnknownVariables reports the environment variables that have the prefix of the program's settings but belong to no
// setting of any subcommand. A typo would otherwise go unnoticed: a variable that the current subcommand does not have is
// no error, because one environment can hold the settings of several subcommands.
func reportUnknownVariables(w io.Writer, environment []string, commands []*subcommand) {
	known := map[string]bool{platform.SettingsPathVariable: true}
	for _, c := range commands {
		for _, d := range c.settings.Describe() {
			known[d.Environment] = true
		}
	}
	for _, variable := range environment {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, settings.EnvPrefix) && !known[name] {
			fmt.Fprintf(w, "%s: environment variable %s is ignored: there is no such setting\n", programName, name)
		}
	}
}
