package settings_test

import (
	"errors"
	"testing"
	"time"

	"github.com/integrii/flaggy"
	"github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// values has one setting of each type.
type values struct {
	text, choice string
	list         []string
	number       int
	duration     time.Duration
	enabled      bool
}

func resolve(v *values, args []string, env map[string]string) error {
	parser := flaggy.NewParser("test")
	parser.ShowHelpOnUnexpected = false
	sub := flaggy.NewSubcommand("run")
	set := settings.NewSet(sub)
	set.String(&v.text, "text", "from default", "a text", true)
	set.Choice(&v.choice, "choice", "a", "a choice", "a", "b")
	set.List(&v.list, "list", "", "a list")
	set.Int(&v.number, "number", 5, 1, 9, "a number")
	set.Duration(&v.duration, "long-wait", time.Second, time.Millisecond, time.Minute, "a duration")
	set.Bool(&v.enabled, "enabled", true, "a switch")
	parser.AttachSubcommand(sub, 1)
	if err := parser.ParseArgs(append([]string{"run"}, args...)); err != nil {
		return err
	}
	return set.Resolve(func(name string) (string, bool) { value, ok := env[name]; return value, ok })
}

// Guards against a setting that is taken from the wrong source.
func TestFlagOverridesEnvironmentAndEnvironmentOverridesDefault(t *testing.T) {
	g := gomega.NewWithT(t)
	var v values
	g.Expect(resolve(&v, nil, nil)).To(gomega.Succeed())
	g.Expect(v).To(gomega.Equal(values{"from default", "a", nil, 5, time.Second, true}))
	env := map[string]string{
		"COLTSFOOTSPUR_TEXT": "from env", "COLTSFOOTSPUR_NUMBER": "7", "COLTSFOOTSPUR_LONG_WAIT": "2s",
		"COLTSFOOTSPUR_LIST": " a, ,b ", "COLTSFOOTSPUR_ENABLED": "false", "COLTSFOOTSPUR_CHOICE": "b",
	}
	g.Expect(resolve(&v, nil, env)).To(gomega.Succeed())
	g.Expect(v).To(gomega.Equal(values{"from env", "b", []string{"a", "b"}, 7, 2 * time.Second, false}))
	args := []string{"--text", "from flag", "--number=8", "--long-wait", "3s", "--list", "c", "--enabled=true", "--choice=a"}
	g.Expect(resolve(&v, args, env)).To(gomega.Succeed())
	g.Expect(v).To(gomega.Equal(values{"from flag", "a", []string{"c"}, 8, 3 * time.Second, true}))
}

// Guards against an empty flag that is treated as missing, so that it cannot override the environment variable.
func TestEmptyFlagOverridesEnvironment(t *testing.T) {
	g := gomega.NewWithT(t)
	var v values
	env := map[string]string{"COLTSFOOTSPUR_LIST": "a", "COLTSFOOTSPUR_TEXT": "x"}
	g.Expect(resolve(&v, []string{"--list="}, env)).To(gomega.Succeed())
	g.Expect(v.list).To(gomega.BeEmpty())
	g.Expect(errors.Is(resolve(&v, []string{"--text", ""}, env), settings.ErrInvalid)).To(gomega.BeTrue())
}

// Guards against accepting a value that is not allowed, and against a message without the source of the value.
func TestInvalidValuesNameTheSettingItsSourceAndWhatIsAllowed(t *testing.T) {
	cases := map[string][]string{
		"number=0":      {"flag --number", `"0"`, "whole number from 1 to 9"},
		"number=10":     {"whole number from 1 to 9"},
		"number=1e0":    {"whole number from 1 to 9"},
		"long-wait=2m":  {"flag --long-wait", "duration from 1ms to 1m0s"},
		"long-wait=5":   {"duration from 1ms to 1m0s"},
		"enabled=maybe": {"true or false"},
		"choice=c":      {"one of a, b"},
		"text=":         {"non-empty text"},
	}
	for arg, parts := range cases {
		t.Run(arg, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var v values
			err := resolve(&v, []string{"--" + arg}, nil)
			g.Expect(errors.Is(err, settings.ErrInvalid)).To(gomega.BeTrue())
			for _, part := range parts {
				g.Expect(eris.ToString(err, false)).To(gomega.ContainSubstring(part))
			}
		})
	}
	g := gomega.NewWithT(t)
	var v values
	err := resolve(&v, nil, map[string]string{"COLTSFOOTSPUR_LONG_WAIT": ""})
	g.Expect(eris.ToString(err, false)).To(gomega.ContainSubstring("environment variable COLTSFOOTSPUR_LONG_WAIT"))
}

// Guards against a description without the environment variable, the default or the allowed values.
func TestDescribe(t *testing.T) {
	g := gomega.NewWithT(t)
	set := settings.NewSet(flaggy.NewSubcommand("run"))
	var d time.Duration
	set.Duration(&d, "long-wait", time.Second, time.Millisecond, time.Minute, "a duration")
	g.Expect(set.Describe()).To(gomega.Equal([]settings.Description{{
		Name: "long-wait", Usage: "a duration", Allowed: "duration from 1ms to 1m0s",
		Environment: "COLTSFOOTSPUR_LONG_WAIT", Default: "1s",
	}}))
}
