package submission_test

import (
	"fmt"
	"runtime"
	"slices"
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

// recovery returns the table of b after a was expelled, with two agents that a used.
func recovery(g *gomega.WithT) (*submission.Table, submission.AgentRef, submission.AgentRef) {
	a, b := entry("a", 1), entry("b", 2)
	table := submission.New(submission.Config{Retention: retention, AgentMemory: agentMemory}, b)
	table.Adopt(epoch, &wire.EntryList{Version: 1, Members: []wire.Member{a, b}})
	table.RosterReceived(epoch, a, &wire.AgentRoster{Full: true, Agents: []wire.AgentPresence{{ID: "far", Incarnation: 3}}})
	table.InheritedReceived(epoch, a, &wire.Inherited{ListVersion: 1, Last: true})
	near, far := submission.AgentRef{ID: "near", Incarnation: 4}, submission.AgentRef{ID: "far", Incarnation: 3}
	table.AgentConnected(epoch, near, epoch)
	actions := table.Adopt(epoch, &wire.EntryList{
		Version: 2, Members: []wire.Member{b}, Departed: []wire.Departed{{ID: "a", Incarnation: 1, AtVersion: 2, At: epoch}},
	})
	g.Expect(actions.Collect).To(gomega.HaveLen(1), "only one agent has a link")
	return table, near, far
}

// inherited returns the nth key that belonged to a.
func inherited(n int) submission.Submission {
	list := &wire.EntryList{Version: 1, Members: []wire.Member{entry("a", 1), entry("b", 2)}}
	for i := 0; ; i++ {
		if home, _ := placement.Home(list, "", sub(i).Key); home.ID == "a" {
			if n--; n < 0 {
				return sub(i)
			}
		}
	}
}

func recordsOf(keys ...wire.KeyRecord) *wire.Records {
	return &wire.Records{Expelled: "a", ExpelledIncarnation: 1, ListVersion: 2, Keys: keys, Last: true}
}

// Guards against a key that runs while an agent that is known from the expelled entry only may have started it, and
// against a whole answer that is not rebuilt from the records of several agents.
func TestRecoveryWaitsForEveryAgent(t *testing.T) {
	g := gomega.NewWithT(t)
	table, near, far := recovery(g)
	s, split := inherited(0), inherited(1)
	record := func(task uint16) wire.KeyRecord {
		done := wire.TaskRecord{Task: task, State: wire.AttemptDone, Status: 200, Body: []byte{byte('0' + task)}}
		return wire.KeyRecord{Key: split.Key, Tasks: 2, Digest: split.Digest, Done: []wire.TaskRecord{done}}
	}
	table.RecordsReceived(epoch, near, recordsOf(record(1)))
	wait := table.Submit(epoch, s)
	g.Expect(wait.Kind).To(gomega.Equal(submission.Wait))
	later := wait.Until
	g.Expect(table.Submit(later, s).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))
	g.Expect(table.Submit(later, split).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))

	g.Expect(table.AgentConnected(later, far, epoch).Collect).To(gomega.HaveLen(1))
	for _, version := range []uint64{1, 3} {
		other := recordsOf()
		other.ListVersion = version
		table.RecordsReceived(later, far, other)
		g.Expect(table.Submit(later, s).Kind).To(gomega.Equal(submission.Wait), "an answer under another list does not count")
	}
	table.RecordsReceived(later, far, recordsOf(record(0)))
	g.Expect(table.Submit(later, s).Kind).To(gomega.Equal(submission.Run))
	g.Expect(table.RunningJobs()).To(gomega.HaveLen(1))
	whole := table.Submit(later, split)
	g.Expect(whole.Kind).To(gomega.Equal(submission.Stored))
	g.Expect(string(whole.Answer.Tasks[0].Body) + string(whole.Answer.Tasks[1].Body)).To(gomega.Equal("01"))
}

// Guards against a key that runs although the records that could name it were lost, and against one that is refused
// although it is younger than the loss.
func TestRecoveryAfterLostRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	table, near, far := recovery(g)
	table.RecordsReceived(epoch, near, recordsOf())
	replaced := epoch.Add(time.Minute)
	next := submission.AgentRef{ID: far.ID, Incarnation: 9}
	table.AgentConnected(replaced, next, replaced)
	table.RecordsReceived(replaced, next, recordsOf())

	at := func(d time.Duration) submission.Submission {
		s := inherited(0)
		s.CreatedAt = replaced.Add(d)
		return s
	}
	now := replaced.Add(10 * time.Second)
	g.Expect(table.Submit(now, inherited(0)).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering), "opaque key")
	g.Expect(table.Submit(now, at(time.Second)).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering), "within the skew")
	g.Expect(table.Submit(now, at(time.Hour)).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering), "from the future")
	g.Expect(table.Submit(now, at(3*time.Second)).Kind).To(gomega.Equal(submission.Run))
	over := replaced.Add(retention + 2*wire.MaxDeadline)
	g.Expect(table.Submit(over, inherited(1)).Kind).To(gomega.Equal(submission.Run), "opaque key after the window")
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

// Guards against a task that is still running at an agent when its home is lost, and whose answer is never asked for.
func TestRecoveryAsksAgainForRunningTasks(t *testing.T) {
	g := gomega.NewWithT(t)
	table, near, far := recovery(g)
	s := inherited(0)
	record := wire.KeyRecord{Key: s.Key, Tasks: 1, Digest: s.Digest, Done: []wire.TaskRecord{{State: wire.AttemptRunning}}}
	table.RecordsReceived(epoch, near, recordsOf(record))
	table.AgentConnected(epoch, far, epoch)
	table.RecordsReceived(epoch, far, recordsOf())
	g.Expect(table.Submit(epoch, s).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))
	g.Expect(table.Tick(epoch).Collect).To(gomega.BeEmpty())
	actions := table.Tick(table.Wake())
	g.Expect(actions.Collect).To(gomega.HaveLen(1))
	g.Expect(actions.Collect[0].Agent).To(gomega.Equal(near))
	record.Done = []wire.TaskRecord{{State: wire.AttemptDone, Body: []byte("x")}}
	table.RecordsReceived(epoch, near, recordsOf(record))
	g.Expect(table.Submit(epoch, s).Answer.Outcome).To(gomega.Equal(wire.OutcomeComplete))
}

// Guards against answers that an entry handed over to one that was expelled later: their records at the agents are
// filed under the entry that left.
func TestRecoveryAsksForEntriesThatLeftClean(t *testing.T) {
	g := gomega.NewWithT(t)
	table, near, _ := recovery(g)
	left := wire.Departed{ID: "c", Incarnation: 5, Clean: true, AtVersion: 3, At: epoch}
	g.Expect(collected(table.Adopt(epoch, departed(table.List(), left)), near)).To(gomega.ConsistOf(uint64(1)), "no expulsion after it")
	lost := wire.Departed{ID: "d", Incarnation: 6, AtVersion: 4, At: epoch}
	g.Expect(collected(table.Adopt(epoch, departed(table.List(), lost)), near)).To(gomega.ConsistOf(uint64(1), uint64(5), uint64(6)))
}

// departed returns the successor of a list with one more departed entry.
func departed(list *wire.EntryList, d wire.Departed) *wire.EntryList {
	return &wire.EntryList{Version: d.AtVersion, Members: list.Members, Departed: append(slices.Clone(list.Departed), d)}
}

func collected(actions submission.Actions, from submission.AgentRef) []uint64 {
	var all []uint64
	for _, c := range actions.Collect {
		if c.Agent == from {
			all = append(all, c.Message.ExpelledIncarnation)
		}
	}
	return all
}

// Guards against an entry that joins after an expulsion and takes the agents it happens to know for all of them.
func TestJoinerWithoutRosterIsCareful(t *testing.T) {
	g := gomega.NewWithT(t)
	b := entry("b", 2)
	table := submission.New(submission.Config{Retention: retention}, b)
	table.Adopt(epoch, &wire.EntryList{
		Version: 2, Members: []wire.Member{b}, Departed: []wire.Departed{{ID: "a", Incarnation: 1, AtVersion: 2, At: epoch}},
	})
	g.Expect(table.Submit(epoch, sub(0)).Answer.Reason).To(gomega.Equal(wire.ReasonRecovering))
	table.RosterReceived(epoch, entry("c", 7), &wire.AgentRoster{Full: true, Heard: []uint64{1}})
	g.Expect(table.Submit(epoch, sub(0)).Kind).To(gomega.Equal(submission.Run))
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
