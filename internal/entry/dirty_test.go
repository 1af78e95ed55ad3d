package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
)

// countingPolicy counts its visits and requests the next one at a fixed time.
type countingPolicy struct {
	dispatch.Policy
	visits int
	wake   time.Time
}

func (p *countingPolicy) Next(time.Time) ([]dispatch.Assignment, []dispatch.Refusal) {
	p.visits++
	return nil, nil
}

func (p *countingPolicy) NextWake(time.Time) time.Time { return p.wake }

func (p *countingPolicy) ReportLoad(time.Time, string, dispatch.Load) {}

// Guards against passes whose cost grows with the number of services, and against a service that is not visited after an
// event, at the time that its policy requested, or by the sweep.
func TestPassVisitsOnlyDirtyServices(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &control{now: time.Unix(1_000, 0), services: make(map[string]*service)}
	policies := make(map[string]*countingPolicy)
	for _, name := range []string{"a", "b", "c"} {
		p, s := &countingPolicy{}, &service{name: name}
		s.policy = dirtyMarker{Policy: p, markDirty: func() { c.markDirty(s) }}
		policies[name], c.services[name] = p, s
	}
	visits := func() []int { return []int{policies["a"].visits, policies["b"].visits, policies["c"].visits} }
	pass := func(after time.Duration) {
		c.now = c.now.Add(after)
		c.timers.runDue(c.now)
		c.visitDirtyServices()
	}
	c.scheduleSweep()

	policies["a"].wake = c.now.Add(10 * time.Millisecond)
	c.services["a"].policy.ReportLoad(c.now, "", dispatch.Load{})
	c.services["a"].policy.ReportLoad(c.now, "", dispatch.Load{})
	pass(0)
	g.Expect(visits()).To(gomega.Equal([]int{1, 0, 0}))
	g.Expect(c.timeUntilNextTimer()).To(gomega.Equal(10 * time.Millisecond))

	pass(5 * time.Millisecond)
	g.Expect(visits()).To(gomega.Equal([]int{1, 0, 0}))
	policies["a"].wake = time.Time{}
	pass(5 * time.Millisecond)
	g.Expect(visits()).To(gomega.Equal([]int{2, 0, 0}))
	g.Expect(c.timeUntilNextTimer()).To(gomega.Equal(sweepInterval - 10*time.Millisecond))

	c.services["b"].policy.ReportLoad(c.now, "", dispatch.Load{})
	delete(c.services, "b")
	pass(0)
	g.Expect(visits()).To(gomega.Equal([]int{2, 0, 0}), "a deleted service starts nothing")
	pass(sweepInterval)
	g.Expect(visits()).To(gomega.Equal([]int{3, 0, 1}))
}
