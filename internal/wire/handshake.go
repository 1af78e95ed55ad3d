package wire

import "time"

// Hello is the first message on a link. The dialling side sends it.
type Hello struct {
	Protocol    uint8     `cbor:"1,keyasint"`
	Role        Role      `cbor:"2,keyasint"`
	ID          string    `cbor:"3,keyasint"`
	Incarnation uint64    `cbor:"4,keyasint"`
	DataCentre  string    `cbor:"5,keyasint"`
	Region      string    `cbor:"6,keyasint"`
	StartedAt   time.Time `cbor:"7,keyasint"`
	// Services, Slots and Leaving are set by agents only.
	Services []string `cbor:"8,keyasint,omitempty"`
	Slots    uint16   `cbor:"9,keyasint,omitempty"`
	Leaving  bool     `cbor:"10,keyasint,omitempty"`
	// ListVersion is the version of the list of entries that the sender has.
	ListVersion uint64 `cbor:"11,keyasint"`
	// DocumentRevisions maps each service to the document revision that the sender has.
	DocumentRevisions map[string]uint64 `cbor:"12,keyasint,omitempty"`
	// MemoryMB and Accelerators are the resources of the agent's worker.
	MemoryMB     uint32 `cbor:"13,keyasint,omitempty"`
	Accelerators uint16 `cbor:"14,keyasint,omitempty"`
}

// Welcome is the answer to Hello. A non-empty Refused is the reason for which the link is closed.
type Welcome struct {
	Protocol          uint8             `cbor:"1,keyasint"`
	ID                string            `cbor:"2,keyasint"`
	Incarnation       uint64            `cbor:"3,keyasint"`
	DataCentre        string            `cbor:"4,keyasint"`
	Region            string            `cbor:"5,keyasint"`
	HeartbeatMillis   uint32            `cbor:"6,keyasint"`
	List              *EntryList        `cbor:"7,keyasint,omitempty"`
	DocumentRevisions map[string]uint64 `cbor:"8,keyasint,omitempty"`
	Refused           string            `cbor:"9,keyasint,omitempty"`
}

// Ping asks the peer to prove that it is reachable. The heartbeat sends it on an idle link only. It is also sent to probe a
// link whose peer may be unreachable, and by an agent that shuts down after its last result: the messages of a link arrive
// in order, so the Pong proves that the entry has read the result.
type Ping struct {
	Sequence       uint64 `cbor:"1,keyasint"`
	ListVersion    uint64 `cbor:"2,keyasint,omitempty"`
	DocumentDigest uint64 `cbor:"3,keyasint,omitempty"`
}

// Pong answers the Ping with the same sequence number.
type Pong struct {
	Sequence       uint64 `cbor:"1,keyasint"`
	ListVersion    uint64 `cbor:"2,keyasint,omitempty"`
	DocumentDigest uint64 `cbor:"3,keyasint,omitempty"`
	// HeartbeatMillis is the heartbeat interval that the sender requests from now on; 0 keeps the current interval.
	HeartbeatMillis uint32 `cbor:"4,keyasint,omitempty"`
}
