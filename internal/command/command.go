// Package command implements the command line of coltsfootspur. Most subcommands have a file of their own.
package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// programName is the name of the root command and the prefix of messages on the standard error.
const programName = "coltsfootspur"

// Exit codes shared by all subcommands. Some subcommands define further ones. docs/operators.md lists all.
const (
	// ExitOK: the subcommand succeeded, or was stopped as planned.
	ExitOK = 0
	// ExitFailure: the subcommand failed, or a load run violated a guarantee.
	ExitFailure = 1
	// ExitUsage: the command line or a setting is invalid; nothing was attempted.
	ExitUsage = 2
)

// streams holds the standard streams of the process, which tests replace.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// subcommand is one subcommand of the program. Its constructor registers its flags.
type subcommand struct {
	flags    *flaggy.Subcommand
	settings *settings.Set
	// run executes the subcommand after its settings are resolved and returns the exit code.
	run func(ctx context.Context, std streams) int
	// platformMode is set for the roles that can run on the users' platform (see package platform).
	platformMode *platformMode
}

func newSubcommand(name, description string) *subcommand {
	flags := flaggy.NewSubcommand(name)
	flags.Description = description
	return &subcommand{flags: flags, settings: settings.NewSet(flags)}
}

// group is a subcommand that only contains other subcommands.
type group struct {
	flags   *flaggy.Subcommand
	members []*subcommand
}

func newGroup(name, description string, members ...*subcommand) *group {
	g := &group{flags: flaggy.NewSubcommand(name), members: members}
	g.flags.Description = description
	for _, m := range members {
		g.flags.AttachSubcommand(m.flags, 1)
	}
	return g
}

// Main runs the program with the arguments that follow its name and returns the exit code.
func Main(args []string) int {
	ctx, stop := signalContext(context.Background())
	defer stop()
	commands, groups := subcommands()
	std := streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}
	reportUnknownVariables(std.err, os.Environ(), flattenGroups(commands, groups))
	return run(ctx, args, std, os.LookupEnv, commands, groups)
}

// signalContext returns a context that ends with the first SIGINT or SIGTERM. A second one ends the process at once.
func signalContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(parent, syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // restores the default action of the signals
	return ctx, stop
}

func run(ctx context.Context, args []string, std streams, lookupEnv func(string) (string, bool),
	commands []*subcommand, groups []*group,
) int {
	parser, commands := newParser(commands, groups)
	args = expandBoolFlags(args, commands)
	if len(args) > 0 && args[0] == completionSubcommand {
		return printCompletion(parser, args[1:], std)
	}
	selected, err := checkArguments(&parser.Subcommand, args)
	if err != nil {
		return reportUsageError(std, selected, err)
	}
	command := findCommand(commands, selected)
	if selected.helpRequested || selected.versionRequested {
		return printHelpOrVersion(std, selected, command)
	}
	if err := parser.ParseArgs(args); err != nil {
		return reportUsageError(std, selected, eris.Wrap(errUsage, err.Error()))
	}
	return command.execute(ctx, std, lookupEnv)
}

func (c *subcommand) execute(ctx context.Context, std streams, lookupEnv func(string) (string, bool)) int {
	if c.platformMode != nil {
		usePlatform, err := c.platformMode.resolveEnabled(lookupEnv)
		if err != nil {
			return reportSettingsError(std, err)
		}
		if usePlatform {
			return c.platformMode.serve(ctx, std)
		}
	}
	if err := c.settings.Resolve(lookupEnv); err != nil {
		return reportSettingsError(std, err)
	}
	return c.run(ctx, std)
}
