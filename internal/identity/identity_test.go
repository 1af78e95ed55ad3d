package identity_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/identity"
)

var discardLogger = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}

// testAuthority is an authority in a directory with its files and those of the certificates that it issued.
type testAuthority struct {
	t         testing.TB
	directory string
	authority *identity.Authority
}

func newTestAuthority(t testing.TB) *testAuthority {
	t.Helper()
	ca := &testAuthority{t: t, directory: t.TempDir()}
	pair, err := identity.NewAuthority("test", time.Now(), time.Hour)
	ca.write("ca", pair, err)
	if ca.authority, err = identity.LoadAuthority(ca.path("ca.pem"), ca.path("ca-key.pem")); err != nil {
		t.Fatal(err)
	}
	return ca
}

func (a *testAuthority) path(name string) string { return filepath.Join(a.directory, name) }

func (a *testAuthority) write(name string, pair identity.PEM, err error) {
	a.t.Helper()
	if err != nil {
		a.t.Fatal(err)
	}
	for file, content := range map[string][]byte{name + ".pem": pair.Certificate, name + "-key.pem": pair.Key} {
		if err := os.WriteFile(a.path(file), content, 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
}

func (a *testAuthority) issue(file string, names ...identity.Name) {
	a.t.Helper()
	pair, err := a.authority.Issue(identity.Request{Names: names, Lifetime: time.Minute}, time.Now())
	a.write(file, pair, err)
}

func (a *testAuthority) load(file string) *identity.Identity {
	a.t.Helper()
	i, err := identity.Load(a.path(file+".pem"), a.path(file+"-key.pem"), a.path("ca.pem"), discardLogger)
	if err != nil {
		a.t.Fatal(err)
	}
	return i
}

// handshake performs a TLS handshake and returns the names in the peer certificate of each side and the error of each side.
func handshake(client, server *tls.Config) (atClient, atServer identity.Names, clientErr, serverErr error) {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	c, s := tls.Client(a, client), tls.Server(b, server)
	done := make(chan error, 1)
	go func() {
		err := s.Handshake()
		if err != nil {
			_ = b.Close()
		}
		done <- err
	}()
	clientErr = c.Handshake()
	if clientErr == nil { // with TLS 1.3 the client gets the error of a refusal on its first read
		_ = a.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, _ = c.Read(make([]byte, 1))
	} else {
		_ = a.Close()
	}
	serverErr = <-done
	cs, ss := c.ConnectionState(), s.ConnectionState()
	return identity.PeerNames(&cs), identity.PeerNames(&ss), clientErr, serverErr
}

var (
	entry1 = identity.Name{Role: identity.Entry, ID: "entry-1"}
	bench1 = identity.Name{Role: identity.Agent, ID: "bench 1/ılıca"}
)

// Guards against accepting a process whose certificate was not issued by the trusted authority, and against names that
// change when they are encoded in a URI.
func TestBothSidesAreAuthenticated(t *testing.T) {
	g := gomega.NewWithT(t)
	ca, other := newTestAuthority(t), newTestAuthority(t)
	ca.issue("entry", entry1)
	ca.issue("agent", bench1)
	other.issue("agent", bench1)
	entry, agent, untrusted := ca.load("entry"), ca.load("agent"), other.load("agent")

	atClient, atServer, clientErr, serverErr := handshake(agent.ClientConfig(), entry.ServerConfig())
	g.Expect(clientErr).NotTo(gomega.HaveOccurred())
	g.Expect(serverErr).NotTo(gomega.HaveOccurred())
	g.Expect(atClient).To(gomega.ConsistOf(entry1))
	g.Expect(atServer).To(gomega.ConsistOf(bench1))

	_, _, clientErr, _ = handshake(untrusted.ClientConfig(), entry.ServerConfig())
	g.Expect(clientErr).To(gomega.MatchError(identity.ErrUntrustedPeer), "the client checks the server")
	_, _, _, serverErr = handshake(&tls.Config{InsecureSkipVerify: true}, entry.ServerConfig())
	g.Expect(serverErr).To(gomega.HaveOccurred(), "a client without a certificate")
	lenient := untrusted.ClientConfig()
	lenient.VerifyConnection = nil
	_, _, _, serverErr = handshake(lenient, entry.ServerConfig())
	g.Expect(serverErr).To(gomega.HaveOccurred(), "the server checks the client")
}

// Guards against a rotation of certificates that needs a restart, and against a failure when only some of the files are
// replaced.
func TestChangedFilesAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newTestAuthority(t)
	ca.issue("entry", entry1)
	ca.issue("agent", bench1)
	entry, agent := ca.load("entry"), ca.load("agent")
	namesOfEntry := func() identity.Names {
		names, _, err, _ := handshake(agent.ClientConfig(), entry.ServerConfig())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return names
	}
	entry2 := identity.Name{Role: identity.Entry, ID: "entry-2"}
	ca.issue("next", entry1, entry2)
	replace := func(from, to string) { g.Expect(os.Rename(ca.path(from), ca.path(to))).To(gomega.Succeed()) }
	replace("next.pem", "entry.pem")
	g.Expect(namesOfEntry()).To(gomega.ConsistOf(entry1), "the key does not match the certificate yet")
	replace("next-key.pem", "entry-key.pem")
	g.Expect(namesOfEntry()).To(gomega.ConsistOf(entry1, entry2))
	g.Expect(os.WriteFile(ca.path("ca.pem"), []byte("none"), 0o600)).To(gomega.Succeed())
	g.Expect(namesOfEntry()).To(gomega.ConsistOf(entry1, entry2), "the previous authorities stay in use")
}

// Guards against issuing certificates that outlive their authority or have no name, which would fail only in use.
func TestIssueRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	ca := newTestAuthority(t)
	_, err := ca.authority.Issue(identity.Request{Hosts: []string{"::1"}, Lifetime: 2 * time.Hour}, time.Now())
	g.Expect(err).To(gomega.MatchError(identity.ErrIssue))
	_, err = ca.authority.Issue(identity.Request{Lifetime: time.Minute}, time.Now())
	g.Expect(err).To(gomega.MatchError(identity.ErrIssue))
	ca.issue("entry", entry1)
	_, err = identity.LoadAuthority(ca.path("entry.pem"), ca.path("entry-key.pem"))
	g.Expect(err).To(gomega.MatchError(identity.ErrInvalidFile), "a certificate of a process cannot sign")
}
