package dispatch

// Parameters of the price of a slot.
const (
	// maxSlotPrice is the price of a typical slot, in typical service times, for the widest job while no upstream has a
	// free slot. A lower price lets wide jobs take the fast slots; a higher one makes them wait for longer than small
	// jobs gain. docs/measurements.md compares it with no price and with 32.
	maxSlotPrice = 16
	// halfPriceWork is the work of a job, in tasks of the mean service time of all kinds, at which the share that the
	// price is computed from is one half.
	halfPriceWork = 8
	// slowServiceFactor times the typical service time is the service time above which a slot counts with the value of
	// a typical one. Otherwise its low value would attract wide jobs to a slot that is far too slow.
	slowServiceFactor = 2
)

// slotPrice returns the factor by which the value of a slot is added to its cost for a task of the job. Every job
// finishes sooner on a fast slot, but in the same time that slot serves many small jobs or a small part of a wide one.
// The price therefore grows with the work of the job and with the share of upstreams without a free slot, so that wide
// jobs leave the fast slots to small jobs when slots are scarce.
func (e *engine) slotPrice(now instant, j *job) float64 {
	e.refreshPeerStats(now, j.kind)
	p := j.kind.pool
	busy := 1 - float64(len(p.withFreeSlot))/float64(len(p.upstreams))
	work := float64(len(j.tasks)) * float64(j.kind.mean) / float64(e.allKinds.mean)
	share := work / (work + halfPriceWork)
	return maxSlotPrice * busy * share * share * share
}

// slotValue returns the value of a slot as a time in nanoseconds: the typical service time at a typical upstream, more
// where the service is faster, and less where it is slower, up to slowServiceFactor.
func (e *engine) slotValue(k *kind, u *upstream) float64 {
	service, typical := float64(e.expectedService(k, u)), float64(k.typicalService)
	if service > slowServiceFactor*typical {
		return typical
	}
	return typical * typical / service
}

// isBacklogged reports whether so much work waits that no slot should be left free for other jobs.
func (e *engine) isBacklogged(now instant, t *task) bool {
	p := t.job.kind.pool
	return p.drainTime(e, now, p.backlogOf(classNormal)) > t.job.kind.typicalService
}
