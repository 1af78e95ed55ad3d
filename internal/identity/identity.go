// Package identity loads the TLS certificates of a process from files, reloads the files when they change, and determines
// which process of the system a peer's certificate names.
//
// A certificate names a process by a URI in its subject alternative names whose path is /entry/<id> or /agent/<id>, as in
// spiffe://wax.example/entry/entry-01. The scheme and the host of the URI are ignored: the certificate authority decides
// who gets a certificate. Characters of an id that are not allowed in a URI path are percent-encoded.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
)

// Errors of this package.
var (
	// ErrInvalidFile means that a file cannot be read or does not have the expected content.
	ErrInvalidFile = eris.New("TLS file cannot be used")
	// ErrUntrustedPeer means that the peer's certificate is missing or not trusted.
	ErrUntrustedPeer = eris.New("certificate of the peer is not trusted")
)

// Certificate is a certificate with its key. It is reloaded when its files change.
type Certificate struct{ pair *reloadable[*tls.Certificate] }

// LoadCertificate reads a certificate chain and its key in PEM format. It returns ErrInvalidFile. When a later reload
// fails, the previous certificate stays in use and a warning is logged.
func LoadCertificate(certFile, keyFile string, logger log.Interface) (*Certificate, error) {
	pair, err := loadReloadable(logger, func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(certFile, keyFile)
		if err != nil {
			return nil, eris.Wrapf(ErrInvalidFile, "certificate %s with key %s: %v", certFile, keyFile, err)
		}
		return &c, nil
	}, certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &Certificate{pair}, nil
}

// ServerConfig returns the configuration of a server that requests no client certificate. It offers HTTP/1.1 only, because
// cancelling by closing the connection and graceful stops are tested for that version only. A nil Certificate returns nil.
func (c *Certificate) ServerConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.pair.get(), nil },
	}
}

// Identity is the certificate of a process together with the certificate authorities that it trusts for its peers.
type Identity struct {
	certificate *Certificate
	authorities *reloadable[*x509.CertPool]
}

// Load reads the certificate, its key and the authorities in PEM format. It returns ErrInvalidFile.
func Load(certFile, keyFile, authoritiesFile string, logger log.Interface) (*Identity, error) {
	certificate, err := LoadCertificate(certFile, keyFile, logger)
	if err != nil {
		return nil, err
	}
	authorities, err := loadReloadable(logger, func() (*x509.CertPool, error) { return readPool(authoritiesFile) }, authoritiesFile)
	if err != nil {
		return nil, err
	}
	return &Identity{certificate, authorities}, nil
}

func readPool(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalidFile, "authorities: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, eris.Wrapf(ErrInvalidFile, "authorities: %s holds no certificate", file)
	}
	return pool, nil
}

// ServerConfig returns the configuration of a server whose clients must present a certificate of a trusted authority. A nil
// Identity returns nil.
func (i *Identity) ServerConfig() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*i.certificate.pair.get()},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: i.authorities.get(),
				// A resumed session would stay trusted after a change of the authorities.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the configuration of a client that presents its certificate and requires one of a trusted authority
// from the server. Processes are dialled by address, so the name of the server is not verified here; PeerNames returns the
// names of the process that answered. A nil Identity returns nil.
func (i *Identity) ClientConfig() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.certificate.pair.get(), nil
		},
		InsecureSkipVerify: true, // VerifyConnection does all of the verification except for the name of the server
		VerifyConnection:   i.verifyServer,
	}
}

func (i *Identity) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.Wrap(ErrUntrustedPeer, "no certificate")
	}
	options := x509.VerifyOptions{
		Roots: i.authorities.get(), Intermediates: x509.NewCertPool(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return eris.Wrapf(ErrUntrustedPeer, "%v", err)
	}
	return nil
}
