package policysim

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
)

// loadEmbedded returns the embedded deployments.
func loadEmbedded(t *testing.T) []*deployment.Deployment {
	var list []*deployment.Deployment
	for _, name := range deployment.Names() {
		d, err := LoadDeployment(name)
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		list = append(list, d)
	}
	return list
}

// withUrgent returns the embedded deployments with an urgent kind each. mkeka has none, so one of its kinds is made
// urgent; otherwise only one deployment would check the target for urgent work.
func withUrgent(t *testing.T) []*deployment.Deployment {
	list := loadEmbedded(t)
	for _, d := range list {
		if d.Name == "mkeka" {
			kind, found := d.Services[0].Kind("slot-reservation")
			gomega.NewWithT(t).Expect(found).To(gomega.BeTrue())
			kind.Urgent = true
		}
	}
	return list
}

// compare runs the policies through one scenario of every deployment with fixed seeds. It returns the figures by
// deployment and policy.
func compare(
	t *testing.T, deployments []*deployment.Deployment, scenario string, policies ...string,
) map[string]map[string]Figures {
	plan := Plan{Deployments: deployments, Policies: policies, Entries: 4, Seed: 1, Runs: 2, Parallel: 4}
	for _, s := range Scenarios(100 * time.Second) {
		if s.Name == scenario {
			plan.Scenarios = []Scenario{s}
		}
	}
	rows, err := Compare(plan)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	figures := make(map[string]map[string]Figures)
	for _, r := range rows {
		if figures[r.Deployment] == nil {
			figures[r.Deployment] = make(map[string]Figures)
		}
		figures[r.Deployment][r.Policy] = r.Figures
	}
	return figures
}

// maxWasted is the target for refused starts per task.
const maxWasted = 0.05

// TestShortTasksAtHighLoad checks that at a load of 0.9 the p99 slowdown of short tasks is at most half of that with
// LeastConnections.
func TestShortTasksAtHighLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	for name, f := range compare(t, loadEmbedded(t), "load-0.9", dispatch.ExpectedCompletion, dispatch.LeastConnections) {
		expected, least := f[dispatch.ExpectedCompletion], f[dispatch.LeastConnections]
		g.Expect(expected.ShortSlowdown.P99).To(gomega.BeNumerically("<=", least.ShortSlowdown.P99/2), name)
		g.Expect(expected.SingleSlowdown.P99).To(gomega.BeNumerically("<=", least.SingleSlowdown.P99/2), name)
		g.Expect(expected.Wasted).To(gomega.BeNumerically("<=", maxWasted), name)
	}
}

// TestOverload checks the targets at a load of 1.3: urgent work in time, goodput and refused starts.
func TestOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	urgent := 0
	for _, deployments := range [][]*deployment.Deployment{loadEmbedded(t), withUrgent(t)} {
		full := compare(t, deployments, "load-1.0", dispatch.ExpectedCompletion)
		over := compare(t, deployments, "load-1.3", dispatch.ExpectedCompletion)
		for name := range full {
			before, f := full[name][dispatch.ExpectedCompletion], over[name][dispatch.ExpectedCompletion]
			if f.Urgent > 0 {
				urgent++
				g.Expect(f.UrgentInTime).To(gomega.BeNumerically(">=", 0.99), name)
			}
			g.Expect(f.Goodput).To(gomega.BeNumerically(">=", 0.95*before.Goodput), name)
			g.Expect(f.GoodWork).To(gomega.BeNumerically(">=", 0.95*before.GoodWork), name)
			g.Expect(f.Wasted).To(gomega.BeNumerically("<=", maxWasted), name)
		}
	}
	g.Expect(urgent).To(gomega.Equal(3), "wax, and both deployments with an urgent kind")
}

// TestSameSeedSameFigures guards against runs with the same seed that differ.
func TestSameSeedSameFigures(t *testing.T) {
	g := gomega.NewWithT(t)
	setup := Setup{
		Deployment: loadEmbedded(t)[0], Scenario: Scenarios(20 * time.Second)[1],
		Policy: dispatch.ExpectedCompletion, Entries: 3, Seed: 5,
	}
	first, err := Run(setup)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	second, err := Run(setup)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second).To(gomega.Equal(first))
}

// TestOpenLoopLoad guards against a workload whose demand is not the stated share of the capacity.
func TestOpenLoopLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, d := range loadEmbedded(t) {
		f, err := Run(Setup{
			Deployment: d, Scenario: Scenarios(400 * time.Second)[0], Policy: dispatch.LeastConnections, Entries: 3, Seed: 2,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(f.GoodWork).To(gomega.BeNumerically("~", 0.7, 0.07), d.Name)
	}
}
