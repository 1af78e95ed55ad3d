package submission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// newTableInRecovery returns the table of b after a was expelled, and the two agents that a used. Only near has a link
// to b.
func newTableInRecovery(g *gomega.WithT) (*submission.Table, submission.AgentRef, submission.AgentRef) {
	a, b := activeMember("a", 1), activeMember("b", 2)
	table := submission.New(submission.Config{Retention: retention, SilentAgentTimeout: silentAgentTimeout}, b)
	table.Adopt(epoch, &wire.EntryList{Version: 1, Members: []wire.Member{a, b}})
	table.RosterReceived(epoch, a, &wire.AgentRoster{Full: true, Agents: []wire.AgentPresence{{ID: "far", Incarnation: 3}}})
	table.InheritReplyReceived(epoch, a, &wire.InheritReply{ListVersion: 1, Last: true})
	near, far := submission.AgentRef{ID: "near", Incarnation: 4}, submission.AgentRef{ID: "far", Incarnation: 3}
	table.AgentConnected(epoch, near, epoch)
	actions := table.Adopt(epoch, &wire.EntryList{
		Version: 2, Members: []wire.Member{b}, Departed: []wire.Departed{{ID: "a", Incarnation: 1, AtVersion: 2, At: epoch}},
	})
	g.Expect(actions.CollectRequests).To(gomega.HaveLen(1), "only one agent has a link")
	return table, near, far
}

// inheritedSubmission returns the nth key that belonged to a.
func inheritedSubmission(n int) submission.Submission {
	list := &wire.EntryList{Version: 1, Members: []wire.Member{activeMember("a", 1), activeMember("b", 2)}}
	for i := 0; ; i++ {
		if home, _ := placement.Home(list, "", newSubmission(i).Key); home.ID == "a" {
			if n--; n < 0 {
				return newSubmission(i)
			}
		}
	}
}

func recordsOf(keys ...wire.KeyRecord) *wire.Records {
	return &wire.Records{Expelled: "a", ExpelledIncarnation: 1, ListVersion: 2, Keys: keys, Last: true}
}

// Guards against a key that runs although an agent that only the expelled entry was linked to may have started it, and
// against a complete answer that is not rebuilt from the records of several agents.
func TestRecoveryWaitsForEveryAgent(t *testing.T) {
	g := gomega.NewWithT(t)
	table, near, far := newTableInRecovery(g)
	s, split := inheritedSubmission(0), inheritedSubmission(1)
	record := func(task uint16) wire.KeyRecord {
		done := wire.TaskRecord{Task: task, State: wire.AttemptDone, Status: 200, Body: []byte{byte('0' + task)}}
		return wire.KeyRecord{Key: split.Key, Tasks: 2, Digest: split.Digest, Records: []wire.TaskRecord{done}}
	}
	table.RecordsReceived(epoch, near, recordsOf(record(1)))
	wait := table.Submit(epoch, s)
	g.Expect(wait.Kind).To(gomega.Equal(submission.Wait))
	later := wait.Until
	g.Expect(table.Submit(later, s).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))
	g.Expect(table.Submit(later, split).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))

	g.Expect(table.AgentConnected(later, far, epoch).CollectRequests).To(gomega.HaveLen(1))
	for _, version := range []uint64{1, 3} {
		other := recordsOf()
		other.ListVersion = version
		table.RecordsReceived(later, far, other)
		g.Expect(table.Submit(later, s).Kind).To(gomega.Equal(submission.Wait), "an answer under another list is ignored")
	}
	table.RecordsReceived(later, far, recordsOf(record(0)))
	g.Expect(table.Submit(later, s).Kind).To(gomega.Equal(submission.Run))
	g.Expect(table.RunningJobs()).To(gomega.HaveLen(1))
	whole := table.Submit(later, split)
	g.Expect(whole.Kind).To(gomega.Equal(submission.Stored))
	g.Expect(string(whole.Answer.Tasks[0].Body) + string(whole.Answer.Tasks[1].Body)).To(gomega.Equal("01"))
}

// Guards against a key that runs although records that may have contained it were lost, and against a key that is
// refused although it was created after the loss.
func TestRecoveryAfterLostRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	table, near, far := newTableInRecovery(g)
	table.RecordsReceived(epoch, near, recordsOf())
	replaced := epoch.Add(time.Minute)
	successor := submission.AgentRef{ID: far.ID, Incarnation: 9}
	table.AgentConnected(replaced, successor, replaced)
	table.RecordsReceived(replaced, successor, recordsOf())

	createdAt := func(d time.Duration) submission.Submission {
		s := inheritedSubmission(0)
		s.CreatedAt = replaced.Add(d)
		return s
	}
	now := replaced.Add(10 * time.Second)
	g.Expect(table.Submit(now, inheritedSubmission(0)).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering), "opaque key")
	g.Expect(table.Submit(now, createdAt(time.Second)).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering), "within the clock skew")
	g.Expect(table.Submit(now, createdAt(time.Hour)).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering), "created in the future")
	g.Expect(table.Submit(now, createdAt(3*time.Second)).Kind).To(gomega.Equal(submission.Run))
	afterWindow := replaced.Add(retention + 2*wire.MaxDeadline)
	g.Expect(table.Submit(afterWindow, inheritedSubmission(1)).Kind).To(gomega.Equal(submission.Run), "opaque key after the window")
}

// Guards against a task that still runs at an agent when its home is lost, and whose answer is never requested.
func TestRecoveryAsksAgainForRunningTasks(t *testing.T) {
	g := gomega.NewWithT(t)
	table, near, far := newTableInRecovery(g)
	s := inheritedSubmission(0)
	record := wire.KeyRecord{Key: s.Key, Tasks: 1, Digest: s.Digest, Records: []wire.TaskRecord{{State: wire.AttemptRunning}}}
	table.RecordsReceived(epoch, near, recordsOf(record))
	table.AgentConnected(epoch, far, epoch)
	table.RecordsReceived(epoch, far, recordsOf())
	g.Expect(table.Submit(epoch, s).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))
	g.Expect(table.Tick(epoch).CollectRequests).To(gomega.BeEmpty())
	actions := table.Tick(table.NextTick())
	g.Expect(actions.CollectRequests).To(gomega.HaveLen(1))
	g.Expect(actions.CollectRequests[0].Agent).To(gomega.Equal(near))
	record.Records = []wire.TaskRecord{{State: wire.AttemptDone, Body: []byte("x")}}
	table.RecordsReceived(epoch, near, recordsOf(record))
	g.Expect(table.Submit(epoch, s).Answer.Outcome).To(gomega.Equal(wire.OutcomeComplete))
}

// Guards against losing answers that an entry handed over to another one that was expelled later: the agents keep their
// records under the entry that departed cleanly.
func TestRecoveryAsksForEntriesThatLeftClean(t *testing.T) {
	g := gomega.NewWithT(t)
	table, near, _ := newTableInRecovery(g)
	left := wire.Departed{ID: "c", Incarnation: 5, Clean: true, AtVersion: 3, At: epoch}
	g.Expect(collectedIncarnations(table.Adopt(epoch, withDeparted(table.List(), left)), near)).To(gomega.ConsistOf(uint64(1)), "no expulsion after its departure")
	lost := wire.Departed{ID: "d", Incarnation: 6, AtVersion: 4, At: epoch}
	g.Expect(collectedIncarnations(table.Adopt(epoch, withDeparted(table.List(), lost)), near)).To(gomega.ConsistOf(uint64(1), uint64(5), uint64(6)))
}

// withDeparted returns the next version of a list with one more departed entry.
func withDeparted(list *wire.EntryList, d wire.Departed) *wire.EntryList {
	return &wire.EntryList{Version: d.AtVersion, Members: list.Members, Departed: append(slices.Clone(list.Departed), d)}
}

func collectedIncarnations(actions submission.Actions, from submission.AgentRef) []uint64 {
	var all []uint64
	for _, c := range actions.CollectRequests {
		if c.Agent == from {
			all = append(all, c.Message.ExpelledIncarnation)
		}
	}
	return all
}

// Guards against an entry that joins after an expulsion and assumes that the agents it knows are all agents.
func TestJoinerWithoutRosterIsCareful(t *testing.T) {
	g := gomega.NewWithT(t)
	b := activeMember("b", 2)
	table := submission.New(submission.Config{Retention: retention}, b)
	table.Adopt(epoch, &wire.EntryList{
		Version: 2, Members: []wire.Member{b}, Departed: []wire.Departed{{ID: "a", Incarnation: 1, AtVersion: 2, At: epoch}},
	})
	g.Expect(table.Submit(epoch, newSubmission(0)).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))
	table.RosterReceived(epoch, activeMember("c", 7), &wire.AgentRoster{Full: true, IncludedRosters: []uint64{1}})
	g.Expect(table.Submit(epoch, newSubmission(0)).Kind).To(gomega.Equal(submission.Run))
}

// Guards against a key that is refused as recovering for a minute and then answered as unknown for the rest of the
// retention window although none of its tasks was started: its attempt was queued at an agent when the records were
// collected, and the agent refused it later.
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
	table.InheritReplyReceived(now, lost, &wire.InheritReply{ListVersion: 1, Last: true})
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
	queued := wire.KeyRecord{Key: key, Tasks: 1, Records: []wire.TaskRecord{{Task: 0, State: wire.AttemptQueued}}}
	table.RecordsReceived(now, agent, records(queued))
	s := submission.Submission{Key: key, Deadline: now.Add(time.Minute)}
	g.Expect(table.Submit(now, s).Kind).NotTo(gomega.Equal(submission.Run), "the attempt can still start")

	now = now.Add(time.Second)
	g.Expect(table.Tick(now).CollectRequests).To(gomega.HaveLen(1), "the agent is asked again")
	table.RecordsReceived(now, agent, records())
	g.Expect(table.Submit(now, s).Kind).To(gomega.Equal(submission.Run))
}
