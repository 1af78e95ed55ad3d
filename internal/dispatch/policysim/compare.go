package policysim

import (
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
)

// Plan describes a comparison: every policy runs every scenario of every deployment with the same seeds.
type Plan struct {
	Deployments []*deployment.Deployment
	Scenarios   []Scenario
	Policies    []string
	Entries     int
	// Seed is the first seed, Runs the number of consecutive seeds. The observations of all runs are merged.
	Seed uint64
	Runs int
	// Parallel is the number of concurrent runs.
	Parallel int
}

// Row is the result of one policy in one scenario of one deployment.
type Row struct {
	Deployment string  `json:"deployment"`
	Scenario   string  `json:"scenario"`
	Policy     string  `json:"policy"`
	Figures    Figures `json:"figures"`
}

// Policies returns the names of all dispatch policies.
func Policies() []string {
	return []string{dispatch.ExpectedCompletion, dispatch.LeastConnections, dispatch.Random}
}

// DefaultLength is the virtual duration of a steady scenario.
const DefaultLength = 300 * time.Second

// Compare runs a plan. The rows are ordered by deployment, scenario and policy. Errors are those of Run.
func Compare(plan Plan) ([]Row, error) {
	var rows []Row
	var results [][]*figures
	var group errgroup.Group
	group.SetLimit(max(plan.Parallel, 1))
	for _, d := range plan.Deployments {
		for _, sc := range plan.Scenarios {
			for _, name := range plan.Policies {
				rows = append(rows, Row{Deployment: d.Name, Scenario: sc.Name, Policy: name})
				runs := make([]*figures, plan.Runs)
				results = append(results, runs)
				for n := range runs {
					group.Go(func() (err error) {
						runs[n], err = run(Setup{
							Deployment: d, Scenario: sc, Policy: name, Entries: plan.Entries, Seed: plan.Seed + uint64(n),
						})
						return err
					})
				}
			}
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, runs := range results {
		for _, f := range runs[1:] {
			runs[0].merge(f)
		}
		rows[i].Figures = runs[0].summary()
	}
	return rows, nil
}
