package jobentry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/catalog"
	"github.com/coltsfootspur/coltsfootspur/internal/clock"
)

// Guards against an entry that accepts more connections than its CPU can serve: it serves its links too late, loses them,
// and with them all its jobs.
func TestEntryThatDoesNotKeepUp(t *testing.T) {
	g := gomega.NewWithT(t)
	var o overload
	now := time.Unix(1000, 0)
	ticks := func(n int, interval time.Duration) {
		for range n {
			now = now.Add(interval)
			o.recordTick(now)
		}
	}
	ticks(50, tickInterval)
	g.Expect(o.acceptPaused.Load()).To(gomega.BeFalse())
	ticks(1, 5*time.Second)
	g.Expect(o.acceptPaused.Load()).To(gomega.BeFalse(), "a single pause of any length is no overload")
	ticks(10, 120*time.Millisecond)
	g.Expect(o.acceptPaused.Load()).To(gomega.BeTrue())
	g.Expect(o.busy.Load()).To(gomega.BeTrue())
	ticks(25, tickInterval)
	g.Expect(o.acceptPaused.Load()).To(gomega.BeFalse(), "waiting connections are accepted as soon as the lag is low")
	g.Expect(o.busy.Load()).To(gomega.BeTrue(), "the entry is ready only after the recovery time")
	ticks(125, tickInterval)
	g.Expect(o.busy.Load()).To(gomega.BeFalse())
}

// Guards against an entry whose control loop hangs and that stays ready: the load balancer would go on to send it connections,
// none of which it serves.
func TestHungEntryIsNotReady(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.NewFake(time.Unix(1000, 0))
	e := &Entry{options: Options{Clock: now}}
	e.catalog.Store(&catalog.Catalog{})
	e.availableAgents.Store(1)
	e.overload.recordTick(now.Now())
	g.Expect(e.Ready()).To(gomega.BeTrue())
	now.Advance(200 * time.Millisecond)
	g.Expect(e.Ready()).To(gomega.BeTrue(), "a pause of the process is no hang")
	now.Advance(300 * time.Millisecond)
	g.Expect(e.Ready()).To(gomega.BeFalse())
	e.overload.recordTick(now.Now())
	g.Expect(e.Ready()).To(gomega.BeTrue())
}
