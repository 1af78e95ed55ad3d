package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against an agent that is welcomed before it was announced to the other entries, and against one message per agent
// when many agents reconnect at once.
func TestAgentsThatReconnectTogetherShareARoster(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &control{now: time.Unix(1_000, 0), peers: map[string]*peer{"e2": {id: "e2", link: &link.Link{}}}}
	welcomed := 0
	connect := func() {
		c.queueRosterUpdate(&wire.AgentRoster{Agents: []wire.AgentPresence{{ID: "agent"}}})
		c.runAfterRosterSent(func() { welcomed++ })
	}
	connect()
	g.Expect(welcomed).To(gomega.Equal(1), "a single agent does not wait")

	connect()
	connect()
	g.Expect(welcomed).To(gomega.Equal(1))
	g.Expect(c.rosterBatch.agents).To(gomega.HaveLen(2))
	c.now = c.now.Add(rosterInterval)
	c.timers.runDue(c.now)
	g.Expect(welcomed).To(gomega.Equal(3))
	g.Expect(c.rosterBatch.agents).To(gomega.BeEmpty())

	c.peers["e2"].link = nil
	connect()
	g.Expect(welcomed).To(gomega.Equal(4), "no entry is connected, so there is nothing to wait for")
}
