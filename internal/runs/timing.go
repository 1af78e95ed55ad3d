package runs

import "time"

// Timeouts between entries and agents. Both sides compute from them when every run of an entry that is out of contact has
// ended, so they must be the same in all processes.
const (
	// HeartbeatInterval is the longest time without a message on a link. A message and the next message of the peer, which
	// echoes it, take up to two intervals; with a pause of 100 ms at either end that stays below OwnerTimeout.
	HeartbeatInterval = 80 * time.Millisecond
	// MaxIdleHeartbeatInterval is the longest interval of heartbeats on an idle link, one on which the entry has no open offer.
	// It is shorter than OwnerTimeout, so that no link is lost when the interval changes.
	MaxIdleHeartbeatInterval = 320 * time.Millisecond
	// idlePauseAllowance is what IdleTimeout allows for a pause of 100 ms at either end.
	idlePauseAllowance = 200 * time.Millisecond
	// StaleAfter is the age of the last message, beyond the interval of heartbeats, from which an entry makes no offers to an
	// agent. It tolerates a pause of one process whose CPU quota is used up.
	StaleAfter = 100 * time.Millisecond
	// idleHeartbeatPerAgent is the share of the interval of idle heartbeats that each agent of an entry adds, so that an entry
	// sends at most 500 of them per second to up to 160 agents.
	idleHeartbeatPerAgent = 2 * time.Millisecond
	// OwnerTimeout is the time without contact after which an agent ends the runs of an entry. It is measured from the time
	// at which the agent sent the last message that the entry has echoed, or from the first offer on an idle link. A process
	// whose CPU quota is used up can pause for most of 100 ms.
	OwnerTimeout = 400 * time.Millisecond
	// LeaseDuration is the duration of the lease of all runs on a worker. The agent that renews it is on the same host, and
	// a renewal takes milliseconds.
	LeaseDuration = 400 * time.Millisecond
	// MaxClockDrift is the largest fraction by which the clock of a worker can be slow.
	MaxClockDrift = 0.02
	// runsEndedMargin covers clock drift and the time that a worker takes to stop a run.
	runsEndedMargin = 100 * time.Millisecond
)

// IdleHeartbeatInterval returns the interval of heartbeats on idle links of an entry with a number of agents.
func IdleHeartbeatInterval(agents int) time.Duration {
	return min(max(time.Duration(agents)*idleHeartbeatPerAgent, HeartbeatInterval), MaxIdleHeartbeatInterval)
}

// IdleTimeout returns the time without contact after which an idle link is closed. A message and the next message of the
// peer, which echoes it, take up to two intervals.
func IdleTimeout(interval time.Duration) time.Duration {
	return max(2*interval+idlePauseAllowance, OwnerTimeout)
}

// RunsEndedAfter is the time after the last message from an agent, or after the offer that ended the idle time of the link
// if that is later, at which no run of the entry is left on the agent's worker. An entry echoes only messages that it
// received, so an agent that the entry no longer hears ends the runs even while it still receives messages of the entry.
const RunsEndedAfter = OwnerTimeout + LeaseDuration + runsEndedMargin
