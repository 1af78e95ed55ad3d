package submission_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

var epoch = time.Unix(1_700_000_000, 0)

func activeMember(id string, incarnation uint64) wire.Member {
	return wire.Member{ID: id, Incarnation: incarnation, Address: id, Region: "r", State: wire.MemberActive}
}

func newSubmission(i int) submission.Submission {
	return submission.Submission{
		Key: placement.HashKey("s", fmt.Sprint(i)), Digest: [16]byte{1}, Deadline: epoch.Add(time.Hour),
	}
}

// newSingleEntryTable returns the table of an entry that is the only member.
func newSingleEntryTable(cfg submission.Config) *submission.Table {
	self := activeMember("a", 1)
	table := submission.New(cfg, self)
	table.Adopt(epoch, &wire.EntryList{Version: 1, Members: []wire.Member{self}})
	return table
}

func completeAnswer(body string) *wire.Answer {
	return &wire.Answer{Outcome: wire.OutcomeComplete, Tasks: []wire.TaskAnswer{{Outcome: wire.OutcomeComplete, Body: []byte(body)}}}
}

// Guards against wrong answers during the life of a key: running, finished, reused, refused and expired.
func TestLifeOfAKey(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newSingleEntryTable(submission.Config{Retention: retention})
	first := table.Submit(epoch, newSubmission(1))
	g.Expect(first.Kind).To(gomega.Equal(submission.Run))
	g.Expect(table.Submit(epoch, newSubmission(1))).To(gomega.Equal(submission.Decision{Kind: submission.Join, Job: first.Job}))
	otherBody := newSubmission(1)
	otherBody.Digest[0] = 2
	g.Expect(table.Submit(epoch, otherBody).Kind).To(gomega.Equal(submission.Conflict))
	staleForward := newSubmission(2)
	staleForward.ListVersion = 7
	g.Expect(table.Submit(epoch, staleForward).Kind).To(gomega.Equal(submission.NotHome))
	forHeldKey := newSubmission(2)
	forHeldKey.ForHeldKey = true
	g.Expect(table.Submit(epoch, forHeldKey).Kind).To(gomega.Equal(submission.Missing))
	g.Expect(table.Lookup(epoch, newSubmission(2)).Kind).To(gomega.Equal(submission.Missing))

	g.Expect(table.Complete(epoch, first.Job, completeAnswer("x"))).NotTo(gomega.BeNil())
	g.Expect(table.Complete(epoch, first.Job, completeAnswer("y"))).To(gomega.BeNil(), "a second completion")
	beforeExpiry := epoch.Add(retention - time.Second)
	g.Expect(string(table.Submit(beforeExpiry, newSubmission(1)).Answer.Tasks[0].Body)).To(gomega.Equal("x"))
	resubmitted := table.Submit(epoch.Add(retention), newSubmission(1))
	g.Expect(resubmitted.Kind).To(gomega.Equal(submission.Run))
	table.Complete(beforeExpiry, resubmitted.Job, &wire.Answer{Outcome: wire.OutcomeNotRun})
	g.Expect(table.Submit(beforeExpiry, newSubmission(1)).Kind).To(gomega.Equal(submission.Run), "a job that did not run can be submitted again")

	expired := newSubmission(3)
	expired.CreatedAt = epoch.Add(-retention + time.Second)
	refused := table.Submit(epoch, expired)
	g.Expect(refused.Answer.Reason).To(gomega.Equal(wire.ReasonKeyExpired))
	g.Expect(refused.Answer.Outcome).To(gomega.Equal(wire.OutcomeUnknown))
}

// Guards against a table that grows without bound, forgets an unexpired key or returns a partial answer.
func TestBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newSingleEntryTable(submission.Config{Retention: retention, MaxSubmissions: 10, MaxAnswerBytes: 2000})
	for i := range 10 {
		table.Complete(epoch, table.Submit(epoch, newSubmission(i)).Job, completeAnswer(string(make([]byte, 500))))
	}
	full := table.Submit(epoch, newSubmission(10))
	g.Expect(full.Answer.Reason).To(gomega.Equal(wire.ReasonTableFull))
	g.Expect(full.Answer.Outcome).To(gomega.Equal(wire.OutcomeNotRun))
	stats := table.Stats(epoch)
	g.Expect(stats.Entries).To(gomega.Equal(10))
	g.Expect(stats.AnswerBytes).To(gomega.BeNumerically("<=", 2000))
	dropped := table.Submit(epoch, newSubmission(0))
	g.Expect(dropped.Kind).To(gomega.Equal(submission.Stored))
	g.Expect(dropped.Answer.Reason).To(gomega.Equal(wire.ReasonAnswerExpired))
	g.Expect(table.Submit(epoch, newSubmission(9)).Answer.Outcome).To(gomega.Equal(wire.OutcomeComplete))
	g.Expect(table.Submit(epoch.Add(retention), newSubmission(10)).Kind).To(gomega.Equal(submission.Run))
	g.Expect(table.Stats(epoch).Entries).To(gomega.Equal(1))
	g.Expect(table.Stats(epoch).AnswerBytes).To(gomega.BeZero())
}

// Guards against an answer that does not fit into a frame and is therefore never delivered.
func TestAnswerTooLarge(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newSingleEntryTable(submission.Config{})
	big := &wire.Answer{Outcome: wire.OutcomeComplete}
	for range 7 {
		big.Tasks = append(big.Tasks, wire.TaskAnswer{Outcome: wire.OutcomeComplete, Body: make([]byte, wire.MaxAnswerBody)})
	}
	final := table.Complete(epoch, table.Submit(epoch, newSubmission(1)).Job, big)
	g.Expect(final.Reason).To(gomega.Equal(wire.ReasonAnswerTooLarge))
	g.Expect(final.Tasks).To(gomega.HaveLen(7))
	g.Expect(final.Tasks[0].Body).To(gomega.BeEmpty())
}

// Guards against a retention window that a job can outlast, and against a departed entry that is pruned while an agent
// may still run tasks for it.
func TestConfig(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(submission.Config{}.Validate()).To(gomega.Succeed())
	g.Expect(submission.Config{Retention: wire.MaxDeadline}.Validate()).To(gomega.MatchError(submission.ErrRetentionTooShort))
	g.Expect(submission.Config{}.DepartedRetention()).To(gomega.BeNumerically(">",
		submission.DefaultSilentAgentTimeout+submission.DefaultRetention))
}

// Guards against an expelled entry that starts tasks of a job that another entry may already run, also after it joined
// again.
func TestNoStartAfterExpulsion(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newSingleEntryTable(submission.Config{})
	job := table.Submit(epoch, newSubmission(1)).Job
	g.Expect(table.MayStart(job)).To(gomega.BeTrue())
	actions := table.Adopt(epoch, &wire.EntryList{Version: 2, Members: []wire.Member{activeMember("b", 2)}})
	g.Expect(actions.Expelled).To(gomega.BeTrue())
	g.Expect(table.MayStart(job)).To(gomega.BeFalse())
	table.Rejoin(3)
	table.Adopt(epoch, &wire.EntryList{Version: 3, Members: []wire.Member{activeMember("a", 3)}})
	g.Expect(table.MayStart(job)).To(gomega.BeFalse())
	final := table.Complete(epoch, job, &wire.Answer{Outcome: wire.OutcomeNotRun})
	g.Expect(final.Reason).To(gomega.Equal(wire.ReasonExpelled))
	g.Expect(final.Outcome).To(gomega.Equal(wire.OutcomeUnknown))
}

// BenchmarkMarker measures the memory per marker, the entry that stays in the table when the answer of a finished
// submission was dropped.
func BenchmarkMarker(b *testing.B) {
	const entries = 250_000
	submissions := make([]submission.Submission, entries)
	for i := range submissions {
		submissions[i] = newSubmission(i)
	}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := newSingleEntryTable(submission.Config{MaxSubmissions: entries, MaxAnswerBytes: 1})
		for i := range submissions {
			table.Complete(epoch, table.Submit(epoch, submissions[i]).Job, completeAnswer("x"))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "bytes/entry")
		runtime.KeepAlive(table)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/entries, "ns/entry")
}

// BenchmarkSubmit measures the cost of a submission from its decision to its expiry.
func BenchmarkSubmit(b *testing.B) {
	table := newSingleEntryTable(submission.Config{Retention: retention})
	now := epoch
	final := completeAnswer("x")
	s := newSubmission(0)
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		s.Key[0], s.Key[1], s.Key[2], s.Key[3] = byte(i), byte(i>>8), byte(i>>16), byte(i>>24)
		table.Complete(now, table.Submit(now, s).Job, final)
	}
}

// Guards against a stopped entry that accepts a handover: the new homes have already asked it for its keys and do not
// ask again. A stop notice must also apply under later lists.
func TestStoppedEntryTakesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newSingleEntryTable(submission.Config{Retention: retention})
	list := &wire.EntryList{Version: 2, Members: []wire.Member{activeMember("a", 1), activeMember("b", 2)}}
	table.Adopt(epoch, list)
	g.Expect(table.Stop(epoch).Adopted).To(gomega.BeTrue())
	accepted, newer := table.HandoverReceived(epoch, &wire.Handover{Sequence: 1, ListVersion: 2, Items: []wire.HandoverItem{
		{Key: newSubmission(1).Key, Expires: epoch.Add(time.Hour), Answer: completeAnswer("x")},
	}})
	g.Expect(accepted).To(gomega.BeFalse())
	g.Expect(newer.Stopped).To(gomega.HaveLen(1), "the sender receives the stop notice")
	table.Adopt(epoch, &wire.EntryList{Version: 3, Members: list.Members})
	for i := range 20 {
		g.Expect(table.Submit(epoch, newSubmission(i)).Kind).To(gomega.Equal(submission.NotHome))
	}
}
