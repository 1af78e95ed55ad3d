package jobentry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
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
