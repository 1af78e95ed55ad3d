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

func entry(id string, incarnation uint64) wire.Member {
	return wire.Member{ID: id, Incarnation: incarnation, Address: id, Region: "r", State: wire.MemberActive}
}

func sub(i int) submission.Submission {
	return submission.Submission{
		Key: placement.HashKey("s", fmt.Sprint(i)), Digest: [16]byte{1}, Deadline: epoch.Add(time.Hour),
	}
}

// alone returns the table of the only entry.
func alone(cfg submission.Config) *submission.Table {
	self := entry("a", 1)
	table := submission.New(cfg, self)
	table.Adopt(epoch, &wire.EntryList{Version: 1, Members: []wire.Member{self}})
	return table
}

func answer(body string) *wire.Answer {
	return &wire.Answer{Outcome: wire.OutcomeComplete, Tasks: []wire.TaskAnswer{{Outcome: wire.OutcomeComplete, Body: []byte(body)}}}
}

// Guards against wrong answers during the life of a key: running, finished, reused, refused, expired.
func TestLifeOfAKey(t *testing.T) {
	g := gomega.NewWithT(t)
	table := alone(submission.Config{Retention: retention})
	first := table.Submit(epoch, sub(1))
	g.Expect(first.Kind).To(gomega.Equal(submission.Run))
	g.Expect(table.Submit(epoch, sub(1))).To(gomega.Equal(submission.Decision{Kind: submission.Join, Job: first.Job}))
	other := sub(1)
	other.Digest[0] = 2
	g.Expect(table.Submit(epoch, other).Kind).To(gomega.Equal(submission.Conflict))
	stale := sub(2)
	stale.ListVersion = 7
	g.Expect(table.Submit(epoch, stale).Kind).To(gomega.Equal(submission.NotHome))
	held := sub(2)
	held.Held = true
	g.Expect(table.Submit(epoch, held).Kind).To(gomega.Equal(submission.Missing))
	g.Expect(table.Lookup(epoch, sub(2)).Kind).To(gomega.Equal(submission.Missing))

	g.Expect(table.Complete(epoch, first.Job, answer("x"))).NotTo(gomega.BeNil())
	g.Expect(table.Complete(epoch, first.Job, answer("y"))).To(gomega.BeNil(), "a second completion")
	last := epoch.Add(retention - time.Second)
	g.Expect(string(table.Submit(last, sub(1)).Answer.Tasks[0].Body)).To(gomega.Equal("x"))
	again := table.Submit(epoch.Add(retention), sub(1))
	g.Expect(again.Kind).To(gomega.Equal(submission.Run))
	table.Complete(last, again.Job, &wire.Answer{Outcome: wire.OutcomeNotRun})
	g.Expect(table.Submit(last, sub(1)).Kind).To(gomega.Equal(submission.Run), "a job that did not run can be submitted again")

	old := sub(3)
	old.CreatedAt = epoch.Add(-retention + time.Second)
	refused := table.Submit(epoch, old)
	g.Expect(refused.Answer.Reason).To(gomega.Equal(wire.ReasonKeyExpired))
	g.Expect(refused.Answer.Outcome).To(gomega.Equal(wire.OutcomeUnknown))
}

// Guards against a table that grows without bound, forgets a key that has not expired, or gives a part of an answer.
func TestBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	table := alone(submission.Config{Retention: retention, MaxEntries: 10, MaxAnswerBytes: 2000})
	for i := range 10 {
		table.Complete(epoch, table.Submit(epoch, sub(i)).Job, answer(string(make([]byte, 500))))
	}
	full := table.Submit(epoch, sub(10))
	g.Expect(full.Answer.Reason).To(gomega.Equal(wire.ReasonTableFull))
	g.Expect(full.Answer.Outcome).To(gomega.Equal(wire.OutcomeNotRun))
	stats := table.Stats(epoch)
	g.Expect(stats.Entries).To(gomega.Equal(10))
	g.Expect(stats.AnswerBytes).To(gomega.BeNumerically("<=", 2000))
	dropped := table.Submit(epoch, sub(0))
	g.Expect(dropped.Kind).To(gomega.Equal(submission.Stored))
	g.Expect(dropped.Answer.Reason).To(gomega.Equal(wire.ReasonAnswerExpired))
	g.Expect(table.Submit(epoch, sub(9)).Answer.Outcome).To(gomega.Equal(wire.OutcomeComplete))
	g.Expect(table.Submit(epoch.Add(retention), sub(10)).Kind).To(gomega.Equal(submission.Run))
	g.Expect(table.Stats(epoch).Entries).To(gomega.Equal(1))
	g.Expect(table.Stats(epoch).AnswerBytes).To(gomega.BeZero())
}

// Guards against an answer that does not fit a frame and is therefore never delivered.
func TestAnswerTooLarge(t *testing.T) {
	g := gomega.NewWithT(t)
	table := alone(submission.Config{})
	big := &wire.Answer{Outcome: wire.OutcomeComplete}
	for range 7 {
		big.Tasks = append(big.Tasks, wire.TaskAnswer{Outcome: wire.OutcomeComplete, Body: make([]byte, wire.MaxAnswerBody)})
	}
	final := table.Complete(epoch, table.Submit(epoch, sub(1)).Job, big)
	g.Expect(final.Reason).To(gomega.Equal(wire.ReasonAnswerTooLarge))
	g.Expect(final.Tasks).To(gomega.HaveLen(7))
	g.Expect(final.Tasks[0].Body).To(gomega.BeEmpty())
}

// Guards against a retention window that a job can outlast, and against a departed entry that is pruned while an agent
// may still work for it.
func TestConfig(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(submission.Config{}.Validate()).To(gomega.Succeed())
	g.Expect(submission.Config{Retention: wire.MaxDeadline}.Validate()).To(gomega.MatchError(submission.ErrRetention))
	g.Expect(submission.Config{}.DepartedKeep()).To(gomega.BeNumerically(">", submission.DefaultAgentMemory+submission.DefaultRetention))
}

// Guards against an expelled entry that starts tasks of a job which another entry may run by now, also after it joined
// again.
func TestNoStartAfterExpulsion(t *testing.T) {
	g := gomega.NewWithT(t)
	table := alone(submission.Config{})
	job := table.Submit(epoch, sub(1)).Job
	g.Expect(table.MayStart(job)).To(gomega.BeTrue())
	actions := table.Adopt(epoch, &wire.EntryList{Version: 2, Members: []wire.Member{entry("b", 2)}})
	g.Expect(actions.Expelled).To(gomega.BeTrue())
	g.Expect(table.MayStart(job)).To(gomega.BeFalse())
	table.Rejoin(3)
	table.Adopt(epoch, &wire.EntryList{Version: 3, Members: []wire.Member{entry("a", 3)}})
	g.Expect(table.MayStart(job)).To(gomega.BeFalse())
	final := table.Complete(epoch, job, &wire.Answer{Outcome: wire.OutcomeNotRun})
	g.Expect(final.Reason).To(gomega.Equal(wire.ReasonExpelled))
	g.Expect(final.Outcome).To(gomega.Equal(wire.OutcomeUnknown))
}

// BenchmarkMarker shows the memory of a finished submission whose answer was dropped.
func BenchmarkMarker(b *testing.B) {
	const entries = 250_000
	submissions := make([]submission.Submission, entries)
	for i := range submissions {
		submissions[i] = sub(i)
	}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := alone(submission.Config{MaxEntries: entries, MaxAnswerBytes: 1})
		for i := range submissions {
			table.Complete(epoch, table.Submit(epoch, submissions[i]).Job, answer("x"))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "bytes/entry")
		runtime.KeepAlive(table)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/entries, "ns/entry")
}

// BenchmarkSubmit shows the cost of a submission from its decision to its expiry.
func BenchmarkSubmit(b *testing.B) {
	table := alone(submission.Config{Retention: retention})
	now := epoch
	whole := answer("x")
	s := sub(0)
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		s.Key[0], s.Key[1], s.Key[2], s.Key[3] = byte(i), byte(i>>8), byte(i>>16), byte(i>>24)
		table.Complete(now, table.Submit(now, s).Job, whole)
	}
}

// Guards against a stopped entry that confirms submissions of another one: the new homes have asked it before and do not
// ask again. A stop must also hold for keys under later lists.
func TestStoppedEntryTakesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	table := alone(submission.Config{Retention: retention})
	list := &wire.EntryList{Version: 2, Members: []wire.Member{entry("a", 1), entry("b", 2)}}
	table.Adopt(epoch, list)
	g.Expect(table.Stop(epoch).Adopted).To(gomega.BeTrue())
	accepted, newer := table.HandoverReceived(epoch, &wire.Handover{Sequence: 1, ListVersion: 2, Items: []wire.HandoverItem{
		{Key: sub(1).Key, Expires: epoch.Add(time.Hour), Answer: answer("x")},
	}})
	g.Expect(accepted).To(gomega.BeFalse())
	g.Expect(newer.Stopped).To(gomega.HaveLen(1), "the sender learns of the stop")
	table.Adopt(epoch, &wire.EntryList{Version: 3, Members: list.Members})
	for i := range 20 {
		g.Expect(table.Submit(epoch, sub(i)).Kind).To(gomega.Equal(submission.NotHome))
	}
}
