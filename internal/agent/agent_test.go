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

// runningAgent is an agent under test.
type runningAgent struct {
	*agent.Agent
	stop  func()
	ended chan error
}

func runAgent(t testing.TB, upstreamURL string, entries []*testEntry, changes ...func(*agent.Options)) *runningAgent {
	t.Helper()
	base, err := url.Parse(upstreamURL)
	if err != nil {
		t.Fatal(err)
	}
	options := agent.Options{
		ID: "u1", DataCentre: "dc1", Services: []string{"bench"}, UpstreamURL: base, LinkToken: token,
		StopTimeout: 100 * time.Millisecond, Log: silentLog,
	}
	for _, e := range entries {
		options.Entries = append(options.Entries, e.address)
	}
	for _, change := range changes {
		change(&options)
	}
	a, err := agent.New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningAgent{Agent: a, stop: cancel, ended: make(chan error, 1)}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		r.ended <- a.Run(ctx)
	}()
	// An agent that is not stopped could connect to the entry of a later test on the same port.
	t.Cleanup(func() { cancel(); <-stopped })
	return r
}

// newUpstream starts a stand-in upstream that is stopped when the test ends.
func newUpstream(t testing.TB, faults upstream.Faults) *upstream.Server {
	t.Helper()
	s, err := upstream.New(upstream.Options{Name: "u1", Address: dedicatedHost + ":0", Faults: faults, StopTimeout: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return s
}

// gatedClient calls an upstream and withholds the answers until open is called, so that a task runs for as long as a test
// needs.
type gatedClient struct {
	agent.UpstreamClient
	opened chan struct{}
}

// newGatedClient returns a client for the upstream at a URL that withholds answers. It is opened at the end of the test.
func newGatedClient(t testing.TB, upstreamURL string) *gatedClient {
	t.Helper()
	g := &gatedClient{UpstreamClient: newHTTPUpstreamClient(t, upstreamURL, 2), opened: make(chan struct{})}
	t.Cleanup(g.open)
	return g
}

// Call implements agent.UpstreamClient.
func (g *gatedClient) Call(ctx context.Context, request agent.Request) (*agent.Response, error) {
	response, err := g.UpstreamClient.Call(ctx, request)
	select {
	case <-g.opened:
	case <-ctx.Done():
	}
	return response, err
}

func (g *gatedClient) open() {
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

// installInto makes an agent use the gated client.
func (g *gatedClient) installInto(o *agent.Options) { o.UpstreamClient = g }

// withWork sets the duration of the task at the stand-in upstream, in milliseconds.
func withWork(millis int) func(*wire.Start) {
	return func(s *wire.Start) {
		s.Headers = []wire.Header{{Name: upstream.HeaderWorkMillis, Value: strconv.Itoa(millis)}}
	}
}

// Guards against a start without a result and against an answer that belongs to another task.
func TestStartRunsAndReturnsTheAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntry(t, "e1")
	runAgent(t, u.URL(), []*testEntry{e})
	e.send(e.newStart(1, func(s *wire.Start) { s.Task, s.Path, s.Body = 3, "/run?x=1", []byte("payload") }))
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

// Guards against a second run of a task, and against a duplicate whose answer differs from the recorded one.
func TestSecondStartOfATaskReturnsTheRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntry(t, "e1")
	runAgent(t, u.URL(), []*testEntry{e})
	first := e.newStart(1)
	e.send(first)
	answer := e.waitResult(1).Body
	e.send(e.newStart(2, func(s *wire.Start) { s.Key = first.Key }))
	r := e.waitResult(2)
	g.Expect(r.Reason).To(gomega.Equal(wire.RefusedDuplicate))
	g.Expect(r.Recorded).To(gomega.Equal(wire.AttemptDone))
	g.Expect(r.Body).To(gomega.Equal(answer))
	g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(1))
}

// Guards against a wrong outcome when the upstream fails: only a refused connection may be reported as not started.
func TestFaultsOfTheUpstream(t *testing.T) {
	cases := []struct {
		name   string
		faults upstream.Faults
		change func(*wire.Start)
		state  wire.AttemptState
		reason wire.RefusalReason
		starts int
	}{
		{"down", upstream.Faults{Refuse: true}, withWork(0), wire.AttemptRefused, wire.RefusedUpstreamDown, 0},
		{"hangs", upstream.Faults{Hang: true}, func(s *wire.Start) { s.BudgetMillis = 200 }, wire.AttemptUnknown, 0, 1},
		{"resets after the work", upstream.Faults{Reset: true}, withWork(10), wire.AttemptUnknown, 0, 1},
		{"fails", upstream.Faults{Fail: true}, withWork(0), wire.AttemptDone, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			u := newUpstream(t, c.faults)
			e := newTestEntry(t, "e1")
			runAgent(t, u.URL(), []*testEntry{e})
			e.send(e.newStart(1, c.change))
			r := e.waitResult(1)
			g.Expect(r.State).To(gomega.Equal(c.state))
			g.Expect(r.Reason).To(gomega.Equal(c.reason))
			g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(c.starts))
			g.Expect(u.SetFaults(upstream.Faults{})).To(gomega.Succeed())
			e.send(e.newStart(2))
			g.Expect(e.waitResult(2).State).To(gomega.Equal(wire.AttemptDone), "tasks run again after the fault")
		})
	}
}

// Guards against a task that starts after it was cancelled or its deadline has passed, and against a cancellation that
// interrupts a running task.
func TestWaitingTasksAreCancelledAndExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntry(t, "e1")
	gate := newGatedClient(t, u.URL())
	runAgent(t, u.URL(), []*testEntry{e}, gate.installInto, func(o *agent.Options) { o.Slots, o.Queue = 1, 2 })
	e.send(&wire.Cancel{Attempts: []uint64{5}})
	e.send(e.newStart(1))
	e.send(e.newStart(2))
	e.send(e.newStart(3, func(s *wire.Start) { s.BudgetMillis = 150 }))
	e.send(e.newStart(4))
	e.send(e.newStart(5))
	e.send(&wire.Cancel{Attempts: []uint64{1, 2}})
	g.Expect(e.waitResult(4).Reason).To(gomega.Equal(wire.RefusedBusy))
	g.Expect(e.waitResult(2).Reason).To(gomega.Equal(wire.RefusedCancelled))
	g.Expect(e.waitResult(3).Reason).To(gomega.Equal(wire.RefusedExpired))
	g.Expect(e.waitResult(5).Reason).To(gomega.Equal(wire.RefusedCancelled))
	g.Eventually(func() []*wire.Accepted { return receivedMessages[*wire.Accepted](e) }, 5*time.Second).ShouldNot(gomega.BeEmpty())
	gate.open()
	g.Expect(e.waitResult(1).State).To(gomega.Equal(wire.AttemptDone))
	g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(1))
	g.Expect(receivedMessages[*wire.Accepted](e)[0].Attempts).To(gomega.ContainElement(uint64(1)))
}
