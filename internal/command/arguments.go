package command

import (
	"slices"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// errUsage is returned for a command line that is not understood.
var errUsage = eris.New("invalid command line")

// selection is what a command line selects.
type selection struct {
	// path holds the root and the subcommands on the way to the selected one.
	path          []*flaggy.Subcommand
	help, version bool
}

func (s *selection) last() *flaggy.Subcommand { return s.path[len(s.path)-1] }

// name returns the names on the path, such as "coltsfootspur stand-in upstream".
func (s *selection) name() string {
	names := make([]string, len(s.path))
	for i, sub := range s.path {
		names[i] = sub.Name
	}
	return strings.Join(names, " ")
}

// argumentChecker checks a command line before the library parses it. The library passes over unknown flags and stray
// arguments, or shows its help and calls os.Exit; after this check it meets none of them.
type argumentChecker struct {
	selection
	args        []string
	given       map[string]bool
	positionals int
}

// checkArguments returns what the arguments select. It returns errUsage with a message for people.
func checkArguments(root *flaggy.Subcommand, args []string) (*selection, error) {
	c := &argumentChecker{args: args, given: make(map[string]bool)}
	c.path = []*flaggy.Subcommand{root}
	for len(c.args) > 0 {
		arg := c.args[0]
		c.args = c.args[1:]
		if err := c.argument(arg); err != nil {
			return &c.selection, err
		}
	}
	if err := c.missing(); err != nil && !c.help && !c.version {
		return &c.selection, err
	}
	return &c.selection, nil
}

func (c *argumentChecker) argument(arg string) error {
	switch {
	case arg == "--help" || arg == "-h":
		c.help = true
		return nil
	case arg == "--version":
		c.version = true
		return nil
	case strings.HasPrefix(arg, "-"):
		return c.flag(arg)
	default:
		return c.word(arg)
	}
}

// flag checks a flag and passes over its value.
func (c *argumentChecker) flag(arg string) error {
	name, _, joined := strings.Cut(arg, "=")
	flag := c.find(name)
	if flag == nil {
		return c.unknownFlag(name)
	}
	if c.given[flag.LongName] {
		return eris.Wrapf(errUsage, "flag %s is given twice", name)
	}
	c.given[flag.LongName] = true
	if _, isSwitch := flag.AssignmentVar.(*bool); isSwitch || joined {
		return nil
	}
	if len(c.args) == 0 || strings.HasPrefix(c.args[0], "--") {
		return eris.Wrapf(errUsage, "flag %s needs a value; a value that begins with -- is given as %s=VALUE", name, name)
	}
	c.args = c.args[1:]
	return nil
}

func (c *argumentChecker) find(name string) *flaggy.Flag {
	for _, flag := range c.last().Flags {
		if (flag.LongName != "" && name == "--"+flag.LongName) || (flag.ShortName != "" && name == "-"+flag.ShortName) {
			return flag
		}
	}
	return nil
}

func (c *argumentChecker) unknownFlag(name string) error {
	if len(c.last().Subcommands) > 0 {
		return eris.Wrapf(errUsage, "unknown flag %s; flags follow the subcommand", name)
	}
	if c.find("-"+name) != nil {
		return eris.Wrapf(errUsage, "unknown flag %s; did you mean -%s?", name, name)
	}
	return eris.Wrapf(errUsage, "unknown flag %s", name)
}

// word checks an argument that is not a flag: a subcommand or a positional value.
func (c *argumentChecker) word(arg string) error {
	last := c.last()
	for _, sub := range last.Subcommands {
		if arg == sub.Name {
			c.path = append(c.path, sub)
			return nil
		}
	}
	if len(last.Subcommands) > 0 {
		return eris.Wrapf(errUsage, "unknown subcommand %q; allowed: %s", arg, strings.Join(subcommandNames(last), ", "))
	}
	if arg == "" || c.positionals >= len(last.PositionalFlags) {
		return eris.Wrapf(errUsage, "unexpected argument %q", arg)
	}
	c.positionals++
	return nil
}

// missing finds a missing subcommand or positional value.
func (c *argumentChecker) missing() error {
	last := c.last()
	if len(last.Subcommands) > 0 {
		return eris.Wrapf(errUsage, "a subcommand is missing; allowed: %s", strings.Join(subcommandNames(last), ", "))
	}
	for _, positional := range last.PositionalFlags {
		if positional.Required && positional.Position > c.positionals {
			return eris.Wrapf(errUsage, "argument %s is missing", positional.Name)
		}
	}
	return nil
}

func subcommandNames(sub *flaggy.Subcommand) []string {
	var names []string
	for _, s := range sub.Subcommands {
		if !s.Hidden {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return names
}
