package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// loadedPolicy is a policy in a steady state in which a share of the slots holds open attempts.
type loadedPolicy struct {
	policy    Policy
	now       time.Time
	lastJobID uint64
	open      []Assignment
	r         *rand.Rand
}

func newLoadedPolicy(t gomega.Gomega, name string, upstreams int, load float64) *loadedPolicy {
	p := &loadedPolicy{policy: newPolicy(t, name, 1, Config{}), now: epoch.Add(time.Minute), r: rand.New(rand.NewPCG(1, 1))}
	const slots = 8
	for i := range upstreams {
		p.policy.SetUpstream(p.now, Upstream{ID: fmt.Sprint("u", i), DataCentre: string(rune('A' + i%4)), Slots: slots})
	}
	for range 3 * int(load*float64(upstreams*slots)) {
		p.submit()
		p.next()
		if len(p.open) > int(load*float64(upstreams*slots)) {
			p.finish()
		}
	}
	return p
}

func (p *loadedPolicy) submit() {
	p.lastJobID++
	p.policy.Submit(p.now, Job{ID: p.lastJobID, Team: "t", Kind: "k", Deadline: p.now.Add(10 * time.Second), Tasks: 1})
}

func (p *loadedPolicy) next() {
	assignments, _ := p.policy.Next(p.now)
	p.open = append(p.open, assignments...)
}

// finish ends a random open attempt with a random service time and load report.
func (p *loadedPolicy) finish() {
	i := p.r.IntN(len(p.open))
	a := p.open[i]
	p.open[i] = p.open[len(p.open)-1]
	p.open = p.open[:len(p.open)-1]
	service := time.Duration(50+p.r.IntN(500)) * time.Millisecond
	p.now = p.now.Add(20 * time.Microsecond)
	p.policy.FinishAttempt(p.now, a.Ref, a.Upstream, Result{State: Succeeded, Service: service})
	p.policy.ReportLoad(p.now, a.Upstream, Load{Running: uint16(p.r.IntN(8))})
}

// BenchmarkDecision measures the choice of an upstream for one task.
func BenchmarkDecision(b *testing.B) {
	for _, name := range policyNames() {
		for _, n := range []int{11, 730} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				p := newLoadedPolicy(gomega.NewWithT(b), name, n, 0.7)
				e := p.policy.(*engine)
				t := &task{job: &job{kind: e.kindOf("k", 0), class: classNormal, waitingTasks: 1}}
				at := e.instantOf(p.now)
				b.ReportAllocs()
				for b.Loop() {
					at += 1000
					e.chooser.choose(e, at, t)
				}
			})
		}
	}
}

// BenchmarkTask measures Submit, Next, FinishAttempt and ReportLoad for a job with one task.
func BenchmarkTask(b *testing.B) {
	for _, name := range policyNames() {
		for _, n := range []int{11, 730} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				p := newLoadedPolicy(gomega.NewWithT(b), name, n, 0.7)
				b.ReportAllocs()
				for b.Loop() {
					p.submit()
					p.next()
					p.finish()
				}
			})
		}
	}
}

// BenchmarkOverload measures one task while thousands wait: each finished attempt frees the slot for the next task.
func BenchmarkOverload(b *testing.B) {
	for _, n := range []int{11, 730} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newLoadedPolicy(gomega.NewWithT(b), ExpectedCompletion, n, 1)
			for range 5000 {
				p.submit()
			}
			b.ReportAllocs()
			for b.Loop() {
				p.submit()
				p.finish()
				p.next()
			}
		})
	}
}

// BenchmarkCancel measures the cancellation of one of many waiting tasks.
func BenchmarkCancel(b *testing.B) {
	p := newPolicy(gomega.NewWithT(b), ExpectedCompletion, 1, Config{MaxWaiting: 1 << 30})
	p.SetUpstream(epoch, Upstream{ID: "u", DataCentre: "A", Slots: 1})
	const wave = 10_000
	id := uint64(0)
	refs := make([]TaskRef, 1)
	left := 0
	b.ReportAllocs()
	for b.Loop() {
		if left == 0 {
			b.StopTimer()
			for range wave {
				id++
				p.Submit(epoch, Job{ID: id, Kind: "k", Deadline: epoch.Add(time.Hour), Tasks: 1})
			}
			left = wave
			b.StartTimer()
		}
		refs[0] = TaskRef{Job: id - uint64(left) + 1}
		left--
		p.Cancel(epoch, refs)
	}
}
