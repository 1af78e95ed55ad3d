package entry

import (
	"time"

	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Bounds of the questions to agents in a recovery. The answers of hundreds of agents at once would keep every processor
// of the entry busy with decoding, and other work would wait for all of them.
const (
	// maxOpenCollects is the number of questions without an answer. With 100,000 records of 100 agents a job waits up to
	// 78 ms with 4, 142 ms with 8 and 246 ms without a bound, and the recovery takes no longer.
	maxOpenCollects = 4
	// collectTimeout is the time after which a question makes room for the next one. Its answer still counts.
	collectTimeout = 250 * time.Millisecond
)

// collectKey is the subject of a question: a run of an agent and the incarnation of a departed entry.
type collectKey struct {
	agent    table.AgentRef
	departed uint64
}

// collectQueue holds the questions that were not sent.
type collectQueue struct {
	order []collectKey
	// messages has the latest question by subject.
	messages map[collectKey]*wire.Collect
	// open has the questions that were sent and have no answer, with the timer that gives up their place.
	open map[collectKey]*timerEntry
}

// collect asks agents for the records of departed entries, a few at a time.
func (c *control) collect(questions []table.CollectFrom) {
	q := &c.collects
	if q.messages == nil {
		q.messages, q.open = make(map[collectKey]*wire.Collect), make(map[collectKey]*timerEntry)
	}
	for _, question := range questions {
		key := collectKey{question.Agent, question.Message.ExpelledIncarnation}
		if q.messages[key] == nil {
			q.order = append(q.order, key)
		}
		q.messages[key] = question.Message
	}
	c.sendCollects()
}

// sendCollects sends questions while there is room for them. An agent without a link is asked when it is back.
func (c *control) sendCollects() {
	q := &c.collects
	for len(q.order) > 0 && len(q.open) < maxOpenCollects {
		key := q.order[0]
		q.order = q.order[1:]
		message := q.messages[key]
		delete(q.messages, key)
		s := c.agents[key.agent.ID]
		if s == nil || s.link == nil || s.ref() != key.agent || s.link.Send(message) != nil {
			continue
		}
		c.timers.cancel(q.open[key])
		q.open[key] = c.timers.add(c.now.Add(collectTimeout), func(time.Time) { c.collectEnded(key) })
	}
}

// collectEnded makes room for the next question.
func (c *control) collectEnded(key collectKey) {
	c.timers.cancel(c.collects.open[key])
	delete(c.collects.open, key)
	c.sendCollects()
}
