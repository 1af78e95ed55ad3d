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
	s := &testAuthority{t: t, directory: t.TempDir()}
	pair, err := identity.NewAuthority("test", time.Now(), time.Hour)
	s.write("ca", pair, err)
	if s.authority, err = identity.LoadAuthority(s.path("ca.pem"), s.path("ca-key.pem")); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *testAuthority) path(name string) string { return filepath.Join(s.directory, name) }

func (s *testAuthority) write(name string, pair identity.PEM, err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
	for file, content := range map[string][]byte{name + ".pem": pair.Certificate, name + "-key.pem": pair.Key} {
		if err := os.WriteFile(s.path(file), content, 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
}

func (s *testAuthority) issue(file string, names ...identity.Name) {
	s.t.Helper()
	pair, err := s.authority.Issue(identity.Request{Names: names, Lifetime: time.Minute}, time.Now())
	s.write(file, pair, err)
}

func (s *testAuthority) load(file string) *identity.Identity {
	s.t.Helper()
	i, err := identity.Load(s.path(file+".pem"), s.path(file+"-key.pem"), s.path("ca.pem"), discardLogger)
	if err != nil {
		s.t.Fatal(err)
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
	s, other := newTestAuthority(t), newTestAuthority(t)
	s.issue("entry", entry1)
	s.issue("agent", bench1)
	other.issue("agent", bench1)
	entry, agent, untrusted := s.load("entry"), s.load("agent"), other.load("agent")

	atClient, atServer, clientErr, serverErr := handshake(agent.ClientConfig(), entry.ServerConfig())
	g.Expect(clientErr).NotTo(gomega.HaveOccurred())
	g.Expect(serverErr).NotTo(gomega.HaveOccurred())
	g.Expect(atClient).To(gomega.ConsistOf(entry1))
	g.Expect(atServer).To(gomega.ConsistOf(bench1))

	_, _, clientErr, _ = handshake(untrusted.ClientConfig(), entry.ServerConfig())
	g.Expect(clientErr).To(gomega.MatchError(identity.ErrPeer), "the client checks the server")
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
	s := newTestAuthority(t)
	s.issue("entry", entry1)
	s.issue("agent", bench1)
	entry, agent := s.load("entry"), s.load("agent")
	namesOfEntry := func() identity.Names {
		names, _, err, _ := handshake(agent.ClientConfig(), entry.ServerConfig())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return names
	}
	entry2 := identity.Name{Role: identity.Entry, ID: "entry-2"}
	s.issue("next", entry1, entry2)
	replace := func(from, to string) { g.Expect(os.Rename(s.path(from), s.path(to))).To(gomega.Succeed()) }
	replace("next.pem", "entry.pem")
	g.Expect(namesOfEntry()).To(gomega.ConsistOf(entry1), "the key does not match the certificate yet")
	replace("next-key.pem", "entry-key.pem")
	g.Expect(namesOfEntry()).To(gomega.ConsistOf(entry1, entry2))
	g.Expect(os.WriteFile(s.path("ca.pem"), []byte("none"), 0o600)).To(gomega.Succeed())
	g.Expect(namesOfEntry()).To(gomega.ConsistOf(entry1, entry2), "the previous authorities stay in use")
}

// Guards against issuing certificates that outlive their authority or have no name, which would fail only in use.
func TestIssueRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestAuthority(t)
	_, err := s.authority.Issue(identity.Request{Hosts: []string{"::1"}, Lifetime: 2 * time.Hour}, time.Now())
	g.Expect(err).To(gomega.MatchError(identity.ErrIssue))
	_, err = s.authority.Issue(identity.Request{Lifetime: time.Minute}, time.Now())
	g.Expect(err).To(gomega.MatchError(identity.ErrIssue))
	s.issue("entry", entry1)
	_, err = identity.LoadAuthority(s.path("entry.pem"), s.path("entry-key.pem"))
	g.Expect(err).To(gomega.MatchError(identity.ErrFile), "a certificate of a process cannot sign")
}
