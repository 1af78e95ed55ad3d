package wire

import "time"

// TeamUsage is the work of one team at one entry in numbers of tasks.
type TeamUsage struct {
	Team      string `cbor:"1,keyasint"`
	Admitted  uint32 `cbor:"2,keyasint"`
	Submitted uint32 `cbor:"3,keyasint"` // submitted tasks, whether admitted or refused
	Running   uint32 `cbor:"4,keyasint,omitempty"`
}

// QuotaUsage reports the usage of each team at the sending entry in the interval since its last report.
type QuotaUsage struct {
	IntervalMillis uint32      `cbor:"1,keyasint"`
	Teams          []TeamUsage `cbor:"2,keyasint,omitempty"`
}

// AgentPresence is the state of one agent as an entry has observed it.
type AgentPresence struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Gone is set when the agent left after a graceful shutdown, was replaced by a later incarnation, or was declared gone
	// by an operator.
	Gone bool `cbor:"3,keyasint,omitempty"`
	// SilentMillis is the time in milliseconds since the sender last had evidence that the agent was connected, or since it
	// learned that the agent is gone; 0 for an agent that is connected to the sender.
	SilentMillis uint32 `cbor:"4,keyasint,omitempty"`
	// StartedAt is the start time of the incarnation. It orders the incarnations of one agent.
	StartedAt time.Time `cbor:"5,keyasint"`
}

// AgentRoster informs another entry of the agents that connected or left. Full is set in the first roster on a new link,
// which lists all agents.
type AgentRoster struct {
	Agents []AgentPresence `cbor:"1,keyasint,omitempty"`
	Full   bool            `cbor:"2,keyasint,omitempty"`
	// IncludedRosters is set with Full. It lists the incarnations of the entries whose full roster is included in this one.
	IncludedRosters []uint64 `cbor:"3,keyasint,omitempty"`
}
