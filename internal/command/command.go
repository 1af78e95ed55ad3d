// Package command is the command line of coltsfootspur: one file for each subcommand.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/logging"
	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// Version is the version of the program.
const Version = "0.1.0"

// Exit codes shared by all subcommands. Subcommands define others for results of their own.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// streams are the standard streams of the process, replaced in tests.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// subcommand is one subcommand. Its constructor registers the flags with a parser.
type subcommand struct {
	flags    *flaggy.Subcommand
	settings *settings.Set
	// run does the work after the settings were resolved and returns the exit code.
	run func(ctx context.Context, std streams) int
}

func newSubcommand(name, description string) *subcommand {
	flags := flaggy.NewSubcommand(name)
	flags.Description = description
	return &subcommand{flags: flags, settings: settings.NewSet(flags)}
}

// group is a subcommand that only holds others.
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

// logSettings are the settings of the log, which every long-running subcommand has.
type logSettings struct{ level, format string }

func (l *logSettings) register(set *settings.Set) {
	set.Choice(&l.level, "log-level", "info", "least severe level that is logged", "debug", "info", "warn", "error")
	set.Choice(&l.format, "log-format", logging.FormatLogfmt, "format of the log",
		logging.FormatText, logging.FormatLogfmt, logging.FormatJSON)
}

func (l *logSettings) logger(w io.Writer) *log.Logger { return logging.New(w, l.level, l.format) }

// Main runs the program and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	return run(ctx, args, streams{in: os.Stdin, out: os.Stdout, err: os.Stderr}, os.LookupEnv)
}

func run(ctx context.Context, args []string, std streams, lookup func(string) (string, bool)) int {
	parser := flaggy.NewParser("coltsfootspur")
	parser.Description = "dispatcher for tasks of less than a second"
	parser.Version = Version
	parser.ShowHelpOnUnexpected = false
	commands, groups := subcommands()
	for _, c := range commands {
		parser.AttachSubcommand(c.flags, 1)
	}
	for _, g := range groups {
		parser.AttachSubcommand(g.flags, 1)
		commands = append(commands, g.members...)
	}
	args = expandSwitches(args, commands)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintf(std.err, "coltsfootspur: %v\n", err)
		return ExitUsage
	}
	for _, c := range commands {
		if c.flags.Used {
			if err := checkArguments(args, c.settings, parser.TrailingArguments); err != nil {
				fmt.Fprintf(std.err, "coltsfootspur: %s\n", eris.ToString(err, false))
				return ExitUsage
			}
			return c.execute(ctx, std, lookup)
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

func (c *subcommand) execute(ctx context.Context, std streams, lookup func(string) (string, bool)) int {
	if err := c.settings.Resolve(lookup); err != nil {
		fmt.Fprintf(std.err, "coltsfootspur: %s\n", eris.ToString(err, false))
		return ExitUsage
	}
	return c.run(ctx, std)
}
