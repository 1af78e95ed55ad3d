package jobentry

import (
	"time"

	"github.com/apex/log"

	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
)

const (
	// sharesCheckInterval is the interval at which refusals by share are looked for, for the log.
	sharesCheckInterval = 250 * time.Millisecond
	// refusalsOverAfter is the time without a refusal by share after which a peak counts as over.
	refusalsOverAfter = 2 * time.Second
)

// peak is a time in which jobs of a service are refused by share.
type peak struct {
	isOpen                     bool
	since, lastRefusal         time.Time
	refusedBefore, refusedLast int64 // jobs refused by share before the peak and at the last check
}

// logShares logs the begin and the end of a peak of each service.
func (c *control) logShares(now time.Time) {
	if now.Sub(c.sharesCheckedAt) < sharesCheckInterval {
		return
	}
	c.sharesCheckedAt = now
	shares := c.scheduler.Shares()
	c.entry.options.Metrics.Shares.Store(&shares)
	for _, s := range shares {
		if c.peaks[s.Service] == nil {
			c.peaks[s.Service] = new(peak)
		}
		c.logPeak(now, c.peaks[s.Service], s)
	}
}

func (c *control) logPeak(now time.Time, p *peak, s scheduler.ShareSummary) {
	refused := int64(0)
	for _, n := range s.Refused {
		refused += n
	}
	before := p.refusedLast
	p.refusedLast = refused
	fields := log.Fields{
		"service": s.Service, "demand_milli_cpu": s.DemandMilliCPU, "capacity_milli_cpu": s.CapacityMilliCPU, "utilisation": s.Utilisation,
		"admitted": s.Admitted, "borrowed": s.Borrowed,
	}
	switch {
	case refused > before:
		p.lastRefusal = now
		if !p.isOpen {
			p.isOpen, p.since, p.refusedBefore = true, now, before
			c.log.WithFields(fields).Warn("entry: demand exceeds the capacity, jobs are refused by share")
		}
	case p.isOpen && now.Sub(p.lastRefusal) >= refusalsOverAfter:
		p.isOpen = false
		fields["refused"], fields["lasted_ms"] = refused-p.refusedBefore, p.lastRefusal.Sub(p.since).Milliseconds()
		c.log.WithFields(fields).Info("entry: no jobs are refused by share any more")
	}
}
