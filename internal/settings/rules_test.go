package settings_test

import (
	"errors"
	"testing"

	"github.com/integrii/flaggy"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/settings"
)

// Guards against a violated rule that is not detected, a message without a source, and a warning that stops the process.
func TestRules(t *testing.T) {
	g := gomega.NewWithT(t)
	set := settings.NewSet(flaggy.NewSubcommand("run"))
	var low, high int
	set.Int(&low, "low", 5, 1, 9, "a number")
	set.Int(&high, "high", 5, 1, 9, "a number")
	set.AddRule(settings.Rule{Names: []string{"low", "high"}, IsViolated: func() bool { return low > high }, Problem: "low is above high"})
	set.AddRule(settings.Rule{Names: []string{"high"}, IsViolated: func() bool { return high == 9 }, Problem: "is odd", WarnOnly: true})
	resolve := func(low, high string) error {
		env := map[string]string{"COLTSFOOTSPUR_LOW": low, "COLTSFOOTSPUR_HIGH": high}
		return set.Resolve(func(name string) (string, bool) { return env[name], env[name] != "" })
	}
	g.Expect(resolve("", "9")).To(gomega.Succeed())
	g.Expect(set.Warnings()).To(gomega.Equal([]string{"high (from environment variable COLTSFOOTSPUR_HIGH): is odd"}))
	err := resolve("6", "")
	g.Expect(errors.Is(err, settings.ErrInvalid)).To(gomega.BeTrue())
	g.Expect(err.Error()).To(gomega.Equal("low (from environment variable COLTSFOOTSPUR_LOW) and high (from default): low is above high"))
	g.Expect(set.Warnings()).To(gomega.BeEmpty())

	var invalid *settings.InvalidError
	g.Expect(errors.As(resolve("0", "x"), &invalid)).To(gomega.BeTrue())
	g.Expect(invalid.Problems).To(gomega.HaveLen(2))
}

// Guards against accepting an address on which a process cannot listen or to which a process cannot connect.
func TestAddresses(t *testing.T) {
	cases := []struct {
		value             string
		listen, reachable bool
	}{
		{"127.0.0.1:80", true, true},
		{"[::1]:80", true, true},
		{"host-1:65535", true, true},
		{":80", true, false},
		{"0.0.0.0:80", true, false},
		{"[::]:80", true, false},
		{"127.0.0.1:0", true, false},
		{"127.0.0.1", false, false},
		{"127.0.0.1:", false, false},
		{"127.0.0.1:http", false, false},
		{"127.0.0.1:65536", false, false},
		{"::1:80", false, false},
	}
	for _, c := range cases {
		t.Run(c.value, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listen, reachable := settings.NewSet(flaggy.NewSubcommand("a")), settings.NewSet(flaggy.NewSubcommand("b"))
			var text string
			var list []string
			listen.ListenAddress(&text, "at", "", "an address", true)
			reachable.Addresses(&list, "at", "addresses", true)
			lookup := func(string) (string, bool) { return c.value, true }
			g.Expect(listen.Resolve(lookup) == nil).To(gomega.Equal(c.listen))
			g.Expect(reachable.Resolve(lookup) == nil).To(gomega.Equal(c.reachable))
		})
	}
}
