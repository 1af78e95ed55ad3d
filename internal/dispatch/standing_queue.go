package dispatch

import "time"

// Parameters of standing queues.
const (
	// A queue counts as standing if the expected wait stays above standingWait for a whole standingWindow and jobs are
	// refused because they would miss their deadline. A queue that forms during a load spike is worth keeping, because
	// it empties after the spike; a standing queue only adds delay.
	//
	// While a queue is standing, new work that is not urgent is refused if it would wait for more than standingShare of
	// the time to its deadline, or for more than maxStandingWait. This ends when the wait stays below standingWait for
	// a whole window.
	standingWindow  = instant(10 * time.Second)
	standingWait    = instant(2500 * time.Millisecond)
	standingShare   = 0.5
	maxStandingWait = instant(4 * time.Second)
)

// standingQueue detects a standing queue from the lowest and highest expected wait in a window.
type standingQueue struct {
	waitExceeded    bool // the wait was above standingWait for a whole window
	standing        bool // waitExceeded, and jobs were refused because they would miss their deadline
	lateRefusal     bool // a job was refused in this window because it would miss its deadline
	windowEnd       instant
	lowest, highest instant // expected wait in this window
}

// observe records the expected wait at the end of each Next.
func (s *standingQueue) observe(now, wait instant) {
	s.lowest, s.highest = min(s.lowest, wait), max(s.highest, wait)
	if now < s.windowEnd {
		return
	}
	switch {
	case now >= s.windowEnd+standingWindow: // no wait was observed for a whole window
		s.waitExceeded, s.standing = false, false
	case s.lowest > standingWait:
		s.waitExceeded, s.standing = true, s.standing || s.lateRefusal
	case s.highest < standingWait:
		s.waitExceeded, s.standing = false, false
	}
	s.lateRefusal, s.lowest, s.highest, s.windowEnd = false, wait, wait, now+standingWindow
}
