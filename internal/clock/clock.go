// Package clock abstracts the time, so that tests can control it. Code whose behaviour depends on the time uses a Clock
// instead of package time.
package clock

import "time"

// Clock returns the current time and creates timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// NewTimer returns a timer that sends on its channel once, after d.
	NewTimer(d time.Duration) Timer
}

// Timer is a one-shot timer like time.Timer.
type Timer interface {
	// C returns the channel on which the expiry time is sent.
	C() <-chan time.Time
	// Stop prevents the timer from firing and reports whether it was still pending.
	Stop() bool
	// Reset restarts the timer with a new duration. An expiry that was not received is discarded.
	Reset(d time.Duration)
}

// System is the Clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// NewTimer implements Clock.
func (System) NewTimer(d time.Duration) Timer { return systemTimer{time.NewTimer(d)} }

type systemTimer struct{ timer *time.Timer }

func (t systemTimer) C() <-chan time.Time   { return t.timer.C }
func (t systemTimer) Stop() bool            { return t.timer.Stop() }
func (t systemTimer) Reset(d time.Duration) { t.timer.Reset(d) }
