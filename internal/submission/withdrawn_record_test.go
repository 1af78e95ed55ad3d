package submission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against a key that stays refused as recovering for a minute, and unknown for the whole window, although nothing
// of it was started: its attempt was queued at an agent when the records were collected, and was refused there later.
func TestKeyWhoseQueuedAttemptWasRefusedLaterCanRun(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	self := wire.Member{ID: "e1", Incarnation: 1, Address: "a:1", DataCentre: "d", State: wire.MemberActive}
	lost := wire.Member{ID: "e2", Incarnation: 2, Address: "a:2", DataCentre: "d", State: wire.MemberActive}
	agent := submission.AgentRef{ID: "w1", Incarnation: 7}
	table := submission.New(submission.Config{}, self)
	table.Adopt(now, &wire.EntryList{Version: 1, Members: []wire.Member{self, lost}})
	table.AgentConnected(now, agent, now)
	table.RosterReceived(now, lost, &wire.AgentRoster{Full: true})
	table.InheritedReceived(now, lost, &wire.Inherited{ListVersion: 1, Last: true})
	table.Adopt(now, &wire.EntryList{
		Version: 2, Members: []wire.Member{self},
		Departed: []wire.Departed{{ID: lost.ID, Incarnation: lost.Incarnation, AtVersion: 2, At: now}},
	})
	key := wire.KeyHash{9}
	records := func(keys ...wire.KeyRecord) *wire.Records {
		return &wire.Records{
			Expelled: lost.ID, ExpelledIncarnation: lost.Incarnation, ListVersion: 2, Keys: keys, Last: true,
		}
	}
	queued := wire.KeyRecord{Key: key, Tasks: 1, Done: []wire.TaskRecord{{Task: 0, State: wire.AttemptQueued}}}
	table.RecordsReceived(now, agent, records(queued))
	s := submission.Submission{Key: key, Deadline: now.Add(time.Minute)}
	g.Expect(table.Submit(now, s).Kind).NotTo(gomega.Equal(submission.Run), "the attempt can still start")

	now = now.Add(time.Second)
	g.Expect(table.Tick(now).Collect).To(gomega.HaveLen(1), "the agent is asked again")
	table.RecordsReceived(now, agent, records())
	g.Expect(table.Submit(now, s).Kind).To(gomega.Equal(submission.Run))
}
