package loadgen

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
)

func plan(t *testing.T, seed uint64) []*plannedJob {
	t.Helper()
	d, err := deployment.Load("wax")
	if err != nil {
		t.Fatal(err)
	}
	config, err := FromDeployment(d, "")
	if err != nil {
		t.Fatal(err)
	}
	config.Entries = []string{"a", "b", "c"}
	config.Seed, config.Duration, config.DemandScale = seed, 10*time.Minute, 1
	var jobs []*plannedJob
	for p := newPlanner(&config); ; {
		job := p.next()
		if job == nil {
			return jobs
		}
		jobs = append(jobs, job)
	}
}

// Guards against two runs of one seed that differ, and against seeds without effect.
func TestPlanDependsOnTheSeedOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(plan(t, 1)).To(gomega.Equal(plan(t, 1)))
	g.Expect(plan(t, 1)).NotTo(gomega.Equal(plan(t, 2)))
}

// Guards against a demand that is not the stated share of capacity, so that a crest never overloads the system.
func TestPlanFollowsTheDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	jobs := plan(t, 3)
	crest, resubmitted, cancelled := 0, 0, 0
	for _, job := range jobs {
		if job.crest {
			crest++
		}
		if job.cancelAt > 0 {
			cancelled++
			g.Expect(job.cancelAt).To(gomega.BeNumerically(">", job.at))
			g.Expect(job.cancelAt % (2 * time.Second)).To(gomega.BeZero())
		}
		if job.resubmit != resubmitNever {
			resubmitted++
			g.Expect(job.second).NotTo(gomega.Equal(job.entry))
		}
	}
	d, err := deployment.Load("wax")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	atCapacity := d.Capacity("bench") / d.Services[0].Load.WorkPerJob()
	const crestSeconds = 20 * 6
	g.Expect(float64(crest)).To(gomega.BeNumerically("~", 1.3*atCapacity*crestSeconds, 0.1*atCapacity*crestSeconds))
	g.Expect(float64(resubmitted) / float64(len(jobs))).To(gomega.BeNumerically("~", 0.03, 0.006))
	g.Expect(float64(cancelled) / float64(len(jobs))).To(gomega.BeNumerically("~", 0.03, 0.006))
}

// Guards against a body that the stand-in upstream cannot read, and against tasks with the same echo.
func TestBodiesAreReadAndDiffer(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, job := range plan(t, 4)[:200] {
		echoes := make(map[string]bool)
		for i, task := range job.tasks {
			var body struct {
				WorkMillis  int64  `json:"work_ms"`
				AnswerBytes int    `json:"answer_bytes"`
				Echo        string `json:"echo"`
			}
			g.Expect(json.Unmarshal(job.body("key", i), &body)).To(gomega.Succeed())
			g.Expect(body.WorkMillis).To(gomega.Equal(task.work.Milliseconds()))
			g.Expect(body.AnswerBytes).To(gomega.BeEquivalentTo(task.padding))
			g.Expect(body.Echo).To(gomega.Equal(job.echo("key", i)))
			echoes[body.Echo] = true
		}
		g.Expect(echoes).To(gomega.HaveLen(len(job.tasks)))
	}
}
