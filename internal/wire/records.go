package wire

// TaskRecord is the start record of one task at an agent.
type TaskRecord struct {
	Task    uint16       `cbor:"1,keyasint"`
	State   AttemptState `cbor:"2,keyasint"`
	Status  uint16       `cbor:"3,keyasint,omitempty"`
	Headers []Header     `cbor:"4,keyasint,omitempty"`
	Body    []byte       `cbor:"5,keyasint,omitempty"`
	// AnswerDropped is set when the answer was not kept because the byte budget was exceeded.
	AnswerDropped bool `cbor:"6,keyasint,omitempty"`
}

// KeyRecord groups the task records of one submission.
type KeyRecord struct {
	Key     KeyHash      `cbor:"1,keyasint"`
	Tasks   uint16       `cbor:"2,keyasint"`
	Records []TaskRecord `cbor:"3,keyasint"`
	// Digest is the digest of the Start message.
	Digest [16]byte `cbor:"4,keyasint"`
}

// Records answers Collect, in one or more parts; Last is set in the final part. Parts of several answers can arrive
// interleaved.
type Records struct {
	Expelled            string      `cbor:"1,keyasint"`
	ExpelledIncarnation uint64      `cbor:"2,keyasint"`
	ListVersion         uint64      `cbor:"3,keyasint"`
	Keys                []KeyRecord `cbor:"4,keyasint,omitempty"`
	Last                bool        `cbor:"5,keyasint,omitempty"`
	// Answer is the number of the answer, counted since the agent started. Part is the number of the part, from 0.
	Answer uint64 `cbor:"6,keyasint,omitempty"`
	Part   uint16 `cbor:"7,keyasint,omitempty"`
	// Incomplete is set when a task that an earlier answer listed as queued or running is missing from this answer but may
	// have started: its record has expired or was replaced by a record of another home.
	Incomplete bool `cbor:"8,keyasint,omitempty"`
	// Round is the round of the Collect message.
	Round uint64 `cbor:"9,keyasint,omitempty"`
}
