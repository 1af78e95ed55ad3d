package entry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
)

// markingPolicy marks its service dirty at each call that can change what the policy decides, so that a pass of the
// control loop visits only the services that an event touched.
type markingPolicy struct {
	dispatch.Policy
	mark func()
}

// SetUpstream implements dispatch.Policy.
func (p markingPolicy) SetUpstream(now time.Time, u dispatch.Upstream) {
	p.mark()
	p.Policy.SetUpstream(now, u)
}

// RemoveUpstream implements dispatch.Policy.
func (p markingPolicy) RemoveUpstream(now time.Time, id string) {
	p.mark()
	p.Policy.RemoveUpstream(now, id)
}

// SetConfig implements dispatch.Policy.
func (p markingPolicy) SetConfig(now time.Time, c dispatch.Config) {
	p.mark()
	p.Policy.SetConfig(now, c)
}

// Submit implements dispatch.Policy.
func (p markingPolicy) Submit(now time.Time, j dispatch.Job) *dispatch.Refusal {
	p.mark()
	return p.Policy.Submit(now, j)
}

// Cancel implements dispatch.Policy.
func (p markingPolicy) Cancel(now time.Time, refs []dispatch.TaskRef) []dispatch.TaskRef {
	p.mark()
	return p.Policy.Cancel(now, refs)
}

// Report implements dispatch.Policy.
func (p markingPolicy) Report(now time.Time, id string, load dispatch.Load) {
	p.mark()
	p.Policy.Report(now, id, load)
}

// Finished implements dispatch.Policy.
func (p markingPolicy) Finished(now time.Time, ref dispatch.TaskRef, upstream string, r dispatch.Result) dispatch.Verdict {
	p.mark()
	return p.Policy.Finished(now, ref, upstream, r)
}

// sweepInterval is the longest time between two visits of a service, so that a policy that forgets to name a time cannot
// stall for long.
const sweepInterval = time.Second

// markDirty makes the next pass visit a service.
func (c *control) markDirty(s *service) {
	if !s.dirty {
		s.dirty = true
		c.dirty = append(c.dirty, s)
	}
}

// planSweep visits every service at an interval.
func (c *control) planSweep() {
	c.timers.add(c.now.Add(sweepInterval), func(time.Time) {
		for _, s := range c.services {
			c.markDirty(s)
		}
		c.planSweep()
	})
}

// assign visits the dirty services. A visit can mark its own service again, for example when a start cannot be sent; the
// policy then names the time of the next try, so that the loop does not spin.
func (c *control) assign() {
	for i := 0; i < len(c.dirty); i++ {
		s := c.dirty[i]
		c.visit(s)
		s.dirty = false
	}
	clear(c.dirty)
	c.dirty = c.dirty[:0]
}

// visit sends what the policy of a service decides to start now and gives up what it refuses. A deleted service starts
// nothing.
func (c *control) visit(s *service) {
	if c.services[s.name] != s {
		return
	}
	assignments, refusals := s.policy.Next(c.now)
	for _, a := range assignments {
		c.start(s, a)
	}
	for _, r := range refusals {
		c.giveUp(r)
	}
	c.planVisit(s)
}

// planVisit arranges the visit that the policy asks for.
func (c *control) planVisit(s *service) {
	at := s.policy.Wake(c.now)
	pending := s.wake != nil && s.wake.index >= 0
	if pending && s.wake.at.Equal(at) {
		return
	}
	c.timers.cancel(s.wake)
	s.wake = nil
	if !at.IsZero() {
		s.wake = c.timers.add(at, func(time.Time) { c.markDirty(s) })
	}
}
