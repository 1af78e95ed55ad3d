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

const departedRun = 99

// newCollector returns the control state of an entry with n connected agents, and the questions to all of them.
func newCollector(n int) (*control, []table.CollectFrom) {
	c := &control{now: time.Unix(1_000, 0), agents: make(map[string]*agentSession)}
	var questions []table.CollectFrom
	for i := range n {
		id := fmt.Sprintf("agent-%d", i)
		c.agents[id] = &agentSession{id: id, hello: wire.Hello{Incarnation: 1}, link: &link.Link{}}
		questions = append(questions, table.CollectFrom{
			Agent:   table.AgentRef{ID: id, Incarnation: 1},
			Message: &wire.Collect{List: &wire.EntryList{Version: 2}, ExpelledIncarnation: departedRun},
		})
	}
	return c, questions
}

// Guards against a recovery that takes every processor, and against one that ends at an agent that does not answer.
func TestRecoveryAsksFewAgentsAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	c, questions := newCollector(3 * maxOpenCollects)
	c.collect(questions)
	c.collect(questions[maxOpenCollects:])
	g.Expect(c.collects.open).To(gomega.HaveLen(maxOpenCollects))
	g.Expect(c.collects.order).To(gomega.HaveLen(2*maxOpenCollects), "a question that waits is not queued twice")

	c.collectEnded(collectKey{questions[0].Agent, departedRun})
	g.Expect(c.collects.open).To(gomega.HaveLen(maxOpenCollects))
	g.Expect(c.collects.order).To(gomega.HaveLen(2*maxOpenCollects - 1))

	for range 2 {
		c.now = c.now.Add(collectTimeout)
		c.timers.fire(c.now)
	}
	g.Expect(c.collects.order).To(gomega.BeEmpty(), "an agent that does not answer keeps no place")
	c.now = c.now.Add(collectTimeout)
	c.timers.fire(c.now)
	g.Expect(c.collects.open).To(gomega.BeEmpty())
}

// Guards against a place that an agent without a link takes from the others, and against an old list in a question that
// waited.
func TestQuestionsThatWaitFollowTheAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	c, questions := newCollector(maxOpenCollects + 2)
	c.collect(questions)
	last := questions[maxOpenCollects+1]
	newer := &wire.Collect{List: &wire.EntryList{Version: 3}, ExpelledIncarnation: departedRun}
	c.collect([]table.CollectFrom{{Agent: last.Agent, Message: newer}})
	key := collectKey{last.Agent, departedRun}
	g.Expect(c.collects.messages[key]).To(gomega.BeIdenticalTo(newer))

	c.agents[questions[maxOpenCollects].Agent.ID].link = nil
	c.collectEnded(collectKey{questions[0].Agent, departedRun})
	g.Expect(c.collects.open).To(gomega.HaveKey(key))
	g.Expect(c.collects.order).To(gomega.BeEmpty())
}
