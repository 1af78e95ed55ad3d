package e2e_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// Guards against a task that was running at a killed agent and is started again at another one, and against an agent that
// gets no more tasks after it was started again.
func TestAgentKilledUnderLoad(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	load := c.startLoad(8, &load{duplicateShare: 0.2})
	time.Sleep(500 * time.Millisecond)
	victim := c.agents[0]
	// Every agent runs some of these tasks when one is killed.
	var longJobs sync.WaitGroup
	for range 4 {
		j := newJob("charge", 6*time.Second, 1200, 1200, 1200, 1200)
		longJobs.Add(1)
		go func() {
			defer longJobs.Done()
			load.submitUntilFinal(rand.New(rand.NewPCG(5, 5)), j)
		}()
		c.waitStarted(j.key, 4)
	}
	victim.kill()
	time.Sleep(1500 * time.Millisecond)
	c.startAgent(victim)
	time.Sleep(1500 * time.Millisecond)
	longJobs.Wait()
	s := load.verify()
	g.Expect(s.reasons["unknown upstream_lost"]).To(gomega.BeNumerically(">", 0), "no task ran at the killed agent")
	g.Expect(s.complete).To(gomega.BeNumerically(">", s.keys*3/4))
	c.waitConverged(10 * time.Second)
	before := c.totalStartsAt(victim.upstream)
	g.Eventually(func() int {
		r, err := submit(context.Background(), c.entries[0], newJob("quote", 4*time.Second, 20, 20, 20, 20, 20, 20, 20, 20))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete))
		return c.totalStartsAt(victim.upstream)
	}, "5s", "20ms").Should(gomega.BeNumerically(">", before))
}

// Guards against a task that a resumed agent starts although the task was refused or given to another agent during the
// pause, and against the loss of results of tasks that ended during the pause.
func TestAgentPausedUnderLoad(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{slots: 2})
	load := c.startLoad(8, &load{duplicateShare: 0.2})
	for _, pause := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond} {
		time.Sleep(700 * time.Millisecond)
		victim := c.agents[1]
		victim.pause()
		time.Sleep(pause)
		victim.resume()
	}
	time.Sleep(2 * time.Second)
	s := load.verify()
	g.Expect(s.complete).To(gomega.BeNumerically(">", s.keys*3/4))
	c.waitConverged(15 * time.Second)
}

// Guards against a task that is started again because its upstream did the work but reset the connection before answering.
func TestUpstreamResetsConnectionsAfterTheWork(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	for _, u := range c.upstreams[:2] {
		c.setUpstreamFaults(u, map[string]any{"reset": true})
	}
	load := c.startLoad(6, &load{duplicateShare: 0.2})
	time.Sleep(2500 * time.Millisecond)
	s := load.verify()
	g.Expect(s.reasons["unknown upstream_lost"]).To(gomega.BeNumerically(">", 0),
		"no answer was lost, so the test checked nothing")
	g.Expect(s.complete).To(gomega.BeNumerically(">", 0))
}

// Guards against jobs that are refused or end as unknown because some upstreams refuse connections, and, when all upstreams
// refuse them, against a not_run answer to a job whose tasks are started after all.
func TestUpstreamsThatRefuseConnections(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	for _, u := range c.upstreams[:3] {
		c.setUpstreamFaults(u, map[string]any{"refuse": true})
	}
	load := c.startLoad(4, &load{duplicateShare: 0.2})
	time.Sleep(2 * time.Second)
	s := load.verify()
	g.Expect(s.complete).To(gomega.Equal(s.keys), "the remaining upstream did not complete every job: %v", s)

	c.setUpstreamFaults(c.upstreams[3], map[string]any{"refuse": true})
	// A request written to a pooled connection while the upstream closes it has a truly unknown outcome. Wait until
	// the agents have noticed that their idle connections were closed.
	for _, u := range c.upstreams {
		c.eventually(5*time.Second, "the agent has closed its connections to "+u.name,
			func() error { return checkNoConnections(u) })
	}
	j := newJob("charge", 1500*time.Millisecond, 20, 20)
	r, err := submit(context.Background(), c.entries[0], j)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeNotRun), "%+v", r.Answer)
	g.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
	for _, u := range c.upstreams {
		c.setUpstreamFaults(u, map[string]any{})
	}
	time.Sleep(time.Second)
	g.Expect(c.startsOfKey(j.key, 2)).To(gomega.BeZero())
	g.Expect(c.submitUntilFinal(c.entries[1], j, 5*time.Second).Outcome).To(gomega.Equal(api.OutcomeComplete))
}

// checkNoConnections returns an error while any process holds a connection to the task address of an upstream, according to
// the kernel's table of IPv4 connections. A connection that only the upstream has closed counts as open.
func checkNoConnections(u *upstream) error {
	const remoteColumn, stateColumn = 2, 3 // columns of /proc/net/tcp
	const established, closeWait = "01", "08"
	address, err := netip.ParseAddrPort(u.taskAddress)
	if err != nil {
		return err
	}
	ip := address.Addr().As4()
	wanted := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), address.Port())
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if columns[remoteColumn] == wanted && (columns[stateColumn] == established || columns[stateColumn] == closeWait) {
			return fmt.Errorf("open connection: %s", line)
		}
	}
	return nil
}

// totalStartsAt returns the number of tasks that an upstream started.
func (c *cluster) totalStartsAt(u *upstream) int {
	c.t.Helper()
	var counters struct {
		Starts int `json:"starts"`
	}
	if err := c.getJSON("http://"+u.controlAddress+"/counters", &counters); err != nil {
		c.t.Fatal(err)
	}
	return counters.Starts
}
