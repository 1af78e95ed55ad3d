package command

import (
	"slices"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// errUsage means that the command line is invalid.
var errUsage = eris.New("invalid command line")

// selection is the subcommand that a command line selects, and whether it requests the help or the version.
type selection struct {
	// path holds the root and the subcommands on the way to the selected one.
	path                            []*flaggy.Subcommand
	helpRequested, versionRequested bool
}

// last returns the selected subcommand, or the root if none is selected.
func (s *selection) last() *flaggy.Subcommand { return s.path[len(s.path)-1] }

// commandPath returns the names on the path separated by spaces, such as "coltsfootspur stand-in upstream".
func (s *selection) commandPath() string {
	names := make([]string, len(s.path))
	for i, sub := range s.path {
		names[i] = sub.Name
	}
	return strings.Join(names, " ")
}

// argumentChecker checks a command line before flaggy parses it. For unknown flags and surplus arguments flaggy either
// ignores them or prints its own help and calls os.Exit; a command line that passes this check contains none of them.
type argumentChecker struct {
	selection
	remaining       []string
	givenFlags      map[string]bool
	positionalCount int
}

// checkArguments returns the selection of the arguments. For an invalid command line it returns errUsage with a message for
// the terminal, and the selection up to the invalid argument.
func checkArguments(root *flaggy.Subcommand, args []string) (*selection, error) {
	c := &argumentChecker{remaining: args, givenFlags: make(map[string]bool)}
	c.path = []*flaggy.Subcommand{root}
	for len(c.remaining) > 0 {
		arg := c.remaining[0]
		c.remaining = c.remaining[1:]
		if err := c.checkArgument(arg); err != nil {
			return &c.selection, err
		}
	}
	if err := c.checkRequired(); err != nil && !c.helpRequested && !c.versionRequested {
		return &c.selection, err
	}
	return &c.selection, nil
}

func (c *argumentChecker) checkArgument(arg string) error {
	switch {
	case arg == "--help" || arg == "-h":
		c.helpRequested = true
		return nil
	case arg == "--version":
		c.versionRequested = true
		return nil
	case strings.HasPrefix(arg, "-"):
		return c.checkFlag(arg)
	default:
		return c.checkNonFlag(arg)
	}
}

// checkFlag checks a flag and skips its value.
func (c *argumentChecker) checkFlag(arg string) error {
	name, _, hasInlineValue := strings.Cut(arg, "=")
	flag := c.findFlag(name)
	if flag == nil {
		return c.unknownFlagError(name)
	}
	if c.givenFlags[flag.LongName] {
		return eris.Wrapf(errUsage, "flag %s is given twice", name)
	}
	c.givenFlags[flag.LongName] = true
	if _, isBool := flag.AssignmentVar.(*bool); isBool || hasInlineValue {
		return nil
	}
	if len(c.remaining) == 0 || strings.HasPrefix(c.remaining[0], "--") {
		return eris.Wrapf(errUsage, "flag %s needs a value; a value that begins with -- is given as %s=VALUE", name, name)
	}
	c.remaining = c.remaining[1:]
	return nil
}

func (c *argumentChecker) findFlag(name string) *flaggy.Flag {
	for _, flag := range c.last().Flags {
		if (flag.LongName != "" && name == "--"+flag.LongName) || (flag.ShortName != "" && name == "-"+flag.ShortName) {
			return flag
		}
	}
	return nil
}

func (c *argumentChecker) unknownFlagError(name string) error {
	if len(c.last().Subcommands) > 0 {
		return eris.Wrapf(errUsage, "unknown flag %s; flags follow the subcommand", name)
	}
	if c.findFlag("-"+name) != nil {
		return eris.Wrapf(errUsage, "unknown flag %s; did you mean -%s?", name, name)
	}
	return eris.Wrapf(errUsage, "unknown flag %s", name)
}

// checkNonFlag checks an argument that is not a flag: a subcommand or a positional value.
func (c *argumentChecker) checkNonFlag(arg string) error {
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
	if arg == "" || c.positionalCount >= len(last.PositionalFlags) {
		return eris.Wrapf(errUsage, "unexpected argument %q", arg)
	}
	c.positionalCount++
	return nil
}

// checkRequired returns errUsage if a subcommand or a required positional value is missing.
func (c *argumentChecker) checkRequired() error {
	last := c.last()
	if len(last.Subcommands) > 0 {
		return eris.Wrapf(errUsage, "a subcommand is missing; allowed: %s", strings.Join(subcommandNames(last), ", "))
	}
	for _, positional := range last.PositionalFlags {
		if positional.Required && positional.Position > c.positionalCount {
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
