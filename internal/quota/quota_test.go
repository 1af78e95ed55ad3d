package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

var epoch = time.Unix(1_000_000, 0)

const (
	step        = 20 * time.Millisecond
	reportDelay = 60 * time.Millisecond
	jobTasks    = 10
)

// cluster is a set of entries that report to each other with a delay.
type cluster struct {
	now      time.Time
	entries  []*Quotas
	isCut    func(from, to int) bool
	inFlight []message
}

// message is a report on its way to another entry.
type message struct {
	deliverAt time.Time
	from, to  int
	usage     wire.QuotaUsage
}

func newCluster(n int, l Limit) *cluster {
	c := &cluster{now: epoch, isCut: func(int, int) bool { return false }}
	for i := range n {
		q := New(epoch)
		var peers []string
		for j := range n {
			if j != i {
				peers = append(peers, fmt.Sprint(j))
			}
		}
		q.SetPeers(epoch, peers)
		q.SetLimits(epoch, map[string]Limit{"team": l})
		c.entries = append(c.entries, q)
	}
	return c
}

// advance moves the time forward by one step and sends and delivers reports.
func (c *cluster) advance() {
	c.now = c.now.Add(step)
	for i, q := range c.entries {
		if c.now.Before(q.NextReportAt()) {
			continue
		}
		u := q.TakeUsage(c.now)
		for j := range c.entries {
			if j != i && !c.isCut(i, j) {
				c.inFlight = append(c.inFlight, message{c.now.Add(reportDelay), i, j, u})
			}
		}
	}
	kept := c.inFlight[:0]
	for _, m := range c.inFlight {
		if m.deliverAt.After(c.now) {
			kept = append(kept, m)
			continue
		}
		c.entries[m.to].ReceiveReport(c.now, fmt.Sprint(m.from), m.usage)
	}
	c.inFlight = kept
}

// offerDemand offers each entry its demand in tasks per second and returns the number of tasks that each admitted.
func (c *cluster) offerDemand(d time.Duration, demand []float64, random *rand.Rand) []int {
	admitted := make([]int, len(c.entries))
	for end := c.now.Add(d); c.now.Before(end); {
		c.advance()
		for i, q := range c.entries {
			if random.Float64() >= demand[i]*step.Seconds()/jobTasks {
				continue
			}
			if ok, _ := q.Admit(c.now, "team", jobTasks); ok {
				admitted[i] += jobTasks
				q.Release("team", jobTasks)
			}
		}
	}
	return admitted
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}

// TestRateHoldsAcrossEntries guards against admitting more than the documented bound when demand moves between entries,
// with and without partitions.
func TestRateHoldsAcrossEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(rt, "entries")
		limit := Limit{Rate: 400, Burst: 200}
		c := newCluster(n, limit)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		total, changes := 0, 0
		phases := rapid.IntRange(1, 4).Draw(rt, "phases")
		for range phases {
			if rapid.Bool().Draw(rt, "partition") {
				border := rapid.IntRange(0, n).Draw(rt, "border")
				c.isCut = func(a, b int) bool { return (a < border) != (b < border) }
				changes++
			}
			demand := make([]float64, n)
			for i := range demand {
				demand[i] = rapid.Float64Range(0, 500).Draw(rt, "demand")
			}
			total += sum(c.offerDemand(10*time.Second, demand, random))
		}
		bound := limit.Rate*10*float64(phases) + limit.Burst + float64(n*jobTasks) +
			limit.Rate*(staleIntervals*MinReportInterval).Seconds()*float64(changes)
		if float64(total) > bound {
			rt.Fatalf("admitted %d, bound %.0f", total, bound)
		}
	})
}

// TestShareFollowsDemand guards against a quota that stays partly unused because all demand arrives at one entry.
func TestShareFollowsDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(4, Limit{Rate: 400, Burst: 100})
	random := rand.New(rand.NewPCG(1, 1))
	demand := []float64{1000, 0, 0, 0}
	c.offerDemand(10*time.Second, demand, random)
	got := sum(c.offerDemand(10*time.Second, demand, random))
	g.Expect(got).To(gomega.BeNumerically(">=", 0.75*4000), "one entry gets all but the floors of the others")
}

// TestPartitionFallsBack guards against two sides of a partition that each use the whole quota, and against an entry
// that keeps a small share after the partition.
func TestPartitionFallsBack(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(4, Limit{Rate: 400, Burst: 100})
	random := rand.New(rand.NewPCG(1, 1))
	demand := []float64{1000, 1000, 1000, 1000}
	c.offerDemand(10*time.Second, demand, random)
	c.isCut = func(a, b int) bool { return (a == 0) != (b == 0) }
	c.offerDemand(5*time.Second, demand, random)
	alone := c.offerDemand(10*time.Second, demand, random)
	g.Expect(alone[0]).To(gomega.BeNumerically("<=", 0.25*4000+100))
	g.Expect(sum(alone)).To(gomega.BeNumerically("<=", 4000+100+4*jobTasks))
	c.isCut = func(int, int) bool { return false }
	c.offerDemand(10*time.Second, demand, random)
	g.Expect(sum(c.offerDemand(10*time.Second, demand, random))).To(gomega.BeNumerically(">=", 0.9*4000))
}

// TestRunningLimit guards against exceeding the limit of running tasks, and against a large job that can never run.
func TestRunningLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(epoch)
	q.SetPeers(epoch, []string{"b"})
	q.SetLimits(epoch, map[string]Limit{"team": {Running: 100}})
	ok, _ := q.Admit(epoch, "team", 90)
	g.Expect(ok).To(gomega.BeTrue(), "a job above the share of an entry runs when nothing else does")
	ok, retry := q.Admit(epoch, "team", 20)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(retry).To(gomega.BeNumerically(">", 0))
	q.Release("team", 90)
	q.ReceiveReport(epoch, "b", wire.QuotaUsage{IntervalMillis: 1000, Teams: []wire.TeamUsage{{Team: "team", Running: 60}}})
	ok, _ = q.Admit(epoch, "team", 50)
	g.Expect(ok).To(gomega.BeFalse(), "the other entry runs 60")
	ok, _ = q.Admit(epoch, "team", 40)
	g.Expect(ok).To(gomega.BeTrue())
}

// TestNoLimit guards against refusing jobs of a team without limits.
func TestNoLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(epoch)
	for range 1000 {
		ok, _ := q.Admit(epoch, "other", 140)
		g.Expect(ok).To(gomega.BeTrue())
	}
}

// TestLargeJobPaysBack guards against a job larger than the burst that is never admitted, or that costs no more than the
// burst.
func TestLargeJobPaysBack(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(epoch)
	q.SetLimits(epoch, map[string]Limit{"team": {Rate: 10, Burst: 20}})
	ok, _ := q.Admit(epoch, "team", 140)
	g.Expect(ok).To(gomega.BeTrue())
	ok, retry := q.Admit(epoch, "team", 1)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(retry).To(gomega.BeNumerically("~", 12100*time.Millisecond, time.Millisecond))
	ok, _ = q.Admit(epoch.Add(retry), "team", 1)
	g.Expect(ok).To(gomega.BeTrue())
}

// Guards against reports that exceed their traffic limit. The headers matter: teams with little work cause many small
// reports.
func TestReportsStayWithinTheirTraffic(t *testing.T) {
	g := gomega.NewWithT(t)
	const headers, budget = 2 * 52, 400 // bytes of TCP and IP headers, bytes per second
	for _, peers := range []int{1, 3, 7, 11} {
		for _, teams := range []int{1, 2, 12, 60, 120} {
			usage := wire.QuotaUsage{IntervalMillis: 60_000}
			for i := range teams {
				usage.Teams = append(usage.Teams, wire.TeamUsage{
					Team: fmt.Sprintf("team-%03d", i), Admitted: 1000, Submitted: 1000, Running: 10,
				})
			}
			frame, err := wire.Encode(&usage)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			interval := ReportInterval(peers, teams)
			if interval == MaxReportInterval {
				continue
			}
			rate := float64(peers*(len(frame)+headers)) / interval.Seconds()
			g.Expect(rate).To(gomega.BeNumerically("<=", budget), "%d peers, %d teams", peers, teams)
		}
	}
}
