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
	tick  = 20 * time.Millisecond
	delay = 60 * time.Millisecond
	job   = 10
)

// fleet is a set of entries that report to each other with a delay.
type fleet struct {
	now     time.Time
	entries []*Quotas
	cut     func(from, to int) bool
	mail    []letter
}

type letter struct {
	at       time.Time
	from, to int
	usage    wire.QuotaUsage
}

func newFleet(n int, l Limit) *fleet {
	f := &fleet{now: epoch, cut: func(int, int) bool { return false }}
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
		f.entries = append(f.entries, q)
	}
	return f
}

// advance moves the time by one tick and passes reports on.
func (f *fleet) advance() {
	f.now = f.now.Add(tick)
	for i, q := range f.entries {
		if f.now.Before(q.Due()) {
			continue
		}
		u := q.Usage(f.now)
		for j := range f.entries {
			if j != i && !f.cut(i, j) {
				f.mail = append(f.mail, letter{f.now.Add(delay), i, j, u})
			}
		}
	}
	kept := f.mail[:0]
	for _, m := range f.mail {
		if m.at.After(f.now) {
			kept = append(kept, m)
			continue
		}
		f.entries[m.to].Report(f.now, fmt.Sprint(m.from), m.usage)
	}
	f.mail = kept
}

// run offers demand in tasks per second to each entry and returns what each admitted.
func (f *fleet) run(d time.Duration, demand []float64, random *rand.Rand) []int {
	admitted := make([]int, len(f.entries))
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance()
		for i, q := range f.entries {
			if random.Float64() >= demand[i]*tick.Seconds()/job {
				continue
			}
			if ok, _ := q.Admit(f.now, "team", job); ok {
				admitted[i] += job
				q.Release("team", job)
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

// TestRateHoldsAcrossEntries guards against admitting more than the documented bound, however demand moves between
// entries and whether or not the entries are partitioned.
func TestRateHoldsAcrossEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(rt, "entries")
		limit := Limit{Rate: 400, Burst: 200}
		f := newFleet(n, limit)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		total, changes := 0, 0
		phases := rapid.IntRange(1, 4).Draw(rt, "phases")
		for range phases {
			if rapid.Bool().Draw(rt, "partition") {
				border := rapid.IntRange(0, n).Draw(rt, "border")
				f.cut = func(a, b int) bool { return (a < border) != (b < border) }
				changes++
			}
			demand := make([]float64, n)
			for i := range demand {
				demand[i] = rapid.Float64Range(0, 500).Draw(rt, "demand")
			}
			total += sum(f.run(10*time.Second, demand, random))
		}
		bound := limit.Rate*10*float64(phases) + limit.Burst + float64(n*job) +
			limit.Rate*(staleAfter*MinInterval).Seconds()*float64(changes)
		if float64(total) > bound {
			rt.Fatalf("admitted %d, bound %.0f", total, bound)
		}
	})
}

// TestShareFollowsDemand guards against a quota that is left unused because the demand arrives at one entry.
func TestShareFollowsDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(4, Limit{Rate: 400, Burst: 100})
	random := rand.New(rand.NewPCG(1, 1))
	demand := []float64{1000, 0, 0, 0}
	f.run(10*time.Second, demand, random)
	got := sum(f.run(10*time.Second, demand, random))
	g.Expect(got).To(gomega.BeNumerically(">=", 0.75*4000), "one entry gets all but the floors of the others")
}

// TestPartitionFallsBack guards against two sides of a partition that each use the whole quota, and against an entry
// that keeps a small share after the partition.
func TestPartitionFallsBack(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(4, Limit{Rate: 400, Burst: 100})
	random := rand.New(rand.NewPCG(1, 1))
	demand := []float64{1000, 1000, 1000, 1000}
	f.run(10*time.Second, demand, random)
	f.cut = func(a, b int) bool { return (a == 0) != (b == 0) }
	f.run(5*time.Second, demand, random)
	alone := f.run(10*time.Second, demand, random)
	g.Expect(alone[0]).To(gomega.BeNumerically("<=", 0.25*4000+100))
	g.Expect(sum(alone)).To(gomega.BeNumerically("<=", 4000+100+4*job))
	f.cut = func(int, int) bool { return false }
	f.run(10*time.Second, demand, random)
	g.Expect(sum(f.run(10*time.Second, demand, random))).To(gomega.BeNumerically(">=", 0.9*4000))
}

// TestRunningLimit guards against more running tasks than the limit, and against a large job that can never run.
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
	q.Report(epoch, "b", wire.QuotaUsage{IntervalMillis: 1000, Teams: []wire.TeamUsage{{Team: "team", Running: 60}}})
	ok, _ = q.Admit(epoch, "team", 50)
	g.Expect(ok).To(gomega.BeFalse(), "the other entry runs 60")
	ok, _ = q.Admit(epoch, "team", 40)
	g.Expect(ok).To(gomega.BeTrue())
}

// TestNoLimit guards against limits for teams that have none.
func TestNoLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New(epoch)
	for range 1000 {
		ok, _ := q.Admit(epoch, "other", 140)
		g.Expect(ok).To(gomega.BeTrue())
	}
}

// TestLargeJobPaysBack guards against a job above the burst that is never admitted or that is free.
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

// Guards against reports that exceed their traffic: many small ones of teams with little work do by their headers.
func TestReportsStayWithinTheirTraffic(t *testing.T) {
	g := gomega.NewWithT(t)
	const headers, budget = 2 * 52, 400 // bytes of TCP and IP, bytes per second
	for _, peers := range []int{1, 3, 7, 11} {
		for _, teams := range []int{1, 2, 12, 60, 120} {
			usage := wire.QuotaUsage{IntervalMillis: 60_000}
			for i := range teams {
				usage.Teams = append(usage.Teams, wire.TeamUsage{
					Team: fmt.Sprintf("team-%03d", i), Admitted: 1000, Wanted: 1000, Running: 10,
				})
			}
			frame, err := wire.Encode(&usage)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			interval := Interval(peers, teams)
			if interval == MaxInterval {
				continue
			}
			rate := float64(peers*(len(frame)+headers)) / interval.Seconds()
			g.Expect(rate).To(gomega.BeNumerically("<=", budget), "%d peers, %d teams", peers, teams)
		}
	}
}
