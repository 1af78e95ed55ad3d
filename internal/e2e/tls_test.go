package e2e_test

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// certificates are the files of one authority, made by the program.
type certificates struct {
	t         *testing.T
	directory string
}

func newCertificates(t *testing.T) certificates {
	t.Helper()
	c := certificates{t, t.TempDir()}
	c.run("authority", "--directory", c.directory)
	return c
}

func (c certificates) run(arguments ...string) {
	c.t.Helper()
	if output, err := exec.Command(program, append([]string{"certificate"}, arguments...)...).CombinedOutput(); err != nil {
		c.t.Fatalf("certificate %v: %v\n%s", arguments, err, output)
	}
}

func (c certificates) path(name string) string { return filepath.Join(c.directory, name) }

// issue makes a certificate of the processes of a cluster and of the host under test.
func (c certificates) issue(name, agents string) {
	c.t.Helper()
	c.run("issue", "--directory", c.directory, "--ca", c.path("ca.pem"), "--ca-key", c.path("ca-key.pem"), "--file", name,
		"--entry", "entry-1,entry-2,entry-3", "--agent", agents, "--hosts", host)
}

func (c certificates) read(name string) []byte {
	c.t.Helper()
	text, err := os.ReadFile(c.path(name))
	if err != nil {
		c.t.Fatal(err)
	}
	return text
}

// linkArguments are the settings of a process with the given certificate.
func (c certificates) linkArguments(name string) []string {
	return []string{"--link-cert", c.path(name + ".pem"), "--link-key", c.path(name + "-key.pem"), "--link-ca", c.path("ca.pem")}
}

// replace puts new content at a path in one step.
func (c certificates) replace(name string, content []byte) {
	c.t.Helper()
	next := c.path(name + ".next")
	if err := os.WriteFile(next, content, 0o600); err != nil {
		c.t.Fatal(err)
	}
	if err := os.Rename(next, c.path(name)); err != nil {
		c.t.Fatal(err)
	}
}

// Guards against a rotation of the authority that needs all processes to restart at once, and against links with a
// process whose certificate is not of a trusted authority or names another process.
func TestRotationOfTheLinkAuthority(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	former, next := newCertificates(t), newCertificates(t)
	agents := "agent-1,agent-2,agent-3,agent-4"
	former.issue("process", agents)
	next.issue("process", agents)
	c := newCluster(t, options{arguments: former.linkArguments("process")})
	load := c.startLoad(plannedCallers, &load{jobs: plannedLoad, targets: func() []*entry { return c.entries[1:] }})
	both := append(former.read("ca.pem"), next.read("ca.pem")...)
	former.replace("ca.pem", both)
	former.replace("process-key.pem", next.read("process-key.pem"))
	former.replace("process.pem", next.read("process.pem"))
	c.entries[0].stop(stopLimit)
	c.startEntry(c.entries[0])
	c.waitSettled(10 * time.Second)
	former.replace("ca.pem", next.read("ca.pem"))
	c.entries[0].stop(stopLimit)
	c.startEntry(c.entries[0])
	c.waitSettled(10 * time.Second)
	load.expectUntouched()

	stranger := newCertificates(t)
	stranger.issue("process", "agent-5")
	next.issue("other", "agent-9")
	for _, arguments := range [][]string{stranger.linkArguments("process"), next.linkArguments("other"), nil} {
		c.options.arguments = arguments
		a := c.addAgent("agent-5")
		g.Consistently(func() bool { return ready(a.admin) }, time.Second, 50*time.Millisecond).Should(gomega.BeFalse())
		a.kill()
	}
}

// Guards against interfaces for callers and operators that stay open without TLS when it is set, and against a tool that
// cannot read them.
func TestInterfacesOverHTTPS(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	files := newCertificates(t)
	files.issue("server", "agent-1")
	c := &cluster{t: t, options: options{arguments: []string{
		"--server-cert", files.path("server.pem"), "--server-key", files.path("server-key.pem"),
	}}}
	c.startStore()
	e := c.addEntry("entry-1")
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(files.read("ca.pem"))
	secure := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	status := func(client *http.Client, url string) int {
		response, err := client.Get(url)
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	g.Eventually(func() int { return status(secure, "https://"+e.admin+"/readyz") }, 10*time.Second).Should(gomega.Equal(http.StatusOK))
	g.Expect(status(secure, "https://"+e.callers+"/v1/services/none/jobs/k")).To(gomega.Equal(http.StatusNotFound))
	g.Expect(status(client, "http://"+e.callers+"/v1/services/none/jobs/k")).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(status(client, "https://"+e.admin+"/readyz")).To(gomega.BeZero(), "the authority is not known to the client")
	tool := exec.Command(program, "status", "--admin-address", "https://"+e.admin, "--admin-token", token)
	tool.Env = append(os.Environ(), "SSL_CERT_FILE="+files.path("ca.pem"))
	output, err := tool.CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
}
