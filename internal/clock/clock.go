// Package clock is the only way by which the rest of the program reads the time or waits for it.
package clock

import "time"

// Clock tells the time and creates timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// NewTimer returns a timer that sends on its channel once, after d.
	NewTimer(d time.Duration) Timer
}

// Timer is a single-shot timer in the manner of time.Timer.
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
