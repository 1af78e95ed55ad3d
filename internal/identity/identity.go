// Package identity loads the TLS certificates of a process from files, follows the files when they change, and tells
// which process of the system a peer's certificate names.
//
// A certificate names a process by a URI in its subject alternative names whose path is /entry/<id> or /agent/<id>, as in
// spiffe://wax.example/entry/entry-01. The scheme and the host of the URI are not looked at: the certificate authority
// decides who gets a certificate. Characters of an id that a URI path cannot hold are percent-encoded.
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
	// ErrFile means that a file cannot be read or does not hold what it should.
	ErrFile = eris.New("TLS file cannot be used")
	// ErrPeer means that the peer's certificate is missing or not trusted.
	ErrPeer = eris.New("certificate of the peer is not trusted")
)

// Certificate is a certificate with its key that is read again after its files have changed.
type Certificate struct{ pair *watched[*tls.Certificate] }

// LoadCertificate reads a certificate chain and its key in PEM format. It returns ErrFile. When a later read fails, the
// former certificate stays in use and logger tells so.
func LoadCertificate(certFile, keyFile string, logger log.Interface) (*Certificate, error) {
	pair, err := watch(logger, func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(certFile, keyFile)
		if err != nil {
			return nil, eris.Wrapf(ErrFile, "certificate %s with key %s: %v", certFile, keyFile, err)
		}
		return &c, nil
	}, certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &Certificate{pair}, nil
}

// ServerConfig returns the configuration of a server whose clients show no certificate. It offers HTTP/1.1 only, for
// which cancelling by closing the connection and graceful stops are proved. A nil Certificate gives nil.
func (c *Certificate) ServerConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.pair.get(), nil },
	}
}

// Identity is the certificate of a process together with the authorities that it trusts for its peers.
type Identity struct {
	certificate *Certificate
	authorities *watched[*x509.CertPool]
}

// Load reads the certificate, its key and the authorities in PEM format. It returns ErrFile.
func Load(certFile, keyFile, authoritiesFile string, logger log.Interface) (*Identity, error) {
	certificate, err := LoadCertificate(certFile, keyFile, logger)
	if err != nil {
		return nil, err
	}
	authorities, err := watch(logger, func() (*x509.CertPool, error) { return readPool(authoritiesFile) }, authoritiesFile)
	if err != nil {
		return nil, err
	}
	return &Identity{certificate, authorities}, nil
}

func readPool(file string) (*x509.CertPool, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(ErrFile, "authorities: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, eris.Wrapf(ErrFile, "authorities: %s holds no certificate", file)
	}
	return pool, nil
}

// ServerConfig returns the configuration of a server whose clients must show a certificate of a trusted authority. A nil
// Identity gives nil.
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
				// A resumed session would outlive a change of the authorities.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the configuration of a client that shows its certificate and requires one of a trusted authority
// from the server. Processes are dialled by address, so the name of the server is not compared here; PeerNames tells which
// process answered. A nil Identity gives nil.
func (i *Identity) ClientConfig() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.certificate.pair.get(), nil
		},
		InsecureSkipVerify: true, // replaced by VerifyConnection, which does all but compare the name of the server
		VerifyConnection:   i.verifyServer,
	}
}

func (i *Identity) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.Wrap(ErrPeer, "no certificate")
	}
	options := x509.VerifyOptions{
		Roots: i.authorities.get(), Intermediates: x509.NewCertPool(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return eris.Wrapf(ErrPeer, "%v", err)
	}
	return nil
}
