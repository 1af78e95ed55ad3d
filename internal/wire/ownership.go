package wire

import "time"

// InheritRequest asks a member to adopt List and to return the keys of its table whose home under List is the sender.
type InheritRequest struct {
	List *EntryList `cbor:"1,keyasint"`
	// Round is the number of the sender's recovery round. It is returned with the answer.
	Round uint64 `cbor:"2,keyasint,omitempty"`
}

// InheritReply answers an InheritRequest in one or more parts.
type InheritReply struct {
	ListVersion uint64    `cbor:"1,keyasint"`
	Keys        []KeyHash `cbor:"2,keyasint,omitempty"`
	Last        bool      `cbor:"3,keyasint,omitempty"`
	// Round is the round of the InheritRequest.
	Round uint64 `cbor:"4,keyasint,omitempty"`
}

// HandoverItem is one finished submission in a Handover.
type HandoverItem struct {
	Key     KeyHash   `cbor:"1,keyasint"`
	Digest  [16]byte  `cbor:"2,keyasint"`
	Expires time.Time `cbor:"3,keyasint"`
	// Answer is nil when it was dropped and only the record of the key remains.
	Answer *Answer `cbor:"4,keyasint,omitempty"`
}

// Handover transfers finished submissions of a leaving entry to their new home, in one or more parts.
type Handover struct {
	Sequence    uint64         `cbor:"1,keyasint"`
	ListVersion uint64         `cbor:"2,keyasint"`
	Items       []HandoverItem `cbor:"3,keyasint"`
	Last        bool           `cbor:"4,keyasint,omitempty"`
}

// HandoverAck acknowledges the Handover with the same sequence number.
type HandoverAck struct {
	Sequence uint64 `cbor:"1,keyasint"`
}
