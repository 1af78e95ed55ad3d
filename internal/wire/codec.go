package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Type is the first byte of a frame.
type Type uint8

// Message types. A number is never reused with another meaning.
const (
	TypeHello          Type = 1
	TypeWelcome        Type = 2
	TypePing           Type = 3
	TypePong           Type = 4
	TypeStart          Type = 5
	TypeAccepted       Type = 6
	TypeResult         Type = 7
	TypeCancel         Type = 8
	TypeQuery          Type = 9
	TypeQueryReply     Type = 10
	TypeLeaving        Type = 11
	TypeCollect        Type = 12
	TypeRecords        Type = 13
	TypeForward        Type = 14
	TypeForwardReply   Type = 15
	TypeInheritRequest Type = 17
	TypeInheritReply   Type = 18
	TypeHandover       Type = 19
	TypeHandoverAck    Type = 20
	TypeEntryList      Type = 21
	TypeDocumentPush   Type = 22
	TypeDocumentPull   Type = 23
	TypeQuotaUsage     Type = 24
	TypeAgentRoster    Type = 25
	TypeDocumentNotice Type = 26
	TypeOffers         Type = 27
	TypeRunReport      Type = 28
	TypeHeartbeat      Type = 29
	// 30 and 32 carried the whole configuration in one message and its request.
	TypeEntryAddresses Type = 31
	TypeJobQuery       Type = 33
	TypeJobReply       Type = 34
	TypeCatalogNotice  Type = 35
	TypeCatalogPull    Type = 36
	TypeCatalogChunk   Type = 37
	TypeEvacuations    Type = 38
)

// MaxFrame is the largest frame in bytes that a process sends or accepts.
const MaxFrame = 8 << 20

// Limits of the decoder. They bound the memory that a malformed frame can allocate before it is rejected.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
	maxNestingLevels = 8
)

// Errors returned by Encode and Decode.
var (
	ErrUnknownType = eris.New("unknown message type")
	ErrMalformed   = eris.New("malformed message")
	ErrTooLarge    = eris.New("message exceeds the frame limit")
)

// Message is implemented by every message of this package.
type Message interface {
	// Type returns the message type.
	Type() Type
}

// Type implements Message.
func (*Hello) Type() Type { return TypeHello }

// Type implements Message.
func (*Welcome) Type() Type { return TypeWelcome }

// Type implements Message.
func (*Ping) Type() Type { return TypePing }

// Type implements Message.
func (*Pong) Type() Type { return TypePong }

// Type implements Message.
func (*Start) Type() Type { return TypeStart }

// Type implements Message.
func (*Accepted) Type() Type { return TypeAccepted }

// Type implements Message.
func (*Result) Type() Type { return TypeResult }

// Type implements Message.
func (*Cancel) Type() Type { return TypeCancel }

// Type implements Message.
func (*Query) Type() Type { return TypeQuery }

// Type implements Message.
func (*QueryReply) Type() Type { return TypeQueryReply }

// Type implements Message.
func (*Leaving) Type() Type { return TypeLeaving }

// Type implements Message.
func (*Collect) Type() Type { return TypeCollect }

// Type implements Message.
func (*Records) Type() Type { return TypeRecords }

// Type implements Message.
func (*Forward) Type() Type { return TypeForward }

// Type implements Message.
func (*ForwardReply) Type() Type { return TypeForwardReply }

// Type implements Message.
func (*InheritRequest) Type() Type { return TypeInheritRequest }

// Type implements Message.
func (*InheritReply) Type() Type { return TypeInheritReply }

// Type implements Message.
func (*Handover) Type() Type { return TypeHandover }

// Type implements Message.
func (*HandoverAck) Type() Type { return TypeHandoverAck }

// Type implements Message.
func (*EntryList) Type() Type { return TypeEntryList }

// Type implements Message.
func (*DocumentPush) Type() Type { return TypeDocumentPush }

// Type implements Message.
func (*DocumentPull) Type() Type { return TypeDocumentPull }

// Type implements Message.
func (*QuotaUsage) Type() Type { return TypeQuotaUsage }

// Type implements Message.
func (*AgentRoster) Type() Type { return TypeAgentRoster }

// Type implements Message.
func (*DocumentNotice) Type() Type { return TypeDocumentNotice }

func newMessage(t Type) Message {
	switch t {
	case TypeHello:
		return new(Hello)
	case TypeWelcome:
		return new(Welcome)
	case TypePing:
		return new(Ping)
	case TypePong:
		return new(Pong)
	case TypeStart:
		return new(Start)
	case TypeAccepted:
		return new(Accepted)
	case TypeResult:
		return new(Result)
	case TypeCancel:
		return new(Cancel)
	case TypeQuery:
		return new(Query)
	case TypeQueryReply:
		return new(QueryReply)
	case TypeLeaving:
		return new(Leaving)
	case TypeCollect:
		return new(Collect)
	case TypeRecords:
		return new(Records)
	case TypeForward:
		return new(Forward)
	case TypeForwardReply:
		return new(ForwardReply)
	case TypeInheritRequest:
		return new(InheritRequest)
	case TypeInheritReply:
		return new(InheritReply)
	case TypeHandover:
		return new(Handover)
	case TypeHandoverAck:
		return new(HandoverAck)
	case TypeEntryList:
		return new(EntryList)
	case TypeDocumentPush:
		return new(DocumentPush)
	case TypeDocumentPull:
		return new(DocumentPull)
	case TypeQuotaUsage:
		return new(QuotaUsage)
	case TypeAgentRoster:
		return new(AgentRoster)
	case TypeDocumentNotice:
		return new(DocumentNotice)
	case TypeOffers:
		return new(Offers)
	case TypeRunReport:
		return new(RunReport)
	case TypeHeartbeat:
		return new(Heartbeat)
	case TypeCatalogNotice:
		return new(CatalogNotice)
	case TypeCatalogChunk:
		return new(CatalogChunk)
	case TypeEntryAddresses:
		return new(EntryAddresses)
	case TypeCatalogPull:
		return new(CatalogPull)
	case TypeJobQuery:
		return new(JobQuery)
	case TypeJobReply:
		return new(JobReply)
	case TypeEvacuations:
		return new(Evacuations)
	default:
		return nil
	}
}

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestingLevels,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the frame of a message. It returns ErrTooLarge when the frame exceeds MaxFrame, or an error of the CBOR
// encoder.
func Encode(m Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	if len(body)+1 > MaxFrame {
		return nil, ErrTooLarge
	}
	frame := make([]byte, 0, len(body)+1)
	frame = append(frame, byte(m.Type()))
	return append(frame, body...), nil
}

// Decode parses a frame. It returns ErrMalformed, ErrUnknownType or ErrTooLarge.
func Decode(frame []byte) (Message, error) {
	if len(frame) == 0 {
		return nil, ErrMalformed
	}
	if len(frame) > MaxFrame {
		return nil, ErrTooLarge
	}
	m := newMessage(Type(frame[0]))
	if m == nil {
		return nil, eris.Wrapf(ErrUnknownType, "type %d", frame[0])
	}
	if err := decMode.Unmarshal(frame[1:], m); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "type %d: %v", frame[0], err)
	}
	return m, nil
}
