// Package wire defines the messages that entries and agents exchange, and their encoding.
//
// A frame is one byte of message type followed by a CBOR map with integer keys. Receivers ignore unknown keys, so a
// field can be added at any time. A key is never reused with another meaning.
package wire

// ProtocolVersion is the major version that is sent in Hello. A process refuses a peer with another version.
const ProtocolVersion = 1

// KeyHash is the truncated SHA-256 hash of a service name and an idempotency key.
type KeyHash [16]byte

// Role is the role of a process.
type Role uint8

// Roles of a process.
const (
	RoleEntry Role = 1
	RoleAgent Role = 2
)
