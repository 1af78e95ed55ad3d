package agent_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/agent"
	"github.com/coltsfootspur/coltsfootspur/internal/link"
	"github.com/coltsfootspur/coltsfootspur/internal/standin/upstream"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against an answer that is lost because its link was cut, or because the entry was away when it was ready.
func TestAnswerSurvivesACutLink(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntryAt(t, "e1", ownHost)
	gate := newGate(t, u.URL())
	runAgent(t, u.URL(), []*testEntry{e}, gate.install)
	e.send(e.start(1))
	g.Eventually(func() uint64 { return u.Counters().Starts }, 5*time.Second, time.Millisecond).Should(gomega.BeEquivalentTo(1))
	e.cut()
	g.Eventually(e.open, 5*time.Second, time.Millisecond).Should(gomega.BeEmpty())
	e.send(&wire.Query{Attempts: []uint64{1}})
	g.Eventually(func() []*wire.QueryReply { return received[*wire.QueryReply](e) }, 5*time.Second).Should(gomega.HaveLen(1))
	g.Expect(received[*wire.QueryReply](e)[0].Running).To(gomega.Equal([]uint64{1}))
	e.close()
	g.Eventually(func() uint64 { return u.Counters().Answered }, 5*time.Second).Should(gomega.BeEquivalentTo(1))
	gate.open()
	time.Sleep(20 * time.Millisecond) // the agent has the answer and no link to send it on
	g.Expect(e.result(1)).To(gomega.BeNil())
	e.listen(e.address)
	e.send(&wire.Query{Attempts: []uint64{1, 2}})
	g.Expect(e.waitResult(1).State).To(gomega.Equal(wire.AttemptDone))
	g.Expect(e.waitResult(2).State).To(gomega.Equal(wire.AttemptNeverSeen))
	e.send(e.start(2))
	e.send(e.start(3))
	e.waitResult(3)
	g.Expect(e.result(2).State).To(gomega.Equal(wire.AttemptNeverSeen), "what was reported as never seen does not start")
	g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(2))
}

// mutableDialer opens connections that can go silent while new ones work.
type mutableDialer struct {
	link.WebSocketDialer
	mu    sync.Mutex
	muted chan struct{}
}

func (d *mutableDialer) Dial(ctx context.Context, address string) (link.Conn, error) {
	conn, err := d.WebSocketDialer.Dial(ctx, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	return &mutableConn{conn, d.muted}, err
}

// mute silences the connections that are open.
func (d *mutableDialer) mute() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.muted)
	d.muted = make(chan struct{})
}

type mutableConn struct {
	link.Conn
	muted chan struct{}
}

func (c *mutableConn) silent() bool {
	select {
	case <-c.muted:
		return true
	default:
		return false
	}
}

func (c *mutableConn) ReadFrame(ctx context.Context) ([]byte, error) {
	for {
		frame, err := c.Conn.ReadFrame(ctx)
		if err != nil || !c.silent() {
			return frame, err
		}
	}
}

func (c *mutableConn) WriteFrame(ctx context.Context, frame []byte) error {
	if c.silent() {
		return nil
	}
	return c.Conn.WriteFrame(ctx, frame)
}

// Guards against an answer that is lost on a link that went silent. The agent finds the silence by its heartbeats, after
// 6 s, and dials again.
func TestAnswerSurvivesASilentLink(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntry(t, "e1")
	d := &mutableDialer{WebSocketDialer: link.WebSocketDialer{Token: token}, muted: make(chan struct{})}
	gate := newGate(t, u.URL())
	runAgent(t, u.URL(), []*testEntry{e}, gate.install, func(o *agent.Options) { o.Dialer = d })
	e.send(e.start(1, func(s *wire.Start) { s.BudgetMillis = 30_000 }))
	g.Eventually(func() uint64 { return u.Counters().Starts }, 5*time.Second, time.Millisecond).Should(gomega.BeEquivalentTo(1))
	d.mute()
	gate.open()
	g.Eventually(e.hello, 15*time.Second).Should(gomega.HaveLen(2))
	g.Expect(e.result(1)).To(gomega.BeNil())
	g.Eventually(func() *wire.Result {
		e.send(&wire.Query{Attempts: []uint64{1}})
		time.Sleep(20 * time.Millisecond)
		return e.result(1)
	}, 8*time.Second).ShouldNot(gomega.BeNil())
	g.Expect(e.result(1).State).To(gomega.Equal(wire.AttemptDone))
	g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(1))
}

func members(version uint64, entries ...*testEntry) *wire.EntryList {
	list := &wire.EntryList{Version: version}
	for _, e := range entries {
		list.Members = append(list.Members, wire.Member{
			ID: e.id, Incarnation: e.incarnation, Address: e.address, State: wire.MemberActive,
		})
	}
	return list
}

func keyed(version uint64) func(*wire.Start) {
	return func(s *wire.Start) { s.ListVersion = version }
}

// Guards against tasks of an expelled entry that start after another entry has taken over its keys, and against records
// that do not reach that entry.
func TestExpelledEntryIsFenced(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e1, e2 := newTestEntry(t, "e1"), newTestEntry(t, "e2")
	e1.list = members(5, e1, e2)
	gate := newGate(t, u.URL())
	runAgent(t, u.URL(), []*testEntry{e1}, gate.install, func(o *agent.Options) { o.Slots, o.Queue = 1, 2 })
	e2.waitLinked() // learned from the list
	e2.send(e2.start(1, keyed(4)))
	g.Expect(e2.waitResult(1).Reason).To(gomega.Equal(wire.RefusedStaleList))
	g.Expect(e2.waitResult(1).List.Version).To(gomega.BeEquivalentTo(5))
	e2.send(e2.start(2, keyed(5)))
	e2.send(e2.start(3, keyed(5)))
	g.Eventually(func() []uint64 {
		var attempts []uint64
		for _, m := range received[*wire.Accepted](e2) {
			attempts = append(attempts, m.Attempts...)
		}
		return attempts
	}, 5*time.Second, time.Millisecond).Should(gomega.ConsistOf(uint64(2), uint64(3)))
	g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(1))
	list := members(6, e1)
	list.Departed = []wire.Departed{{ID: "e2", Incarnation: e2.incarnation, AtVersion: 6}}
	e1.send(&wire.Collect{List: list, Expelled: "e2", ExpelledIncarnation: e2.incarnation})
	g.Expect(e2.waitResult(3).Reason).To(gomega.Equal(wire.RefusedFenced))
	g.Eventually(func() []*wire.Records { return received[*wire.Records](e1) }, 5*time.Second).Should(gomega.HaveLen(1))
	keys := received[*wire.Records](e1)[0].Keys
	g.Expect(keys).To(gomega.HaveLen(1), "the running task only; the refused one may run elsewhere")
	g.Expect(keys[0].Key).To(gomega.Equal(e2.start(2).Key))
	gate.open()
	e2.send(e2.start(4, keyed(6)))
	g.Expect(e2.waitResult(4).Reason).To(gomega.Equal(wire.RefusedFenced))
	e2.send(e2.start(5))
	g.Expect(e2.waitResult(5).State).To(gomega.Equal(wire.AttemptDone), "a job without a key is not fenced")
}

// Guards against an agent that keeps dialling an entry that left cleanly, or that gives up one that was expelled.
func TestDiallersFollowTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	e1, e2, e3 := newTestEntry(t, "e1"), newTestEntry(t, "e2"), newTestEntry(t, "e3")
	e1.list = members(1, e1, e2, e3)
	alias := strings.Replace(e1.address, "127.0.0.1", "localhost", 1)
	runAgent(t, "http://127.0.0.1:1", nil, func(o *agent.Options) { o.Entries = []string{alias} })
	g.Eventually(e1.open, 5*time.Second).Should(gomega.HaveLen(2))
	for _, l := range e1.open() { // the order of open does not tell which link came first
		if l.Peer().Hello.ListVersion == 0 {
			l.Close(link.ErrClosed) // the link to the configured address; the other one stays
		}
	}
	e2.waitLinked()
	e3.waitLinked()
	list := members(2, e1)
	list.Departed = []wire.Departed{{ID: "e2", Incarnation: e2.incarnation, Clean: true}, {ID: "e3", Incarnation: e3.incarnation}}
	e1.send(list)
	e3.send(e3.start(1, keyed(1)))
	g.Eventually(func() wire.RefusalReason {
		e1.send(e1.start(2, keyed(1)))
		return e1.waitResult(2).Reason
	}, 5*time.Second).Should(gomega.Equal(wire.RefusedStaleList))
	e2.cut()
	e3.cut()
	g.Eventually(e3.hello, 8*time.Second).Should(gomega.HaveLen(2))
	g.Expect(e3.hello()[1].ListVersion).To(gomega.BeEquivalentTo(2))
	g.Consistently(e2.hello, 300*time.Millisecond).Should(gomega.HaveLen(1))
	g.Expect(e1.hello()).To(gomega.HaveLen(2), "one link to an entry with two addresses")
}

// Guards against tasks that run under an outdated document although the newer one is at hand, and against tasks that
// wait for a document without bound.
func TestStartWaitsForItsDocument(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntry(t, "e1")
	runAgent(t, u.URL(), []*testEntry{e})
	const minimal = "service: bench\nteam: wax\nkinds:\n  - name: wax\n"
	revision := func(r uint64) func(*wire.Start) { return func(s *wire.Start) { s.DocumentRevision = r } }
	began := time.Now()
	e.send(e.start(1, revision(2)))
	g.Expect(e.waitResult(1).State).To(gomega.Equal(wire.AttemptDone))
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 150*time.Millisecond))
	g.Expect(received[*wire.DocumentPull](e)).NotTo(gomega.BeEmpty())
	e.send(e.start(2, revision(2), work(50)))
	e.send(e.start(3, revision(2), work(50)))
	e.send(&wire.DocumentPush{Service: "bench", Revision: 2, Body: []byte(minimal + "slots: 1\nshort_slots: 0\n")})
	e.send(&wire.DocumentPush{Service: "bench", Revision: 1, Body: []byte(minimal + "slots: 5\n")})
	e.waitResult(2)
	e.waitResult(3)
	g.Expect(u.Counters().MaxRunning).To(gomega.Equal(1), "the limit of revision 2 is in force")
}
