package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestRetriesAreOff guards against a second start of a task when the service document does not enable retries.
func TestRetriesAreOff(t *testing.T) {
	for _, state := range []ResultState{Failed, Lost} {
		h := newHarness(t, Config{}, up("u1", 1), up("u2", 1))
		h.submit(Job{Idempotent: true})
		h.Expect(h.finish(h.nextOne(), state, 0)).To(gomega.Equal(TaskEnded))
		h.Expect(h.next()).To(gomega.BeEmpty())
	}
}

// TestRetryBudget guards against more retries than the budgeted share of first attempts, and against retries of tasks
// that are not idempotent.
func TestRetryBudget(t *testing.T) {
	h := newHarness(t, Config{Retries: &Retries{Budget: 0.1, MaxAttempts: 2}}, up("u1", 8), up("u2", 8), up("u3", 8))
	retries := 0
	const tasks = 1000
	for i := range tasks {
		h.submit(Job{Idempotent: i%2 == 0})
		a := h.nextOne()
		for h.finish(a, Failed, 0) == Requeued {
			retries++
			h.Expect(i%2).To(gomega.BeZero(), "only idempotent tasks are retried")
			a = h.nextOne()
			h.Expect(a.Retry).To(gomega.BeTrue())
		}
		h.advance(time.Second)
	}
	h.Expect(retries).To(gomega.BeNumerically("~", 100, 1))
}

// TestHedging guards against a second attempt at the upstream of the first, and against a hedged task that ends twice.
func TestHedging(t *testing.T) {
	h := newHarness(t, Config{Hedging: &Hedging{Factor: 1, Budget: 1}}, up("u1", 4), up("u2", 4))
	for range 10 {
		h.submit(Job{Idempotent: true})
		a := h.nextOne()
		h.advance(100 * time.Millisecond)
		h.succeed(a, 100*time.Millisecond)
	}
	h.submit(Job{Idempotent: true})
	first := h.nextOne()
	wake := h.p.NextWake(h.now)
	h.Expect(wake).To(gomega.BeTemporally(">", h.now.Add(100*time.Millisecond)))
	h.now = wake
	second := h.nextOne()
	h.Expect(second.Hedge).To(gomega.BeTrue())
	h.Expect(second.Ref).To(gomega.Equal(first.Ref))
	h.Expect(second.Upstream).NotTo(gomega.Equal(first.Upstream))
	h.Expect(h.succeed(second, 100*time.Millisecond)).To(gomega.Equal(TaskEnded))
	h.Expect(h.succeed(first, 100*time.Millisecond)).To(gomega.Equal(UnknownAttempt))
	h.Expect(h.p.Stats(h.now).OpenAttempts).To(gomega.BeZero())
}

// TestEjectedShareIsCapped guards against ejecting more than the configured share of upstreams when many of them fail.
func TestEjectedShareIsCapped(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(rt, "share")
		n := rapid.IntRange(1, 12).Draw(rt, "upstreams")
		p := newPolicy(gomega.NewWithT(rt), ExpectedCompletion, rapid.Uint64().Draw(rt, "seed"), Config{
			Ejection: &Ejection{MaxShare: share, ErrorRate: 0.2, ProbeAfter: time.Second},
		})
		now := epoch.Add(time.Minute)
		bad := map[string]bool{}
		for i := range n {
			u := up(fmt.Sprint("u", i), 2)
			bad[u.ID] = rapid.Bool().Draw(rt, "bad")
			p.SetUpstream(now, u)
		}
		for id := range uint64(300) {
			p.Submit(now, Job{ID: id, Kind: "k", Deadline: now.Add(time.Second), Tasks: 2})
			assignments, _ := p.Next(now)
			for _, a := range append([]Assignment(nil), assignments...) {
				state := Succeeded
				if bad[a.Upstream] {
					state = Failed
				}
				p.FinishAttempt(now, a.Ref, a.Upstream, Result{State: state, Service: 10 * time.Millisecond})
			}
			now = now.Add(50 * time.Millisecond)
			if s := p.Stats(now); float64(s.Ejected) > share*float64(n) {
				rt.Fatalf("%d of %d upstreams are ejected, allowed share %.2f", s.Ejected, n, share)
			}
		}
	})
}

// TestEjectedUpstreamIsProbed guards against an ejected upstream that is never readmitted, and against probes with more
// than one task at a time.
func TestEjectedUpstreamIsProbed(t *testing.T) {
	bad, good := up("bad", 8), up("good", 8)
	good.Kinds = []string{"other"}
	h := newHarness(t, Config{Ejection: &Ejection{MaxShare: 0.5, ErrorRate: 0.3, ProbeAfter: time.Second}}, bad, good)
	broken := true
	ejected, maxProbes := false, 0
	for range 3000 {
		h.submit(Job{Tasks: 4})
		probes := 0
		for _, a := range h.next() {
			if a.Upstream == "bad" {
				probes++
			}
			if a.Upstream == "bad" && broken {
				h.finish(a, Failed, 0)
				continue
			}
			h.succeed(a, 10*time.Millisecond)
		}
		if h.p.Stats(h.now).Ejected == 1 && !ejected {
			ejected, broken = true, false
		} else if ejected && h.p.Stats(h.now).Ejected == 0 {
			h.Expect(maxProbes).To(gomega.BeNumerically("<=", 1))
			return
		} else if ejected {
			maxProbes = max(maxProbes, probes)
		}
		h.advance(10 * time.Millisecond)
	}
	t.Fatalf("upstream was not readmitted after its ejection (ejected: %v)", ejected)
}
