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

// Guards against an answer that is lost because its link was closed, or because the entry was down when it was ready.
func TestAnswerSurvivesACutLink(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntryAt(t, "e1", dedicatedHost)
	gate := newGatedClient(t, u.URL())
	runAgent(t, u.URL(), []*testEntry{e}, gate.installInto)
	e.send(e.newStart(1))
	g.Eventually(func() uint64 { return u.Counters().Starts }, 5*time.Second, time.Millisecond).Should(gomega.BeEquivalentTo(1))
	e.closeLinks()
	g.Eventually(e.openLinks, 5*time.Second, time.Millisecond).Should(gomega.BeEmpty())
	e.send(&wire.Query{Attempts: []uint64{1}})
	g.Eventually(func() []*wire.QueryReply { return receivedMessages[*wire.QueryReply](e) }, 5*time.Second).Should(gomega.HaveLen(1))
	g.Expect(receivedMessages[*wire.QueryReply](e)[0].Running).To(gomega.Equal([]uint64{1}))
	e.close()
	g.Eventually(func() uint64 { return u.Counters().Answered }, 5*time.Second).Should(gomega.BeEquivalentTo(1))
	gate.open()
	time.Sleep(20 * time.Millisecond) // the agent gets the answer while it has no link
	g.Expect(e.result(1)).To(gomega.BeNil())
	e.listen(e.address)
	e.send(&wire.Query{Attempts: []uint64{1, 2}})
	g.Expect(e.waitResult(1).State).To(gomega.Equal(wire.AttemptDone))
	g.Expect(e.waitResult(2).State).To(gomega.Equal(wire.AttemptNeverSeen))
	e.send(e.newStart(2))
	e.send(e.newStart(3))
	e.waitResult(3)
	g.Expect(e.result(2).State).To(gomega.Equal(wire.AttemptNeverSeen), "an attempt that was reported as never seen does not start")
	g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(2))
}

// silenceableDialer opens connections that can be silenced: they stay open but drop all frames in both directions.
type silenceableDialer struct {
	link.WebSocketDialer
	mu       sync.Mutex
	silenced chan struct{}
}

func (d *silenceableDialer) Dial(ctx context.Context, address string) (link.Conn, error) {
	conn, err := d.WebSocketDialer.Dial(ctx, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	return &silenceableConn{conn, d.silenced}, err
}

// silenceOpenConnections silences the connections that were opened so far. Later ones are not affected.
func (d *silenceableDialer) silenceOpenConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

type silenceableConn struct {
	link.Conn
	silenced chan struct{}
}

func (c *silenceableConn) isSilenced() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

func (c *silenceableConn) ReadFrame(ctx context.Context) ([]byte, error) {
	for {
		frame, err := c.Conn.ReadFrame(ctx)
		if err != nil || !c.isSilenced() {
			return frame, err
		}
	}
}

func (c *silenceableConn) WriteFrame(ctx context.Context, frame []byte) error {
	if c.isSilenced() {
		return nil
	}
	return c.Conn.WriteFrame(ctx, frame)
}

// Guards against an answer that is lost on a link that drops all messages. The heartbeats detect this after 6 s, and the
// agent dials again.
func TestAnswerSurvivesASilentLink(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntry(t, "e1")
	dialer := &silenceableDialer{WebSocketDialer: link.WebSocketDialer{Token: token}, silenced: make(chan struct{})}
	gate := newGatedClient(t, u.URL())
	runAgent(t, u.URL(), []*testEntry{e}, gate.installInto, func(o *agent.Options) { o.Dialer = dialer })
	e.send(e.newStart(1, func(s *wire.Start) { s.BudgetMillis = 30_000 }))
	g.Eventually(func() uint64 { return u.Counters().Starts }, 5*time.Second, time.Millisecond).Should(gomega.BeEquivalentTo(1))
	dialer.silenceOpenConnections()
	gate.open()
	g.Eventually(e.receivedHellos, 15*time.Second).Should(gomega.HaveLen(2))
	g.Expect(e.result(1)).To(gomega.BeNil())
	g.Eventually(func() *wire.Result {
		e.send(&wire.Query{Attempts: []uint64{1}})
		time.Sleep(20 * time.Millisecond)
		return e.result(1)
	}, 8*time.Second).ShouldNot(gomega.BeNil())
	g.Expect(e.result(1).State).To(gomega.Equal(wire.AttemptDone))
	g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(1))
}

func memberList(version uint64, entries ...*testEntry) *wire.EntryList {
	list := &wire.EntryList{Version: version}
	for _, e := range entries {
		list.Members = append(list.Members, wire.Member{
			ID: e.id, Incarnation: e.incarnation, Address: e.address, State: wire.MemberActive,
		})
	}
	return list
}

func withListVersion(version uint64) func(*wire.Start) {
	return func(s *wire.Start) { s.ListVersion = version }
}

// Guards against tasks of an expelled entry that start after another entry has taken over its keys, and against start
// records that are not sent to that other entry.
func TestExpelledEntryIsFenced(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e1, e2 := newTestEntry(t, "e1"), newTestEntry(t, "e2")
	e1.list = memberList(5, e1, e2)
	gate := newGatedClient(t, u.URL())
	runAgent(t, u.URL(), []*testEntry{e1}, gate.installInto, func(o *agent.Options) { o.Slots, o.Queue = 1, 2 })
	e2.waitLinked() // its address is in the list of entries
	e2.send(e2.newStart(1, withListVersion(4)))
	g.Expect(e2.waitResult(1).Reason).To(gomega.Equal(wire.RefusedStaleList))
	g.Expect(e2.waitResult(1).List.Version).To(gomega.BeEquivalentTo(5))
	e2.send(e2.newStart(2, withListVersion(5)))
	e2.send(e2.newStart(3, withListVersion(5)))
	g.Eventually(func() []uint64 {
		var attempts []uint64
		for _, m := range receivedMessages[*wire.Accepted](e2) {
			attempts = append(attempts, m.Attempts...)
		}
		return attempts
	}, 5*time.Second, time.Millisecond).Should(gomega.ConsistOf(uint64(2), uint64(3)))
	g.Expect(u.Counters().Starts).To(gomega.BeEquivalentTo(1))
	list := memberList(6, e1)
	list.Departed = []wire.Departed{{ID: "e2", Incarnation: e2.incarnation, AtVersion: 6}}
	e1.send(&wire.Collect{List: list, Expelled: "e2", ExpelledIncarnation: e2.incarnation})
	g.Expect(e2.waitResult(3).Reason).To(gomega.Equal(wire.RefusedFenced))
	g.Eventually(func() []*wire.Records { return receivedMessages[*wire.Records](e1) }, 5*time.Second).Should(gomega.HaveLen(1))
	keys := receivedMessages[*wire.Records](e1)[0].Keys
	g.Expect(keys).To(gomega.HaveLen(1), "only the running task is listed; the refused one may run elsewhere")
	g.Expect(keys[0].Key).To(gomega.Equal(e2.newStart(2).Key))
	gate.open()
	e2.send(e2.newStart(4, withListVersion(6)))
	g.Expect(e2.waitResult(4).Reason).To(gomega.Equal(wire.RefusedFenced))
	e2.send(e2.newStart(5))
	g.Expect(e2.waitResult(5).State).To(gomega.Equal(wire.AttemptDone), "a job without an idempotency key is not fenced")
}

// Guards against an agent that keeps dialling an entry that left cleanly, or that stops dialling an expelled one at once.
func TestDiallersFollowTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	e1, e2, e3 := newTestEntry(t, "e1"), newTestEntry(t, "e2"), newTestEntry(t, "e3")
	e1.list = memberList(1, e1, e2, e3)
	alias := strings.Replace(e1.address, "127.0.0.1", "localhost", 1)
	runAgent(t, "http://127.0.0.1:1", nil, func(o *agent.Options) { o.Entries = []string{alias} })
	g.Eventually(e1.openLinks, 5*time.Second).Should(gomega.HaveLen(2))
	for _, l := range e1.openLinks() { // openLinks does not return the links in the order of their handshakes
		if l.Peer().Hello.ListVersion == 0 {
			l.Close(link.ErrClosed) // the link to the configured address; the other one stays open
		}
	}
	e2.waitLinked()
	e3.waitLinked()
	list := memberList(2, e1)
	list.Departed = []wire.Departed{{ID: "e2", Incarnation: e2.incarnation, Clean: true}, {ID: "e3", Incarnation: e3.incarnation}}
	e1.send(list)
	e3.send(e3.newStart(1, withListVersion(1)))
	g.Eventually(func() wire.RefusalReason {
		e1.send(e1.newStart(2, withListVersion(1)))
		return e1.waitResult(2).Reason
	}, 5*time.Second).Should(gomega.Equal(wire.RefusedStaleList))
	e2.closeLinks()
	e3.closeLinks()
	g.Eventually(e3.receivedHellos, 8*time.Second).Should(gomega.HaveLen(2))
	g.Expect(e3.receivedHellos()[1].ListVersion).To(gomega.BeEquivalentTo(2))
	g.Consistently(e2.receivedHellos, 300*time.Millisecond).Should(gomega.HaveLen(1))
	g.Expect(e1.receivedHellos()).To(gomega.HaveLen(2), "one link to an entry with two addresses")
}

// Guards against tasks that run under an outdated document although the newer one arrives in time, and against tasks that
// wait for a document indefinitely.
func TestStartWaitsForItsDocument(t *testing.T) {
	g := gomega.NewWithT(t)
	u := newUpstream(t, upstream.Faults{})
	e := newTestEntry(t, "e1")
	runAgent(t, u.URL(), []*testEntry{e})
	const minimal = "service: bench\nteam: wax\nkinds:\n  - name: wax\n"
	withRevision := func(r uint64) func(*wire.Start) { return func(s *wire.Start) { s.DocumentRevision = r } }
	sentAt := time.Now()
	e.send(e.newStart(1, withRevision(2)))
	g.Expect(e.waitResult(1).State).To(gomega.Equal(wire.AttemptDone))
	g.Expect(time.Since(sentAt)).To(gomega.BeNumerically(">=", 150*time.Millisecond))
	g.Expect(receivedMessages[*wire.DocumentPull](e)).NotTo(gomega.BeEmpty())
	e.send(e.newStart(2, withRevision(2), withWork(50)))
	e.send(e.newStart(3, withRevision(2), withWork(50)))
	e.send(&wire.DocumentPush{Service: "bench", Revision: 2, Body: []byte(minimal + "slots: 1\nshort_slots: 0\n")})
	e.send(&wire.DocumentPush{Service: "bench", Revision: 1, Body: []byte(minimal + "slots: 5\n")})
	e.waitResult(2)
	e.waitResult(3)
	g.Expect(u.Counters().MaxRunning).To(gomega.Equal(1), "the limit of revision 2 applies")
}
