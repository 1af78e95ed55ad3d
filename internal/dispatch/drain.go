package dispatch

import "time"

// drain measures the rate at which work leaves a queue while tasks wait, that is, the capacity that this entry gets. A
// rate is in expected service time per time, which is about the number of slots.
type drain struct {
	since   instant // start of the current measurement, 0 when nothing waits
	started instant // work started since then
	rate    float64
	at      instant // time of the last measurement
	// model is the rate computed from the free slots at modelAt, used when nothing was measured.
	model   float64
	modelAt instant
}

// Parameters of drain.
const (
	drainWindow = instant(100 * time.Millisecond)
	// drainMemory is the time for which a measured rate is used.
	drainMemory = instant(3 * time.Second)
	drainWeight = 0.3
	// capacityInterval is the time for which a computed rate is used.
	capacityInterval = instant(50 * time.Millisecond)
)

// observe is called at the end of each Next; waiting tells whether tasks still wait.
func (d *drain) observe(now instant, waiting bool) {
	if !waiting {
		d.since, d.started = 0, 0
		return
	}
	if d.since == 0 {
		d.since, d.started = now, 0
		return
	}
	span := now - d.since
	if span < drainWindow {
		return
	}
	sample := float64(d.started) / float64(span)
	if d.at == 0 || now-d.at > drainMemory {
		d.rate = sample
	} else {
		d.rate += drainWeight * (sample - d.rate)
	}
	d.at, d.since, d.started = now, now, 0
}

// rate returns the work per time that the pool takes from this entry, measured if the queue was not empty lately.
func (p *pool) rate(e *engine, now instant) float64 {
	if p.drain.at > 0 && now-p.drain.at < drainMemory {
		return p.drain.rate
	}
	return p.capacity(e, now)
}

// capacity estimates the rate from the slots that other entries leave and the speed of the upstreams.
func (p *pool) capacity(e *engine, now instant) float64 {
	if p.drain.modelAt > 0 && now-p.drain.modelAt < capacityInterval {
		return p.drain.model
	}
	sum := 0.0
	for _, u := range p.ups {
		free := max(float64(u.Slots)-u.otherLoad(now, e.memory()), float64(u.own()), 0)
		sum += free * float64(e.mix.mean) / float64(e.service(e.mix, u))
	}
	p.drain.model, p.drain.modelAt = sum, max(now, 1)
	return sum
}

// backlogOf returns the waiting work that is served before new work of a class.
func (p *pool) backlogOf(class int) instant {
	work := p.backlog[classUrgent].total
	if class == classNormal {
		work += p.backlog[classNormal].total
	}
	return work
}

// timeFor returns the time in which work leaves the queue, 0 when the rate is not known.
func (p *pool) timeFor(e *engine, now, work instant) instant {
	rate := p.rate(e, now)
	if rate <= 0 || work <= 0 {
		return 0
	}
	return instant(float64(work) / rate)
}
