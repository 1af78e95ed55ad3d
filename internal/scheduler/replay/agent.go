package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/runs"
	"github.com/coltsfootspur/coltsfootspur/internal/scheduler"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// agent is one agent with its table and its worker.
type agent struct {
	sim    *sim
	index  int
	id     scheduler.AgentID
	table  *runs.Table
	worker *worker
	owners []*owner
	pollAt time.Duration // when the open poll was made
	gone   bool          // the worker died and its agent has noticed
}

// owner is what an agent knows of one entry.
type owner struct {
	entry        *entry
	highestOffer uint64
	ends         []wire.RunEnd
	loadSentAt   time.Duration
}

func newAgent(s *sim, index int, placement runs.Placement) *agent {
	config := runs.DefaultConfig()
	config.Placement = placement
	a := &agent{sim: s, index: index, id: scheduler.AgentID(fmt.Sprint("a", index)), table: runs.NewTable(config)}
	a.worker = &worker{sim: s, agent: a, speed: minSpeed + (maxSpeed-minSpeed)*s.random.Float64(), running: make(map[runs.Ref]*running)}
	a.table.SetWorker(s.now(), runs.Announcement{
		ID: "w", StartedMillis: 1, Sequence: 1, Service: service, Capacity: job.Resources{MilliCPU: workerMilliCPU},
	})
	a.table.HandleSnapshot(s.now(), s.now(), a.worker.snapshot(0))
	s.after(tickInterval*time.Duration(index)/time.Duration(s.load.Workers), a.tick)
	s.after(0, a.poll)
	return a
}

func (s *sim) agentByID(id scheduler.AgentID) *agent {
	i := slices.IndexFunc(s.agents, func(a *agent) bool { return a.id == id })
	return s.agents[i]
}

func (a *agent) tick() {
	a.sim.after(tickInterval, a.tick)
	if a.sim.elapsed >= a.sim.load.PeakFrom && a.sim.elapsed < a.sim.load.PeakUntil {
		ticks := float64(a.sim.load.PeakUntil-a.sim.load.PeakFrom) / float64(tickInterval)
		a.sim.result.Used += float64(a.worker.used) / workerMilliCPU / ticks / float64(len(a.sim.agents))
	}
	a.flush(true)
}

// receive handles an offer or a withdrawal of an entry.
func (a *agent) receive(e *entry, m scheduler.AgentMessage) {
	if m.Offer == nil {
		a.table.WithdrawOffer(a.sim.now(), e.id, m.Withdraw)
	} else {
		o := a.owners[e.id-1]
		o.highestOffer = max(o.highestOffer, m.Offer.Number)
		a.table.AddOffer(a.sim.now(), e.id, *m.Offer)
	}
	a.flush(false)
}

// flush sends the commands and events of the table, and load reports as the agent does: with each end, and else at an interval.
func (a *agent) flush(reportLoad bool) {
	now := a.sim.now()
	a.table.Advance(now)
	commands, events := a.table.TakeOutput()
	for _, c := range commands {
		a.sim.after(workerDelay, func() { a.worker.execute(c) })
	}
	for _, event := range events {
		o := a.owners[event.Owner-1]
		if event.End != nil {
			o.ends = append(o.ends, *event.End)
			continue
		}
		if j := a.sim.byID[event.Task.Job]; j.startedAt[event.Task.Index] == 0 {
			j.startedAt[event.Task.Index] = a.sim.elapsed
		}
		number := event.StartedOffer
		a.sim.after(linkDelay, func() { o.entry.scheduler.HandleRunStarted(number) })
	}
	for _, o := range a.owners {
		if len(o.ends) == 0 && (!reportLoad || a.sim.elapsed-o.loadSentAt < loadInterval) {
			continue
		}
		ends, load := o.ends, a.table.Load(now)
		load.Seen = o.highestOffer
		o.ends, o.loadSentAt = nil, a.sim.elapsed
		a.sim.after(linkDelay, func() {
			for _, end := range ends {
				o.entry.scheduler.HandleRunEnd(a.sim.now(), a.id, end)
			}
			o.entry.scheduler.ReportLoad(a.sim.now(), a.id, load)
			o.entry.flush()
		})
	}
}

// poll requests a snapshot, which the worker holds back until a run ends or pollInterval has passed.
func (a *agent) poll() {
	if a.gone {
		return
	}
	a.pollAt = a.sim.elapsed
	a.worker.polled(a.table.LastProcessedEnd())
}

func (a *agent) receiveSnapshot(snapshot runs.Snapshot) {
	a.table.HandleSnapshot(a.sim.now(), a.sim.start.Add(a.pollAt), snapshot)
	a.flush(false)
	a.poll()
}

// dies ends the worker. The agent notices it when polls get no answer, and counts the runs as ended when their lease has expired.
func (a *agent) dies() {
	a.worker.dead = true
	a.sim.after(unresponsive, func() {
		a.gone = true
		a.table.MarkUnresponsive(a.sim.now())
		a.flush(true)
	})
	a.sim.after(leaseExpiry, func() {
		a.table.HandleWorkerLost(a.sim.now(), "the worker does not answer")
		a.flush(true)
	})
}

// worker runs tasks at its speed. It does not check its capacity; the replay does.
type worker struct {
	sim      *sim
	agent    *agent
	speed    float64
	dead     bool
	running  map[runs.Ref]*running
	used     int64
	finished []runs.Finished
	lastEnd  uint64
	pollOpen bool
	acked    uint64
	polls    int
}

// running is a run in progress: the work left at a time, as run time at speed 1.
type running struct {
	record  *jobRecord
	left    time.Duration
	total   time.Duration
	at      time.Duration
	version int
}

func (w *worker) execute(c runs.Command) {
	if w.dead {
		return
	}
	if c.Stop {
		w.end(c.Ref, runs.EndStopped)
		w.sim.after(workerDelay, func() {
			w.agent.table.HandleStopResult(w.sim.now(), c.Ref, nil)
			w.agent.flush(false)
		})
		return
	}
	j := w.sim.byID[c.Task.Job]
	r := &running{record: j, left: j.work[c.Task.Index], total: j.work[c.Task.Index], at: w.sim.elapsed}
	w.running[c.Ref] = r
	w.used += j.milliCPU
	if w.used > workerMilliCPU {
		w.sim.result.Overcommitted++
	}
	w.scheduleEnd(c.Ref, r)
	w.sim.after(workerDelay, func() {
		w.agent.table.HandleStartResult(w.sim.now(), c.Ref, nil)
		w.agent.flush(false)
	})
}

func (w *worker) scheduleEnd(ref runs.Ref, r *running) {
	r.version++
	version := r.version
	w.sim.after(time.Duration(float64(r.left)/w.speed), func() {
		if w.running[ref] == r && r.version == version && !w.dead {
			w.end(ref, runs.EndDone)
		}
	})
}

// advance brings the work that is left up to date.
func (w *worker) advance(r *running) {
	r.left -= time.Duration(float64(w.sim.elapsed-r.at) * w.speed)
	r.at = w.sim.elapsed
}

func (w *worker) setSpeed(speed float64) {
	for _, r := range w.running {
		w.advance(r)
	}
	w.speed = speed
	for ref, r := range w.running {
		w.scheduleEnd(ref, r)
	}
}

func (w *worker) end(ref runs.Ref, how runs.End) {
	r := w.running[ref]
	if r == nil {
		return
	}
	w.advance(r)
	done := float64(r.total-r.left) / float64(time.Millisecond) * float64(r.record.milliCPU)
	r.record.workDone += done
	delete(w.running, ref)
	w.used -= r.record.milliCPU
	w.lastEnd++
	w.finished = append(w.finished, runs.Finished{Ref: ref, Number: w.lastEnd, End: how})
	w.answerPoll()
}

func (w *worker) polled(acknowledged uint64) {
	w.polls++
	poll := w.polls
	w.sim.after(workerDelay, func() {
		w.pollOpen, w.acked = true, acknowledged
		w.finished = slices.DeleteFunc(w.finished, func(f runs.Finished) bool { return f.Number <= acknowledged })
		if len(w.finished) > 0 {
			w.answerPoll()
		}
	})
	w.sim.after(workerDelay+pollInterval, func() {
		if w.polls == poll {
			w.answerPoll()
		}
	})
}

func (w *worker) answerPoll() {
	if !w.pollOpen || w.dead {
		return
	}
	w.pollOpen = false
	snapshot := w.snapshot(w.acked)
	w.sim.after(workerDelay, func() { w.agent.receiveSnapshot(snapshot) })
}

func (w *worker) snapshot(uint64) runs.Snapshot {
	s := runs.Snapshot{StartedMillis: 1, Clock: w.sim.elapsed, Finished: slices.Clone(w.finished)}
	refs := make([]runs.Ref, 0, len(w.running))
	for ref := range w.running {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareRefs)
	for _, ref := range refs {
		r := w.running[ref]
		w.advance(r)
		s.Running = append(s.Running, runs.Running{Ref: ref, Percent: min(int(100*(r.total-r.left)/r.total), 99)})
	}
	return s
}
