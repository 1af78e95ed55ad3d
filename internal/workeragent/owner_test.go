package workeragent

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/coltsfootspur/coltsfootspur/internal/clock"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Guards against dropping an entry that sends heartbeats at the long interval of an idle link, and against runs that outlive
// the contact to a busy one.
func TestSilenceOfAnEntryDependsOnItsOpenOffers(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	o := &owner{echoedAt: now, idleInterval: runs.MaxIdleHeartbeatInterval}
	later := now.Add(runs.OwnerTimeout)
	g.Expect(o.silence(later)).To(gomega.BeNumerically(">=", o.timeout(true)))
	g.Expect(o.silence(later)).To(gomega.BeNumerically("<", o.timeout(false)))
	o.idleEndedAt = later
	g.Expect(o.silence(later.Add(runs.OwnerTimeout-1))).To(gomega.BeNumerically("<", o.timeout(true)), "the silence counts from the first offer")
	g.Expect(o.silence(later.Add(runs.OwnerTimeout))).To(gomega.BeNumerically(">=", o.timeout(true)))
	g.Expect(o.heartbeatInterval(true)).To(gomega.Equal(runs.HeartbeatInterval))
	g.Expect(o.heartbeatInterval(false)).To(gomega.Equal(runs.MaxIdleHeartbeatInterval))
}

// Guards against a silence that counts from the arrival of a delayed offer: the entry computes the end of the runs from the
// time at which it sent the offer.
func TestExcessDelayOfAMessage(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := clock.Boot{}.Now()
	o := &owner{}
	g.Expect(o.excessDelay(sent.Add(5*time.Millisecond), clock.BootMicros(sent))).To(gomega.BeZero(), "the first message is the fastest so far")
	delayed := o.excessDelay(sent.Add(305*time.Millisecond), clock.BootMicros(sent))
	g.Expect(delayed).To(gomega.BeNumerically("~", 300*time.Millisecond, time.Millisecond))
}

// Guards against a report of any size after a link was broken or a worker has announced very many labels, and against an end or
// a load that is lost when the report is split.
func TestLargeReportsAreSplit(t *testing.T) {
	g := gomega.NewWithT(t)
	report := wire.RunReport{SentMicros: 7, Load: &wire.WorkerLoad{Seen: 500}, Info: &wire.WorkerInfo{}}
	report.Info.Labels = boundLabels(make([]string, 100_000))
	for i := range maxRecentEnds {
		report.Ends = append(report.Ends, wire.RunEnd{Number: uint64(i), Outcome: wire.RunNotStarted, Reason: strings.Repeat("x", 230)})
	}
	parts, next := splitReport(report), uint64(0)
	for i, part := range parts {
		frame, err := wire.Encode(&part)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(len(frame)).To(gomega.BeNumerically("<=", 16<<10))
		g.Expect(part.Load != nil && part.Info != nil).To(gomega.Equal(i == len(parts)-1))
		for _, end := range part.Ends {
			g.Expect(end.Number).To(gomega.Equal(next))
			next++
		}
	}
	g.Expect(next).To(gomega.BeEquivalentTo(maxRecentEnds))
}
