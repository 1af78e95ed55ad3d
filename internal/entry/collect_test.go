package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/link"
	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const departedIncarnation = 99

// newCollectControl returns the control state of an entry with n connected agents, and a request for records to each of
// them.
func newCollectControl(n int) (*control, []table.CollectRequest) {
	c := &control{now: time.Unix(1_000, 0), agents: make(map[string]*agentSession)}
	var requests []table.CollectRequest
	for i := range n {
		id := fmt.Sprintf("agent-%d", i)
		c.agents[id] = &agentSession{id: id, hello: wire.Hello{Incarnation: 1}, link: &link.Link{}}
		requests = append(requests, table.CollectRequest{
			Agent:   table.AgentRef{ID: id, Incarnation: 1},
			Message: &wire.Collect{List: &wire.EntryList{Version: 2}, ExpelledIncarnation: departedIncarnation},
		})
	}
	return c, requests
}

// Guards against a recovery that occupies every processor with the answers of all agents, and against one that stalls at
// agents that do not answer.
func TestRecoveryBoundsCollectRequestsInFlight(t *testing.T) {
	g := gomega.NewWithT(t)
	c, requests := newCollectControl(3 * maxCollectsInFlight)
	c.requestRecords(requests)
	c.requestRecords(requests[maxCollectsInFlight:])
	g.Expect(c.collectQueue.inFlight).To(gomega.HaveLen(maxCollectsInFlight))
	g.Expect(c.collectQueue.queued).To(gomega.HaveLen(2*maxCollectsInFlight), "a queued request is not queued twice")

	c.finishCollectRequest(collectKey{requests[0].Agent, departedIncarnation})
	g.Expect(c.collectQueue.inFlight).To(gomega.HaveLen(maxCollectsInFlight))
	g.Expect(c.collectQueue.queued).To(gomega.HaveLen(2*maxCollectsInFlight - 1))

	for range 2 {
		c.now = c.now.Add(collectTimeout)
		c.timers.runDue(c.now)
	}
	g.Expect(c.collectQueue.queued).To(gomega.BeEmpty(), "a request without an answer does not count towards the limit forever")
	c.now = c.now.Add(collectTimeout)
	c.timers.runDue(c.now)
	g.Expect(c.collectQueue.inFlight).To(gomega.BeEmpty())
}

// Guards against a request to an agent without a link that takes the place of another one, and against a queued request
// that is sent with an outdated list.
func TestQueuedCollectRequestsFollowTheAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	c, requests := newCollectControl(maxCollectsInFlight + 2)
	c.requestRecords(requests)
	last := requests[maxCollectsInFlight+1]
	newer := &wire.Collect{List: &wire.EntryList{Version: 3}, ExpelledIncarnation: departedIncarnation}
	c.requestRecords([]table.CollectRequest{{Agent: last.Agent, Message: newer}})
	key := collectKey{last.Agent, departedIncarnation}
	g.Expect(c.collectQueue.messages[key]).To(gomega.BeIdenticalTo(newer))

	c.agents[requests[maxCollectsInFlight].Agent.ID].link = nil
	c.finishCollectRequest(collectKey{requests[0].Agent, departedIncarnation})
	g.Expect(c.collectQueue.inFlight).To(gomega.HaveKey(key))
	g.Expect(c.collectQueue.queued).To(gomega.BeEmpty())
}
