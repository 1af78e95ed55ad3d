package policysim

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/deployment"
	"github.com/coltsfootspur/coltsfootspur/internal/dispatch"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// attempt is one attempt on its way or at an agent.
type attempt struct {
	entry    *entry
	job      *jobRun
	ref      dispatch.TaskRef
	base     time.Duration // time at speed 1
	long     bool          // as the policy marked it
	deadline time.Duration
	arrived  time.Duration
	begun    time.Duration
	behind   time.Duration // time in the queue while a long task held a slot
}

// agent models an upstream with its agent: slots, a bounded queue in order of arrival, and a speed.
type agent struct {
	sim *sim
	deployment.Worker
	queueLimit int
	failing    bool
	running    []*attempt
	queue      []*attempt
}

// failTime is the time after which a failing upstream answers.
const failTime = 5 * time.Millisecond

// receive handles a Start.
func (a *agent) receive(at *attempt) {
	at.arrived = a.sim.now
	switch {
	case len(a.running) < a.Slots:
		a.begin(at)
	case len(a.queue) < a.queueLimit:
		a.queue = append(a.queue, at)
	default:
		a.reply(at, dispatch.Result{State: dispatch.Refused, Reason: wire.RefusedBusy})
	}
}

func (a *agent) begin(at *attempt) {
	at.begun = a.sim.now
	a.running = append(a.running, at)
	service := time.Duration(float64(at.base) / a.Speed)
	if a.failing {
		service = failTime
	}
	a.sim.after(service, func() { a.finish(at, service) })
}

func (a *agent) finish(at *attempt, service time.Duration) {
	i := slices.Index(a.running, at)
	a.running = slices.Delete(a.running, i, i+1)
	if service >= longTask {
		a.blame(at.begun)
	}
	a.startQueued()
	r := dispatch.Result{State: dispatch.Succeeded, Queued: at.begun - at.arrived, Service: service}
	if a.failing {
		r.State = dispatch.Failed
	}
	a.reply(at, r)
}

// blame charges the wait of queued short tasks to the long task that began at the given time.
func (a *agent) blame(begun time.Duration) {
	for _, q := range a.queue {
		if q.base < shortTask {
			q.behind = max(q.behind, a.sim.now-max(begun, q.arrived))
		}
	}
}

func (a *agent) startQueued() {
	kept := a.queue[:0]
	for _, q := range a.queue {
		switch {
		case a.sim.now >= q.deadline:
			a.reply(q, dispatch.Result{State: dispatch.Refused, Reason: wire.RefusedExpired})
		case len(a.running) < a.Slots:
			a.begin(q)
		default:
			kept = append(kept, q)
		}
	}
	a.queue = kept
}

func (a *agent) reply(at *attempt, r dispatch.Result) {
	load := dispatch.Load{Running: uint16(len(a.running)), Queued: uint16(len(a.queue))}
	for _, running := range a.running {
		if running.long {
			load.RunningLong++
		}
	}
	a.sim.after(a.sim.delay(at.entry.dataCentre, a.DataCentre), func() { at.entry.result(a, at, r, load) })
}
