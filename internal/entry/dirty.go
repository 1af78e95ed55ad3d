package entry

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
)

// dirtyMarker is a policy that marks its service dirty at each call that can change what the policy decides, so that a pass
// of the control loop visits only the services that an event affected.
type dirtyMarker struct {
	dispatch.Policy
	markDirty func()
}

// SetUpstream implements dispatch.Policy.
func (p dirtyMarker) SetUpstream(now time.Time, u dispatch.Upstream) {
	p.markDirty()
	p.Policy.SetUpstream(now, u)
}

// RemoveUpstream implements dispatch.Policy.
func (p dirtyMarker) RemoveUpstream(now time.Time, id string) {
	p.markDirty()
	p.Policy.RemoveUpstream(now, id)
}

// SetConfig implements dispatch.Policy.
func (p dirtyMarker) SetConfig(now time.Time, c dispatch.Config) {
	p.markDirty()
	p.Policy.SetConfig(now, c)
}

// Submit implements dispatch.Policy.
func (p dirtyMarker) Submit(now time.Time, j dispatch.Job) *dispatch.Refusal {
	p.markDirty()
	return p.Policy.Submit(now, j)
}

// Cancel implements dispatch.Policy.
func (p dirtyMarker) Cancel(now time.Time, refs []dispatch.TaskRef) []dispatch.TaskRef {
	p.markDirty()
	return p.Policy.Cancel(now, refs)
}

// ReportLoad implements dispatch.Policy.
func (p dirtyMarker) ReportLoad(now time.Time, id string, load dispatch.Load) {
	p.markDirty()
	p.Policy.ReportLoad(now, id, load)
}

// FinishAttempt implements dispatch.Policy.
func (p dirtyMarker) FinishAttempt(now time.Time, ref dispatch.TaskRef, upstream string, r dispatch.Result) dispatch.FinishStatus {
	p.markDirty()
	return p.Policy.FinishAttempt(now, ref, upstream, r)
}

// sweepInterval is the longest time between two visits of a service. It bounds the delay that a policy causes by returning
// no time, or too late a time, for its next visit.
const sweepInterval = time.Second

// markDirty makes the next pass visit a service.
func (c *control) markDirty(s *service) {
	if !s.dirty {
		s.dirty = true
		c.dirtyServices = append(c.dirtyServices, s)
	}
}

// scheduleSweep marks every service dirty once per sweepInterval.
func (c *control) scheduleSweep() {
	c.timers.add(c.now.Add(sweepInterval), func(time.Time) {
		for _, s := range c.services {
			c.markDirty(s)
		}
		c.scheduleSweep()
	})
}

// visitDirtyServices visits the dirty services. A visit can mark its own service again, for example when a start cannot be
// sent. That mark is dropped, and the policy returns the time of the next attempt instead, so that the loop does not spin.
func (c *control) visitDirtyServices() {
	for i := 0; i < len(c.dirtyServices); i++ {
		s := c.dirtyServices[i]
		c.visitService(s)
		s.dirty = false
	}
	clear(c.dirtyServices)
	c.dirtyServices = c.dirtyServices[:0]
}

// visitService sends the starts that the policy of a service decides on and handles the tasks that it refuses. A deleted
// service starts nothing.
func (c *control) visitService(s *service) {
	if c.services[s.name] != s {
		return
	}
	assignments, refusals := s.policy.Next(c.now)
	for _, a := range assignments {
		c.startAttempt(s, a)
	}
	for _, r := range refusals {
		c.handlePolicyRefusal(r)
	}
	c.scheduleNextVisit(s)
}

// scheduleNextVisit sets the timer for the visit that the policy requests.
func (c *control) scheduleNextVisit(s *service) {
	at := s.policy.NextWake(c.now)
	pending := s.wakeTimer != nil && s.wakeTimer.index >= 0
	if pending && s.wakeTimer.at.Equal(at) {
		return
	}
	c.timers.cancel(s.wakeTimer)
	s.wakeTimer = nil
	if !at.IsZero() {
		s.wakeTimer = c.timers.add(at, func(time.Time) { c.markDirty(s) })
	}
}
