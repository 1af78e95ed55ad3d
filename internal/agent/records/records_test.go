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

func list(version uint64, ids ...string) *wire.EntryList {
	l := &wire.EntryList{Version: version}
	for _, id := range ids {
		l.Members = append(l.Members, wire.Member{ID: id, Incarnation: incarnation(id), State: wire.MemberActive})
	}
	return l
}

func incarnation(id string) uint64 { return uint64(id[0]) }

func start(home string, version, attempt uint64, key byte, task uint16) *wire.Start {
	return &wire.Start{
		Attempt: attempt, Home: home, HomeIncarnation: incarnation(home), ListVersion: version,
		Key: wire.KeyHash{key}, Task: task, Tasks: 3,
	}
}

func done(attempt uint64, body string) *wire.Result {
	return &wire.Result{Attempt: attempt, State: wire.AttemptDone, Status: 200, Body: []byte(body)}
}

// finish takes an admitted start to its end.
func finish(g *gomega.WithT, t *records.Table, s *wire.Start, body string) {
	g.Expect(t.Admit(epoch, s, wire.RefusedNone).Verdict).To(gomega.Equal(records.Run))
	g.Expect(t.Running(records.RefOf(s))).To(gomega.BeTrue())
	g.Expect(t.Finish(epoch, records.RefOf(s), done(s.Attempt, body))).To(gomega.BeTrue())
}

// Guards against starts of an expelled entry and of one that works under an old list.
func TestFencing(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	table.Adopt(list(5, "a", "b"))
	g.Expect(table.Adopt(list(4, "a"))).To(gomega.BeFalse())

	stale := table.Admit(epoch, start("a", 4, 1, 1, 0), wire.RefusedNone)
	g.Expect(stale.Result.Reason).To(gomega.Equal(wire.RefusedStaleList))
	g.Expect(stale.Result.List.Version).To(gomega.Equal(uint64(5)))
	fenced := table.Admit(epoch, start("c", 9, 1, 1, 0), wire.RefusedNone)
	g.Expect(fenced.Result.Reason).To(gomega.Equal(wire.RefusedFenced))
	other := start("a", 5, 2, 1, 0)
	other.HomeIncarnation++
	g.Expect(table.Admit(epoch, other, wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedFenced))
	g.Expect(table.Admit(epoch, start("c", 0, 2, 2, 0), wire.RefusedNone).Verdict).To(gomega.Equal(records.Run), "keyless")
	// The refused attempt does not start after the list changed to its favour.
	table.Adopt(list(6, "a", "b", "c"))
	g.Expect(table.Admit(epoch, start("c", 9, 1, 1, 0), wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedFenced))
}

// Guards against an agent that was paused for longer than the retention window and runs a Start that it reads then.
func TestLateStart(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	s := start("a", 1, 1, 1, 0)
	s.Expires = epoch
	g.Expect(table.Admit(epoch.Add(3*time.Second), s, wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedExpired))
	s = start("a", 1, 2, 1, 0)
	s.Expires = epoch
	g.Expect(table.Admit(epoch.Add(time.Second), s, wire.RefusedNone).Verdict).To(gomega.Equal(records.Run))
}

// Guards against a second start of a task, and against a duplicate whose lost answer passes for a whole one.
func TestDuplicate(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention, MaxResultBytes: 10})
	s := start("a", 1, 1, 1, 0)
	g.Expect(table.Admit(epoch, s, wire.RefusedNone).Verdict).To(gomega.Equal(records.Run))
	g.Expect(table.Admit(epoch, s, wire.RefusedNone).Verdict).To(gomega.Equal(records.Open))
	queued := table.Admit(epoch, start("b", 1, 1, 1, 0), wire.RefusedBusy).Result
	g.Expect(queued.Reason).To(gomega.Equal(wire.RefusedDuplicate))
	g.Expect(queued.Recorded).To(gomega.Equal(wire.AttemptQueued))

	table.Running(records.RefOf(s))
	table.Finish(epoch, records.RefOf(s), done(1, "0123456789"))
	again := table.Admit(epoch, start("b", 1, 2, 1, 0), wire.RefusedNone).Result
	g.Expect(again.Recorded).To(gomega.Equal(wire.AttemptDone))
	g.Expect(again.Body).To(gomega.Equal([]byte("0123456789")))

	foreign := start("b", 1, 3, 1, 0)
	foreign.Digest[0] = 9
	other := table.Admit(epoch, foreign, wire.RefusedNone).Result
	g.Expect(other.Recorded).To(gomega.Equal(wire.AttemptUnknown))
	g.Expect(other.Body).To(gomega.BeEmpty())

	finish(g, table, start("a", 1, 3, 2, 0), "another")
	dropped := table.Admit(epoch, start("b", 1, 2, 1, 0), wire.RefusedNone).Result
	g.Expect(dropped.Recorded).To(gomega.Equal(wire.AttemptUnknown))
	g.Expect(dropped.Body).To(gomega.BeEmpty())
}

// Guards against a retry that forgets the first start: after the retry was refused the task must still count as run.
func TestRetryThatDoesNotStartKeepsFormerRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	finish(g, table, start("a", 1, 1, 1, 0), "first")
	retry := start("a", 1, 2, 1, 0)
	retry.Retry = true
	g.Expect(table.Admit(epoch, retry, wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedDuplicate), "not idempotent")
	retry = start("a", 1, 3, 1, 0)
	retry.Retry, retry.Idempotent = true, true
	g.Expect(table.Admit(epoch, retry, wire.RefusedNone).Verdict).To(gomega.Equal(records.Run))
	g.Expect(table.Cancel(epoch, incarnation("a"), []uint64{3})).To(gomega.HaveLen(1))
	g.Expect(table.Running(records.RefOf(retry))).To(gomega.BeFalse())
	after := table.Admit(epoch, start("b", 1, 1, 1, 0), wire.RefusedNone).Result
	g.Expect(string(after.Body)).To(gomega.Equal("first"))
	_, results := table.Query(epoch, incarnation("a"), []uint64{1})
	g.Expect(string(results[0].Body)).To(gomega.Equal("first"))
}

// Guards against a Start that arrives after the agent said that it had never seen it or that it was cancelled.
func TestQueryAndCancelRecordRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	_, results := table.Query(epoch, incarnation("a"), []uint64{7})
	g.Expect(results[0].State).To(gomega.Equal(wire.AttemptNeverSeen))
	g.Expect(table.Admit(epoch, start("a", 1, 7, 1, 0), wire.RefusedNone).Verdict).To(gomega.Equal(records.Reply))
	table.Cancel(epoch, incarnation("a"), []uint64{8})
	g.Expect(table.Admit(epoch, start("a", 1, 8, 1, 0), wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedCancelled))
	g.Expect(table.Admit(epoch, start("b", 1, 8, 1, 0), wire.RefusedNone).Verdict).To(gomega.Equal(records.Run))
	reply, _ := table.Query(epoch, incarnation("b"), []uint64{8})
	g.Expect(reply.Queued).To(gomega.Equal([]uint64{8}))
}

// Guards against unbounded memory, and against a refusal that is forgotten when its table overflows.
func TestBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention, MaxRecords: 2, MaxRefusals: 3})
	for i := range uint64(20) {
		table.Admit(epoch, start("a", 1, i, byte(i), 0), wire.RefusedNone)
	}
	g.Expect(table.Stats()).To(gomega.Equal(records.Stats{Records: 2, Open: 2, Refusals: 3}))
	ref := records.Ref{HomeIncarnation: incarnation("a")}
	table.Finish(epoch, ref, done(0, "x"))
	later := epoch.Add(retention + wire.MaxDeadline)
	g.Expect(table.Admit(later, start("b", 1, 1, 0, 0), wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedDuplicate), "a record outlives the window by the longest deadline")
	late := later.Add(6 * time.Second)
	g.Expect(table.Admit(late, start("b", 1, 2, 0, 0), wire.RefusedNone).Verdict).To(gomega.Equal(records.Run))
	g.Expect(table.Stats().ResultBytes).To(gomega.BeZero())
}

// Guards against a home that was paused for longer than the retention window and is told that a task which ran was
// never seen.
func TestQueryAfterExpiry(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	finish(g, table, start("a", 1, 5, 1, 0), "x")
	late := epoch.Add(retention + 2*wire.MaxDeadline)
	_, results := table.Query(late, incarnation("a"), []uint64{4, 5, 6})
	states := []wire.AttemptState{results[0].State, results[1].State, results[2].State}
	g.Expect(states).To(gomega.Equal([]wire.AttemptState{wire.AttemptUnknown, wire.AttemptUnknown, wire.AttemptNeverSeen}))
	g.Expect(table.Admit(late, start("a", 1, 5, 1, 0), wire.RefusedNone).Result.State).To(gomega.Equal(wire.AttemptUnknown))
}

// Guards against a refusal that is lost when the table of refusals overflows before the retention window is over.
func TestFloorKeepsRefusals(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention, MaxRefusals: 2})
	for i := uint64(1); i <= 5; i++ {
		table.Admit(epoch, start("a", 1, i, byte(i), 0), wire.RefusedBusy)
	}
	for i := uint64(1); i <= 5; i++ {
		g.Expect(table.Admit(epoch, start("a", 1, i, byte(i), 0), wire.RefusedNone).Verdict).To(gomega.Equal(records.Reply))
	}
	g.Expect(table.Admit(epoch, start("a", 1, 6, 1, 0), wire.RefusedNone).Verdict).To(gomega.Equal(records.Run))
}

// Guards against a recovery that misses records, reports refused ones as started, or exceeds a frame.
func TestCollect(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	table.Adopt(list(1, "a", "b"))
	body := string(make([]byte, wire.MaxAnswerBody))
	for i := range uint16(9) {
		finish(g, table, start("a", 1, uint64(i), 1, i), body)
	}
	table.Admit(epoch, start("a", 1, 20, 2, 0), wire.RefusedNone)
	table.Admit(epoch, start("a", 1, 21, 3, 0), wire.RefusedBusy)
	table.Admit(epoch, start("a", 0, 22, 4, 0), wire.RefusedNone)
	table.Admit(epoch, start("b", 1, 1, 5, 0), wire.RefusedNone)

	collect := &wire.Collect{List: list(2, "b"), Expelled: "a", ExpelledIncarnation: incarnation("a")}
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
			tasks[k.Key] += len(k.Done)
		}
	}
	g.Expect(tasks).To(gomega.Equal(map[wire.KeyHash]int{{1}: 9, {2}: 1}))
	g.Expect(table.Admit(epoch, start("a", 2, 30, 6, 0), wire.RefusedNone).Result.Reason).To(gomega.Equal(wire.RefusedFenced))

	table.Adopt(list(3, "b", "c"))
	parts, newer = table.Collect(epoch, collect, "b", incarnation("b"))
	g.Expect(parts).To(gomega.BeEmpty())
	g.Expect(newer.Version).To(gomega.Equal(uint64(3)))
}

// Guards against a task that started after it was collected and whose record is gone since: the answer must not look as
// if the attempt had been refused.
func TestCollectTellsOfExpiredRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	members := list(2, "b")
	members.Departed = []wire.Departed{{ID: "a", Incarnation: incarnation("a"), AtVersion: 2}}
	collect := func(now time.Time) *wire.Records {
		parts, _ := table.Collect(now, &wire.Collect{List: members, Expelled: "a", ExpelledIncarnation: incarnation("a")}, "b", incarnation("b"))
		g.Expect(parts).To(gomega.HaveLen(1))
		return parts[0]
	}
	finish(g, table, start("a", 1, 1, 1, 0), "before")
	ends, refused := start("a", 1, 2, 2, 0), start("a", 1, 3, 3, 0)
	table.Admit(epoch, ends, wire.RefusedNone)
	table.Admit(epoch, refused, wire.RefusedNone)
	first := collect(epoch)
	g.Expect(first.Keys).To(gomega.HaveLen(3))
	table.Refuse(epoch, records.RefOf(refused), wire.RefusedExpired)
	table.Running(records.RefOf(ends))
	second := epoch.Add(time.Second)
	table.Finish(second, records.RefOf(ends), done(2, "after"))

	expiry := epoch.Add(retention + wire.MaxDeadline + 5*time.Second)
	one := collect(expiry)
	g.Expect(one.Keys).To(gomega.HaveLen(1))
	g.Expect(one.Expired).To(gomega.BeFalse(), "a refused attempt, and a record that was over when it was collected")
	g.Expect(one.Answer).To(gomega.BeNumerically(">", first.Answer))
	none := collect(expiry.Add(time.Second))
	g.Expect(none.Keys).To(gomega.BeEmpty())
	g.Expect(none.Expired).To(gomega.BeTrue())
	members = list(3, "b")
	g.Expect(collect(expiry).Expired).To(gomega.BeFalse(), "the entry is no longer among the departed ones")
}

// Guards against a start that is missing from an answer because a retry of another home replaced its record, or because
// that retry was collected and then refused.
func TestCollectTellsOfRetriesOfAnotherHome(t *testing.T) {
	g := gomega.NewWithT(t)
	table := records.New(records.Config{Retention: retention})
	finish(g, table, start("a", 1, 1, 1, 0), "first")
	retry := start("c", 1, 2, 1, 0)
	retry.Retry, retry.Idempotent = true, true
	table.Admit(epoch, retry, wire.RefusedNone)
	runs := start("a", 1, 2, 2, 0)
	table.Admit(epoch, runs, wire.RefusedNone)
	members := list(2, "b")
	members.Departed = []wire.Departed{{ID: "a", Incarnation: incarnation("a")}, {ID: "c", Incarnation: incarnation("c")}}
	collect := func(home string) *wire.Records {
		parts, _ := table.Collect(epoch, &wire.Collect{List: members, ExpelledIncarnation: incarnation(home)}, "b", incarnation("b"))
		return parts[0]
	}
	g.Expect(collect("c").Keys).To(gomega.HaveLen(1))
	table.Refuse(epoch, records.RefOf(retry), wire.RefusedExpired)
	refused := collect("c")
	g.Expect(refused.Keys).To(gomega.BeEmpty())
	g.Expect(refused.Expired).To(gomega.BeTrue())

	listed := collect("a")
	g.Expect(listed.Keys).To(gomega.HaveLen(2))
	g.Expect(listed.Expired).To(gomega.BeFalse())
	table.Finish(epoch, records.RefOf(runs), done(2, "x"))
	again := start("b", 2, 1, 2, 0)
	again.Retry, again.Idempotent = true, true
	g.Expect(table.Admit(epoch, again, wire.RefusedNone).Verdict).To(gomega.Equal(records.Run))
	replaced := collect("a")
	g.Expect(replaced.Keys).To(gomega.HaveLen(1))
	g.Expect(replaced.Expired).To(gomega.BeTrue())
}
