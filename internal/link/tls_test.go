package link_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/identity"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// issuer creates an authority and returns a function that issues the identity of a process with it.
func issuer(t testing.TB) func(identity.Role, string) *identity.Identity {
	t.Helper()
	g := gomega.NewWithT(t)
	directory := t.TempDir()
	write := func(name string, pair identity.PEM, err error) (certificate, key string) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
		certificate, key = filepath.Join(directory, name+".pem"), filepath.Join(directory, name+"-key.pem")
		g.Expect(os.WriteFile(certificate, pair.Certificate, 0o600)).To(gomega.Succeed())
		g.Expect(os.WriteFile(key, pair.Key, 0o600)).To(gomega.Succeed())
		return certificate, key
	}
	pair, err := identity.NewAuthority("test", time.Now(), time.Hour)
	ca, caKey := write("ca", pair, err)
	authority, err := identity.LoadAuthority(ca, caKey)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return func(role identity.Role, id string) *identity.Identity {
		request := identity.Request{Names: identity.Names{{Role: role, ID: id}}, Lifetime: time.Minute}
		pair, err := authority.Issue(request, time.Now())
		certificate, key := write(string(role)+id, pair, err)
		loaded, err := identity.Load(certificate, key, ca, log.Log)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return loaded
	}
}

// Guards against a process with a valid certificate that links under the identity of another process, in both directions.
func TestCertificateNamesTheProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	issue := issuer(t)
	a := newAcceptor(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(a.serve))
	server.TLS = issue(identity.Entry, "e1").ServerConfig()
	server.StartTLS()
	t.Cleanup(server.Close)
	dial := func(i *identity.Identity, role wire.Role, id string) error {
		dialer := link.WebSocketDialer{Token: token, TLS: i.ClientConfig()}
		l, _, err := link.Dial(context.Background(), dialer, server.Listener.Addr().String(), wire.Hello{Role: role, ID: id}, dialOptions())
		if err == nil {
			l.Close(link.ErrClosed)
		}
		return err
	}
	agent := issue(identity.Agent, "u1")
	g.Expect(dial(agent, wire.RoleAgent, "u1")).To(gomega.Succeed())
	a.accepted(t).Close(link.ErrClosed)
	g.Expect(dial(agent, wire.RoleAgent, "u2")).To(gomega.MatchError(link.ErrRefused))
	g.Expect(a.refusal(t)).To(gomega.MatchError(link.ErrRefused))
	g.Expect(dial(agent, wire.RoleEntry, "u1")).To(gomega.MatchError(link.ErrRefused), "an agent is no entry")
	a.refusal(t)
	a.decide = func(*wire.Hello) *wire.Welcome { return &wire.Welcome{ID: "e2"} }
	g.Expect(dial(agent, wire.RoleAgent, "u1")).To(gomega.MatchError(link.ErrRefused), "the certificate names e1, the welcome e2")
}

// benchmarkServer accepts links of agents and returns a dialer for them.
func benchmarkServer(b *testing.B, encrypted bool) (address string, dialer link.Dialer, a *acceptor) {
	b.Helper()
	a = newAcceptor(b)
	a.links = make(chan *link.Link, b.N+1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(a.serve))
	b.Cleanup(server.Close)
	if !encrypted {
		server.Start()
		return server.Listener.Addr().String(), link.WebSocketDialer{Token: token}, a
	}
	issue := issuer(b)
	server.TLS = issue(identity.Entry, "e1").ServerConfig()
	server.StartTLS()
	return server.Listener.Addr().String(), link.WebSocketDialer{Token: token, TLS: issue(identity.Agent, "u1").ClientConfig()}, a
}

func benchmarkPlainAndTLS(b *testing.B, run func(b *testing.B, encrypted bool)) {
	for _, c := range []struct {
		name      string
		encrypted bool
	}{{"plain", false}, {"tls", true}} {
		b.Run(c.name, func(b *testing.B) { run(b, c.encrypted) })
	}
}

// BenchmarkDial opens links; both ends run in this process.
func BenchmarkDial(b *testing.B) {
	benchmarkPlainAndTLS(b, func(b *testing.B, encrypted bool) {
		address, dialer, a := benchmarkServer(b, encrypted)
		for b.Loop() {
			l, _, err := link.Dial(context.Background(), dialer, address, wire.Hello{Role: wire.RoleAgent, ID: "u1"}, dialOptions())
			if err != nil {
				b.Fatal(err)
			}
			l.Close(link.ErrClosed)
			a.accepted(b).Close(link.ErrClosed)
		}
	})
}

// BenchmarkRoundTrip sends a start with a body of 200 B and waits for the answer; both ends run in this process.
func BenchmarkRoundTrip(b *testing.B) {
	benchmarkPlainAndTLS(b, func(b *testing.B, encrypted bool) {
		address, dialer, a := benchmarkServer(b, encrypted)
		near, _, err := link.Dial(context.Background(), dialer, address, wire.Hello{Role: wire.RoleAgent, ID: "u1"}, dialOptions())
		if err != nil {
			b.Fatal(err)
		}
		far := a.accepted(b)
		answers := make(chan wire.Message, 1)
		near.Start(handlerFunc(func(m wire.Message) { answers <- m }))
		far.Start(handlerFunc(func(m wire.Message) { _ = far.Send(&wire.Result{Attempt: m.(*wire.Start).Attempt}) }))
		b.Cleanup(func() { near.Close(link.ErrClosed); far.Close(link.ErrClosed) })
		start := &wire.Start{Attempt: 1, Service: "bench", Kind: "run", Tasks: 1, Body: make([]byte, 200)}
		for b.Loop() {
			if err := near.Send(start); err != nil {
				b.Fatal(err)
			}
			<-answers
		}
	})
}

// handlerFunc is a link.Handler that calls the function with each message.
type handlerFunc func(wire.Message)

// OnMessage implements link.Handler.
func (f handlerFunc) OnMessage(_ *link.Link, m wire.Message) { f(m) }

// OnClose implements link.Handler.
func (f handlerFunc) OnClose(*link.Link, error) {}
