package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// harness drives one policy step by step at a virtual time.
type harness struct {
	gomega.Gomega
	p         Policy
	now       time.Time
	lastJobID uint64
}

func newHarness(t *testing.T, c Config, upstreams ...Upstream) *harness {
	g := gomega.NewWithT(t)
	b := &harness{Gomega: g, p: newPolicy(g, ExpectedCompletion, 1, c), now: epoch.Add(time.Minute)}
	for _, u := range upstreams {
		b.p.SetUpstream(b.now, u)
	}
	return b
}

func up(id string, slots int) Upstream { return Upstream{ID: id, DataCentre: "A", Slots: slots} }

// submit fills in the ID and the defaults of a job and submits it.
func (b *harness) submit(j Job) *Refusal {
	b.lastJobID++
	j.ID = b.lastJobID
	j.Tasks = max(j.Tasks, 1)
	if j.Kind == "" {
		j.Kind = "k"
	}
	if j.Deadline.IsZero() {
		j.Deadline = b.now.Add(10 * time.Second)
	}
	return b.p.Submit(b.now, j)
}

func (b *harness) next() []Assignment {
	a, _ := b.p.Next(b.now)
	return append([]Assignment(nil), a...)
}

// nextOne calls Next and expects exactly one assignment.
func (b *harness) nextOne() Assignment {
	a := b.next()
	b.Expect(a).To(gomega.HaveLen(1))
	return a[0]
}

func (b *harness) succeed(a Assignment, service time.Duration) Verdict {
	return b.p.FinishAttempt(b.now, a.Ref, a.Upstream, Result{State: Succeeded, Service: service})
}

func (b *harness) finish(a Assignment, state ResultState, reason wire.RefusalReason) Verdict {
	return b.p.FinishAttempt(b.now, a.Ref, a.Upstream, Result{State: state, Reason: reason, Service: time.Millisecond})
}

func (b *harness) advance(d time.Duration) { b.now = b.now.Add(d) }

// train makes the only active upstream finish n tasks of a kind one after the other, so that the policy learns its
// times.
func (b *harness) train(u Upstream, kind string, service time.Duration, state ResultState, n int) {
	for range n {
		b.submit(Job{Kind: kind})
		a := b.nextOne()
		b.advance(service)
		b.p.FinishAttempt(b.now, a.Ref, a.Upstream, Result{State: state, Service: service})
	}
	b.Expect(b.p.Stats(b.now).Waiting).To(gomega.BeZero(), u.ID)
}

// TestOrder guards against urgent work that is served after normal work, and short work that is served after long work
// that was submitted earlier.
func TestOrder(t *testing.T) {
	b := newHarness(t, Config{AgentQueue: -1}, up("u", 1))
	b.train(up("u", 1), "short", 50*time.Millisecond, Succeeded, 10)
	b.train(up("u", 1), "long", time.Second, Succeeded, 10)
	b.submit(Job{Kind: "short"})
	running := b.nextOne()
	b.submit(Job{Kind: "long"})
	b.submit(Job{Kind: "short"})
	b.submit(Job{Kind: "long", Urgent: true})
	var order []uint64
	for range 3 {
		b.succeed(running, 50*time.Millisecond)
		running = b.nextOne()
		order = append(order, running.Ref.Job)
	}
	b.Expect(order).To(gomega.Equal([]uint64{24, 23, 22}))
}

// TestNoStarvation guards against normal work that never runs while urgent work fills every slot.
func TestNoStarvation(t *testing.T) {
	b := newHarness(t, Config{AgentQueue: -1}, up("u", 1))
	b.submit(Job{Urgent: true})
	running := b.nextOne()
	b.submit(Job{Deadline: b.now.Add(time.Minute)})
	normalJob := b.lastJobID
	for range 200 {
		b.submit(Job{Urgent: true})
		b.advance(50 * time.Millisecond)
		b.succeed(running, 50*time.Millisecond)
		running = b.nextOne()
		if running.Ref.Job == normalJob {
			return
		}
	}
	t.Fatal("the normal task did not start within 10 s")
}

// TestRefusedStartGoesElsewhere guards against a task that is lost or sent to the same upstream again after a refused
// start.
func TestRefusedStartGoesElsewhere(t *testing.T) {
	b := newHarness(t, Config{}, up("u1", 2), up("u2", 2))
	b.submit(Job{})
	first := b.nextOne()
	b.Expect(b.finish(first, Refused, wire.RefusedBusy)).To(gomega.Equal(Requeued))
	second := b.nextOne()
	b.Expect(second.Upstream).NotTo(gomega.Equal(first.Upstream))
	b.Expect(second.Retry).To(gomega.BeFalse(), "no attempt has started")
	b.Expect(b.succeed(second, time.Millisecond)).To(gomega.Equal(TaskEnded))
}

// TestUnreachableUpstreamRests guards against a busy loop of starts at an upstream that refuses connections.
func TestUnreachableUpstreamRests(t *testing.T) {
	b := newHarness(t, Config{}, up("u", 8))
	b.submit(Job{Tasks: 8, Deadline: b.now.Add(30 * time.Second)})
	starts := 0
	for range 10_000 { // 10 s
		for _, a := range b.next() {
			starts++
			b.finish(a, Refused, wire.RefusedUpstreamDown)
		}
		b.advance(time.Millisecond)
	}
	b.Expect(starts).To(gomega.BeNumerically("<", 200))
	b.Expect(b.p.Stats(b.now).Waiting).To(gomega.Equal(8))
}

// TestFailingUpstreamAttractsNoWork guards against preferring an upstream that has free slots only because it fails
// tasks at once.
func TestFailingUpstreamAttractsNoWork(t *testing.T) {
	b := newHarness(t, Config{}, up("bad", 8), up("good1", 8), up("good2", 8))
	failed, total := 0, 2000
	var open []Assignment
	for range total {
		b.submit(Job{})
		open = append(open, b.next()...)
		b.advance(10 * time.Millisecond)
		kept := open[:0]
		for _, a := range open {
			switch {
			case a.Upstream == "bad":
				failed++
				b.finish(a, Failed, 0)
			case len(open) > 8:
				b.succeed(a, 100*time.Millisecond)
				open = open[1:]
			default:
				kept = append(kept, a)
			}
		}
		open = append([]Assignment(nil), kept...)
	}
	b.Expect(float64(failed) / float64(total)).To(gomega.BeNumerically("<", 0.02))
}

// TestRestartedAgentGetsWork guards against an upstream that gets no work because the lost attempts of the previous
// incarnation of its agent count as failures.
func TestRestartedAgentGetsWork(t *testing.T) {
	fast, slow := up("fast", 8), up("slow", 8)
	b := newHarness(t, Config{}, slow)
	b.train(slow, "k", 90*time.Millisecond, Succeeded, 10)
	b.p.RemoveUpstream(b.now, "slow")
	b.p.SetUpstream(b.now, fast)
	b.train(fast, "k", 50*time.Millisecond, Succeeded, 10)
	b.train(fast, "k", 50*time.Millisecond, Lost, 5)
	b.p.SetUpstream(b.now, slow)
	b.advance(100 * time.Millisecond) // longer than peerStatsInterval
	b.submit(Job{Kind: "k"})
	b.Expect(b.nextOne().Upstream).To(gomega.Equal("slow"), "all attempts at the previous incarnation were lost")
	b.p.RemoveUpstream(b.now, "fast")
	fast.Incarnation++
	b.p.SetUpstream(b.now, fast)
	b.submit(Job{Kind: "k"})
	b.Expect(b.nextOne().Upstream).To(gomega.Equal("fast"))
}

// TestRepairedUpstreamGetsWork guards against an upstream that gets no work after it was repaired.
func TestRepairedUpstreamGetsWork(t *testing.T) {
	b := newHarness(t, Config{}, up("bad", 8))
	b.p.RemoveUpstream(b.now, "none")
	b.train(up("bad", 8), "k", 100*time.Millisecond, Succeeded, 5)
	b.p.SetUpstream(b.now, up("good", 1))
	for range 20 {
		b.submit(Job{Tasks: 3})
		for _, a := range b.next() {
			if a.Upstream == "bad" {
				b.finish(a, Failed, 0)
			} else {
				b.succeed(a, 100*time.Millisecond)
			}
		}
		b.advance(100 * time.Millisecond)
	}
	used := false
	for range 1200 { // 2 min
		b.advance(100 * time.Millisecond)
		b.submit(Job{Tasks: 2})
		for _, a := range b.next() {
			used = used || a.Upstream == "bad"
			b.succeed(a, 100*time.Millisecond)
		}
	}
	b.Expect(used).To(gomega.BeTrue())
}

// TestTaskWaitsForFastUpstream guards against sending a task to a slow upstream although a fast one is free soon.
func TestTaskWaitsForFastUpstream(t *testing.T) {
	b := newHarness(t, Config{AgentQueue: -1}, up("slow", 4))
	b.train(up("slow", 4), "k", 2*time.Second, Succeeded, 10)
	b.p.RemoveUpstream(b.now, "slow")
	b.p.SetUpstream(b.now, up("fast", 4))
	b.train(up("fast", 4), "k", 100*time.Millisecond, Succeeded, 30)
	b.p.SetUpstream(b.now, up("slow", 4))
	b.submit(Job{Tasks: 4})
	for _, a := range b.next() {
		b.Expect(a.Upstream).To(gomega.Equal("fast"))
	}
	b.submit(Job{})
	b.Expect(b.next()).To(gomega.BeEmpty(), "the fast upstream is free in 100 ms")
	b.p.RemoveUpstream(b.now, "fast")
	b.advance(time.Second)
	b.Expect(b.nextOne().Upstream).To(gomega.Equal("slow"), "no other upstream is left")
}

// TestNearDataCentre guards against sending work to another data centre when the local one has free slots.
func TestNearDataCentre(t *testing.T) {
	far := up("far", 8)
	far.DataCentre = "B"
	b := newHarness(t, Config{}, far, up("near", 8))
	for range 4 {
		b.submit(Job{})
		a := b.nextOne()
		b.Expect(a.Upstream).To(gomega.Equal("near"))
		b.advance(100 * time.Millisecond)
		b.succeed(a, 99*time.Millisecond)
	}
}

// TestLongWorkLeavesSlots guards against long tasks that hold every slot of an upstream.
func TestLongWorkLeavesSlots(t *testing.T) {
	b := newHarness(t, Config{}, up("u", 8))
	b.train(up("u", 8), "long", 5*time.Second, Succeeded, 10)
	b.submit(Job{Kind: "long", Tasks: 20, Deadline: b.now.Add(time.Minute)})
	long := b.next()
	b.Expect(long).To(gomega.HaveLen(6), "a quarter of the slots is reserved for short tasks")
	b.Expect(long[0].Long).To(gomega.BeTrue())
	b.submit(Job{Kind: "short", Tasks: 2})
	b.Expect(b.next()).To(gomega.HaveLen(2))
}

// TestOldTaskCountsAsLong guards against starting long tasks beside running tasks that are old enough to count as long,
// although their kind is not known as long.
func TestOldTaskCountsAsLong(t *testing.T) {
	b := newHarness(t, Config{Kinds: map[string]Kind{"long": {Long: true}}}, up("u", 8))
	b.submit(Job{Kind: "short", Tasks: 5, Deadline: b.now.Add(time.Minute)})
	b.Expect(b.next()).To(gomega.HaveLen(5))
	b.advance(3 * time.Second)
	b.submit(Job{Kind: "long", Tasks: 3})
	b.Expect(b.next()).To(gomega.HaveLen(1), "five old tasks count against the six slots for long work")
}

// TestOverload guards against accepting work that cannot meet its deadline, and against refusing urgent work before
// normal work.
func TestOverload(t *testing.T) {
	b := newHarness(t, Config{}, up("u", 2))
	b.train(up("u", 2), "k", 500*time.Millisecond, Succeeded, 10)
	var r *Refusal
	accepted := 0
	for r == nil && accepted < 1000 {
		r = b.submit(Job{Deadline: b.now.Add(5 * time.Second)})
		b.next()
		accepted++
	}
	b.Expect(r).NotTo(gomega.BeNil())
	b.Expect(r.Reason).To(gomega.Equal(wire.ReasonOverloaded))
	b.Expect(r.RetryAfter).To(gomega.BeNumerically(">", time.Second))
	b.Expect(accepted).To(gomega.BeNumerically("~", 20, 8), "4 tasks/s for 5 s")
	b.Expect(b.submit(Job{Urgent: true, Deadline: b.now.Add(5 * time.Second)})).To(gomega.BeNil())
}

// TestBoundedQueue guards against an unbounded queue while the drain rate is unknown.
func TestBoundedQueue(t *testing.T) {
	b := newHarness(t, Config{MaxWaiting: 100})
	b.p.SetUpstream(b.now, up("u", 1))
	later := b.now.Add(time.Minute)
	b.Expect(b.submit(Job{Tasks: 80, Deadline: later})).To(gomega.BeNil())
	r := b.submit(Job{Tasks: 10, Deadline: later})
	b.Expect(r).NotTo(gomega.BeNil())
	b.Expect(r.Reason).To(gomega.Equal(wire.ReasonOverloaded))
	b.Expect(b.submit(Job{Tasks: 10, Urgent: true, Deadline: later})).To(gomega.BeNil())
}

// TestNoUpstream guards against accepting jobs that no upstream can serve, and against refusing jobs during a short
// absence of the last upstream.
func TestNoUpstream(t *testing.T) {
	kinds := map[string]Kind{"big": {MemoryMB: 1000}}
	b := newHarness(t, Config{Kinds: kinds}, up("u", 1))
	r := b.submit(Job{Kind: "big"})
	b.Expect(r).NotTo(gomega.BeNil())
	b.Expect(r.Reason).To(gomega.Equal(wire.ReasonNoUpstream))
	b.p.RemoveUpstream(b.now, "u")
	b.advance(5 * time.Second)
	b.Expect(b.submit(Job{})).To(gomega.BeNil(), "there was an upstream 5 s ago")
	_, refusals := b.p.Next(b.now)
	b.Expect(refusals).To(gomega.BeEmpty())
	b.Expect(b.p.NextWake(b.now)).To(gomega.BeTemporally("<=", b.now.Add(2*time.Second)))
	b.advance(2 * time.Second)
	_, refusals = b.p.Next(b.now)
	b.Expect(refusals).To(gomega.HaveLen(1))
	b.Expect(refusals[0].Reason).To(gomega.Equal(wire.ReasonNoUpstream))
	b.advance(5 * time.Second)
	b.Expect(b.submit(Job{})).NotTo(gomega.BeNil(), "the last upstream left 12 s ago")
}

// TestNewEntryWaitsForUpstreams guards against refusals by an entry to which the agents have not connected yet.
func TestNewEntryWaitsForUpstreams(t *testing.T) {
	b := newHarness(t, Config{})
	b.now = epoch.Add(time.Second)
	b.Expect(b.submit(Job{})).To(gomega.BeNil())
	b.advance(time.Second)
	b.p.SetUpstream(b.now, up("u", 1))
	b.Expect(b.next()).To(gomega.HaveLen(1))
}

// TestDeadline guards against starts after the deadline, and against a wake-up after the deadline.
func TestDeadline(t *testing.T) {
	b := newHarness(t, Config{AgentQueue: -1}, up("u", 1))
	b.submit(Job{})
	running := b.nextOne()
	b.submit(Job{Deadline: b.now.Add(2 * time.Second), Tasks: 2, Urgent: true})
	b.next()
	b.Expect(b.p.NextWake(b.now)).To(gomega.BeTemporally("<=", b.now.Add(2*time.Second)))
	b.advance(2 * time.Second)
	b.succeed(running, 2*time.Second)
	assignments, refusals := b.p.Next(b.now)
	b.Expect(assignments).To(gomega.BeEmpty())
	b.Expect(refusals).To(gomega.HaveLen(2))
	b.Expect(refusals[0].Reason).To(gomega.Equal(wire.ReasonDeadline))
	b.Expect(b.p.NextWake(b.now)).To(gomega.Equal(time.Time{}))
}

// TestRemovedUpstream guards against new work for an upstream that was removed.
func TestRemovedUpstream(t *testing.T) {
	b := newHarness(t, Config{}, up("u1", 2), up("u2", 2))
	b.p.RemoveUpstream(b.now, "u1")
	b.submit(Job{Tasks: 10})
	for _, a := range b.next() {
		b.Expect(a.Upstream).To(gomega.Equal("u2"))
	}
}

// TestCancelledTaskIsNotSentAgain guards against a new attempt of a task that was cancelled while an attempt was open.
func TestCancelledTaskIsNotSentAgain(t *testing.T) {
	b := newHarness(t, Config{AgentQueue: -1}, up("u", 1))
	b.submit(Job{Tasks: 2})
	a := b.nextOne()
	removed := b.p.Cancel(b.now, []TaskRef{{1, 0}, {1, 1}, {9, 9}})
	b.Expect(removed).To(gomega.HaveLen(1))
	b.Expect(b.finish(a, Refused, wire.RefusedBusy)).To(gomega.Equal(TaskEnded))
	b.advance(time.Second)
	b.Expect(b.next()).To(gomega.BeEmpty())
}

// TestForeignLoad guards against starts at an upstream whose slots are filled by other entries, and against excluding
// it forever.
func TestForeignLoad(t *testing.T) {
	b := newHarness(t, Config{AgentQueue: -1}, up("u", 2))
	b.train(up("u", 2), "k", 100*time.Millisecond, Succeeded, 5)
	b.p.ReportLoad(b.now, "u", Load{Running: 2})
	b.submit(Job{})
	b.Expect(b.next()).To(gomega.BeEmpty())
	b.advance(time.Second)
	b.Expect(b.next()).To(gomega.HaveLen(1), "a report that is one second old has little weight")
}

// TestDeterministic guards against decisions that depend on anything but the calls and the seed, such as map order.
func TestDeterministic(t *testing.T) {
	run := func() string {
		b := newHarness(t, Config{}, up("u1", 3), up("u2", 3), up("u3", 3))
		log := ""
		var open []Assignment
		for i := range 500 {
			b.submit(Job{Kind: fmt.Sprint("k", i%3), Tasks: uint16(1 + i%7)})
			open = append(open, b.next()...)
			for j, a := range open[:len(open)/2] {
				b.finish(a, ResultState(1+(i+j)%4), wire.RefusedBusy)
			}
			open = open[len(open)/2:]
			log += fmt.Sprint(open)
			b.advance(time.Duration(i) * time.Millisecond)
		}
		return log
	}
	gomega.NewWithT(t).Expect(run()).To(gomega.Equal(run()))
}

// TestTotalOutage guards against work that stops because every upstream fails, for example while a shared dependency is
// down. Callers need the answers, and work must go on at once after the fault.
func TestTotalOutage(t *testing.T) {
	b := newHarness(t, Config{}, up("u1", 4), up("u2", 4), up("u3", 4))
	for range 1000 { // 10 s
		b.submit(Job{Tasks: 2})
		for _, a := range b.next() {
			b.finish(a, Failed, 0)
		}
		b.advance(10 * time.Millisecond)
	}
	b.Expect(b.p.Stats(b.now).Waiting).To(gomega.BeNumerically("<=", 10))
}

// TestLatestReportCounts guards against ignoring a fresh report of a free slot in a large pool in favour of an old one,
// and against sending a task to an upstream that reported a free slot and was then removed.
func TestLatestReportCounts(t *testing.T) {
	b := newHarness(t, Config{})
	const upstreams = 60
	for i := range upstreams {
		b.p.SetUpstream(b.now, up(fmt.Sprint(i), 4))
	}
	b.submit(Job{})
	b.succeed(b.nextOne(), 100*time.Millisecond)
	for i := range upstreams {
		b.p.ReportLoad(b.now, fmt.Sprint(i), Load{Running: 2})
	}
	b.advance(time.Second)
	for _, id := range []string{"20", "40", "50"} {
		b.p.ReportLoad(b.now, id, Load{})
		b.p.ReportLoad(b.now, "30", Load{})
		b.p.RemoveUpstream(b.now, "30")
		b.submit(Job{})
		b.Expect(b.nextOne().Upstream).To(gomega.Equal(id))
		b.p.RemoveUpstream(b.now, id)
	}
}

// TestWideJobLeavesFastSlots guards against wide jobs that take the fast slots from small jobs when slots are scarce.
func TestWideJobLeavesFastSlots(t *testing.T) {
	b := newHarness(t, Config{}, up("slow", 8))
	b.train(up("slow", 8), "k", 130*time.Millisecond, Succeeded, 40)
	b.p.RemoveUpstream(b.now, "slow")
	b.p.SetUpstream(b.now, up("fast", 8))
	b.train(up("fast", 8), "k", 100*time.Millisecond, Succeeded, 40)
	b.p.SetUpstream(b.now, up("slow", 8))
	b.submit(Job{})
	b.Expect(b.nextOne().Upstream).To(gomega.Equal("fast"))
	for _, id := range []string{"full-1", "full-2"} {
		b.p.SetUpstream(b.now, up(id, 8))
		b.p.ReportLoad(b.now, id, Load{Running: 8, Queued: 8})
	}
	b.submit(Job{})
	b.Expect(b.nextOne().Upstream).To(gomega.Equal("fast"), "a small job")
	b.submit(Job{Tasks: 140})
	b.Expect(b.next()[0].Upstream).To(gomega.Equal("slow"), "a wide job")
}

// TestStandingQueueRefusesByOwnWait guards against a standing queue of wide jobs with late deadlines in which small
// jobs are refused that would be served before them.
func TestStandingQueueRefusesByOwnWait(t *testing.T) {
	b := newHarness(t, Config{}, up("u", 8))
	b.train(up("u", 8), "k", 200*time.Millisecond, Succeeded, 40)
	e := b.p.(*engine)
	wide := Job{Tasks: 140, Deadline: b.now.Add(time.Minute)}
	for range 4 {
		b.Expect(b.submit(wide)).To(gomega.BeNil())
	}
	b.next()
	e.kinds["k"].pool.standingQueue.standing = true
	b.Expect(b.submit(wide)).NotTo(gomega.BeNil(), "it would wait for more than 10 s")
	b.Expect(b.submit(Job{Deadline: b.now.Add(3 * time.Second)})).To(gomega.BeNil(), "it is served before the wide jobs")
}
