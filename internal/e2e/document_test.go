package e2e_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// documentBound is the time in which an accepted document is in force everywhere.
const documentBound = 4 * time.Second

// waitRevision waits until the revision is in force at every running entry and agent.
func (c *cluster) waitRevision(revision uint64, limit time.Duration) {
	c.t.Helper()
	entries, agents := c.running()
	c.eventually(limit, fmt.Sprintf("revision %d is in force everywhere", revision), func() error {
		for _, e := range entries {
			if s, err := c.stateOf(e); err != nil || s.Services[service].Revision != revision {
				return fmt.Errorf("%s: revision %d, %v", e.id, s.Services[service].Revision, err)
			}
		}
		for _, a := range agents {
			if s, err := c.agentStateOf(a); err != nil || s.Documents[service] != revision {
				return fmt.Errorf("%s: revision %d, %v", a.id, s.Documents[service], err)
			}
		}
		return nil
	})
}

// Guards against a document that reaches a process late because its link went silent, or because only one entry sees
// the store.
func TestDocumentIsInForceEverywhereInTime(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{relays: true})
	c.putDocument(benchDocument+"slots: 6\n", 1)
	c.waitRevision(2, documentBound)

	// One link of each agent is dead, and neither end learns that the other one closes it.
	for i, a := range c.agents {
		c.entries[i%len(c.entries)].relay.silence(a.id, toDialler, toEntry)
	}
	c.putDocument(benchDocument+"slots: 7\n", 2)
	c.waitRevision(3, documentBound)

	// One entry sees the store.
	for _, e := range c.entries[1:] {
		e.store.refuse("")
	}
	c.putDocument(benchDocument+"slots: 4\n", 3)
	c.waitRevision(4, documentBound)
}

// Guards against a document that comes late because all links of an agent, and one of two entries, are silent in the
// direction of the push alone.
func TestDocumentReachesAnAgentBehindOneWaySilence(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{relays: true})
	for _, e := range c.entries {
		e.relay.silence(c.agents[0].id, toDialler)
	}
	c.entries[1].relay.silence(c.entries[0].id, toEntry)
	c.putDocument(benchDocument+"slots: 6\n", 1)
	c.waitRevision(2, documentBound)
}

// Guards against a document that comes late to an agent all of whose links are dead at once, without a sign to it.
func TestDocumentReachesAnAgentWhoseLinksAreDead(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{relays: true})
	for _, e := range c.entries {
		e.relay.silence(c.agents[0].id, toDialler, toEntry)
	}
	c.putDocument(benchDocument+"slots: 6\n", 1)
	c.waitRevision(2, documentBound)
}

// Guards against a revision that is lost when every entry is replaced, or when the store comes back with older data.
func TestDocumentNeverReverts(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	c.storeAction("snapshot")
	for i, slots := range []int{6, 5} {
		c.putDocument(fmt.Sprintf("%sslots: %d\n", benchDocument, slots), i+1)
	}
	c.waitRevision(3, documentBound)
	for _, e := range c.entries {
		e.stop(stopLimit)
		c.startEntry(e)
		c.waitSettled(10 * time.Second)
		c.waitRevision(3, documentBound)
	}
	c.storeAction("restore")
	c.expectKept(3)
	g.Expect(c.putDocumentAt(3)).To(gomega.Succeed(), "the store has the newest revision again")
	c.waitRevision(4, documentBound)
	c.waitSettled(10 * time.Second)
}

// expectKept watches that no process falls back to an older revision.
func (c *cluster) expectKept(revision uint64) {
	c.t.Helper()
	until := time.Now().Add(documentBound)
	for time.Now().Before(until) {
		c.waitRevision(revision, 0)
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a revision that is lost because every entry that knew it from the store was lost in an outage, after
// which the store comes back with older data.
func TestDocumentOutlivesEveryEntryAndTheStore(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	c.storeAction("snapshot")
	c.putDocument(benchDocument+"slots: 6\n", 1)
	c.waitRevision(2, documentBound)
	c.storeFaults(map[string]any{"down": "close"})
	for _, e := range c.entries {
		e.kill()
		c.startEntry(e)
		c.eventually(documentBound, e.id+" learns the document from its peers", func() error {
			s, err := c.stateOf(e)
			if err != nil || s.Services[service].Revision != 2 {
				return fmt.Errorf("revision %d, %v", s.Services[service].Revision, err)
			}
			return nil
		})
	}
	c.storeAction("restore")
	c.storeFaults(nil)
	c.expectKept(2)
	g.Expect(c.putDocumentAt(2)).To(gomega.Succeed(), "the store has the newest revision again")
	c.waitRevision(3, documentBound)
	c.waitSettled(10 * time.Second)
}

// putDocumentAt edits the document on the base of a revision.
func (c *cluster) putDocumentAt(revision int) error {
	output, err := c.tryPutDocument(benchDocument+"slots: 3\n", revision)
	if err != nil {
		return fmt.Errorf("%w: %s", err, output)
	}
	return nil
}

// Guards against an entry that starts in an outage of the store and does not learn documents and list from its peers.
func TestEntryStartsWhileTheStoreIsOut(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	c.putDocument(benchDocument+"slots: 6\n", 1)
	c.waitRevision(2, documentBound)
	c.storeFaults(map[string]any{"down": "close"})
	cold := c.addEntry("entry-4")
	c.eventually(documentBound, "the cold entry is ready with the document", func() error {
		s, err := c.stateOf(cold)
		if err != nil || !ready(cold.admin) || s.Services[service].Revision != 2 {
			return fmt.Errorf("ready %v, revision %d, %v", s.Ready, s.Services[service].Revision, err)
		}
		return nil
	})
	c.eventually(2*time.Second, "the cold entry is linked to every other entry", func() error {
		s, err := c.stateOf(cold)
		if err != nil || !s.Entries["entry-1"].Connected || !s.Entries["entry-2"].Connected || !s.Entries["entry-3"].Connected {
			return fmt.Errorf("%+v, %v", s.Entries, err)
		}
		return nil
	})
	for _, home := range c.others(cold) {
		j := c.jobWithHome(home, newJob("charge", 4*time.Second, 20, 20))
		r, err := submit(context.Background(), cold, j)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
	}
	c.storeFaults(nil)
	c.waitSettled(10 * time.Second)
}

// Guards against new work at an upstream that is leaving, when the message that its agent leaves was lost.
func TestLeavingAgentGetsNoNewWorkThoughItsMessageIsLost(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{relays: true})
	a := c.agents[0]
	running := newJob("charge", 20*time.Second, 5000, 5000, 5000, 5000, 5000, 5000, 5000, 5000)
	answer := make(chan reply, 1)
	go func() {
		r, err := submit(context.Background(), c.entries[0], running)
		if err != nil {
			t.Error(err)
		}
		answer <- r
	}()
	c.waitRunning(running.key, 8)
	g.Expect(c.startsAt(a.upstream)).To(gomega.BeNumerically(">", 0))
	for _, e := range c.entries {
		e.relay.silence(a.id, toEntry)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		a.stop(stopLimit)
	}()
	load := c.startLoad(8, &load{})
	c.eventually(time.Second, "the agent is leaving", func() error {
		if s, err := c.agentStateOf(a); err != nil || !s.Leaving {
			return fmt.Errorf("leaving %v, %v", s.Leaving, err)
		}
		return nil
	})
	// The bound is 3 s. The agent itself refuses new work, so it holds at once, although the entries send some.
	const leaveBound = 3 * time.Second
	time.Sleep(50 * time.Millisecond)
	before := c.startsAt(a.upstream)
	time.Sleep(leaveBound + 500*time.Millisecond)
	g.Expect(a.process.running()).To(gomega.BeTrue(), "the agent still finishes its tasks")
	g.Expect(c.startsAt(a.upstream)).To(gomega.Equal(before))
	load.verify()
	r := <-answer
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
	g.Expect(running.check(r)).To(gomega.Succeed())
	<-stopped
}
