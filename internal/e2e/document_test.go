package e2e_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/api"
)

// documentPropagationBound is the time within which an accepted document must be in effect everywhere.
const documentPropagationBound = 4 * time.Second

// waitRevision waits until the revision is in effect at every running entry and agent.
func (c *cluster) waitRevision(revision uint64, limit time.Duration) {
	c.t.Helper()
	entries, agents := c.runningEntriesAndAgents()
	c.eventually(limit, fmt.Sprintf("revision %d is in effect everywhere", revision), func() error {
		for _, e := range entries {
			if s, err := c.stateOf(e); err != nil || s.Services[defaultService].Revision != revision {
				return fmt.Errorf("%s: revision %d, %v", e.id, s.Services[defaultService].Revision, err)
			}
		}
		for _, a := range agents {
			if s, err := c.agentStateOf(a); err != nil || s.Documents[defaultService] != revision {
				return fmt.Errorf("%s: revision %d, %v", a.id, s.Documents[defaultService], err)
			}
		}
		return nil
	})
}

// Guards against a document that reaches a process too late because one of its links is silent or because only one entry can
// reach the store.
func TestDocumentIsInForceEverywhereInTime(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{withRelays: true})
	c.putDocument(benchDocument+"slots: 6\n", 1)
	c.waitRevision(2, documentPropagationBound)

	// One link of each agent is silent in both directions, and neither end notices when the other one closes it.
	for i, a := range c.agents {
		c.entries[i%len(c.entries)].linkRelay.silence(a.id, toDialler, toEntry)
	}
	c.putDocument(benchDocument+"slots: 7\n", 2)
	c.waitRevision(3, documentPropagationBound)

	// Only the first entry can reach the store.
	for _, e := range c.entries[1:] {
		e.storeRelay.refuse("")
	}
	c.putDocument(benchDocument+"slots: 4\n", 3)
	c.waitRevision(4, documentPropagationBound)
}

// Guards against a document that arrives too late at an agent when all of its links, and the link between two of the
// entries, are silent in the direction of the push only.
func TestDocumentReachesAnAgentBehindOneWaySilence(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{withRelays: true})
	for _, e := range c.entries {
		e.linkRelay.silence(c.agents[0].id, toDialler)
	}
	c.entries[1].linkRelay.silence(c.entries[0].id, toEntry)
	c.putDocument(benchDocument+"slots: 6\n", 1)
	c.waitRevision(2, documentPropagationBound)
}

// Guards against a document that arrives too late at an agent whose links all went silent at once, with no connection error.
func TestDocumentReachesAnAgentWhoseLinksAreDead(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{withRelays: true})
	for _, e := range c.entries {
		e.linkRelay.silence(c.agents[0].id, toDialler, toEntry)
	}
	c.putDocument(benchDocument+"slots: 6\n", 1)
	c.waitRevision(2, documentPropagationBound)
}

// Guards against a revision that is lost when every entry is replaced or when the store is restored from an older snapshot.
func TestDocumentNeverReverts(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	c.triggerStoreAction("snapshot")
	for i, slots := range []int{6, 5} {
		c.putDocument(fmt.Sprintf("%sslots: %d\n", benchDocument, slots), i+1)
	}
	c.waitRevision(3, documentPropagationBound)
	for _, e := range c.entries {
		e.stop(stopLimit)
		c.startEntry(e)
		c.waitConverged(10 * time.Second)
		c.waitRevision(3, documentPropagationBound)
	}
	c.triggerStoreAction("restore")
	c.expectNoOlderRevision(3)
	g.Expect(c.putDocumentBasedOn(3)).To(gomega.Succeed(), "the store did not get the newest revision back")
	c.waitRevision(4, documentPropagationBound)
	c.waitConverged(10 * time.Second)
}

// expectNoOlderRevision fails the test if a process returns to an older revision within documentPropagationBound.
func (c *cluster) expectNoOlderRevision(revision uint64) {
	c.t.Helper()
	until := time.Now().Add(documentPropagationBound)
	for time.Now().Before(until) {
		c.waitRevision(revision, 0)
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a revision that is lost when every entry that read it from the store is killed during a store outage and
// the store then comes back with older data.
func TestDocumentOutlivesEveryEntryAndTheStore(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	c.triggerStoreAction("snapshot")
	c.putDocument(benchDocument+"slots: 6\n", 1)
	c.waitRevision(2, documentPropagationBound)
	c.setStoreFaults(map[string]any{"down": "close"})
	for _, e := range c.entries {
		e.kill()
		c.startEntry(e)
		c.eventually(documentPropagationBound, e.id+" has the document from its peers", func() error {
			s, err := c.stateOf(e)
			if err != nil || s.Services[defaultService].Revision != 2 {
				return fmt.Errorf("revision %d, %v", s.Services[defaultService].Revision, err)
			}
			return nil
		})
	}
	c.triggerStoreAction("restore")
	c.setStoreFaults(nil)
	c.expectNoOlderRevision(2)
	g.Expect(c.putDocumentBasedOn(2)).To(gomega.Succeed(), "the store did not get the newest revision back")
	c.waitRevision(3, documentPropagationBound)
	c.waitConverged(10 * time.Second)
}

// putDocumentBasedOn writes a new document that replaces the given revision.
func (c *cluster) putDocumentBasedOn(revision int) error {
	output, err := c.tryPutDocument(benchDocument+"slots: 3\n", revision)
	if err != nil {
		return fmt.Errorf("%w: %s", err, output)
	}
	return nil
}

// Guards against an entry that is started during a store outage and does not get documents and the list of entries from its
// peers.
func TestEntryStartsWhileTheStoreIsOut(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{})
	c.putDocument(benchDocument+"slots: 6\n", 1)
	c.waitRevision(2, documentPropagationBound)
	c.setStoreFaults(map[string]any{"down": "close"})
	newEntry := c.addEntry("entry-4")
	c.eventually(documentPropagationBound, "the new entry is ready and has the document", func() error {
		s, err := c.stateOf(newEntry)
		if err != nil || !isReady(newEntry.adminAddress) || s.Services[defaultService].Revision != 2 {
			return fmt.Errorf("ready %v, revision %d, %v", s.Ready, s.Services[defaultService].Revision, err)
		}
		return nil
	})
	c.eventually(2*time.Second, "the new entry is linked to every other entry", func() error {
		s, err := c.stateOf(newEntry)
		if err != nil || !s.Entries["entry-1"].Connected || !s.Entries["entry-2"].Connected || !s.Entries["entry-3"].Connected {
			return fmt.Errorf("%+v, %v", s.Entries, err)
		}
		return nil
	})
	for _, home := range c.otherEntries(newEntry) {
		j := c.jobWithHome(home, newJob("charge", 4*time.Second, 20, 20))
		r, err := submit(context.Background(), newEntry, j)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
	}
	c.setStoreFaults(nil)
	c.waitConverged(10 * time.Second)
}

// Guards against new work at the upstream of a leaving agent whose Leaving message to the entries was lost.
func TestLeavingAgentGetsNoNewWorkThoughItsMessageIsLost(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	c := newCluster(t, options{withRelays: true})
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
	c.waitStarted(running.key, 8)
	g.Expect(c.totalStartsAt(a.upstream)).To(gomega.BeNumerically(">", 0))
	for _, e := range c.entries {
		e.linkRelay.silence(a.id, toEntry)
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
	// The bound is 3 s. It holds from the start although entries still send work, because the agent itself refuses new work.
	const leaveBound = 3 * time.Second
	time.Sleep(50 * time.Millisecond)
	before := c.totalStartsAt(a.upstream)
	time.Sleep(leaveBound + 500*time.Millisecond)
	g.Expect(a.process.running()).To(gomega.BeTrue(), "the agent exited before its tasks had ended")
	g.Expect(c.totalStartsAt(a.upstream)).To(gomega.Equal(before))
	load.verify()
	r := <-answer
	g.Expect(r.Outcome).To(gomega.Equal(api.OutcomeComplete), "%+v", r.Answer)
	g.Expect(running.checkReply(r)).To(gomega.Succeed())
	<-stopped
}
