package link

import (
	"sync/atomic"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Stats counts frames and bytes of all links of a process. The arrays are indexed by Class. Bytes include the WebSocket
// header but not the headers of TCP and IP.
type Stats struct {
	SentFrames, SentBytes         [2]atomic.Uint64
	ReceivedFrames, ReceivedBytes [2]atomic.Uint64
	// SilentLinks counts the links that were closed because the peer was silent.
	SilentLinks atomic.Uint64
}

// Class separates control messages from messages that carry work.
type Class int

// Classes of messages.
const (
	ClassControl Class = 0
	ClassWork    Class = 1
)

// ClassOf returns the class of a message type.
func ClassOf(t wire.Type) Class {
	switch t {
	case wire.TypeStart, wire.TypeResult, wire.TypeAccepted, wire.TypeCancel,
		wire.TypeForward, wire.TypeForwardReply, wire.TypeOffers, wire.TypeRunReport:
		return ClassWork
	default:
		return ClassControl
	}
}

// Sizes of the WebSocket frame header, which depends on the payload length (RFC 6455, section 5.2).
const (
	maxShortPayload  = 125
	maxMediumPayload = 1<<16 - 1
	maskBytes        = 4
)

func headerBytes(payload int, masked bool) int {
	size := 2
	switch {
	case payload > maxMediumPayload:
		size += 8
	case payload > maxShortPayload:
		size += 2
	}
	if masked {
		size += maskBytes
	}
	return size
}

func (s *Stats) countSent(frame []byte, masked bool) {
	class := ClassOf(wire.Type(frame[0]))
	s.SentFrames[class].Add(1)
	s.SentBytes[class].Add(uint64(len(frame) + headerBytes(len(frame), masked)))
}

func (s *Stats) countReceived(frame []byte, masked bool) {
	class := ClassOf(wire.Type(frame[0]))
	s.ReceivedFrames[class].Add(1)
	s.ReceivedBytes[class].Add(uint64(len(frame) + headerBytes(len(frame), masked)))
}
