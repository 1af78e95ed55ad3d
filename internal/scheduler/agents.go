package scheduler

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/job"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// agent is the state of one agent and its worker, as the entry last heard of it.
type agent struct {
	id             AgentID
	dataCentre     string
	evacuated      bool // the data centre is evacuated
	sameDataCentre bool // the agent is in the data centre of the entry
	linked         bool
	incarnation    uint64 // of the agent process at the other end of the link
	// fence is the highest fencing token that the present incarnation of the worker has accepted. It shows which of two
	// processes of the agent is the newer one.
	fence   uint64
	worker  wire.WorkerInfo
	load    wire.WorkerLoad
	hasLoad bool
	// heardAt is when the last message of the agent arrived.
	heardAt time.Time
	tasks   map[uint64]*task
	// unreportedMilliCPU and unreportedWork are the sums over the offers that the last load report does not include yet:
	// thousandths of a core, and these times the estimated run time in milliseconds.
	unreportedMilliCPU, unreportedWork int64
	// unreportedReservations is the number of reservations among them.
	unreportedReservations int
	// loadAt is when the last load report arrived.
	loadAt time.Time
}

// capacity returns the size of the worker.
func (a *agent) capacity() job.Resources {
	return job.Resources{MilliCPU: a.worker.MilliCPU, MemoryMB: a.worker.MemoryMB, Accelerators: a.worker.Accelerators}
}

func (a *agent) removeTask(t *task) {
	if a.tasks[t.offerNumber] == t {
		delete(a.tasks, t.offerNumber)
		a.recountUnreported()
	}
}

// recountUnreported sums the needs of the offers that the last load report does not include.
func (a *agent) recountUnreported() {
	a.unreportedMilliCPU, a.unreportedWork, a.unreportedReservations = 0, 0, 0
	for number, t := range a.tasks {
		if number > a.load.Seen {
			a.unreportedMilliCPU += t.step.Needs.MilliCPU
			a.unreportedWork += t.step.Needs.MilliCPU * t.step.Estimate.Milliseconds()
			if t.reserved {
				a.unreportedReservations++
			}
		}
	}
}

// AgentConnected records that a link to an agent is open. The incarnation identifies the agent process.
func (s *Scheduler) AgentConnected(now time.Time, id AgentID, incarnation uint64, dataCentre string) {
	a := s.agents[id]
	if a == nil {
		a = &agent{id: id, tasks: make(map[uint64]*task)}
		s.agents[id] = a
		s.agentList = append(s.agentList, a)
	}
	a.dataCentre, a.sameDataCentre = dataCentre, dataCentre == s.config.DataCentre
	a.evacuated = s.isEvacuated(dataCentre)
	a.hasLoad = false
	a.linked, a.incarnation, a.heardAt = true, incarnation, now
}

// AgentHeard records the arrival of a message of an agent.
func (s *Scheduler) AgentHeard(now time.Time, id AgentID) {
	if a := s.agents[id]; a != nil {
		a.heardAt = now
	}
}

// HasOpenOffers reports whether an offer to the agent process at the other end of the link is open.
func (s *Scheduler) HasOpenOffers(id AgentID) bool {
	a := s.agents[id]
	if a == nil {
		return false
	}
	for _, t := range a.tasks {
		if t.incarnation == a.incarnation {
			return true
		}
	}
	return false
}

// OutstandingOffers returns the numbers of the open offers that were made to the agent process at the other end of the link,
// in ascending order.
func (s *Scheduler) OutstandingOffers(id AgentID) []uint64 {
	a := s.agents[id]
	if a == nil {
		return nil
	}
	numbers := make([]uint64, 0, len(a.tasks))
	for number, t := range a.tasks {
		if t.incarnation == a.incarnation {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// AgentLost records that an agent is out of contact. All of its runs have ended by runsEndedAt.
func (s *Scheduler) AgentLost(_ time.Time, id AgentID, runsEndedAt time.Time) {
	a := s.agents[id]
	if a == nil || !a.linked {
		return
	}
	a.linked, a.hasLoad = false, false
	s.retractUnsent(a)
	for _, t := range a.tasks {
		t.state, t.runEndedAt = taskUncertain, runsEndedAt
	}
}

// retractUnsent takes back the messages for an agent that were not yet fetched with TakeOutput. They must not be sent on the
// next link: when that opens, the entry lists the outstanding offers, and the agent reports those that it never received as
// ended.
func (s *Scheduler) retractUnsent(a *agent) {
	kept := s.outgoing[:0]
	for _, o := range s.outgoing {
		if o.Agent != a.id {
			kept = append(kept, o)
			continue
		}
		if o.Offer == nil {
			continue // a withdrawal: the next link lists the offers that are still wanted
		}
		if t := s.offers[o.Offer.Number]; t != nil {
			s.removeOffer(t)
			t.job.retractOffer()
			s.enqueue(t)
		}
	}
	s.outgoing = kept
}

// ResumeOffer records that an agent process that is in contact again still holds an offer.
func (s *Scheduler) ResumeOffer(id AgentID, number uint64) {
	if t := s.offers[number]; t != nil && t.agent != nil && t.agent.id == id && t.state == taskUncertain {
		t.state = taskOffered
	}
}

// SetWorker applies the announcement of the worker beside an agent.
func (s *Scheduler) SetWorker(now time.Time, id AgentID, info wire.WorkerInfo) {
	a := s.agents[id]
	if a == nil || info.Life < a.worker.Life {
		return // announced by a previous incarnation of the worker
	}
	if info.Worker != a.worker.Worker || info.Service != a.worker.Service || info.Life > a.worker.Life {
		s.workerAddedAt = now
		if s.firstWorkerAt.IsZero() {
			s.firstWorkerAt = now
		}
	}
	if info.Life > a.worker.Life {
		a.fence = 0 // a new incarnation of the worker has accepted no token yet
	}
	a.worker = info
	s.evacuation.epoch++
}

// ReportLoad applies a load report of an agent. It returns false, and ignores the report, if it comes from a process that a
// newer one has replaced: after a pause of the entry, links of both processes can open in any order.
func (s *Scheduler) ReportLoad(now time.Time, id AgentID, load wire.WorkerLoad) bool {
	a := s.agents[id]
	if a == nil || !a.linked || load.Fence < a.fence {
		return false
	}
	a.load, a.hasLoad, a.heardAt, a.loadAt, s.changedSincePass = load, true, now, now, true
	a.recountUnreported()
	if load.Open {
		a.fence = load.Fence // an agent takes work only after the worker has accepted its token
		s.requeuePreviousRuns(a)
	}
	return true
}

// requeuePreviousRuns requeues the tasks whose runs belonged to previous processes of the agent. An agent takes new work
// only after it has seen all runs of its predecessors end.
func (s *Scheduler) requeuePreviousRuns(a *agent) {
	for _, t := range a.tasks {
		if t.state == taskUncertain && t.incarnation != a.incarnation {
			s.requeueLostRun(t)
		}
	}
}

// ForgetAgent removes an agent that is not linked and holds no task, for example because its host was removed.
func (s *Scheduler) ForgetAgent(id AgentID) {
	a := s.agents[id]
	if a == nil || a.linked || len(a.tasks) > 0 {
		return
	}
	delete(s.agents, id)
	s.agentList = slices.DeleteFunc(s.agentList, func(b *agent) bool { return b == a })
	s.evacuation.epoch++
}

// AvailableAgents returns the number of linked agents whose workers take tasks of a service; an empty name means any
// service.
func (s *Scheduler) AvailableAgents(service string) int {
	n := 0
	for _, a := range s.agentList {
		if a.linked && a.hasLoad && a.load.Open && !a.evacuated && (service == "" || a.worker.Service == service) {
			n++
		}
	}
	return n
}

// AgentSummary is the state of an agent, for a dump.
type AgentSummary struct {
	ID     AgentID `json:"id"`
	Linked bool    `json:"linked"`
	Near   bool    `json:"near"`
	// DataCentre is that of the agent; no offers are made while it is evacuated.
	DataCentre string          `json:"data_centre"`
	Evacuated  bool            `json:"evacuated,omitempty"`
	Tasks      int             `json:"tasks"`
	Worker     wire.WorkerInfo `json:"worker"`
	Load       wire.WorkerLoad `json:"load"`
}

// Agents returns the state of each agent.
func (s *Scheduler) Agents() []AgentSummary {
	all := make([]AgentSummary, 0, len(s.agentList))
	for _, a := range s.agentList {
		all = append(all, AgentSummary{ID: a.id, Linked: a.linked, Near: a.sameDataCentre, DataCentre: a.dataCentre, Evacuated: a.evacuated, Tasks: len(a.tasks), Worker: a.worker, Load: a.load})
	}
	return all
}
