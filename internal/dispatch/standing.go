package dispatch

import "time"

// Parameters of standing queues.
const (
	// standingWindow is the time over which the lowest expected wait must be above standingWait, with jobs refused
	// because they would be late, for the queue to count as standing. A queue that forms in a crest of demand is worth
	// keeping, because it empties after the crest. One that stands adds only delay. Until the wait stays below
	// standingWait for a whole window, new work that is not urgent is refused when it would wait for more than
	// standingShare of the time to its deadline, or for more than maxStandingWait.
	standingWindow  = instant(10 * time.Second)
	standingWait    = instant(2500 * time.Millisecond)
	standingShare   = 0.5
	maxStandingWait = instant(4 * time.Second)
)

// standingQueue finds out whether a queue stands, from the lowest and highest wait in a window.
type standingQueue struct {
	loaded          bool // the wait was above standingWait for a whole window
	standing        bool // loaded, and jobs were refused because they would be late
	late            bool // a job was refused in this window because it would have been late
	windowEnd       instant
	lowest, highest instant
}

func (s *standingQueue) observe(now, wait instant) {
	s.lowest, s.highest = min(s.lowest, wait), max(s.highest, wait)
	if now < s.windowEnd {
		return
	}
	switch {
	case now >= s.windowEnd+standingWindow: // nothing was observed for long
		s.loaded, s.standing = false, false
	case s.lowest > standingWait:
		s.loaded, s.standing = true, s.standing || s.late
	case s.highest < standingWait:
		s.loaded, s.standing = false, false
	}
	s.late, s.lowest, s.highest, s.windowEnd = false, wait, wait, now+standingWindow
}
