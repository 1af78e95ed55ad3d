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
	h := &harness{Gomega: g, p: newPolicy(g, ExpectedCompletion, 1, c), now: epoch.Add(time.Minute)}
	for _, u := range upstreams {
		h.p.SetUpstream(h.now, u)
	}
	return h
}

func up(id string, slots int) Upstream { return Upstream{ID: id, DataCentre: "A", Slots: slots} }

// submit fills in the ID and the defaults of a job and submits it.
func (h *harness) submit(j Job) *Refusal {
	h.lastJobID++
	j.ID = h.lastJobID
	j.Tasks = max(j.Tasks, 1)
	if j.Kind == "" {
		j.Kind = "k"
	}
	if j.Deadline.IsZero() {
		j.Deadline = h.now.Add(10 * time.Second)
	}
	return h.p.Submit(h.now, j)
}

func (h *harness) next() []Assignment {
	a, _ := h.p.Next(h.now)
	return append([]Assignment(nil), a...)
}

// nextOne calls Next and expects exactly one assignment.
func (h *harness) nextOne() Assignment {
	a := h.next()
	h.Expect(a).To(gomega.HaveLen(1))
	return a[0]
}

func (h *harness) succeed(a Assignment, service time.Duration) FinishStatus {
	return h.p.FinishAttempt(h.now, a.Ref, a.Upstream, Result{State: Succeeded, Service: service})
}

func (h *harness) finish(a Assignment, state ResultState, reason wire.RefusalReason) FinishStatus {
	return h.p.FinishAttempt(h.now, a.Ref, a.Upstream, Result{State: state, Reason: reason, Service: time.Millisecond})
}

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

// train makes the only active upstream finish n tasks of a kind one after the other, so that the policy learns its
// times.
func (h *harness) train(u Upstream, kind string, service time.Duration, state ResultState, n int) {
	for range n {
		h.submit(Job{Kind: kind})
		a := h.nextOne()
		h.advance(service)
		h.p.FinishAttempt(h.now, a.Ref, a.Upstream, Result{State: state, Service: service})
	}
	h.Expect(h.p.Stats(h.now).Waiting).To(gomega.BeZero(), u.ID)
}

// TestOrder guards against urgent work that is served after normal work, and short work that is served after long work
// that was submitted earlier.
func TestOrder(t *testing.T) {
	h := newHarness(t, Config{AgentQueue: -1}, up("u", 1))
	h.train(up("u", 1), "short", 50*time.Millisecond, Succeeded, 10)
	h.train(up("u", 1), "long", time.Second, Succeeded, 10)
	h.submit(Job{Kind: "short"})
	running := h.nextOne()
	h.submit(Job{Kind: "long"})
	h.submit(Job{Kind: "short"})
	h.submit(Job{Kind: "long", Urgent: true})
	var order []uint64
	for range 3 {
		h.succeed(running, 50*time.Millisecond)
		running = h.nextOne()
		order = append(order, running.Ref.Job)
	}
	h.Expect(order).To(gomega.Equal([]uint64{24, 23, 22}))
}

// TestNoStarvation guards against normal work that never runs while urgent work fills every slot.
func TestNoStarvation(t *testing.T) {
	h := newHarness(t, Config{AgentQueue: -1}, up("u", 1))
	h.submit(Job{Urgent: true})
	running := h.nextOne()
	h.submit(Job{Deadline: h.now.Add(time.Minute)})
	normalJob := h.lastJobID
	for range 200 {
		h.submit(Job{Urgent: true})
		h.advance(50 * time.Millisecond)
		h.succeed(running, 50*time.Millisecond)
		running = h.nextOne()
		if running.Ref.Job == normalJob {
			return
		}
	}
	t.Fatal("the normal task did not start within 10 s")
}

// TestRefusedStartGoesElsewhere guards against a task that is lost or sent to the same upstream again after a refused
// start.
func TestRefusedStartGoesElsewhere(t *testing.T) {
	h := newHarness(t, Config{}, up("u1", 2), up("u2", 2))
	h.submit(Job{})
	first := h.nextOne()
	h.Expect(h.finish(first, Refused, wire.RefusedBusy)).To(gomega.Equal(Requeued))
	second := h.nextOne()
	h.Expect(second.Upstream).NotTo(gomega.Equal(first.Upstream))
	h.Expect(second.Retry).To(gomega.BeFalse(), "no attempt has started")
	h.Expect(h.succeed(second, time.Millisecond)).To(gomega.Equal(TaskEnded))
}

// TestUnreachableUpstreamGetsBackoff guards against a busy loop of starts at an upstream that refuses connections.
func TestUnreachableUpstreamGetsBackoff(t *testing.T) {
	h := newHarness(t, Config{}, up("u", 8))
	h.submit(Job{Tasks: 8, Deadline: h.now.Add(30 * time.Second)})
	starts := 0
	for range 10_000 { // 10 s
		for _, a := range h.next() {
			starts++
			h.finish(a, Refused, wire.RefusedUpstreamDown)
		}
		h.advance(time.Millisecond)
	}
	h.Expect(starts).To(gomega.BeNumerically("<", 200))
	h.Expect(h.p.Stats(h.now).Waiting).To(gomega.Equal(8))
}

// TestFailingUpstreamAttractsNoWork guards against preferring an upstream that has free slots only because it fails
// tasks immediately.
func TestFailingUpstreamAttractsNoWork(t *testing.T) {
	h := newHarness(t, Config{}, up("bad", 8), up("good1", 8), up("good2", 8))
	failed, total := 0, 2000
	var open []Assignment
	for range total {
		h.submit(Job{})
		open = append(open, h.next()...)
		h.advance(10 * time.Millisecond)
		kept := open[:0]
		for _, a := range open {
			switch {
			case a.Upstream == "bad":
				failed++
				h.finish(a, Failed, 0)
			case len(open) > 8:
				h.succeed(a, 100*time.Millisecond)
				open = open[1:]
			default:
				kept = append(kept, a)
			}
		}
		open = append([]Assignment(nil), kept...)
	}
	h.Expect(float64(failed) / float64(total)).To(gomega.BeNumerically("<", 0.02))
}

// TestRestartedAgentGetsWork guards against an upstream that gets no work because the lost attempts of the previous
// incarnation of its agent count as failures.
func TestRestartedAgentGetsWork(t *testing.T) {
	fast, slow := up("fast", 8), up("slow", 8)
	h := newHarness(t, Config{}, slow)
	h.train(slow, "k", 90*time.Millisecond, Succeeded, 10)
	h.p.RemoveUpstream(h.now, "slow")
	h.p.SetUpstream(h.now, fast)
	h.train(fast, "k", 50*time.Millisecond, Succeeded, 10)
	h.train(fast, "k", 50*time.Millisecond, Lost, 5)
	h.p.SetUpstream(h.now, slow)
	h.advance(100 * time.Millisecond) // longer than peerStatsInterval
	h.submit(Job{Kind: "k"})
	h.Expect(h.nextOne().Upstream).To(gomega.Equal("slow"), "all attempts at the previous incarnation were lost")
	h.p.RemoveUpstream(h.now, "fast")
	fast.Incarnation++
	h.p.SetUpstream(h.now, fast)
	h.submit(Job{Kind: "k"})
	h.Expect(h.nextOne().Upstream).To(gomega.Equal("fast"))
}

// TestRepairedUpstreamGetsWork guards against an upstream that gets no work after it was repaired.
func TestRepairedUpstreamGetsWork(t *testing.T) {
	h := newHarness(t, Config{}, up("bad", 8))
	h.p.RemoveUpstream(h.now, "none")
	h.train(up("bad", 8), "k", 100*time.Millisecond, Succeeded, 5)
	h.p.SetUpstream(h.now, up("good", 1))
	for range 20 {
		h.submit(Job{Tasks: 3})
		for _, a := range h.next() {
			if a.Upstream == "bad" {
				h.finish(a, Failed, 0)
			} else {
				h.succeed(a, 100*time.Millisecond)
			}
		}
		h.advance(100 * time.Millisecond)
	}
	used := false
	for range 1200 { // 2 min
		h.advance(100 * time.Millisecond)
		h.submit(Job{Tasks: 2})
		for _, a := range h.next() {
			used = used || a.Upstream == "bad"
			h.succeed(a, 100*time.Millisecond)
		}
	}
	h.Expect(used).To(gomega.BeTrue())
}

// TestTaskWaitsForFastUpstream guards against sending a task to a slow upstream although a fast one is free soon.
func TestTaskWaitsForFastUpstream(t *testing.T) {
	h := newHarness(t, Config{AgentQueue: -1}, up("slow", 4))
	h.train(up("slow", 4), "k", 2*time.Second, Succeeded, 10)
	h.p.RemoveUpstream(h.now, "slow")
	h.p.SetUpstream(h.now, up("fast", 4))
	h.train(up("fast", 4), "k", 100*time.Millisecond, Succeeded, 30)
	h.p.SetUpstream(h.now, up("slow", 4))
	h.submit(Job{Tasks: 4})
	for _, a := range h.next() {
		h.Expect(a.Upstream).To(gomega.Equal("fast"))
	}
	h.submit(Job{})
	h.Expect(h.next()).To(gomega.BeEmpty(), "the fast upstream is free in 100 ms")
	h.p.RemoveUpstream(h.now, "fast")
	h.advance(time.Second)
	h.Expect(h.nextOne().Upstream).To(gomega.Equal("slow"), "no other upstream is left")
}

// TestNearDataCentre guards against sending work to another data centre when the local one has free slots.
func TestNearDataCentre(t *testing.T) {
	far := up("far", 8)
	far.DataCentre = "B"
	h := newHarness(t, Config{}, far, up("near", 8))
	for range 4 {
		h.submit(Job{})
		a := h.nextOne()
		h.Expect(a.Upstream).To(gomega.Equal("near"))
		h.advance(100 * time.Millisecond)
		h.succeed(a, 99*time.Millisecond)
	}
}

// TestLongWorkLeavesSlots guards against long tasks that hold every slot of an upstream.
func TestLongWorkLeavesSlots(t *testing.T) {
	h := newHarness(t, Config{}, up("u", 8))
	h.train(up("u", 8), "long", 5*time.Second, Succeeded, 10)
	h.submit(Job{Kind: "long", Tasks: 20, Deadline: h.now.Add(time.Minute)})
	long := h.next()
	h.Expect(long).To(gomega.HaveLen(6), "a quarter of the slots is reserved for short tasks")
	h.Expect(long[0].Long).To(gomega.BeTrue())
	h.submit(Job{Kind: "short", Tasks: 2})
	h.Expect(h.next()).To(gomega.HaveLen(2))
}

// TestOldTaskCountsAsLong guards against starting long tasks beside running tasks that are old enough to count as long,
// although their kind is not known as long.
func TestOldTaskCountsAsLong(t *testing.T) {
	h := newHarness(t, Config{Kinds: map[string]Kind{"long": {Long: true}}}, up("u", 8))
	h.submit(Job{Kind: "short", Tasks: 5, Deadline: h.now.Add(time.Minute)})
	h.Expect(h.next()).To(gomega.HaveLen(5))
	h.advance(3 * time.Second)
	h.submit(Job{Kind: "long", Tasks: 3})
	h.Expect(h.next()).To(gomega.HaveLen(1), "five old tasks count against the six slots for long work")
}

// TestOverload guards against accepting work that cannot meet its deadline, and against refusing urgent work before
// normal work.
func TestOverload(t *testing.T) {
	h := newHarness(t, Config{}, up("u", 2))
	h.train(up("u", 2), "k", 500*time.Millisecond, Succeeded, 10)
	var r *Refusal
	accepted := 0
	for r == nil && accepted < 1000 {
		r = h.submit(Job{Deadline: h.now.Add(5 * time.Second)})
		h.next()
		accepted++
	}
	h.Expect(r).NotTo(gomega.BeNil())
	h.Expect(r.Reason).To(gomega.Equal(wire.ReasonOverloaded))
	h.Expect(r.RetryAfter).To(gomega.BeNumerically(">", time.Second))
	h.Expect(accepted).To(gomega.BeNumerically("~", 20, 8), "4 tasks/s for 5 s")
	h.Expect(h.submit(Job{Urgent: true, Deadline: h.now.Add(5 * time.Second)})).To(gomega.BeNil())
}

// TestBoundedQueue guards against an unbounded queue while the drain rate is unknown.
func TestBoundedQueue(t *testing.T) {
	h := newHarness(t, Config{MaxWaiting: 100})
	h.p.SetUpstream(h.now, up("u", 1))
	later := h.now.Add(time.Minute)
	h.Expect(h.submit(Job{Tasks: 80, Deadline: later})).To(gomega.BeNil())
	r := h.submit(Job{Tasks: 10, Deadline: later})
	h.Expect(r).NotTo(gomega.BeNil())
	h.Expect(r.Reason).To(gomega.Equal(wire.ReasonOverloaded))
	h.Expect(h.submit(Job{Tasks: 10, Urgent: true, Deadline: later})).To(gomega.BeNil())
}

// TestNoUpstream guards against accepting jobs that no upstream can serve, and against refusing jobs during a short
// absence of the last upstream.
func TestNoUpstream(t *testing.T) {
	kinds := map[string]Kind{"big": {MemoryMB: 1000}}
	h := newHarness(t, Config{Kinds: kinds}, up("u", 1))
	r := h.submit(Job{Kind: "big"})
	h.Expect(r).NotTo(gomega.BeNil())
	h.Expect(r.Reason).To(gomega.Equal(wire.ReasonNoUpstream))
	h.p.RemoveUpstream(h.now, "u")
	h.advance(5 * time.Second)
	h.Expect(h.submit(Job{})).To(gomega.BeNil(), "there was an upstream 5 s ago")
	_, refusals := h.p.Next(h.now)
	h.Expect(refusals).To(gomega.BeEmpty())
	h.Expect(h.p.NextWake(h.now)).To(gomega.BeTemporally("<=", h.now.Add(2*time.Second)))
	h.advance(2 * time.Second)
	_, refusals = h.p.Next(h.now)
	h.Expect(refusals).To(gomega.HaveLen(1))
	h.Expect(refusals[0].Reason).To(gomega.Equal(wire.ReasonNoUpstream))
	h.advance(5 * time.Second)
	h.Expect(h.submit(Job{})).NotTo(gomega.BeNil(), "the last upstream left 12 s ago")
}

// TestNewEntryWaitsForUpstreams guards against refusals by an entry to which the agents have not connected yet.
func TestNewEntryWaitsForUpstreams(t *testing.T) {
	h := newHarness(t, Config{})
	h.now = epoch.Add(time.Second)
	h.Expect(h.submit(Job{})).To(gomega.BeNil())
	h.advance(time.Second)
	h.p.SetUpstream(h.now, up("u", 1))
	h.Expect(h.next()).To(gomega.HaveLen(1))
}

// TestDeadline guards against starts after the deadline, and against a wake-up after the deadline.
func TestDeadline(t *testing.T) {
	h := newHarness(t, Config{AgentQueue: -1}, up("u", 1))
	h.submit(Job{})
	running := h.nextOne()
	h.submit(Job{Deadline: h.now.Add(2 * time.Second), Tasks: 2, Urgent: true})
	h.next()
	h.Expect(h.p.NextWake(h.now)).To(gomega.BeTemporally("<=", h.now.Add(2*time.Second)))
	h.advance(2 * time.Second)
	h.succeed(running, 2*time.Second)
	assignments, refusals := h.p.Next(h.now)
	h.Expect(assignments).To(gomega.BeEmpty())
	h.Expect(refusals).To(gomega.HaveLen(2))
	h.Expect(refusals[0].Reason).To(gomega.Equal(wire.ReasonDeadline))
	h.Expect(h.p.NextWake(h.now)).To(gomega.Equal(time.Time{}))
}

// TestRemovedUpstream guards against new work for an upstream that was removed.
func TestRemovedUpstream(t *testing.T) {
	h := newHarness(t, Config{}, up("u1", 2), up("u2", 2))
	h.p.RemoveUpstream(h.now, "u1")
	h.submit(Job{Tasks: 10})
	for _, a := range h.next() {
		h.Expect(a.Upstream).To(gomega.Equal("u2"))
	}
}

// TestCancelledTaskIsNotSentAgain guards against a new attempt of a task that was cancelled while an attempt was open.
func TestCancelledTaskIsNotSentAgain(t *testing.T) {
	h := newHarness(t, Config{AgentQueue: -1}, up("u", 1))
	h.submit(Job{Tasks: 2})
	a := h.nextOne()
	removed := h.p.Cancel(h.now, []TaskRef{{1, 0}, {1, 1}, {9, 9}})
	h.Expect(removed).To(gomega.HaveLen(1))
	h.Expect(h.finish(a, Refused, wire.RefusedBusy)).To(gomega.Equal(TaskEnded))
	h.advance(time.Second)
	h.Expect(h.next()).To(gomega.BeEmpty())
}

// TestForeignLoad guards against starts at an upstream whose slots are filled by other entries, and against excluding
// it forever.
func TestForeignLoad(t *testing.T) {
	h := newHarness(t, Config{AgentQueue: -1}, up("u", 2))
	h.train(up("u", 2), "k", 100*time.Millisecond, Succeeded, 5)
	h.p.ReportLoad(h.now, "u", Load{Running: 2})
	h.submit(Job{})
	h.Expect(h.next()).To(gomega.BeEmpty())
	h.advance(time.Second)
	h.Expect(h.next()).To(gomega.HaveLen(1), "a report that is one second old has little weight")
}

// TestDeterministic guards against decisions that depend on anything but the calls and the seed, such as map order.
func TestDeterministic(t *testing.T) {
	run := func() string {
		h := newHarness(t, Config{}, up("u1", 3), up("u2", 3), up("u3", 3))
		log := ""
		var open []Assignment
		for i := range 500 {
			h.submit(Job{Kind: fmt.Sprint("k", i%3), Tasks: uint16(1 + i%7)})
			open = append(open, h.next()...)
			for j, a := range open[:len(open)/2] {
				h.finish(a, ResultState(1+(i+j)%4), wire.RefusedBusy)
			}
			open = open[len(open)/2:]
			log += fmt.Sprint(open)
			h.advance(time.Duration(i) * time.Millisecond)
		}
		return log
	}
	gomega.NewWithT(t).Expect(run()).To(gomega.Equal(run()))
}

// TestTotalOutage guards against work that stops because every upstream fails, for example while a shared dependency is
// down. Callers need the answers, and work must go on immediately after the fault.
func TestTotalOutage(t *testing.T) {
	h := newHarness(t, Config{}, up("u1", 4), up("u2", 4), up("u3", 4))
	for range 1000 { // 10 s
		h.submit(Job{Tasks: 2})
		for _, a := range h.next() {
			h.finish(a, Failed, 0)
		}
		h.advance(10 * time.Millisecond)
	}
	h.Expect(h.p.Stats(h.now).Waiting).To(gomega.BeNumerically("<=", 10))
}

// TestLatestReportCounts guards against ignoring a fresh report of a free slot in a large pool in favour of an old one,
// and against sending a task to an upstream that reported a free slot and was then removed.
func TestLatestReportCounts(t *testing.T) {
	h := newHarness(t, Config{})
	const upstreams = 60
	for i := range upstreams {
		h.p.SetUpstream(h.now, up(fmt.Sprint(i), 4))
	}
	h.submit(Job{})
	h.succeed(h.nextOne(), 100*time.Millisecond)
	for i := range upstreams {
		h.p.ReportLoad(h.now, fmt.Sprint(i), Load{Running: 2})
	}
	h.advance(time.Second)
	for _, id := range []string{"20", "40", "50"} {
		h.p.ReportLoad(h.now, id, Load{})
		h.p.ReportLoad(h.now, "30", Load{})
		h.p.RemoveUpstream(h.now, "30")
		h.submit(Job{})
		h.Expect(h.nextOne().Upstream).To(gomega.Equal(id))
		h.p.RemoveUpstream(h.now, id)
	}
}

// TestWideJobLeavesFastSlots guards against wide jobs that take the fast slots from small jobs when slots are scarce.
func TestWideJobLeavesFastSlots(t *testing.T) {
	h := newHarness(t, Config{}, up("slow", 8))
	h.train(up("slow", 8), "k", 130*time.Millisecond, Succeeded, 40)
	h.p.RemoveUpstream(h.now, "slow")
	h.p.SetUpstream(h.now, up("fast", 8))
	h.train(up("fast", 8), "k", 100*time.Millisecond, Succeeded, 40)
	h.p.SetUpstream(h.now, up("slow", 8))
	h.submit(Job{})
	h.Expect(h.nextOne().Upstream).To(gomega.Equal("fast"))
	for _, id := range []string{"full-1", "full-2"} {
		h.p.SetUpstream(h.now, up(id, 8))
		h.p.ReportLoad(h.now, id, Load{Running: 8, Queued: 8})
	}
	h.submit(Job{})
	h.Expect(h.nextOne().Upstream).To(gomega.Equal("fast"), "a small job")
	h.submit(Job{Tasks: 140})
	h.Expect(h.next()[0].Upstream).To(gomega.Equal("slow"), "a wide job")
}

// TestStandingQueueRefusesByOwnWait guards against a standing queue of wide jobs with late deadlines in which small
// jobs are refused that would be served before them.
func TestStandingQueueRefusesByOwnWait(t *testing.T) {
	h := newHarness(t, Config{}, up("u", 8))
	h.train(up("u", 8), "k", 200*time.Millisecond, Succeeded, 40)
	e := h.p.(*engine)
	wide := Job{Tasks: 140, Deadline: h.now.Add(time.Minute)}
	for range 4 {
		h.Expect(h.submit(wide)).To(gomega.BeNil())
	}
	h.next()
	e.kinds["k"].pool.standingQueue.standing = true
	h.Expect(h.submit(wide)).NotTo(gomega.BeNil(), "it would wait for more than 10 s")
	h.Expect(h.submit(Job{Deadline: h.now.Add(3 * time.Second)})).To(gomega.BeNil(), "it is served before the wide jobs")
}
