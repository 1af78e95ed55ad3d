package link

import "time"

// Parameters of heartbeats. A process with many links lengthens the interval, so that pings and pongs on idle links stay
// within their share of the control budget. The share starts at heartbeatShare and falls with the number of links, because
// documents, quotas and the store use more of the budget in a large deployment: at 737 links it is 22%.
const (
	// minHeartbeat is the shortest interval. Together with the timeout of maxUnansweredPings pings it keeps the time until a
	// dead link in a small deployment is replaced below the 4 s in which a new document has to take effect everywhere.
	minHeartbeat   = 1500 * time.Millisecond
	controlBudget  = 5_000 // bytes per second
	heartbeatShare = 0.4
	// halfShareLinks is the number of links at which heartbeats get half of heartbeatShare. A lower number lengthens the
	// time until a dead idle link is detected, which is 152 s at 737 links; tasks and documents detect it in 1 s.
	halfShareLinks = 900
	// heartbeatBytes is the largest total size of one ping, one pong and the TCP acknowledgement of the pong, with the
	// headers of WebSocket, TCP with timestamps, and IP. The pong carries the acknowledgement of the ping.
	heartbeatBytes = 224
	// pingTimeout is the time in which a ping has to be answered; it allows for a busy process. A link is silent when
	// maxUnansweredPings in a row were not answered. The timeout does not grow with the interval, so that an agent with a
	// dead link reconnects soon in a large deployment too.
	pingTimeout        = time.Second
	maxUnansweredPings = 2
	writeTimeout       = 10 * time.Second
	handshakeTimeout   = 5 * time.Second
)

// acceptorDelayFactor is the factor by which the accepting side waits longer than the dialling side before it pings. With
// equal delays both sides ping at about the same moment, which doubles the traffic of idle links.
const acceptorDelayFactor = 1.5

// HeartbeatInterval returns the interval between pings on an idle link of a process with n links.
func HeartbeatInterval(n int) time.Duration {
	share := heartbeatShare / (1 + float64(n)/halfShareLinks)
	seconds := float64(n) * heartbeatBytes / (controlBudget * share)
	return max(minHeartbeat, time.Duration(seconds*float64(time.Second)))
}
