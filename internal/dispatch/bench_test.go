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
	b := &loadedPolicy{policy: newPolicy(t, name, 1, Config{}), now: epoch.Add(time.Minute), r: rand.New(rand.NewPCG(1, 1))}
	const slots = 8
	for i := range upstreams {
		b.policy.SetUpstream(b.now, Upstream{ID: fmt.Sprint("u", i), DataCentre: string(rune('A' + i%4)), Slots: slots})
	}
	for range 3 * int(load*float64(upstreams*slots)) {
		b.submit()
		b.next()
		if len(b.open) > int(load*float64(upstreams*slots)) {
			b.finish()
		}
	}
	return b
}

func (b *loadedPolicy) submit() {
	b.lastJobID++
	b.policy.Submit(b.now, Job{ID: b.lastJobID, Team: "t", Kind: "k", Deadline: b.now.Add(10 * time.Second), Tasks: 1})
}

func (b *loadedPolicy) next() {
	assignments, _ := b.policy.Next(b.now)
	b.open = append(b.open, assignments...)
}

// finish ends a random open attempt with a random service time and load report.
func (b *loadedPolicy) finish() {
	i := b.r.IntN(len(b.open))
	a := b.open[i]
	b.open[i] = b.open[len(b.open)-1]
	b.open = b.open[:len(b.open)-1]
	service := time.Duration(50+b.r.IntN(500)) * time.Millisecond
	b.now = b.now.Add(20 * time.Microsecond)
	b.policy.FinishAttempt(b.now, a.Ref, a.Upstream, Result{State: Succeeded, Service: service})
	b.policy.ReportLoad(b.now, a.Upstream, Load{Running: uint16(b.r.IntN(8))})
}

// BenchmarkDecision measures the choice of an upstream for one task.
func BenchmarkDecision(b *testing.B) {
	for _, name := range policyNames() {
		for _, n := range []int{11, 730} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				s := newLoadedPolicy(gomega.NewWithT(b), name, n, 0.7)
				e := s.policy.(*engine)
				t := &task{job: &job{kind: e.kindOf("k", 0), class: classNormal, waitingTasks: 1}}
				at := e.instantOf(s.now)
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
				s := newLoadedPolicy(gomega.NewWithT(b), name, n, 0.7)
				b.ReportAllocs()
				for b.Loop() {
					s.submit()
					s.next()
					s.finish()
				}
			})
		}
	}
}

// BenchmarkOverload measures one task while thousands wait: each finished attempt frees the slot for the next task.
func BenchmarkOverload(b *testing.B) {
	for _, n := range []int{11, 730} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newLoadedPolicy(gomega.NewWithT(b), ExpectedCompletion, n, 1)
			for range 5000 {
				s.submit()
			}
			b.ReportAllocs()
			for b.Loop() {
				s.submit()
				s.finish()
				s.next()
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
