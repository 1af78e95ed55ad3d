package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a monotonic Clock that includes the time in which the host was suspended (CLOCK_BOOTTIME). Changes of the wall
// clock do not affect it. Its times can only be compared with each other. Its timers are those of System and do not advance
// while the host is suspended.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return bootEpoch.Add(time.Since(processStart)) // without CLOCK_BOOTTIME, suspends are not counted
	}
	return bootEpoch.Add(time.Duration(ts.Nano()))
}

// NewTimer implements Clock.
func (Boot) NewTimer(d time.Duration) Timer { return System{}.NewTimer(d) }

// bootEpoch is the time that Boot returns at the boot of the host: an arbitrary time that is not the zero time.
// processStart is the start of the fallback of Boot.Now.
var (
	bootEpoch    = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	processStart = time.Now()
)

// BootMicros converts a time of Boot to microseconds since the boot of the host, for use in messages.
func BootMicros(t time.Time) int64 { return t.Sub(bootEpoch).Microseconds() }

// FromBootMicros converts the result of BootMicros back to a time of Boot.
func FromBootMicros(micros int64) time.Time {
	return bootEpoch.Add(time.Duration(micros) * time.Microsecond)
}
