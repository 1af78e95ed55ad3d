package submission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

func keyRecord(s submission.Submission, tasks ...wire.TaskRecord) wire.KeyRecord {
	return wire.KeyRecord{Key: s.Key, Tasks: 2, Digest: s.Digest, Records: tasks}
}

// newTableWithQueuedTask returns the table of b after the expulsion of a. Every agent has answered, and near has listed
// a queued task of the key.
func newTableWithQueuedTask(g *gomega.WithT) (*submission.Table, submission.AgentRef, submission.AgentRef, submission.Submission) {
	table, near, far := newTableInRecovery(g)
	s := inheritedSubmission(0)
	table.AgentConnected(epoch, far, epoch)
	table.RecordsReceived(epoch, far, recordsOf())
	table.RecordsReceived(epoch, near, recordsOf(keyRecord(s, wire.TaskRecord{State: wire.AttemptQueued})))
	g.Expect(table.Submit(epoch, s).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))
	return table, near, far, s
}

// Guards against a queued task that is removed, and then starts twice, because of an answer that does not prove its
// refusal.
func TestOpenTaskStaysWithoutProofOfRefusal(t *testing.T) {
	part := func(answer uint64, part uint16, last bool, keys ...wire.KeyRecord) *wire.Records {
		m := recordsOf(keys...)
		m.Answer, m.Part, m.Last = answer, part, last
		return m
	}
	queued := keyRecord(inheritedSubmission(0), wire.TaskRecord{State: wire.AttemptQueued})
	replaced := submission.AgentRef{ID: "near", Incarnation: 9}
	for name, deliver := range map[string]func(table *submission.Table, near, far submission.AgentRef){
		"answer of another agent": func(table *submission.Table, _, far submission.AgentRef) {
			table.RecordsReceived(epoch, far, recordsOf())
		},
		"answer of a later incarnation of the agent": func(table *submission.Table, _, _ submission.AgentRef) {
			table.AgentConnected(epoch, replaced, epoch.Add(time.Second))
			table.RecordsReceived(epoch, replaced, recordsOf())
		},
		"answer about another departed entry": func(table *submission.Table, near, far submission.AgentRef) {
			table.Adopt(epoch, withDeparted(table.List(), wire.Departed{ID: "c", Incarnation: 5, AtVersion: 3, At: epoch}))
			for _, agent := range []submission.AgentRef{near, far} {
				other := recordsOf()
				other.ListVersion, other.ExpelledIncarnation = 3, 5
				table.RecordsReceived(epoch, agent, other)
			}
			others := recordsOf()
			others.ListVersion = 3
			table.RecordsReceived(epoch, far, others)
		},
		"answer under an older list": func(table *submission.Table, near, _ submission.AgentRef) {
			table.Adopt(epoch, withDeparted(table.List(), wire.Departed{ID: "c", Incarnation: 5, AtVersion: 3, At: epoch}))
			table.RecordsReceived(epoch, near, recordsOf())
		},
		"answer that is incomplete": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 0, false))
		},
		"answer that lacks a part": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 0, false))
			table.RecordsReceived(epoch, near, part(2, 2, true))
		},
		"answer of which the first part is missing": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 1, true))
		},
		"answer that lists the task in an earlier part": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 0, false, queued))
			table.RecordsReceived(epoch, near, part(2, 1, true))
		},
		"answer between parts of another one": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 0, false, queued))
			table.RecordsReceived(epoch, near, part(3, 0, true, queued))
			table.RecordsReceived(epoch, near, part(2, 1, true))
		},
		"answer that is mixed with parts of another one": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 0, false, queued))
			table.RecordsReceived(epoch, near, part(3, 0, false))
			table.RecordsReceived(epoch, near, part(2, 1, true))
		},
		"answer that leaves out the key because it has a new home": func(table *submission.Table, near, _ submission.AgentRef) {
			next := &wire.EntryList{Version: 3, Members: table.List().Members, Departed: table.List().Departed}
			for i := uint64(0); placement.MayBeHome(next, activeMember("b", 2), queued.Key); i++ {
				next.Members = []wire.Member{activeMember("b", 2), activeMember(fmt.Sprint("c", i), 10+i)}
			}
			table.Adopt(epoch, next)
			m := recordsOf()
			m.ListVersion = 3
			table.RecordsReceived(epoch, near, m)
		},
		"answer that may lack the task because its record has expired": func(table *submission.Table, near, _ submission.AgentRef) {
			m := recordsOf()
			m.Incomplete = true
			table.RecordsReceived(epoch, near, m)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table, near, far, s := newTableWithQueuedTask(g)
			deliver(table, near, far)
			g.Expect(table.Stats(epoch).Recovered).To(gomega.Equal(1))
			g.Expect(table.Submit(epoch, s).Kind).NotTo(gomega.Equal(submission.Run))
		})
	}
}

// Guards against removing a task that has ended because its agent no longer lists it, and against a refused task that
// keeps its key blocked.
func TestAnswerWithoutRecordDropsOnlyOpenTasks(t *testing.T) {
	for _, state := range []wire.AttemptState{wire.AttemptDone, wire.AttemptUnknown} {
		g := gomega.NewWithT(t)
		table, near, _, s := newTableWithQueuedTask(g)
		ended := keyRecord(s, wire.TaskRecord{Task: 1, State: state})
		table.RecordsReceived(epoch, near, recordsOf(ended))
		table.RecordsReceived(epoch, near, recordsOf())
		g.Expect(table.Submit(epoch, s).Answer.Reason).To(gomega.Equal(wire.ReasonUpstreamLost))
	}
	g := gomega.NewWithT(t)
	table, near, far, s := newTableWithQueuedTask(g)
	queued := keyRecord(s, wire.TaskRecord{State: wire.AttemptQueued})
	table.RecordsReceived(epoch, far, recordsOf(queued))
	table.RecordsReceived(epoch, near, recordsOf())
	g.Expect(table.Submit(epoch, s).Kind).NotTo(gomega.Equal(submission.Run), "the other agent listed it too")
	refused := keyRecord(s, wire.TaskRecord{State: wire.AttemptRefused})
	table.RecordsReceived(epoch, far, recordsOf(refused))
	g.Expect(table.Submit(epoch, s).Kind).To(gomega.Equal(submission.Run))
}

// Guards against a queued task that is never requested again because the link was cut before the answer.
func TestOpenTaskIsAskedForOnNewLink(t *testing.T) {
	g := gomega.NewWithT(t)
	table, near, far, s := newTableWithQueuedTask(g)
	g.Expect(table.Tick(table.NextTick()).CollectRequests).To(gomega.HaveLen(1))
	table.AgentDisconnected(epoch, near)
	g.Expect(table.AgentConnected(epoch, near, epoch).CollectRequests).To(gomega.HaveLen(1))
	g.Expect(table.AgentConnected(epoch, far, epoch).CollectRequests).To(gomega.BeEmpty(), "it has answered")
	table.RecordsReceived(epoch, near, recordsOf())
	g.Expect(table.Submit(epoch, s).Kind).To(gomega.Equal(submission.Run))
	g.Expect(table.AgentConnected(epoch, near, epoch).CollectRequests).To(gomega.BeEmpty(), "nothing is open")
}

// Guards against callers that retry every second for a key whose agent has been silent for a long time, and against
// callers that wait long although every agent is being asked.
func TestRetryAfterFitsTheSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	retryAfter := func(table *submission.Table, now time.Time, s submission.Submission) time.Duration {
		d := table.Submit(now, s)
		g.Expect(d.Kind).To(gomega.Equal(submission.Refuse))
		g.Expect(d.Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))
		return time.Duration(d.Answer.RetryAfterMillis) * time.Millisecond
	}
	table, near, far := newTableInRecovery(g)
	table.RecordsReceived(epoch, near, recordsOf())
	withDeadlineIn := func(d time.Duration) submission.Submission {
		s := inheritedSubmission(1)
		s.Deadline = epoch.Add(d)
		return s
	}
	g.Expect(table.Lookup(epoch, withDeadlineIn(time.Minute)).Answer.RetryAfterMillis).To(gomega.BeEquivalentTo(1000), "being asked")
	g.Expect(retryAfter(table, epoch.Add(time.Second), withDeadlineIn(time.Second))).To(gomega.Equal(time.Second))
	g.Expect(retryAfter(table, epoch.Add(20*time.Second), withDeadlineIn(0))).To(gomega.Equal(20 * time.Second))
	reconnected := epoch.Add(time.Hour)
	g.Expect(retryAfter(table, reconnected, withDeadlineIn(0))).To(gomega.Equal(time.Minute), "silent for an hour")
	table.AgentConnected(reconnected, far, epoch)
	g.Expect(retryAfter(table, reconnected.Add(time.Second), withDeadlineIn(0))).To(gomega.Equal(time.Second), "asked one second ago")

	silentAgent := wire.AgentPresence{ID: "silent", Incarnation: 8, SilentMillis: 30_000}
	table, _, _ = newTableInRecovery(g)
	table.RosterReceived(epoch, activeMember("c", 5), &wire.AgentRoster{Agents: []wire.AgentPresence{silentAgent}})
	g.Expect(retryAfter(table, epoch.Add(2*time.Second), withDeadlineIn(0))).To(gomega.Equal(32*time.Second), "silent before the expulsion")

	open, near, _, s := newTableWithQueuedTask(g)
	g.Expect(retryAfter(open, epoch, s)).To(gomega.Equal(time.Second))
	open.AgentDisconnected(epoch, near)
	g.Expect(retryAfter(open, epoch.Add(10*time.Second), s)).To(gomega.Equal(10 * time.Second))
	g.Expect(retryAfter(open, epoch.Add(60*time.Second), s)).To(gomega.Equal(5*time.Second), "the wait ends then")
}
