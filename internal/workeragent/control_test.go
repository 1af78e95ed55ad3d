package workeragent

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against work for an entry whose contact was lost while this process was paused: although links are checked only every
// 10 ms, the check comes before an event that arrived after the pause.
func TestPausedAgentStartsNothingForALostEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	a := &Agent{
		options: Options{ID: "agent-1", Log: &log.Logger{Handler: discard.Default}, Clock: clock.Boot{}, Metrics: NewMetrics()},
		events:  make(chan event, 8), done: make(chan struct{}),
	}
	c := newControl(a)
	now := a.options.Clock.Now()
	c.table.SetWorker(now, runs.Announcement{ID: "w", StartedMillis: 1, Sequence: 1, Service: "bench"})
	c.table.HandleSnapshot(now, now, runs.Snapshot{StartedMillis: 1})
	const entry = runs.Owner(1)
	c.owners[entry] = &owner{id: "entry-1", log: a.options.Log, echoedAt: now.Add(-runs.OwnerTimeout), idleInterval: runs.HeartbeatInterval}
	c.linksCheckedAt = now.Add(-time.Second)
	c.table.AddOffer(now, entry, wire.Offer{Number: 1, Job: "j", Service: "other", BudgetMillis: 1000})
	c.worker.polledAt, c.worker.lastPollOpen = now, true // no call to a worker in this test
	c.dispatch(nil)
	g.Expect(c.owners).To(gomega.BeEmpty())
	g.Expect(c.table.Idle()).To(gomega.BeTrue())
}

// newIdleControl returns the control state of an agent whose worker, of incarnation 1, has announced itself and answered a poll
// at the given time. It makes no call to the worker.
func newIdleControl(now time.Time) *control {
	a := &Agent{
		options: Options{ID: "agent-1", Log: &log.Logger{Handler: discard.Default}, Clock: clock.Boot{}, Metrics: NewMetrics(), MaxLease: time.Second},
		events:  make(chan event, 8), done: make(chan struct{}),
	}
	c := newControl(a)
	workerAnnounced{announcement: runs.Announcement{ID: "w", StartedMillis: 1, Sequence: 1, Service: "bench"}, applied: make(chan struct{})}.apply(c, now)
	pollAnswered{snapshot: runs.Snapshot{StartedMillis: 1, Clock: time.Hour}, sent: now}.apply(c, now)
	return c
}

// Guards against leases on the clock of a previous incarnation of the worker, which an answer that arrives late still shows.
func TestClockOfAPreviousIncarnationIsNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Boot{}.Now()
	c := newIdleControl(now)
	restarted := now.Add(time.Second)
	pollAnswered{snapshot: runs.Snapshot{StartedMillis: 2, Clock: time.Millisecond}, sent: restarted}.apply(c, restarted)
	startAnswered{clock: time.Hour, sent: now}.apply(c, restarted)
	pollAnswered{snapshot: runs.Snapshot{StartedMillis: 1, Clock: time.Hour}, sent: now}.apply(c, restarted)
	g.Expect(c.worker.workerClock).To(gomega.Equal(time.Millisecond))
	g.Expect(c.worker.incarnation).To(gomega.BeEquivalentTo(2))
	g.Expect(c.worker.leaseExpiry()).To(gomega.BeTemporally(">=", restarted.Add(c.agent.options.MaxLease)),
		"a renewal on the previous clock may have reached the new incarnation")
	startAnswered{clock: 5 * time.Millisecond, sent: restarted}.apply(c, restarted.Add(4*time.Millisecond))
	g.Expect(c.worker.workerClock).To(gomega.Equal(5 * time.Millisecond))
}
