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

// certificates is a directory with the files of one certificate authority, created by the program.
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

// issue creates a certificate that names the entries of a cluster, the given agents and loopbackHost.
func (c certificates) issue(name, agents string) {
	c.t.Helper()
	c.run("issue", "--directory", c.directory, "--ca", c.path("ca.pem"), "--ca-key", c.path("ca-key.pem"), "--file", name,
		"--entry", "entry-1,entry-2,entry-3", "--agent", agents, "--hosts", loopbackHost)
}

func (c certificates) read(name string) []byte {
	c.t.Helper()
	text, err := os.ReadFile(c.path(name))
	if err != nil {
		c.t.Fatal(err)
	}
	return text
}

// linkArguments returns the arguments with which a process uses the given certificate on its links.
func (c certificates) linkArguments(name string) []string {
	return []string{"--link-cert", c.path(name + ".pem"), "--link-key", c.path(name + "-key.pem"), "--link-ca", c.path("ca.pem")}
}

// replace replaces a file atomically.
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

// Guards against a rotation of the link authority that requires all processes to restart at once, and against links to a
// process that has no certificate or one that is from an untrusted authority or names another process.
func TestRotationOfTheLinkAuthority(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	oldCA, newCA := newCertificates(t), newCertificates(t)
	agents := "agent-1,agent-2,agent-3,agent-4"
	oldCA.issue("process", agents)
	newCA.issue("process", agents)
	c := newCluster(t, options{extraArguments: oldCA.linkArguments("process")})
	load := c.startLoad(plannedStopCallers, &load{nextJob: mixedLengthJob, targets: func() []*entry { return c.entries[1:] }})
	bundle := append(oldCA.read("ca.pem"), newCA.read("ca.pem")...)
	oldCA.replace("ca.pem", bundle)
	oldCA.replace("process-key.pem", newCA.read("process-key.pem"))
	oldCA.replace("process.pem", newCA.read("process.pem"))
	c.entries[0].stop(stopLimit)
	c.startEntry(c.entries[0])
	c.waitConverged(10 * time.Second)
	oldCA.replace("ca.pem", newCA.read("ca.pem"))
	c.entries[0].stop(stopLimit)
	c.startEntry(c.entries[0])
	c.waitConverged(10 * time.Second)
	load.expectAllComplete()

	untrustedCA := newCertificates(t)
	untrustedCA.issue("process", "agent-5")
	newCA.issue("other", "agent-9")
	for _, arguments := range [][]string{untrustedCA.linkArguments("process"), newCA.linkArguments("other"), nil} {
		c.options.extraArguments = arguments
		a := c.addAgent("agent-5")
		g.Consistently(func() bool { return isReady(a.adminAddress) }, time.Second, 50*time.Millisecond).Should(gomega.BeFalse())
		a.kill()
	}
}

// Guards against interfaces for callers and operators that still accept plain HTTP when TLS is configured, and against an
// operator command that cannot connect to them.
func TestInterfacesOverHTTPS(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	certs := newCertificates(t)
	certs.issue("server", "agent-1")
	c := &cluster{t: t, options: options{extraArguments: []string{
		"--server-cert", certs.path("server.pem"), "--server-key", certs.path("server-key.pem"),
	}}}
	c.startStore()
	e := c.addEntry("entry-1")
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certs.read("ca.pem"))
	httpsClient := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	status := func(client *http.Client, url string) int {
		response, err := client.Get(url)
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	g.Eventually(func() int { return status(httpsClient, "https://"+e.adminAddress+"/readyz") }, 10*time.Second).
		Should(gomega.Equal(http.StatusOK))
	g.Expect(status(httpsClient, "https://"+e.callerAddress+"/v1/services/none/jobs/k")).To(gomega.Equal(http.StatusNotFound))
	g.Expect(status(controlClient, "http://"+e.callerAddress+"/v1/services/none/jobs/k")).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(status(controlClient, "https://"+e.adminAddress+"/readyz")).To(gomega.BeZero(),
		"the client accepted a certificate of an unknown authority")
	statusCommand := exec.Command(program, "status", "--admin-address", "https://"+e.adminAddress, "--admin-token", operatorToken)
	statusCommand.Env = append(os.Environ(), "SSL_CERT_FILE="+certs.path("ca.pem"))
	output, err := statusCommand.CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
}
