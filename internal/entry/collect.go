package entry

import (
	"time"

	table "github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Limits of the requests for records (wire.Collect) that a recovery sends to agents. If hundreds of agents answered at once,
// decoding would keep every processor of the entry busy and delay all other work.
const (
	// maxCollectsInFlight is the maximum number of unanswered requests. With 100,000 records on 100 agents a job waits up to
	// 78 ms with a limit of 4, 142 ms with 8 and 246 ms without one, and the recovery takes equally long in all three cases.
	maxCollectsInFlight = 4
	// collectTimeout is the time after which an unanswered request no longer counts towards the limit. Its answer is still
	// accepted.
	collectTimeout = 250 * time.Millisecond
)

// collectKey identifies a request: the run of the agent and the incarnation of the departed entry.
type collectKey struct {
	agent    table.AgentRef
	departed uint64
}

// collectQueue holds the requests for records that are queued or unanswered.
type collectQueue struct {
	queued []collectKey
	// messages has the latest message of each queued request.
	messages map[collectKey]*wire.Collect
	// inFlight has the unanswered requests with the timers of their collectTimeout.
	inFlight map[collectKey]*pendingTimer
}

// requestRecords asks agents for the records of departed entries, at most maxCollectsInFlight at a time. A request that is
// already queued gets the new message.
func (c *control) requestRecords(requests []table.CollectRequest) {
	q := &c.collectQueue
	if q.messages == nil {
		q.messages, q.inFlight = make(map[collectKey]*wire.Collect), make(map[collectKey]*pendingTimer)
	}
	for _, request := range requests {
		key := collectKey{request.Agent, request.Message.ExpelledIncarnation}
		if q.messages[key] == nil {
			q.queued = append(q.queued, key)
		}
		q.messages[key] = request.Message
	}
	c.sendCollectRequests()
}

// sendCollectRequests sends queued requests up to the limit. A request to an agent without a link is dropped; the table
// repeats it when the agent reconnects.
func (c *control) sendCollectRequests() {
	q := &c.collectQueue
	for len(q.queued) > 0 && len(q.inFlight) < maxCollectsInFlight {
		key := q.queued[0]
		q.queued = q.queued[1:]
		message := q.messages[key]
		delete(q.messages, key)
		s := c.agents[key.agent.ID]
		if s == nil || s.link == nil || s.agentRef() != key.agent || s.link.Send(message) != nil {
			continue
		}
		c.timers.cancel(q.inFlight[key])
		q.inFlight[key] = c.timers.add(c.now.Add(collectTimeout), func(time.Time) { c.finishCollectRequest(key) })
	}
}

// finishCollectRequest removes an answered or timed-out request from those in flight and sends the next ones.
func (c *control) finishCollectRequest(key collectKey) {
	c.timers.cancel(c.collectQueue.inFlight[key])
	delete(c.collectQueue.inFlight, key)
	c.sendCollectRequests()
}
