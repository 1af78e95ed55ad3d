package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of the control loop.
const (
	eventQueueLength = 4096
	// eventBatch is the maximum number of events handled before tasks are assigned. At high load one pass of the policies
	// then serves many events without delaying a start noticeably.
	eventBatch = 64
)

// ErrStopped is returned when the control goroutine has ended.
var ErrStopped = eris.New("entry has stopped")

// post queues an event for the control goroutine. It blocks while the queue is full, which applies backpressure to the
// readers of links and to callers instead of letting the queue grow.
func (e *Entry) post(event func(c *control)) {
	select {
	case e.events <- event:
	case <-e.stopped:
	}
}

// call runs f in the control goroutine and waits for it to return. It returns ErrStopped or the error of the context; f may
// still run after the latter.
func (e *Entry) call(ctx context.Context, f func(c *control)) error {
	done := make(chan struct{})
	event := func(c *control) {
		f(c)
		close(done)
	}
	select {
	case e.events <- event:
	case <-ctx.Done():
		return ctx.Err()
	case <-e.stopped:
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.stopped:
		return ErrStopped
	}
}

// controlLoop runs the control goroutine until the context ends: it handles events and due timers and then visits the
// services that they changed.
func (e *Entry) controlLoop(ctx context.Context) {
	defer close(e.stopped)
	c := e.control
	timer := e.options.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-e.events:
			c.now = e.options.Clock.Now()
			event(c)
			e.drainEvents(c)
		case <-timer.C():
			c.now = e.options.Clock.Now()
		}
		c.timers.runDue(c.now)
		c.visitDirtyServices()
		timer.Reset(c.timeUntilNextTimer())
	}
}

// drainEvents handles events that are already queued, at most eventBatch.
func (e *Entry) drainEvents(c *control) {
	for range eventBatch {
		select {
		case event := <-e.events:
			event(c)
		default:
			return
		}
	}
}

// timeUntilNextTimer returns the time until the next timer is due. There is always one, because the sweep reschedules
// itself.
func (c *control) timeUntilNextTimer() time.Duration {
	at, ok := c.timers.nextAt()
	if !ok {
		return sweepInterval
	}
	return max(at.Sub(c.now), 0)
}
