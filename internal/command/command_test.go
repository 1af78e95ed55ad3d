package command

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// signalHelperVariable is the environment variable that makes the test binary act as a process whose graceful stop hangs.
const signalHelperVariable = "COLTSFOOTSPUR_TEST_SIGNAL_HELPER"

func TestMain(m *testing.M) {
	if os.Getenv(signalHelperVariable) == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signalContext(context.Background())
	defer stop()
	fmt.Println("running")
	<-ctx.Done()
	fmt.Println("stopping")
	time.Sleep(time.Minute)
}

// Guards against a second SIGTERM that is ignored while a graceful stop hangs.
func TestSecondSignalEndsTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), signalHelperVariable+"=1")
	stdout, err := process.StdoutPipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(process.Start()).To(gomega.Succeed())
	timeout := time.AfterFunc(30*time.Second, func() { _ = process.Process.Kill() })
	defer timeout.Stop()
	lines := bufio.NewScanner(stdout)
	for _, want := range []string{"running", "stopping"} {
		g.Expect(lines.Scan()).To(gomega.BeTrue())
		g.Expect(lines.Text()).To(gomega.Equal(want))
		if want == "running" {
			g.Expect(process.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
		}
	}
	// The default action is restored right after the first signal, so the second one is repeated until the process ends.
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	repeat := time.NewTicker(20 * time.Millisecond)
	defer repeat.Stop()
	for waiting := true; waiting; {
		select {
		case <-repeat.C:
			_ = process.Process.Signal(syscall.SIGTERM)
		case <-ended:
			waiting = false
		}
	}
	status, ok := process.ProcessState.Sys().(syscall.WaitStatus)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(status.Signaled() && status.Signal() == syscall.SIGTERM).To(gomega.BeTrue(), "state: %v", process.ProcessState)
}

// sampleCommands returns subcommands and groups that write the settings that they received.
func sampleCommands() ([]*subcommand, []*group) {
	make := func(name string) *subcommand {
		c := newSubcommand(name, "does "+name)
		var count int
		var title string
		c.settings.Int(&count, "count", 3, 1, 9, "count in pieces")
		c.settings.String(&title, "title", "", "a title", false)
		c.run = func(_ context.Context, std streams) int {
			fmt.Fprintf(std.out, "%s %d %q", name, count, title)
			return ExitOK
		}
		return c
	}
	file := newSubcommand("file", "does a file")
	var path string
	file.flags.AddPositionalValue(&path, "path", 1, true, "path of the file")
	file.run = func(_ context.Context, std streams) int { fmt.Fprint(std.out, path); return ExitOK }
	return []*subcommand{make("one"), file}, []*group{newGroup("many", "does many", make("two"), make("three"))}
}

func runSample(env map[string]string, args ...string) (code int, out, errors string) {
	var stdout, stderr bytes.Buffer
	commands, groups := sampleCommands()
	lookup := func(name string) (string, bool) { value, ok := env[name]; return value, ok }
	code = run(context.Background(), args, streams{out: &stdout, err: &stderr}, lookup, commands, groups)
	return code, stdout.String(), stderr.String()
}

// Guards against settings that do not reach the subcommand.
func TestArgumentsReachTheSubcommand(t *testing.T) {
	g := gomega.NewWithT(t)
	cases := map[string]string{
		"one": `one 3 ""`, "one --count 5": `one 5 ""`, "one --count=5 --title=--x": `one 5 "--x"`, "many three --title -": `three 3 "-"`,
		"many two --title --": "", "one --title one": `one 3 "one"`, "one --title -h": `one 3 "-h"`, "file a/b": "a/b", "one --title=": `one 3 ""`,
		"one --title completion": `one 3 "completion"`, "one --title a=b=c": `one 3 "a=b=c"`,
	}
	for line, want := range cases {
		code, out, _ := runSample(nil, strings.Fields(line)...)
		g.Expect(out).To(gomega.Equal(want), line)
		g.Expect(code == ExitOK).To(gomega.Equal(want != ""), line)
	}
	_, out, _ := runSample(map[string]string{"COLTSFOOTSPUR_COUNT": "7"}, "one")
	g.Expect(out).To(gomega.Equal(`one 7 ""`))
}

// Guards against a typo on the command line that is ignored, and against a flag library that ends the process.
func TestUnknownArgumentsAreErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	cases := map[string]string{
		"--bogus":                   "unknown flag --bogus",
		"--count 5 one":             "flags follow the subcommand",
		"one --bogus":               "unknown flag --bogus",
		"one --bogus=5":             "unknown flag --bogus",
		"one -count 5":              "did you mean --count",
		"one stray":                 `unexpected argument "stray"`,
		"one --count 5 stray":       `unexpected argument "stray"`,
		"one -- stray":              "unknown flag --",
		"one --":                    "unknown flag --",
		"one -":                     "unknown flag -",
		"one --=x":                  "unknown flag --",
		"one --count":               "flag --count needs a value",
		"one --count --title":       "flag --count needs a value",
		"one --count 5 --count 6":   "flag --count is given twice",
		"one --count=5 --count=6":   "flag --count is given twice",
		"one --count 50":            "whole number from 1 to 9",
		"other":                     `unknown subcommand "other"; allowed: file, many, one`,
		"many":                      "a subcommand is missing; allowed: three, two",
		"many other":                `unknown subcommand "other"; allowed: three, two`,
		"":                          "a subcommand is missing",
		"file":                      "argument path is missing",
		"file a b":                  `unexpected argument "b"`,
		"completion":                `unknown shell ""`,
		"completion bourne":         `unknown shell "bourne"`,
		"one completion":            `unexpected argument "completion"`,
		"one --help --bogus":        "unknown flag --bogus",
		"many two --test.bogus 5":   "unknown flag --test.bogus",
		"one --title x --count=":    "whole number from 1 to 9",
		"many two one --count 2":    `unexpected argument "one"`,
		"one --title x many two":    `unexpected argument "many"`,
		"file a --count 5":          "unknown flag --count",
		"many --count 5 two":        "flags follow the subcommand",
		"one --titl x":              "unknown flag --titl",
		"one --title-x x --count 1": "unknown flag --title-x",
	}
	for line, want := range cases {
		code, out, errors := runSample(nil, strings.Fields(line)...)
		g.Expect(code).To(gomega.Equal(ExitUsage), line)
		g.Expect(errors).To(gomega.ContainSubstring(want), line)
		g.Expect(out).To(gomega.BeEmpty(), line)
	}
	code, _, errors := runSample(nil, "one", "")
	g.Expect(code).To(gomega.Equal(ExitUsage))
	g.Expect(errors).To(gomega.ContainSubstring(`unexpected argument ""`))
}

// Guards against a help text that lacks a flag, its default, its unit or its environment variable.
func TestHelp(t *testing.T) {
	g := gomega.NewWithT(t)
	for line, parts := range map[string][]string{
		"--help":       {"one", "does one", "many", "completion", "--version"},
		"-h":           {"does many"},
		"many --help":  {"coltsfootspur many", "two", "does three"},
		"one --help":   {"coltsfootspur one", "--count", "count in pieces", "whole number from 1 to 9", "default: 3", "COLTSFOOTSPUR_COUNT", "default: none"},
		"many two -h":  {"coltsfootspur many two", "--title"},
		"file --help":  {"PATH", "path of the file"},
		"--version":    {Version},
		"one --help=x": {},
	} {
		code, out, errors := runSample(nil, strings.Fields(line)...)
		if len(parts) == 0 {
			g.Expect(code).To(gomega.Equal(ExitUsage), line)
			continue
		}
		g.Expect(code).To(gomega.Equal(ExitOK), line)
		g.Expect(errors).To(gomega.BeEmpty())
		for _, part := range parts {
			g.Expect(out).To(gomega.ContainSubstring(part), line)
		}
	}
}

// Guards against two real subcommands with one name, a flag without description, and a default that is not allowed.
func TestRealSubcommands(t *testing.T) {
	g := gomega.NewWithT(t)
	commands, groups := subcommands()
	_, all := newParser(commands, groups)
	for _, c := range all {
		g.Expect(c.run).NotTo(gomega.BeNil())
		for _, d := range c.settings.Describe() {
			g.Expect(d.Usage).NotTo(gomega.BeEmpty(), c.flags.Name+" "+d.Name)
			g.Expect(d.Allowed).NotTo(gomega.BeEmpty(), c.flags.Name+" "+d.Name)
		}
		required := "non-empty text"
		err := c.settings.Resolve(func(name string) (string, bool) {
			for _, d := range c.settings.Describe() {
				if d.Environment == name && d.Allowed == required && d.Default == "" {
					return "given", true
				}
			}
			return "", false
		})
		if err != nil {
			// Settings with a parser of their own can be required too; the error quotes their empty value.
			g.Expect(err.Error()).To(gomega.ContainSubstring(`""`), c.flags.Name)
		}
	}
	for _, shell := range completionShells {
		var out bytes.Buffer
		commands, groups := subcommands()
		code := run(context.Background(), []string{completionSubcommand, shell}, streams{out: &out, err: &out}, os.LookupEnv, commands, groups)
		g.Expect(code).To(gomega.Equal(ExitOK))
		g.Expect(out.String()).To(gomega.ContainSubstring("status"))
	}
}
