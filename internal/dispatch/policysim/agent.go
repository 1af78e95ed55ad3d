package policysim

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// attempt is one attempt in transit or at an agent.
type attempt struct {
	entry         *entry
	job           *jobRun
	ref           dispatch.TaskRef
	referenceTime time.Duration // service time at speed 1
	long          bool          // Assignment.Long
	deadline      time.Duration
	arrivedAt     time.Duration
	startedAt     time.Duration
	behindLong    time.Duration // longest wait in the queue while one long task held a slot
}

// agent models an upstream with its agent: slots, a speed, and a bounded first-in, first-out queue.
type agent struct {
	sim *sim
	deployment.Worker
	queueLimit int
	failing    bool
	running    []*attempt
	queue      []*attempt
}

// failureTime is the service time of a failing upstream.
const failureTime = 5 * time.Millisecond

// receive handles the arrival of an attempt: it starts, queues or refuses it.
func (a *agent) receive(att *attempt) {
	att.arrivedAt = a.sim.now
	switch {
	case len(a.running) < a.Slots:
		a.start(att)
	case len(a.queue) < a.queueLimit:
		a.queue = append(a.queue, att)
	default:
		a.reply(att, dispatch.Result{State: dispatch.Refused, Reason: wire.RefusedBusy})
	}
}

func (a *agent) start(att *attempt) {
	att.startedAt = a.sim.now
	a.running = append(a.running, att)
	service := time.Duration(float64(att.referenceTime) / a.Speed)
	if a.failing {
		service = failureTime
	}
	a.sim.after(service, func() { a.finish(att, service) })
}

func (a *agent) finish(att *attempt, service time.Duration) {
	i := slices.Index(a.running, att)
	a.running = slices.Delete(a.running, i, i+1)
	if service >= longTask {
		a.chargeBehindLong(att.startedAt)
	}
	a.startQueued()
	r := dispatch.Result{State: dispatch.Succeeded, Queued: att.startedAt - att.arrivedAt, Service: service}
	if a.failing {
		r.State = dispatch.Failed
	}
	a.reply(att, r)
}

// chargeBehindLong updates the wait of queued short tasks behind a long task that began at the given time and has just
// ended.
func (a *agent) chargeBehindLong(begun time.Duration) {
	for _, q := range a.queue {
		if q.referenceTime < shortTask {
			q.behindLong = max(q.behindLong, a.sim.now-max(begun, q.arrivedAt))
		}
	}
}

// startQueued starts queued attempts while slots are free, and refuses those whose deadline has passed.
func (a *agent) startQueued() {
	kept := a.queue[:0]
	for _, q := range a.queue {
		switch {
		case a.sim.now >= q.deadline:
			a.reply(q, dispatch.Result{State: dispatch.Refused, Reason: wire.RefusedExpired})
		case len(a.running) < a.Slots:
			a.start(q)
		default:
			kept = append(kept, q)
		}
	}
	a.queue = kept
}

// reply sends a result with the current load to the entry.
func (a *agent) reply(att *attempt, r dispatch.Result) {
	load := dispatch.Load{Running: uint16(len(a.running)), Queued: uint16(len(a.queue))}
	for _, running := range a.running {
		if running.long {
			load.RunningLong++
		}
	}
	a.sim.after(a.sim.delay(att.entry.dataCentre, a.DataCentre), func() { att.entry.handleResult(a, att, r, load) })
}
