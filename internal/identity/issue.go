package identity

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// ErrIssue means that a certificate cannot be issued as requested.
var ErrIssue = eris.New("certificate cannot be issued")

// clockSkew is the time by which certificates are backdated, so that hosts whose clocks are behind accept them at once.
const clockSkew = 5 * time.Minute

const serialBits = 128

// PEM is a certificate and its key in PEM format.
type PEM struct{ Certificate, Key []byte }

// Authority signs certificates. It is a minimal substitute for deployments without a certificate authority of their own.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewAuthority creates an authority with a new key. The name becomes the common name of its certificate. It returns
// ErrIssue.
func NewAuthority(name string, now time.Time, lifetime time.Duration) (PEM, error) {
	t := newTemplate(name, now, lifetime)
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	key, err := newKey()
	if err != nil {
		return PEM{}, err
	}
	return sign(t, t, key, key)
}

// LoadAuthority reads the files of an authority. It returns ErrInvalidFile.
func LoadAuthority(certFile, keyFile string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalidFile, "authority %s with key %s: %v", certFile, keyFile, err)
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok || !pair.Leaf.IsCA {
		return nil, eris.Wrapf(ErrInvalidFile, "%s is not the certificate of an authority", certFile)
	}
	return &Authority{pair.Leaf, signer}, nil
}

// Request describes a certificate to issue.
type Request struct {
	// Names are the processes that the certificate names. They are used on links.
	Names Names
	// Hosts are the DNS names and IP addresses that the certificate names. They are used by HTTPS endpoints.
	Hosts []string
	// Lifetime is the time from now until the certificate expires.
	Lifetime time.Duration
}

// Issue creates a certificate with a new key. It returns ErrIssue.
func (a *Authority) Issue(r Request, now time.Time) (PEM, error) {
	if len(r.Names)+len(r.Hosts) == 0 {
		return PEM{}, eris.Wrap(ErrIssue, "the certificate names neither a process nor a host")
	}
	t := newTemplate(commonName(r), now, r.Lifetime)
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, n := range r.Names {
		t.URIs = append(t.URIs, n.uri())
	}
	for _, host := range r.Hosts {
		if ip := net.ParseIP(host); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else {
			t.DNSNames = append(t.DNSNames, host)
		}
	}
	if t.NotAfter.After(a.certificate.NotAfter) {
		return PEM{}, eris.Wrapf(ErrIssue, "the certificate would outlive the authority, which expires at %s", a.certificate.NotAfter.UTC().Format(time.RFC3339))
	}
	key, err := newKey()
	if err != nil {
		return PEM{}, err
	}
	return sign(t, a.certificate, key, a.key)
}

// uriScheme is the scheme of the URIs in issued certificates. Other schemes are accepted too.
const uriScheme = "coltsfootspur"

func (n Name) uri() *url.URL {
	return &url.URL{Scheme: uriScheme, Path: "/" + string(n.Role) + "/" + n.ID}
}

func commonName(r Request) string {
	if len(r.Names) > 0 {
		return string(r.Names[0].Role) + "/" + r.Names[0].ID
	}
	return r.Hosts[0]
}

func newTemplate(name string, now time.Time, lifetime time.Duration) *x509.Certificate {
	return &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-clockSkew), NotAfter: now.Add(lifetime),
	}
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrapf(ErrIssue, "%v", err)
	}
	return key, nil
}

func sign(certificate, parent *x509.Certificate, key *ecdsa.PrivateKey, signer crypto.Signer) (PEM, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return PEM{}, eris.Wrapf(ErrIssue, "%v", err)
	}
	certificate.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, certificate, parent, key.Public(), signer)
	if err != nil {
		return PEM{}, eris.Wrapf(ErrIssue, "%v", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return PEM{}, eris.Wrapf(ErrIssue, "%v", err)
	}
	return PEM{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}
