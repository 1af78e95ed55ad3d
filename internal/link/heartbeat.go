package link

import "time"

// Budget for heartbeats. A process with many links lengthens the interval, so that pings and pongs on idle links stay
// within heartbeatShare of the control budget.
const (
	minHeartbeat     = 2 * time.Second
	controlBudget    = 5_000 // bytes per second
	heartbeatShare   = 0.6
	heartbeatBytes   = 190 // one ping, one pong and their TCP acknowledgements, with TCP and IP headers
	silentIntervals  = 3
	writeTimeout     = 10 * time.Second
	handshakeTimeout = 5 * time.Second
)

// HeartbeatInterval returns the interval of pings on an idle link for a process with n links.
func HeartbeatInterval(n int) time.Duration {
	seconds := float64(n) * heartbeatBytes / (controlBudget * heartbeatShare)
	return max(minHeartbeat, time.Duration(seconds*float64(time.Second)))
}
