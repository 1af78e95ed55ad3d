package identity

import (
	"crypto/tls"
	"slices"
	"strings"
)

// Role is the part of a certificate's URI that tells the role of the process.
type Role string

// Roles of a process.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// Name is a process as a certificate names it.
type Name struct {
	Role Role
	ID   string
}

// Names are all processes that a certificate names. A certificate with several names serves processes that share a host.
type Names []Name

// Has reports whether the certificate names the process.
func (n Names) Has(role Role, id string) bool { return slices.Contains(n, Name{role, id}) }

// PeerNames returns the names in the peer's certificate, which the TLS handshake has verified.
func PeerNames(state *tls.ConnectionState) Names {
	if state == nil || len(state.PeerCertificates) == 0 {
		return nil
	}
	var names Names
	for _, uri := range state.PeerCertificates[0].URIs {
		role, id, ok := strings.Cut(strings.TrimPrefix(uri.Path, "/"), "/") // Path is decoded
		if known := Role(role); ok && id != "" && (known == Entry || known == Agent) {
			names = append(names, Name{known, id})
		}
	}
	return names
}
