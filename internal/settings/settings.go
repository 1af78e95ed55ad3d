// Package settings reads the settings of a process from flags and environment variables and validates them.
package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// EnvPrefix is the prefix of the name of each environment variable.
const EnvPrefix = "COLTSFOOTSPUR_"

// ErrInvalid is returned for a setting whose value is not allowed.
var ErrInvalid = eris.New("invalid setting")

// InvalidError wraps ErrInvalid with all problems that were found.
type InvalidError struct {
	// Problems are readable messages, one for each invalid setting or violated rule.
	Problems []string
}

// Error implements error.
func (e *InvalidError) Error() string { return strings.Join(e.Problems, "\n") }

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// Set holds the settings of one subcommand. A flag takes precedence over an environment variable, and an environment
// variable over the default.
type Set struct {
	sub      *flaggy.Subcommand
	settings []*setting
	rules    []Rule
	warnings []string
}

type setting struct {
	name, defaultValue, flagValue string
	usage, allowed                string
	// source describes where the value came from. It is set by Resolve.
	source   string
	isSwitch bool
	assign   func(value string) error
}

// flagNotSet is the value of a flag that was not given. No argument of a process can contain this byte, so an empty value
// can be distinguished from a missing flag.
const flagNotSet = "\x00"

// Description describes a setting for help texts.
type Description struct {
	Name, Usage string
	// Allowed describes the allowed values with their unit.
	Allowed     string
	Environment string
	Default     string
}

// NewSet returns an empty set whose flags belong to the subcommand.
func NewSet(sub *flaggy.Subcommand) *Set { return &Set{sub: sub} }

// EnvName returns the name of the environment variable of a setting.
func EnvName(name string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Custom adds a setting whose value is parsed and stored by assign. An error of assign means that the value is invalid;
// allowed describes the values that assign accepts.
func (s *Set) Custom(name, defaultValue, usage, allowed string, assign func(value string) error) {
	e := &setting{name: name, defaultValue: defaultValue, flagValue: flagNotSet, usage: usage, allowed: allowed, assign: assign}
	s.settings = append(s.settings, e)
	description := fmt.Sprintf("%s (%s; environment %s", usage, allowed, EnvName(name))
	if defaultValue != "" {
		description += "; default " + defaultValue
	}
	s.sub.String(&e.flagValue, "", name, description+")")
}

// String adds a setting that accepts any text. A required setting must not be empty.
func (s *Set) String(target *string, name, defaultValue, usage string, required bool) {
	allowed := "text"
	if required {
		allowed = "non-empty text"
	}
	s.Custom(name, defaultValue, usage, allowed, func(value string) error {
		if required && value == "" {
			return eris.New("is not set")
		}
		*target = value
		return nil
	})
}

// Int adds a whole number between low and high.
func (s *Set) Int(target *int, name string, defaultValue, low, high int, usage string) {
	allowed := fmt.Sprintf("whole number from %d to %d", low, high)
	s.Custom(name, strconv.Itoa(defaultValue), usage, allowed, func(value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n < low || n > high {
			return eris.New("is out of range")
		}
		*target = n
		return nil
	})
}

// maxFactor is the largest allowed value of a factor.
const maxFactor = 1000

// Factor adds a positive multiplier of at most 1000. Its default is 1.
func (s *Set) Factor(target *float64, name, usage string) {
	allowed := fmt.Sprintf("number above 0, at most %d", maxFactor)
	s.Custom(name, "1", usage, allowed, func(value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n > 0 && n <= maxFactor) {
			return eris.New("is out of range")
		}
		*target = n
		return nil
	})
}

// Duration adds a duration between low and high.
func (s *Set) Duration(target *time.Duration, name string, defaultValue, low, high time.Duration, usage string) {
	allowed := fmt.Sprintf("duration from %s to %s", low, high)
	s.Custom(name, defaultValue.String(), usage, allowed, func(value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d < low || d > high {
			return eris.New("is out of range")
		}
		*target = d
		return nil
	})
}

// Choice adds a setting that accepts one of the given values.
func (s *Set) Choice(target *string, name, defaultValue, usage string, choices ...string) {
	s.Custom(name, defaultValue, usage, "one of "+strings.Join(choices, ", "), func(value string) error {
		for _, choice := range choices {
			if value == choice {
				*target = value
				return nil
			}
		}
		return eris.New("is not one of the choices")
	})
}

// Bool adds a switch. Its flag means true when it has no value; it can also have a value, as in --json=true or --json true.
func (s *Set) Bool(target *bool, name string, defaultValue bool, usage string) {
	s.Custom(name, strconv.FormatBool(defaultValue), usage, "true or false", func(value string) error {
		b, err := strconv.ParseBool(value)
		if err != nil {
			return eris.New("is not true or false")
		}
		*target = b
		return nil
	})
	s.settings[len(s.settings)-1].isSwitch = true
}

// Has reports whether the set has a setting of this name, and whether that setting is a switch.
func (s *Set) Has(name string) (found, isSwitch bool) {
	for _, e := range s.settings {
		if e.name == name {
			return true, e.isSwitch
		}
	}
	return false, false
}

// Describe returns every setting in the order of its registration.
func (s *Set) Describe() []Description {
	list := make([]Description, len(s.settings))
	for i, e := range s.settings {
		list[i] = Description{
			Name: e.name, Usage: e.usage, Allowed: e.allowed, Environment: EnvName(e.name), Default: e.defaultValue,
		}
	}
	return list
}

// Resolve assigns every setting and checks the rules. It returns an InvalidError with one message for each invalid setting
// or, if there is none, for each violated rule. A message names the setting, its source and the allowed values. lookup reads
// an environment variable, as os.LookupEnv does.
func (s *Set) Resolve(lookup func(string) (string, bool)) error {
	var problems []string
	for _, e := range s.settings {
		if problem := e.resolve(lookup); problem != "" {
			problems = append(problems, problem)
		}
	}
	if len(problems) == 0 {
		problems = s.checkRules()
	}
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}

// resolve assigns the value. It returns a message when the value is invalid, or an empty string.
func (e *setting) resolve(lookup func(string) (string, bool)) string {
	value := e.defaultValue
	e.source = "default"
	if fromEnv, ok := lookup(EnvName(e.name)); ok {
		value, e.source = fromEnv, "environment variable "+EnvName(e.name)
	}
	if e.flagValue != flagNotSet {
		value, e.source = e.flagValue, "flag --"+e.name
	}
	if err := e.assign(value); err != nil {
		return fmt.Sprintf("%s (from %s): %q %v; allowed: %s", e.name, e.source, value, err, e.allowed)
	}
	return ""
}

// ResolveOnly assigns only the named settings and checks no rules. It is for a mode in which the other settings come from
// another source. It returns an InvalidError like Resolve.
func (s *Set) ResolveOnly(lookup func(string) (string, bool), names ...string) error {
	var problems []string
	for _, e := range s.settings {
		if !slices.Contains(names, e.name) {
			continue
		}
		if problem := e.resolve(lookup); problem != "" {
			problems = append(problems, problem)
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}
