package dispatch

// Parameters of the price of a slot.
const (
	// slotPrice is the price of a usual slot for the widest job while no upstream has a free slot, in usual service
	// times. A lower price lets wide jobs take the fast slots; a higher one makes them wait for longer than small jobs
	// gain. docs/measurements.md compares it with no price and with 32.
	slotPrice = 16
	// wideWork is the work of a job, in tasks of the mean service time of all kinds, at which the base of the price is one
	// half.
	wideWork = 8
	// slowService times the usual service time is the time from which a slot is too slow to be worth less than others.
	slowService = 2
)

// slotPrice returns what the task of a job pays for the value of a slot. Every job is finished sooner on a fast slot, but
// in the same time such a slot serves many small jobs or a small part of a wide one. The price therefore grows with the
// work of the job and with the share of upstreams without a free slot, so that wide jobs leave the fast slots to small
// ones when slots are scarce.
func (e *engine) slotPrice(now instant, j *job) float64 {
	e.review(now, j.kind)
	p := j.kind.pool
	busy := 1 - float64(len(p.idle))/float64(len(p.ups))
	work := float64(len(j.tasks)) * float64(j.kind.mean) / float64(e.mix.mean)
	share := work / (work + wideWork)
	return slotPrice * busy * share * share * share
}

// slotValue returns the value of a slot in time: the usual service time at a usual upstream, and more where the service
// is faster.
func (e *engine) slotValue(k *kind, u *upstream) float64 {
	service, usual := float64(e.service(k, u)), float64(k.usual)
	if service > slowService*usual {
		return usual
	}
	return usual * usual / service
}

// crowded tells whether so much waits that slots are not left free for others.
func (e *engine) crowded(now instant, t *task) bool {
	p := t.job.kind.pool
	return p.timeFor(e, now, p.backlogOf(classNormal)) > t.job.kind.usual
}
