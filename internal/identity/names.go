package identity

import (
	"crypto/tls"
	"slices"
	"strings"
)

// Role is the role of a process as it appears in the URI of a certificate.
type Role string

// Roles of a process.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// Name identifies a process in a certificate.
type Name struct {
	Role Role
	ID   string
}

// Names are all processes that a certificate names. Processes on the same host can share a certificate with several names.
type Names []Name

// Has reports whether the certificate names the process.
func (n Names) Has(role Role, id string) bool { return slices.Contains(n, Name{role, id}) }

// PeerNames returns the names in the peer's certificate, which the TLS handshake has verified. It returns nil without a
// certificate.
func PeerNames(state *tls.ConnectionState) Names {
	if state == nil || len(state.PeerCertificates) == 0 {
		return nil
	}
	var names Names
	for _, uri := range state.PeerCertificates[0].URIs {
		role, id, ok := strings.Cut(strings.TrimPrefix(uri.Path, "/"), "/") // uri.Path is already percent-decoded
		if known := Role(role); ok && id != "" && (known == Entry || known == Agent) {
			names = append(names, Name{known, id})
		}
	}
	return names
}
