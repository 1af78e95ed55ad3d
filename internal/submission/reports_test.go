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
	return wire.KeyRecord{Key: s.Key, Tasks: 2, Digest: s.Digest, Done: tasks}
}

// queuedAtNear returns the table of b after the expulsion of a. Every agent has answered, and near has listed a queued
// task of the key.
func queuedAtNear(g *gomega.WithT) (*submission.Table, submission.AgentRef, submission.AgentRef, submission.Submission) {
	table, near, far := recovery(g)
	s := inherited(0)
	table.AgentConnected(epoch, far, epoch)
	table.RecordsReceived(epoch, far, recordsOf())
	table.RecordsReceived(epoch, near, recordsOf(keyRecord(s, wire.TaskRecord{State: wire.AttemptQueued})))
	g.Expect(table.Submit(epoch, s).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))
	return table, near, far, s
}

// Guards against a queued task that is dropped, and starts twice, because of an answer that does not show that it was
// refused.
func TestOpenTaskStaysWithoutProofOfRefusal(t *testing.T) {
	part := func(answer uint64, part uint16, last bool, keys ...wire.KeyRecord) *wire.Records {
		m := recordsOf(keys...)
		m.Answer, m.Part, m.Last = answer, part, last
		return m
	}
	queued := keyRecord(inherited(0), wire.TaskRecord{State: wire.AttemptQueued})
	replaced := submission.AgentRef{ID: "near", Incarnation: 9}
	for name, answer := range map[string]func(table *submission.Table, near, far submission.AgentRef){
		"of another agent": func(table *submission.Table, _, far submission.AgentRef) {
			table.RecordsReceived(epoch, far, recordsOf())
		},
		"of a later run of the agent": func(table *submission.Table, _, _ submission.AgentRef) {
			table.AgentConnected(epoch, replaced, epoch.Add(time.Second))
			table.RecordsReceived(epoch, replaced, recordsOf())
		},
		"about another departed entry": func(table *submission.Table, near, far submission.AgentRef) {
			table.Adopt(epoch, departed(table.List(), wire.Departed{ID: "c", Incarnation: 5, AtVersion: 3, At: epoch}))
			for _, agent := range []submission.AgentRef{near, far} {
				other := recordsOf()
				other.ListVersion, other.ExpelledIncarnation = 3, 5
				table.RecordsReceived(epoch, agent, other)
			}
			others := recordsOf()
			others.ListVersion = 3
			table.RecordsReceived(epoch, far, others)
		},
		"under an older list": func(table *submission.Table, near, _ submission.AgentRef) {
			table.Adopt(epoch, departed(table.List(), wire.Departed{ID: "c", Incarnation: 5, AtVersion: 3, At: epoch}))
			table.RecordsReceived(epoch, near, recordsOf())
		},
		"that is not whole": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 0, false))
		},
		"that lacks a part": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 0, false))
			table.RecordsReceived(epoch, near, part(2, 2, true))
		},
		"of which the first part is missing": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 1, true))
		},
		"that lists the task in an earlier part": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 0, false, queued))
			table.RecordsReceived(epoch, near, part(2, 1, true))
		},
		"between parts of another one": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 0, false, queued))
			table.RecordsReceived(epoch, near, part(3, 0, true, queued))
			table.RecordsReceived(epoch, near, part(2, 1, true))
		},
		"that is mixed with parts of another one": func(table *submission.Table, near, _ submission.AgentRef) {
			table.RecordsReceived(epoch, near, part(2, 0, false, queued))
			table.RecordsReceived(epoch, near, part(3, 0, false))
			table.RecordsReceived(epoch, near, part(2, 1, true))
		},
		"that leaves out the key because it has a new home": func(table *submission.Table, near, _ submission.AgentRef) {
			next := &wire.EntryList{Version: 3, Members: table.List().Members, Departed: table.List().Departed}
			for i := uint64(0); placement.MayBeHome(next, entry("b", 2), queued.Key); i++ {
				next.Members = []wire.Member{entry("b", 2), entry(fmt.Sprint("c", i), 10+i)}
			}
			table.Adopt(epoch, next)
			m := recordsOf()
			m.ListVersion = 3
			table.RecordsReceived(epoch, near, m)
		},
		"in which its record may have expired": func(table *submission.Table, near, _ submission.AgentRef) {
			m := recordsOf()
			m.Expired = true
			table.RecordsReceived(epoch, near, m)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table, near, far, s := queuedAtNear(g)
			answer(table, near, far)
			g.Expect(table.Stats(epoch).Recovered).To(gomega.Equal(1))
			g.Expect(table.Submit(epoch, s).Kind).NotTo(gomega.Equal(submission.Run))
		})
	}
}

// Guards against a task that started and is forgotten because its agent lists it no more, and against a refused one
// whose key stays blocked.
func TestAnswerWithoutRecordDropsOnlyOpenTasks(t *testing.T) {
	for _, state := range []wire.AttemptState{wire.AttemptDone, wire.AttemptUnknown} {
		g := gomega.NewWithT(t)
		table, near, _, s := queuedAtNear(g)
		ended := keyRecord(s, wire.TaskRecord{Task: 1, State: state})
		table.RecordsReceived(epoch, near, recordsOf(ended))
		table.RecordsReceived(epoch, near, recordsOf())
		g.Expect(table.Submit(epoch, s).Answer.Reason).To(gomega.Equal(wire.ReasonUpstreamLost))
	}
	g := gomega.NewWithT(t)
	table, near, far, s := queuedAtNear(g)
	queued := keyRecord(s, wire.TaskRecord{State: wire.AttemptQueued})
	table.RecordsReceived(epoch, far, recordsOf(queued))
	table.RecordsReceived(epoch, near, recordsOf())
	g.Expect(table.Submit(epoch, s).Kind).NotTo(gomega.Equal(submission.Run), "the other agent listed it too")
	refused := keyRecord(s, wire.TaskRecord{State: wire.AttemptRefused})
	table.RecordsReceived(epoch, far, recordsOf(refused))
	g.Expect(table.Submit(epoch, s).Kind).To(gomega.Equal(submission.Run))
}

// Guards against a queued task that is never asked for again because the link was cut before the answer.
func TestOpenTaskIsAskedForOnNewLink(t *testing.T) {
	g := gomega.NewWithT(t)
	table, near, far, s := queuedAtNear(g)
	g.Expect(table.Tick(table.Wake()).Collect).To(gomega.HaveLen(1))
	table.AgentDisconnected(epoch, near)
	g.Expect(table.AgentConnected(epoch, near, epoch).Collect).To(gomega.HaveLen(1))
	g.Expect(table.AgentConnected(epoch, far, epoch).Collect).To(gomega.BeEmpty(), "it has answered")
	table.RecordsReceived(epoch, near, recordsOf())
	g.Expect(table.Submit(epoch, s).Kind).To(gomega.Equal(submission.Run))
	g.Expect(table.AgentConnected(epoch, near, epoch).Collect).To(gomega.BeEmpty(), "nothing is open")
}

// Guards against callers who ask every second for a key whose agent has been silent for long, and against callers who
// wait long although every agent is being asked.
func TestRetryAfterFitsTheSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	advice := func(table *submission.Table, now time.Time, s submission.Submission) time.Duration {
		d := table.Submit(now, s)
		g.Expect(d.Kind).To(gomega.Equal(submission.Refuse))
		g.Expect(d.Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))
		return time.Duration(d.Answer.RetryAfterMillis) * time.Millisecond
	}
	table, near, far := recovery(g)
	table.RecordsReceived(epoch, near, recordsOf())
	past := func(d time.Duration) submission.Submission {
		s := inherited(1)
		s.Deadline = epoch.Add(d)
		return s
	}
	g.Expect(table.Lookup(epoch, past(time.Minute)).Answer.RetryAfterMillis).To(gomega.BeEquivalentTo(1000), "being asked")
	g.Expect(advice(table, epoch.Add(time.Second), past(time.Second))).To(gomega.Equal(time.Second))
	g.Expect(advice(table, epoch.Add(20*time.Second), past(0))).To(gomega.Equal(20 * time.Second))
	back := epoch.Add(time.Hour)
	g.Expect(advice(table, back, past(0))).To(gomega.Equal(time.Minute), "silent for an hour")
	table.AgentConnected(back, far, epoch)
	g.Expect(advice(table, back.Add(time.Second), past(0))).To(gomega.Equal(time.Second), "asked a second ago")

	mute := wire.AgentPresence{ID: "mute", Incarnation: 8, SilentMillis: 30_000}
	table, _, _ = recovery(g)
	table.RosterReceived(epoch, entry("c", 5), &wire.AgentRoster{Agents: []wire.AgentPresence{mute}})
	g.Expect(advice(table, epoch.Add(2*time.Second), past(0))).To(gomega.Equal(32*time.Second), "silent before the expulsion")

	open, near, _, s := queuedAtNear(g)
	g.Expect(advice(open, epoch, s)).To(gomega.Equal(time.Second))
	open.AgentDisconnected(epoch, near)
	g.Expect(advice(open, epoch.Add(10*time.Second), s)).To(gomega.Equal(10 * time.Second))
	g.Expect(advice(open, epoch.Add(60*time.Second), s)).To(gomega.Equal(5*time.Second), "the wait ends then")
}
