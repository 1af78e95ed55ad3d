package command

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/configcheck"
	"github.com/coltsfootspur/coltsfootspur/platform"
)

// newConfigGroup returns the group of subcommands for the operator's configuration on the users' platform.
func newConfigGroup() *group {
	return newGroup("config", "check the configuration of the platform mode", newConfigCheck())
}

// configCheck is the subcommand that checks a configuration before it is written.
type configCheck struct {
	*subcommand
	file, against       string
	inForce, jsonOutput bool
}

func newConfigCheck() *subcommand {
	c := &configCheck{subcommand: newSubcommand("check", "check a configuration, and show what it changes")}
	c.flags.AddPositionalValue(&c.file, "file", 1, false, "file with the configuration as JSON")
	c.settings.String(&c.against, "against", "", "file with the configuration to compare with", false)
	c.settings.Bool(&c.inForce, "in-force", false,
		"compare with the configuration in the store that the settings file in "+platform.SettingsPathVariable+" names")
	c.settings.Bool(&c.jsonOutput, "json", false, "print JSON")
	c.run = c.check
	return c.subcommand
}

// configCheckResult is the JSON form of the result.
type configCheckResult struct {
	Version  uint64                `json:"version"`
	Routes   int                   `json:"routes"`
	Services int                   `json:"services"`
	Findings []configcheck.Finding `json:"findings"`
	// Changes is absent unless the configuration is compared with another one, whose version Against is.
	Against uint64               `json:"against,omitempty"`
	Changes []configcheck.Change `json:"changes,omitempty"`
}

// check returns ExitOK without findings, ExitFailure with some, and ExitUsage for a configuration that cannot be read.
func (c *configCheck) check(ctx context.Context, std streams) int {
	out := &output{std: std, jsonOutput: c.jsonOutput}
	unreadable := func(what string, err error) int {
		message := fmt.Sprintf("%s: %s", what, eris.ToString(err, false))
		if c.jsonOutput {
			out.printResult(map[string]jsonError{"error": {Code: "unreadable", Message: message}}, nil)
		} else {
			fmt.Fprintf(std.err, "%s: %s\n", programName, message)
		}
		return ExitUsage
	}
	if c.file == "" || c.against != "" && c.inForce {
		fmt.Fprintf(std.err, "%s: config check needs a file, and at most one of --against and --in-force\n", programName)
		return ExitUsage
	}
	config, attempts, err := readConfiguration(c.file)
	if err != nil {
		return unreadable(c.file, err)
	}
	config.BuildIndex()
	result := configCheckResult{
		Version: config.Version, Routes: len(config.Queues), Services: len(config.Services), Findings: configcheck.Check(config, attempts),
	}
	earlier, err := c.earlier(ctx)
	if err != nil {
		return unreadable("the configuration to compare with", err)
	}
	if earlier != nil {
		result.Against, result.Changes = earlier.Version, configcheck.Compare(earlier, config, platform.ConfigurationFieldNames)
		if config.Version <= earlier.Version {
			result.Findings = append(result.Findings, configcheck.Finding{
				Where: "Version", Reason: fmt.Sprintf("%d is not above %d, so no process replaces that one by it", config.Version, earlier.Version),
			})
		}
	}
	if result.Findings == nil {
		result.Findings = []configcheck.Finding{}
	}
	if code := out.printResult(result, func() { result.print(std) }); code != ExitOK {
		return code
	}
	if len(result.Findings) > 0 {
		return ExitFailure
	}
	return ExitOK
}

func readConfiguration(file string) (*catalog.Catalog, []int, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	return platform.ParseConfiguration(body)
}

// earlier returns the configuration to compare with, or nil if none is named.
func (c *configCheck) earlier(ctx context.Context) (*catalog.Catalog, error) {
	switch {
	case c.against != "":
		config, _, err := readConfiguration(c.against)
		return config, err
	case c.inForce:
		body, err := platform.ConfigurationInForce(ctx, os.Getenv(platform.SettingsPathVariable))
		if err != nil {
			return nil, err
		}
		config, _, err := platform.ParseConfiguration(body)
		return config, err
	default:
		return nil, nil
	}
}

func (r configCheckResult) print(std streams) {
	fmt.Fprintf(std.out, "version %d: %d routes, %d services\n", r.Version, r.Routes, r.Services)
	for _, f := range r.Findings {
		fmt.Fprintf(std.out, "finding: %s: %s\n", f.Where, f.Reason)
	}
	if r.Against > 0 {
		fmt.Fprintf(std.out, "%d changes since version %d\n", len(r.Changes), r.Against)
	}
	for _, c := range r.Changes {
		if c.Detail == "" {
			fmt.Fprintf(std.out, "%s: %s\n", c.Kind, c.Where)
			continue
		}
		fmt.Fprintf(std.out, "%s: %s: %s\n", c.Kind, c.Where, c.Detail)
	}
}
