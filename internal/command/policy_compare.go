package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/dispatch/policysim"
)

// selectAll is the value that selects every scenario or every embedded deployment. It does not include the deployment
// policysim.TargetName, which is larger than the embedded ones.
const selectAll = "all"

// policyCompareSettings holds the settings of the subcommand policy-compare.
type policyCompareSettings struct {
	deployment, scenario          string
	entries, seed, runs, parallel int
	length                        time.Duration
	jsonOutput                    bool
}

// newPolicyCompareCommand returns the subcommand that compares the dispatch policies in virtual time.
func newPolicyCompareCommand() *subcommand {
	c := newSubcommand("policy-compare", "compare the dispatch policies in virtual time on the same seeds")
	p := &policyCompareSettings{}
	s := c.settings
	s.Choice(&p.deployment, "deployment", selectAll, "deployment to model", append(policysim.DeploymentNames(), selectAll)...)
	s.Choice(&p.scenario, "scenario", selectAll, "scenario to run", append(scenarioNames(), selectAll)...)
	s.Int(&p.entries, "entries", 4, 2, 32, "number of entries that decide independently")
	s.Int(&p.seed, "seed", 1, 0, 1<<30, "first seed")
	s.Int(&p.runs, "runs", 3, 1, 100, "number of seeds whose observations are merged")
	s.Int(&p.parallel, "parallel", 4, 1, 64, "number of runs at a time")
	s.Duration(&p.length, "length", policysim.DefaultLength, 20*time.Second, time.Hour,
		"length of a steady scenario in virtual time")
	s.Bool(&p.jsonOutput, "json", false, "print JSON instead of a table")
	c.run = func(_ context.Context, std streams) int { return p.run(std) }
	return c
}

func scenarioNames() []string {
	var names []string
	for _, s := range policysim.Scenarios(policysim.DefaultLength) {
		names = append(names, s.Name)
	}
	return names
}

func (p *policyCompareSettings) buildPlan() (policysim.Plan, error) {
	plan := policysim.Plan{
		Policies: policysim.Policies(), Entries: p.entries, Seed: uint64(p.seed), Runs: p.runs, Parallel: p.parallel,
	}
	names := []string{p.deployment}
	if p.deployment == selectAll {
		names = deployment.Names()
	}
	for _, name := range names {
		d, err := policysim.LoadDeployment(name)
		if err != nil {
			return plan, err
		}
		plan.Deployments = append(plan.Deployments, d)
	}
	for _, s := range policysim.Scenarios(p.length) {
		if p.scenario == selectAll || p.scenario == s.Name {
			plan.Scenarios = append(plan.Scenarios, s)
		}
	}
	return plan, nil
}

func (p *policyCompareSettings) run(std streams) int {
	plan, err := p.buildPlan()
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	rows, err := policysim.Compare(plan)
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	if p.jsonOutput {
		encoder := json.NewEncoder(std.out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(rows)
	} else {
		err = printRows(std.out, rows)
	}
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	return ExitOK
}

func printRows(w io.Writer, rows []policysim.Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "deployment\tscenario\tpolicy\tjobs\tslowdown 50/99/99.9\tshort jobs 50/99/99.9\tsingle 99\t"+
		"short wait 99 s\tbehind long 99 s\twasted\tin time\turgent\tgoodput/s\twork\tfailed\tcrest\trecovery s")
	lastGroup := ""
	for _, r := range rows {
		if group := r.Deployment + r.Scenario; group != lastGroup && lastGroup != "" {
			fmt.Fprintln(t)
		}
		lastGroup = r.Deployment + r.Scenario
		f := r.Figures
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%.1f\t%.2f\t%.3f\t%.4f\t%.4f\t%.4f\t%.1f\t%.3f\t%.4f\t%.4f\t%.1f\n",
			r.Deployment, r.Scenario, r.Policy, f.Jobs, formatQuantiles(f.Slowdown), formatQuantiles(f.ShortSlowdown),
			f.SingleSlowdown.P99, f.ShortWait.P99, f.BehindLong.P99, f.Wasted, f.InTime, f.UrgentInTime, f.Goodput,
			f.GoodWork, f.Failed, f.PeakInTime, f.Recovery)
	}
	return t.Flush()
}

func formatQuantiles(q policysim.Quantiles) string {
	return fmt.Sprintf("%.2f/%.1f/%.1f", q.P50, q.P99, q.P999)
}
