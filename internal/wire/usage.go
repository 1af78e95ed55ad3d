package wire

import "time"

// TeamUsage is the work that one entry admitted for one team.
type TeamUsage struct {
	Team     string `cbor:"1,keyasint"`
	Admitted uint32 `cbor:"2,keyasint"`
	Wanted   uint32 `cbor:"3,keyasint"`
	Running  uint32 `cbor:"4,keyasint,omitempty"`
}

// QuotaUsage lists usage per team in the interval since the last report.
type QuotaUsage struct {
	IntervalMillis uint32      `cbor:"1,keyasint"`
	Teams          []TeamUsage `cbor:"2,keyasint,omitempty"`
}

// AgentPresence is one agent as an entry saw it.
type AgentPresence struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Gone is set when the agent left after a graceful shutdown or was replaced by another incarnation.
	Gone bool `cbor:"3,keyasint,omitempty"`
	// SilentMillis is the time since the sender knew the agent to be connected, or since it learned that the agent is
	// gone; 0 for an agent that is connected to the sender.
	SilentMillis uint32 `cbor:"4,keyasint,omitempty"`
	// StartedAt orders the incarnations of one agent.
	StartedAt time.Time `cbor:"5,keyasint"`
}

// AgentRoster tells another entry which agents connected or left. Full is set for the whole set on a new link.
type AgentRoster struct {
	Agents []AgentPresence `cbor:"1,keyasint,omitempty"`
	Full   bool            `cbor:"2,keyasint,omitempty"`
	// Heard is set with Full: the incarnations of the entries whose whole roster is part of this one.
	Heard []uint64 `cbor:"3,keyasint,omitempty"`
}
