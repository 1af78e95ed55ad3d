package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a faulty configuration that a script takes for a sound one: exit codes tell sound, faulty and unreadable apart.
func TestConfigCheck(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	write := func(name, body string) string {
		path := filepath.Join(dir, name)
		g.Expect(os.WriteFile(path, []byte(body), 0o600)).To(gomega.Succeed())
		return path
	}
	const route = `{"Name":"a","Prefix":"/a","Service":"s","TimeoutMs":2000,"MaxAttempts":1,"TargetFactor":1.6,"TargetLatencyMs":60}`
	sound := write("sound", `{"Version":2,"Routes":[`+route+`],"Services":[{"Name":"s"}]}`)
	former := write("former", `{"Version":1,"Routes":[],"Services":[{"Name":"s"}]}`)
	faulty := write("faulty", `{"Version":3,"Routes":[`+route+`],"Services":[]}`)
	broken := write("broken", `{"Version":3,"Routes":[{"Name":7}]}`)
	for _, c := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{sound}, ExitOK, "version 2: 1 routes, 1 services\n"},
		{[]string{sound, "--against", former}, ExitOK, `added: route "a"`},
		{[]string{former, "--against", sound}, ExitFailure, "1 is not above 2"},
		{[]string{faulty}, ExitFailure, `route 0 "a": the service "s" is not in Services`},
		{[]string{faulty, "--json"}, ExitFailure, `"findings":[{"where":"route 0 \"a\""`},
		{[]string{sound, "--json"}, ExitOK, `"findings":[]`},
		{[]string{broken}, ExitUsage, "route 0"},
		{[]string{broken, "--json"}, ExitUsage, `"code":"unreadable"`},
		{[]string{filepath.Join(dir, "missing")}, ExitUsage, "no such file"},
		{[]string{sound, "--against", broken}, ExitUsage, "route 0"},
		{[]string{sound, "--against", former, "--in-force"}, ExitUsage, "at most one"},
		{nil, ExitUsage, "needs a file"},
	} {
		var out, errors bytes.Buffer
		commands, groups := subcommands()
		code := run(context.Background(), append([]string{"config", "check"}, c.args...), streams{out: &out, err: &errors},
			func(string) (string, bool) { return "", false }, commands, groups)
		g.Expect(code).To(gomega.Equal(c.code), "%v: %s%s", c.args, out.String(), errors.String())
		g.Expect(out.String()+errors.String()).To(gomega.ContainSubstring(c.output), "%v", c.args)
	}
}
