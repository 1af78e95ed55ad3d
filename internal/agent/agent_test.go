package agent_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/agent"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/upstream"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// running is an agent under test.
type running struct {
	*agent.Agent
	stop  func()
	ended chan error
}

func runAgent(t testing.TB, upstreamURL string, entries []*testEntry, change ...func(*agent.Options)) *running {
	t.Helper()
	base, err := url.Parse(upstreamURL)
	if err != nil {
		t.Fatal(err)
	}
	options := agent.Options{
		ID: "u1", DataCentre: "dc1", Services: []string{"bench"}, Upstream: base, LinkToken: token,
		StopTimeout: 100 * time.Millisecond, Log: silentLog,
	}
	for _, e := range entries {
		options.Entries = append(options.Entries, e.address)
	}
	for _, c := range change {
		c(&options)
	}
	a, err := agent.New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Agent: a, stop: cancel, ended: make(chan error, 1)}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		r.ended <- a.Run(ctx)
	}()
	// An agent that goes on to dial would reach a later test that got the same port.
	t.Cleanup(func() { cancel(); <-gone })
	return r
}

// newUpstream returns a stand-in upstream that is stopped with the test.
func newUpstream(t testing.TB, faults upstream.Faults) *upstream.Server {
	t.Helper()
	s, err := upstream.New(upstream.Options{Name: "u1", Address: ownHost + ":0", Faults: faults, StopTimeout: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return s
}

// gate is the call to an upstream whose answers the agent gets only after open, so that a task runs for as long as a test
// needs.
type gate struct {
	agent.Upstream
	opened chan struct{}
}

// newGate returns a closed gate before the upstream at a URL. It is opened at the end of the test at the latest.
func newGate(t testing.TB, upstreamURL string) *gate {
	t.Helper()
	g := &gate{Upstream: httpUpstream(t, upstreamURL, 2), opened: make(chan struct{})}
	t.Cleanup(g.open)
	return g
}

// Call implements agent.Upstream.
func (g *gate) Call(ctx context.Context, request agent.Request) (*agent.Response, error) {
	response, err := g.Upstream.Call(ctx, request)
	select {
	case <-g.opened:
	case <-ctx.Done():
	}
	return response, err
}

func (g *gate) open() {
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

// install makes an agent call the upstream through the gate.
func (g *gate) install(o *agent.Options) { o.Caller = g }

// work makes the task take that many milliseconds at the stand-in.
func work(millis int) func(*wire.Start) {
	return func(s *wire.Start) {
		s.Headers = []wire.Header{{Name: upstream.HeaderWork, Value: strconv.Itoa(millis)}}
	}
}

// Guards against a broken path from start to result and against an answer that belongs to another task.
func TestStartRunsAndReturnsTheAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntry(t, "e1")
	runAgent(t, u.URL(), []*testEntry{e})
	e.send(e.start(1, func(s *wire.Start) { s.Task, s.Path, s.Body = 3, "/run?x=1", []byte("payload") }))
	r := e.waitResult(1)
	g.Expect(r.State).To(gomega.Equal(wire.AttemptDone))
	g.Expect(r.Status).To(gomega.BeEquivalentTo(http.StatusOK))
	var answer upstream.Answer
	g.Expect(json.Unmarshal(r.Body, &answer)).To(gomega.Succeed())
	g.Expect(answer.Task).To(gomega.Equal("31010000000000000000000000000000/3"))
	g.Expect(answer.Path).To(gomega.Equal("/run?x=1"))
	g.Expect(answer.Attempt).To(gomega.Equal("1"))
	g.Expect(answer.BodyBytes).To(gomega.Equal(len("payload")))
}

// Guards against a task of one submission that starts twice, and against a second answer that differs from the first.
func TestSecondStartOfATaskReturnsTheRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntry(t, "e1")
	runAgent(t, u.URL(), []*testEntry{e})
	first := e.start(1)
	e.send(first)
	answer := e.waitResult(1).Body
	e.send(e.start(2, func(s *wire.Start) { s.Key = first.Key }))
	r := e.waitResult(2)
	g.Expect(r.Reason).To(gomega.Equal(wire.RefusedDuplicate))
	g.Expect(r.Recorded).To(gomega.Equal(wire.AttemptDone))
	g.Expect(r.Body).To(gomega.Equal(answer))
	g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(1))
}

// Guards against an untrue outcome when the upstream misbehaves: only a refused connection is "not started".
func TestFaultsOfTheUpstream(t *testing.T) {
	cases := []struct {
		name   string
		faults upstream.Faults
		change func(*wire.Start)
		state  wire.AttemptState
		reason wire.RefusalReason
		starts int
	}{
		{"down", upstream.Faults{Refuse: true}, work(0), wire.AttemptRefused, wire.RefusedDown, 0},
		{"hangs", upstream.Faults{Hang: true}, func(s *wire.Start) { s.BudgetMillis = 200 }, wire.AttemptUnknown, 0, 1},
		{"resets after the work", upstream.Faults{Reset: true}, work(10), wire.AttemptUnknown, 0, 1},
		{"fails", upstream.Faults{Fail: true}, work(0), wire.AttemptDone, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			u := newUpstream(t, c.faults)
			e := newTestEntry(t, "e1")
			runAgent(t, u.URL(), []*testEntry{e})
			e.send(e.start(1, c.change))
			r := e.waitResult(1)
			g.Expect(r.State).To(gomega.Equal(c.state))
			g.Expect(r.Reason).To(gomega.Equal(c.reason))
			g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(c.starts))
			g.Expect(u.SetFaults(upstream.Faults{})).To(gomega.Succeed())
			e.send(e.start(2))
			g.Expect(e.waitResult(2).State).To(gomega.Equal(wire.AttemptDone), "the agent recovers with the upstream")
		})
	}
}

// Guards against a cancelled or late task that starts all the same, and against a cancelled one that interrupts a
// running one.
func TestWaitingTasksAreCancelledAndExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntry(t, "e1")
	gate := newGate(t, u.URL())
	runAgent(t, u.URL(), []*testEntry{e}, gate.install, func(o *agent.Options) { o.Slots, o.Queue = 1, 2 })
	e.send(&wire.Cancel{Attempts: []uint64{5}})
	e.send(e.start(1))
	e.send(e.start(2))
	e.send(e.start(3, func(s *wire.Start) { s.BudgetMillis = 150 }))
	e.send(e.start(4))
	e.send(e.start(5))
	e.send(&wire.Cancel{Attempts: []uint64{1, 2}})
	g.Expect(e.waitResult(4).Reason).To(gomega.Equal(wire.RefusedBusy))
	g.Expect(e.waitResult(2).Reason).To(gomega.Equal(wire.RefusedCancelled))
	g.Expect(e.waitResult(3).Reason).To(gomega.Equal(wire.RefusedExpired))
	g.Expect(e.waitResult(5).Reason).To(gomega.Equal(wire.RefusedCancelled))
	g.Eventually(func() []*wire.Accepted { return received[*wire.Accepted](e) }, 5*time.Second).ShouldNot(gomega.BeEmpty())
	gate.open()
	g.Expect(e.waitResult(1).State).To(gomega.Equal(wire.AttemptDone))
	g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(1))
	g.Expect(received[*wire.Accepted](e)[0].Attempts).To(gomega.ContainElement(uint64(1)))
}
