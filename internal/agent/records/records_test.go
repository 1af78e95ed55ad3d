package records_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

var epoch = time.Unix(1_700_000_000, 0)

const retention = time.Minute

func memberList(version uint64, ids ...string) *wire.EntryList {
	l := &wire.EntryList{Version: version}
	for _, id := range ids {
		l.Members = append(l.Members, wire.Member{ID: id, Incarnation: incarnation(id), State: wire.MemberActive})
	}
	return l
}

func incarnation(id string) uint64 { return uint64(id[0]) }

func newStart(home string, version, attempt uint64, key byte, task uint16) *wire.Start {
	return &wire.Start{
		Attempt: attempt, Home: home, HomeIncarnation: incarnation(home), ListVersion: version,
		Key: wire.KeyHash{key}, Task: task, Tasks: 3,
	}
}

func doneResult(attempt uint64, body string) *wire.Result {
	return &wire.Result{Attempt: attempt, State: wire.AttemptDone, Status: 200, Body: []byte(body)}
}

// runToEnd admits a start, runs it and records its answer.
func runToEnd(g *gomega.WithT, t *records.Table, s *wire.Start, body string) {
	g.Expect(t.Admit(epoch, s, wire.RefusedNone).Decision).To(gomega.Equal(records.Run))
	g.Expect(t.MarkRunning(records.RefOf(s))).To(gomega.BeTrue())
	g.Expect(t.Finish(epoch, records.RefOf(s), doneResult(s.Attempt, body))).To(gomega.BeTrue())
}

// Guards against starts by an expelled entry and by an entry that uses an outdated list.
func TestFencing(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	table.Adopt(memberList(5, "a", "b"))
	g.Expect(table.Adopt(memberList(4, "a"))).To(gomega.BeFalse())

	stale := table.Admit(epoch, newStart("a", 4, 1, 1, 0), wire.RefusedNone)
	g.Expect(stale.Result.Reason).To(gomega.Equal(wire.RefusedStaleList))
	g.Expect(stale.Result.List.Version).To(gomega.Equal(uint64(5)))
	fenced := table.Admit(epoch, newStart("c", 9, 1, 1, 0), wire.RefusedNone)
	g.Expect(fenced.Result.Reason).To(gomega.Equal(wire.RefusedFenced))
	otherIncarnation := newStart("a", 5, 2, 1, 0)
	otherIncarnation.HomeIncarnation++
	g.Expect(table.Admit(epoch, otherIncarnation, wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedFenced))
	g.Expect(table.Admit(epoch, newStart("c", 0, 2, 2, 0), wire.RefusedNone).Decision).To(gomega.Equal(records.Run), "a job without an idempotency key")
	// An attempt that was refused stays refused when its home becomes a member.
	table.Adopt(memberList(6, "a", "b", "c"))
	g.Expect(table.Admit(epoch, newStart("c", 9, 1, 1, 0), wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedFenced))
}

// Guards against an agent that was paused for longer than the retention window and then runs a Start that was sent before
// the pause.
func TestLateStart(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	s := newStart("a", 1, 1, 1, 0)
	s.Expires = epoch
	g.Expect(table.Admit(epoch.Add(3*time.Second), s, wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedExpired))
	s = newStart("a", 1, 2, 1, 0)
	s.Expires = epoch
	g.Expect(table.Admit(epoch.Add(time.Second), s, wire.RefusedNone).Decision).To(gomega.Equal(records.Run))
}

// Guards against a second start of a task, and against a dropped answer that is reported to a duplicate as a complete one.
func TestDuplicate(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention, MaxResultBytes: 10})
	s := newStart("a", 1, 1, 1, 0)
	g.Expect(table.Admit(epoch, s, wire.RefusedNone).Decision).To(gomega.Equal(records.Run))
	g.Expect(table.Admit(epoch, s, wire.RefusedNone).Decision).To(gomega.Equal(records.AlreadyOpen))
	queued := table.Admit(epoch, newStart("b", 1, 1, 1, 0), wire.RefusedBusy).Result
	g.Expect(queued.Reason).To(gomega.Equal(wire.RefusedDuplicate))
	g.Expect(queued.Recorded).To(gomega.Equal(wire.AttemptQueued))

	table.MarkRunning(records.RefOf(s))
	table.Finish(epoch, records.RefOf(s), doneResult(1, "0123456789"))
	afterEnd := table.Admit(epoch, newStart("b", 1, 2, 1, 0), wire.RefusedNone).Result
	g.Expect(afterEnd.Recorded).To(gomega.Equal(wire.AttemptDone))
	g.Expect(afterEnd.Body).To(gomega.Equal([]byte("0123456789")))

	differentBody := newStart("b", 1, 3, 1, 0)
	differentBody.Digest[0] = 9
	other := table.Admit(epoch, differentBody, wire.RefusedNone).Result
	g.Expect(other.Recorded).To(gomega.Equal(wire.AttemptUnknown))
	g.Expect(other.Body).To(gomega.BeEmpty())

	runToEnd(g, table, newStart("a", 1, 3, 2, 0), "another")
	dropped := table.Admit(epoch, newStart("b", 1, 2, 1, 0), wire.RefusedNone).Result
	g.Expect(dropped.Recorded).To(gomega.Equal(wire.AttemptUnknown))
	g.Expect(dropped.Body).To(gomega.BeEmpty())
}

// Guards against the loss of the record of a first attempt: after a retry was refused, the task must still count as run.
func TestRetryThatDoesNotStartKeepsFormerRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	runToEnd(g, table, newStart("a", 1, 1, 1, 0), "first")
	retry := newStart("a", 1, 2, 1, 0)
	retry.Retry = true
	g.Expect(table.Admit(epoch, retry, wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedDuplicate), "not idempotent")
	retry = newStart("a", 1, 3, 1, 0)
	retry.Retry, retry.Idempotent = true, true
	g.Expect(table.Admit(epoch, retry, wire.RefusedNone).Decision).To(gomega.Equal(records.Run))
	g.Expect(table.Cancel(epoch, incarnation("a"), []uint64{3})).To(gomega.HaveLen(1))
	g.Expect(table.MarkRunning(records.RefOf(retry))).To(gomega.BeFalse())
	repeated := table.Admit(epoch, newStart("b", 1, 1, 1, 0), wire.RefusedNone).Result
	g.Expect(string(repeated.Body)).To(gomega.Equal("first"))
	_, results := table.Query(epoch, incarnation("a"), []uint64{1})
	g.Expect(string(results[0].Body)).To(gomega.Equal("first"))
}

// Guards against a Start that runs although the agent has reported its attempt as never seen or as cancelled before.
func TestQueryAndCancelRecordRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	_, results := table.Query(epoch, incarnation("a"), []uint64{7})
	g.Expect(results[0].State).To(gomega.Equal(wire.AttemptNeverSeen))
	g.Expect(table.Admit(epoch, newStart("a", 1, 7, 1, 0), wire.RefusedNone).Decision).To(gomega.Equal(records.Reply))
	table.Cancel(epoch, incarnation("a"), []uint64{8})
	g.Expect(table.Admit(epoch, newStart("a", 1, 8, 1, 0), wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedCancelled))
	g.Expect(table.Admit(epoch, newStart("b", 1, 8, 1, 0), wire.RefusedNone).Decision).To(gomega.Equal(records.Run))
	reply, _ := table.Query(epoch, incarnation("b"), []uint64{8})
	g.Expect(reply.Queued).To(gomega.Equal([]uint64{8}))
}

// Guards against unbounded memory, and against a record that expires before the retention window and the longest deadline
// have passed.
func TestBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention, MaxRecords: 2, MaxRefusals: 3})
	for i := range uint64(20) {
		table.Admit(epoch, newStart("a", 1, i, byte(i), 0), wire.RefusedNone)
	}
	g.Expect(table.Stats()).To(gomega.Equal(records.Stats{Records: 2, Open: 2, Refusals: 3}))
	ref := records.Ref{HomeIncarnation: incarnation("a")}
	table.Finish(epoch, ref, doneResult(0, "x"))
	later := epoch.Add(retention + wire.MaxDeadline)
	g.Expect(table.Admit(later, newStart("b", 1, 1, 0, 0), wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedDuplicate), "a record is kept for the retention window and the longest deadline")
	late := later.Add(6 * time.Second)
	g.Expect(table.Admit(late, newStart("b", 1, 2, 0, 0), wire.RefusedNone).Decision).To(gomega.Equal(records.Run))
	g.Expect(table.Stats().ResultBytes).To(gomega.BeZero())
}

// Guards against a home that was paused for longer than the retention window and gets "never seen" for a task that ran.
func TestQueryAfterExpiry(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	runToEnd(g, table, newStart("a", 1, 5, 1, 0), "x")
	late := epoch.Add(retention + 2*wire.MaxDeadline)
	_, results := table.Query(late, incarnation("a"), []uint64{4, 5, 6})
	states := []wire.AttemptState{results[0].State, results[1].State, results[2].State}
	g.Expect(states).To(gomega.Equal([]wire.AttemptState{wire.AttemptUnknown, wire.AttemptUnknown, wire.AttemptNeverSeen}))
	g.Expect(table.Admit(late, newStart("a", 1, 5, 1, 0), wire.RefusedNone).Result.State).To(gomega.Equal(wire.AttemptUnknown))
}

// Guards against a refusal that is lost when the number of refusals exceeds its limit within the retention window.
func TestFloorKeepsRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention, MaxRefusals: 2})
	for i := uint64(1); i <= 5; i++ {
		table.Admit(epoch, newStart("a", 1, i, byte(i), 0), wire.RefusedBusy)
	}
	for i := uint64(1); i <= 5; i++ {
		g.Expect(table.Admit(epoch, newStart("a", 1, i, byte(i), 0), wire.RefusedNone).Decision).To(gomega.Equal(records.Reply))
	}
	g.Expect(table.Admit(epoch, newStart("a", 1, 6, 1, 0), wire.RefusedNone).Decision).To(gomega.Equal(records.Run))
}

// Guards against an answer to Collect that misses records, lists refused attempts, or has a part that exceeds a frame.
func TestCollect(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	table.Adopt(memberList(1, "a", "b"))
	body := string(make([]byte, wire.MaxAnswerBody))
	for i := range uint16(9) {
		runToEnd(g, table, newStart("a", 1, uint64(i), 1, i), body)
	}
	table.Admit(epoch, newStart("a", 1, 20, 2, 0), wire.RefusedNone)
	table.Admit(epoch, newStart("a", 1, 21, 3, 0), wire.RefusedBusy)
	table.Admit(epoch, newStart("a", 0, 22, 4, 0), wire.RefusedNone)
	table.Admit(epoch, newStart("b", 1, 1, 5, 0), wire.RefusedNone)

	collect := &wire.Collect{List: memberList(2, "b"), Expelled: "a", ExpelledIncarnation: incarnation("a")}
	parts, newer := table.Collect(epoch, collect, "b", incarnation("b"))
	g.Expect(newer).To(gomega.BeNil())
	tasks := map[wire.KeyHash]int{}
	for i, part := range parts {
		frame, err := wire.Encode(part)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(len(frame)).To(gomega.BeNumerically("<", 4<<20))
		g.Expect(part.Last).To(gomega.Equal(i == len(parts)-1))
		g.Expect(part.Part).To(gomega.BeEquivalentTo(i))
		g.Expect(part.Answer).To(gomega.Equal(parts[0].Answer))
		for _, k := range part.Keys {
			tasks[k.Key] += len(k.Records)
		}
	}
	g.Expect(tasks).To(gomega.Equal(map[wire.KeyHash]int{{1}: 9, {2}: 1}))
	g.Expect(table.Admit(epoch, newStart("a", 2, 30, 6, 0), wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedFenced))

	table.Adopt(memberList(3, "b", "c"))
	parts, newer = table.Collect(epoch, collect, "b", incarnation("b"))
	g.Expect(parts).To(gomega.BeEmpty())
	g.Expect(newer.Version).To(gomega.Equal(uint64(3)))
}

// Guards against an attempt that is taken for refused because its record, which was collected while the attempt was
// queued, has expired since. The later answer must have Incomplete set.
func TestCollectTellsOfExpiredRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	members := memberList(2, "b")
	members.Departed = []wire.Departed{{ID: "a", Incarnation: incarnation("a"), AtVersion: 2}}
	collect := func(now time.Time) *wire.Records {
		parts, _ := table.Collect(now, &wire.Collect{List: members, Expelled: "a", ExpelledIncarnation: incarnation("a")}, "b", incarnation("b"))
		g.Expect(parts).To(gomega.HaveLen(1))
		return parts[0]
	}
	runToEnd(g, table, newStart("a", 1, 1, 1, 0), "before")
	running, refused := newStart("a", 1, 2, 2, 0), newStart("a", 1, 3, 3, 0)
	table.Admit(epoch, running, wire.RefusedNone)
	table.Admit(epoch, refused, wire.RefusedNone)
	first := collect(epoch)
	g.Expect(first.Keys).To(gomega.HaveLen(3))
	table.Refuse(epoch, records.RefOf(refused), wire.RefusedExpired)
	table.MarkRunning(records.RefOf(running))
	second := epoch.Add(time.Second)
	table.Finish(second, records.RefOf(running), doneResult(2, "after"))

	expiry := epoch.Add(retention + wire.MaxDeadline + 5*time.Second)
	atExpiry := collect(expiry)
	g.Expect(atExpiry.Keys).To(gomega.HaveLen(1))
	g.Expect(atExpiry.Incomplete).To(gomega.BeFalse(), "a refused attempt and a record that was finished when it was collected")
	g.Expect(atExpiry.Answer).To(gomega.BeNumerically(">", first.Answer))
	afterExpiry := collect(expiry.Add(time.Second))
	g.Expect(afterExpiry.Keys).To(gomega.BeEmpty())
	g.Expect(afterExpiry.Incomplete).To(gomega.BeTrue())
	members = memberList(3, "b")
	g.Expect(collect(expiry).Incomplete).To(gomega.BeFalse(), "the entry is no longer listed as departed")
}

// Guards against a start that an answer leaves out without Incomplete because a retry of another home replaced its record,
// or because that retry was collected and then refused.
func TestCollectTellsOfRetriesOfAnotherHome(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	runToEnd(g, table, newStart("a", 1, 1, 1, 0), "first")
	retry := newStart("c", 1, 2, 1, 0)
	retry.Retry, retry.Idempotent = true, true
	table.Admit(epoch, retry, wire.RefusedNone)
	other := newStart("a", 1, 2, 2, 0)
	table.Admit(epoch, other, wire.RefusedNone)
	members := memberList(2, "b")
	members.Departed = []wire.Departed{{ID: "a", Incarnation: incarnation("a")}, {ID: "c", Incarnation: incarnation("c")}}
	collect := func(home string) *wire.Records {
		parts, _ := table.Collect(epoch, &wire.Collect{List: members, ExpelledIncarnation: incarnation(home)}, "b", incarnation("b"))
		return parts[0]
	}
	g.Expect(collect("c").Keys).To(gomega.HaveLen(1))
	table.Refuse(epoch, records.RefOf(retry), wire.RefusedExpired)
	refused := collect("c")
	g.Expect(refused.Keys).To(gomega.BeEmpty())
	g.Expect(refused.Incomplete).To(gomega.BeTrue())

	listed := collect("a")
	g.Expect(listed.Keys).To(gomega.HaveLen(2))
	g.Expect(listed.Incomplete).To(gomega.BeFalse())
	table.Finish(epoch, records.RefOf(other), doneResult(2, "x"))
	retryOfOther := newStart("b", 2, 1, 2, 0)
	retryOfOther.Retry, retryOfOther.Idempotent = true, true
	g.Expect(table.Admit(epoch, retryOfOther, wire.RefusedNone).Decision).To(gomega.Equal(records.Run))
	replaced := collect("a")
	g.Expect(replaced.Keys).To(gomega.HaveLen(1))
	g.Expect(replaced.Incomplete).To(gomega.BeTrue())
}
