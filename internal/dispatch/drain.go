package dispatch

import "time"

// drainMeter measures the rate at which work leaves a queue while tasks wait, which is the capacity available to this
// entry. Rates are expected service time per time, that is, roughly a number of slots.
type drainMeter struct {
	windowStart instant // start of the current measurement, 0 when no task waits
	startedWork instant // work started since windowStart
	rate        float64 // smoothed rate as of measuredAt
	measuredAt  instant // time of the last measurement
	// estimated is the rate computed from the free slots at estimatedAt. It is used when no recent measurement exists.
	estimated   float64
	estimatedAt instant
}

// Parameters of drainMeter.
const (
	// drainWindow is the least duration of one measurement.
	drainWindow = instant(100 * time.Millisecond)
	// drainRateTTL is the time for which a measured rate is valid.
	drainRateTTL = instant(3 * time.Second)
	// drainWeight is the weight of a new measurement in the smoothed rate.
	drainWeight = 0.3
	// capacityTTL is the time for which a computed rate is valid.
	capacityTTL = instant(50 * time.Millisecond)
)

// observe updates the rate at the end of each Next; waiting is set while tasks still wait.
func (d *drainMeter) observe(now instant, waiting bool) {
	if !waiting {
		d.windowStart, d.startedWork = 0, 0
		return
	}
	if d.windowStart == 0 {
		d.windowStart, d.startedWork = now, 0
		return
	}
	span := now - d.windowStart
	if span < drainWindow {
		return
	}
	sample := float64(d.startedWork) / float64(span)
	if d.measuredAt == 0 || now-d.measuredAt > drainRateTTL {
		d.rate = sample
	} else {
		d.rate += drainWeight * (sample - d.rate)
	}
	d.measuredAt, d.windowStart, d.startedWork = now, now, 0
}

// drainRate returns the work per time that the pool takes from this entry. It is measured if tasks waited recently, and
// estimated otherwise.
func (p *pool) drainRate(e *engine, now instant) float64 {
	if p.drain.measuredAt > 0 && now-p.drain.measuredAt < drainRateTTL {
		return p.drain.rate
	}
	return p.estimatedCapacity(e, now)
}

// estimatedCapacity estimates the rate from the slots that other entries leave free and the speed of the upstreams.
func (p *pool) estimatedCapacity(e *engine, now instant) float64 {
	if p.drain.estimatedAt > 0 && now-p.drain.estimatedAt < capacityTTL {
		return p.drain.estimated
	}
	sum := 0.0
	for _, u := range p.upstreams {
		free := max(float64(u.Slots)-u.estimatedForeignLoad(now, e.loadDecay()), float64(u.ownAttempts()), 0)
		sum += free * float64(e.allKinds.mean) / float64(e.expectedService(e.allKinds, u))
	}
	p.drain.estimated, p.drain.estimatedAt = sum, max(now, 1)
	return sum
}

// backlogOf returns the waiting work of a class and of the classes that are served before it.
func (p *pool) backlogOf(class int) instant {
	work := p.backlog[classUrgent].total
	if class == classNormal {
		work += p.backlog[classNormal].total
	}
	return work
}

// drainTime returns the time in which the given work leaves the queue, or 0 if the rate is unknown.
func (p *pool) drainTime(e *engine, now, work instant) instant {
	rate := p.drainRate(e, now)
	if rate <= 0 || work <= 0 {
		return 0
	}
	return instant(float64(work) / rate)
}
