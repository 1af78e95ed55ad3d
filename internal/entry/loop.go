package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Sizes of the control loop.
const (
	eventQueueLength = 4096
	// eventBatch bounds the events handled before tasks are assigned, so that one pass of the policy serves many events
	// at high load without delaying a start noticeably.
	eventBatch = 64
)

// ErrStopped is returned when the control goroutine has ended.
var ErrStopped = eris.New("entry has stopped")

// post hands an event to the control goroutine. It blocks while the event queue is full, which slows down readers of
// links and callers instead of letting the queue grow.
func (e *Entry) post(event func(c *control)) {
	select {
	case e.events <- event:
	case <-e.stopped:
	}
}

// call runs a function in the control goroutine and waits for it.
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

// run is the control goroutine.
func (e *Entry) run(ctx context.Context) {
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
			e.drain(c)
		case <-timer.C():
			c.now = e.options.Clock.Now()
		}
		c.timers.fire(c.now)
		c.assign()
		timer.Reset(c.untilWake())
	}
}

func (e *Entry) drain(c *control) {
	for range eventBatch {
		select {
		case event := <-e.events:
			event(c)
		default:
			return
		}
	}
}

// untilWake returns the time until the next callback. There is always one, since the sweep plans itself again.
func (c *control) untilWake() time.Duration {
	at, ok := c.timers.next()
	if !ok {
		return sweepInterval
	}
	return max(at.Sub(c.now), 0)
}
