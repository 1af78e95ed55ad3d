package loadgen

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
)

func planJobs(t *testing.T, seed uint64) []*plannedJob {
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

// Guards against plans that differ although the seed is the same, and against a seed that has no effect.
func TestPlanDependsOnTheSeedOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(planJobs(t, 1)).To(gomega.Equal(planJobs(t, 1)))
	g.Expect(planJobs(t, 1)).NotTo(gomega.Equal(planJobs(t, 2)))
}

// Guards against a demand that is not the configured share of capacity, in which case a peak would not overload the system.
func TestPlanFollowsTheDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	jobs := planJobs(t, 3)
	peakJobs, resubmitted, cancelled := 0, 0, 0
	for _, job := range jobs {
		if job.atPeak {
			peakJobs++
		}
		if job.cancelOffset > 0 {
			cancelled++
			g.Expect(job.cancelOffset).To(gomega.BeNumerically(">", job.arrivalOffset))
			g.Expect(job.cancelOffset % (2 * time.Second)).To(gomega.BeZero())
		}
		if job.resubmit != resubmitNever {
			resubmitted++
			g.Expect(job.resubmitEntry).NotTo(gomega.Equal(job.submitEntry))
		}
	}
	d, err := deployment.Load("wax")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	fullCapacityJobRate := d.Capacity("bench") / d.Services[0].Load.WorkPerJob()
	const peakSeconds = 20 * 6
	g.Expect(float64(peakJobs)).To(gomega.BeNumerically("~", 1.3*fullCapacityJobRate*peakSeconds, 0.1*fullCapacityJobRate*peakSeconds))
	g.Expect(float64(resubmitted) / float64(len(jobs))).To(gomega.BeNumerically("~", 0.03, 0.006))
	g.Expect(float64(cancelled) / float64(len(jobs))).To(gomega.BeNumerically("~", 0.03, 0.006))
}

// Guards against a task body that the stand-in upstream cannot parse, and against two tasks with the same echo.
func TestTaskBodiesAreReadableAndDistinct(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, job := range planJobs(t, 4)[:200] {
		echoes := make(map[string]bool)
		for i, task := range job.tasks {
			var body struct {
				WorkMillis  int64  `json:"work_ms"`
				AnswerBytes int    `json:"answer_bytes"`
				Echo        string `json:"echo"`
			}
			g.Expect(json.Unmarshal(job.taskBody("key", i), &body)).To(gomega.Succeed())
			g.Expect(body.WorkMillis).To(gomega.Equal(task.work.Milliseconds()))
			g.Expect(body.AnswerBytes).To(gomega.BeEquivalentTo(task.padding))
			g.Expect(body.Echo).To(gomega.Equal(job.expectedEcho("key", i)))
			echoes[body.Echo] = true
		}
		g.Expect(echoes).To(gomega.HaveLen(len(job.tasks)))
	}
}
