package command

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/loadgen"
)

// Guards against an operators' page that lacks a setting, describes one that does not exist, or states another default,
// allowed value or meaning than the program.
func TestSettingsAreDocumented(t *testing.T) {
	g := gomega.NewWithT(t)
	page := readOperatorsPage(g)
	for heading, c := range map[string]*subcommand{"### Settings of `entry`": newEntryCommand(), "### Settings of `agent`": newAgentCommand()} {
		var flags []string
		for _, d := range c.settings.Describe() {
			defaultText := "none"
			if d.Default != "" {
				defaultText = "`" + d.Default + "`"
			}
			flags = append(flags, "--"+d.Name)
			row := fmt.Sprintf("| `--%s` | `%s` | %s | %s | %s |\n", d.Name, d.Environment, defaultText, d.Allowed, d.Usage)
			g.Expect(page).To(gomega.ContainSubstring(row))
		}
		g.Expect(firstColumnNames(page, heading)).To(gomega.ConsistOf(flags), heading)
	}
}

// Guards against a process that starts with settings that contradict each other, and against a message that shows a token.
func TestContradictorySettingsAreRejected(t *testing.T) {
	const entry = "entry --id e --data-centre d --link-token secret "
	const agent = "agent --id u --data-centre d --link-token secret --services s --entries 127.0.0.1:9 --upstream http://127.0.0.1:9 "
	cases := map[string]string{
		entry + "--admin-address 127.0.0.1:0":                              "admin-address (from flag --admin-address) and admin-token (from default): operator endpoints need a token",
		agent + "--admin-address 127.0.0.1:0":                              "operator endpoints need a token",
		entry + "--retention 119s":                                         "allowed: duration from 2m0s",
		agent + "--retention 119s":                                         "allowed: duration from 2m0s",
		entry + "--link-address 0.0.0.0:8081":                              "set advertise-address",
		entry + "--caller-address 127.0.0.1:1 --link-address 127.0.0.1:1":  "are the same address",
		entry + "--readiness-delay 1s --stop-timeout 1s":                   "allowed: readiness-delay below stop-timeout",
		entry + "--id a/b":                                                 "flag --id is given twice",
		"entry --id a/b --data-centre d --link-token secret":               "id (from flag --id)",
		entry + "--advertise-address 0.0.0.0:1":                            "nobody can connect",
		entry + "--store localhost:8500":                                   "allowed: http or https URL with a host",
		agent + "--records 10":                                             "records of at least slots plus queue",
		"agent --id u --data-centre d --link-token secret --services s":    "upstream (from default)",
		"agent --id u --data-centre d --link-token secret --entries h:9":   "services (from default)",
		"agent --id u --data-centre d --services s --entries 127.0.0.1:9 ": "link-token (from default)",
	}
	for line, want := range cases {
		code, _, errors := runProgram(strings.Fields(line)...)
		g := gomega.NewWithT(t)
		g.Expect(code).To(gomega.Equal(ExitUsage), line)
		g.Expect(errors).To(gomega.ContainSubstring(want), line)
		g.Expect(errors).NotTo(gomega.ContainSubstring("secret"), line)
	}
}

// Guards against a misspelt environment variable that goes unnoticed.
func TestUnknownEnvironmentVariables(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	commands, groups := subcommands()
	environment := []string{"COLTSFOOTSPUR_ID=x", "COLTSFOOTSPUR_EXPECT_REVISION=1", "COLTSFOOTSPUR_LINK_ADRESS=y", "HOME=/"}
	reportUnknownVariables(&out, environment, flattenGroups(commands, groups))
	g.Expect(out.String()).To(gomega.Equal("coltsfootspur: environment variable COLTSFOOTSPUR_LINK_ADRESS is ignored: there is no such setting\n"))
}

// Guards against a progress line that is wider than a terminal or breaks into several lines.
func TestProgressLine(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	g.Expect(newProgressLine(&out)).To(gomega.BeNil())
	p := &progressLine{terminal: &out}
	p.show(loadgen.Progress{Elapsed: 1234 * time.Millisecond, Duration: time.Minute, Jobs: 9, Complete: 5, NotRun: 3, Unknown: 1, InFlight: 7})
	g.Expect(out.String()).To(gomega.Equal(clearLine + "1s of 1m0s  jobs 9  complete 5  not run 3  unknown 1  faults 0  in flight 7"))
	var disabled *progressLine
	disabled.clear()
}
