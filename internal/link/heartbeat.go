package link

import "time"

// Budget for heartbeats. A process with many links lengthens the interval, so that pings and pongs on idle links stay
// within heartbeatShare of the control budget. The share falls with the number of links, because documents, quotas and the
// store take more of the budget in a large deployment: at 737 links it is 22%.
const (
	// minHeartbeat and the unanswered pings keep the time until a dead link of a small deployment is replaced below
	// the 4 s in which a document is in force everywhere.
	minHeartbeat   = 1500 * time.Millisecond
	controlBudget  = 5_000 // bytes per second
	heartbeatShare = 0.4
	// halfShareLinks is the number of links at which heartbeats get half of heartbeatShare. A lower number lengthens the
	// time until a dead idle link is found, which is 152 s at 737 links; work and documents find it in 1 s.
	halfShareLinks = 900
	// heartbeatBytes is the largest size of one ping, one pong and the acknowledgement of the pong, with the headers of
	// WebSocket, TCP with time stamps, and IP. The pong carries the acknowledgement of the ping.
	heartbeatBytes = 224
	// pingTimeout is the time in which a ping is answered, with room for a busy process. A link is silent when
	// silentPings in a row had no answer. The time does not grow with the interval, so that an agent with a dead link
	// comes back soon also in a large deployment.
	pingTimeout      = time.Second
	silentPings      = 2
	writeTimeout     = 10 * time.Second
	handshakeTimeout = 5 * time.Second
)

// acceptorDelay is the factor by which the accepting side waits longer than the dialling side before it pings. With
// equal delays both sides ping at about the same moment, which doubles the traffic of idle links.
const acceptorDelay = 1.5

// HeartbeatInterval returns the interval of pings on an idle link for a process with n links.
func HeartbeatInterval(n int) time.Duration {
	share := heartbeatShare / (1 + float64(n)/halfShareLinks)
	seconds := float64(n) * heartbeatBytes / (controlBudget * share)
	return max(minHeartbeat, time.Duration(seconds*float64(time.Second)))
}
