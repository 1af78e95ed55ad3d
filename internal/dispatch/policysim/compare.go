package policysim

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
)

// Plan is a comparison: every policy runs every scenario of every deployment with the same seeds.
type Plan struct {
	Deployments []Deployment
	Scenarios   []Scenario
	Policies    []string
	Entries     int
	// Seed is the first seed, Runs the number of seeds. The observations of all runs are merged.
	Seed uint64
	Runs int
	// Parallel is the number of runs at a time.
	Parallel int
	// Config is the configuration of the policies.
	Config dispatch.Config
}

// Row is the result of one policy in one scenario of one deployment.
type Row struct {
	Deployment string  `json:"deployment"`
	Scenario   string  `json:"scenario"`
	Policy     string  `json:"policy"`
	Figures    Figures `json:"figures"`
}

// Policies returns the names of all policies.
func Policies() []string {
	return []string{dispatch.ExpectedCompletion, dispatch.LeastConnections, dispatch.Random}
}

// Deployments returns today's deployments.
func Deployments() []Deployment { return []Deployment{Wax(), Mkeka()} }

// AllDeployments returns today's deployments and the target, which takes much longer to run.
func AllDeployments() []Deployment { return append(Deployments(), Target()) }

// DefaultLength is the length of a steady scenario in virtual time.
const DefaultLength = 300 * time.Second

// Compare runs a plan. Rows are in the order of deployments, scenarios and policies.
func Compare(plan Plan) ([]Row, error) {
	var rows []Row
	var setups []Setup
	for _, d := range plan.Deployments {
		for _, sc := range plan.Scenarios {
			for _, name := range plan.Policies {
				rows = append(rows, Row{Deployment: d.Name, Scenario: sc.Name, Policy: name})
				setups = append(setups, Setup{
					Deployment: d, Scenario: sc, Policy: name, Entries: plan.Entries, Config: plan.Config,
				})
			}
		}
	}
	results := make([][]*figures, len(rows))
	for i := range results {
		results[i] = make([]*figures, plan.Runs)
	}
	err := plan.each(len(rows), func(row, n int) error {
		setup := setups[row]
		setup.Seed = plan.Seed + uint64(n)
		f, err := run(setup)
		results[row][n] = f
		return err
	})
	if err != nil {
		return nil, err
	}
	for i := range rows {
		rows[i].Figures = mergeAll(results[i]).summary()
	}
	return rows, nil
}

func mergeAll(runs []*figures) *figures {
	sum := runs[0]
	for _, f := range runs[1:] {
		sum.merge(f)
	}
	return sum
}

// each calls do for every run of every row, a few at a time, and returns the first error by row.
func (plan Plan) each(rows int, do func(row, n int) error) error {
	type failure struct {
		row int
		err error
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var failures []failure
	slots := make(chan struct{}, max(plan.Parallel, 1))
	for row := range rows {
		for n := range plan.Runs {
			slots <- struct{}{}
			wait.Go(func() {
				defer func() { <-slots }()
				if err := do(row, n); err != nil {
					mu.Lock()
					failures = append(failures, failure{row, err})
					mu.Unlock()
				}
			})
		}
	}
	wait.Wait()
	if len(failures) == 0 {
		return nil
	}
	slices.SortFunc(failures, func(a, b failure) int { return cmp.Compare(a.row, b.row) })
	return failures[0].err
}
