package scheduler

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// agent is what the entry knows of one agent and its worker.
type agent struct {
	id             AgentID
	sameDataCentre bool // in the data centre of the entry
	linked         bool
	incarnation    uint64 // incarnation of the agent's process at the other end of the link
	// fence is the highest fencing token that the present life of the worker has accepted. It orders the processes of the
	// agent.
	fence   uint64
	worker  wire.WorkerInfo
	load    wire.WorkerLoad
	hasLoad bool
	tasks   map[uint64]*task
	// unreportedMilliCPU and unreportedWork are those of offers that the last load does not include, in thousandths of a core and
	// the same times milliseconds.
	unreportedMilliCPU, unreportedWork int64
}

func (a *agent) removeTask(t *task) {
	if a.tasks[t.offerNumber] == t {
		delete(a.tasks, t.offerNumber)
		a.recountUnreported()
	}
}

// recountUnreported sums the offers that the last load does not include.
func (a *agent) recountUnreported() {
	a.unreportedMilliCPU, a.unreportedWork = 0, 0
	for number, t := range a.tasks {
		if number > a.load.Seen {
			a.unreportedMilliCPU += t.step.Needs.MilliCPU
			a.unreportedWork += t.step.Needs.MilliCPU * t.step.Estimate.Milliseconds()
		}
	}
}

// AgentConnected tells that a link to an agent is open. Life differs between two processes of the agent.
func (s *Scheduler) AgentConnected(id AgentID, life uint64, dataCentre string) {
	a := s.agents[id]
	if a == nil {
		a = &agent{id: id, tasks: make(map[uint64]*task)}
		s.agents[id] = a
		s.agentList = append(s.agentList, a)
	}
	a.sameDataCentre = dataCentre == s.config.DataCentre
	a.hasLoad = false
	a.linked, a.incarnation = true, life
}

// OutstandingOffers returns the numbers of the offers that the process of an agent at the other end of the link has got.
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

// AgentLost tells that an agent is out of contact. Its runs have certainly ended at runEndedAt.
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

// retractUnsent takes back what was decided on for an agent and was not fetched with Take. It must not be sent on another link:
// the agent has then denied that it has these offers.
func (s *Scheduler) retractUnsent(a *agent) {
	kept := s.outgoing[:0]
	for _, o := range s.outgoing {
		if o.Agent != a.id {
			kept = append(kept, o)
			continue
		}
		if o.Offer == nil {
			continue // a withdrawal: the next link names what is still wanted
		}
		if t := s.offers[o.Offer.Number]; t != nil {
			s.removeOffer(t)
			t.job.retractOffer()
			s.enqueue(t)
		}
	}
	s.outgoing = kept
}

// ResumeOffer tells that the same process of an agent is in contact again and still holds an offer.
func (s *Scheduler) ResumeOffer(id AgentID, number uint64) {
	if t := s.offers[number]; t != nil && t.agent != nil && t.agent.id == id && t.state == taskUncertain {
		t.state = taskOffered
	}
}

// SetWorker takes what the worker beside an agent has announced.
func (s *Scheduler) SetWorker(id AgentID, info wire.WorkerInfo) {
	a := s.agents[id]
	if a == nil || info.Life < a.worker.Life {
		return // the news is that of a replaced process of the agent
	}
	if info.Life > a.worker.Life {
		a.fence = 0 // a new life of a worker has accepted no token
	}
	a.worker = info
}

// ReportLoad takes the load of the worker beside an agent. It returns false for a report of a process that another one has
// replaced: links of both can be open for a moment, in any order, when the entry was paused.
func (s *Scheduler) ReportLoad(_ time.Time, id AgentID, load wire.WorkerLoad) bool {
	a := s.agents[id]
	if a == nil || !a.linked || load.Fence < a.fence {
		return false
	}
	a.load, a.hasLoad, s.changedSincePass = load, true, true
	a.recountUnreported()
	if load.Open {
		a.fence = load.Fence // an agent opens after the worker has accepted its token
		s.requeueFormerRuns(a)
	}
	return true
}

// requeueFormerRuns frees the tasks whose runs belonged to earlier processes of the agent: an agent takes new work only after
// it has seen all former runs end.
func (s *Scheduler) requeueFormerRuns(a *agent) {
	for _, t := range a.tasks {
		if t.state == taskUncertain && t.incarnation != a.incarnation {
			s.requeueLostRun(t)
		}
	}
}

// ForgetAgent drops an agent that is not linked and holds no task, for example because its host was removed.
func (s *Scheduler) ForgetAgent(id AgentID) {
	a := s.agents[id]
	if a == nil || a.linked || len(a.tasks) > 0 {
		return
	}
	delete(s.agents, id)
	s.agentList = slices.DeleteFunc(s.agentList, func(b *agent) bool { return b == a })
}

// AvailableAgents returns the number of agents in contact whose workers take tasks of a service; an empty name means any.
func (s *Scheduler) AvailableAgents(service string) int {
	n := 0
	for _, a := range s.agentList {
		if a.linked && a.hasLoad && a.load.Open && (service == "" || a.worker.Service == service) {
			n++
		}
	}
	return n
}

// AgentSummary is what the scheduler knows of an agent, for a dump.
type AgentSummary struct {
	ID     AgentID         `json:"id"`
	Linked bool            `json:"linked"`
	Near   bool            `json:"near"`
	Tasks  int             `json:"tasks"`
	Worker wire.WorkerInfo `json:"worker"`
	Load   wire.WorkerLoad `json:"load"`
}

// Agents returns what is known of each agent.
func (s *Scheduler) Agents() []AgentSummary {
	all := make([]AgentSummary, 0, len(s.agentList))
	for _, a := range s.agentList {
		all = append(all, AgentSummary{ID: a.id, Linked: a.linked, Near: a.sameDataCentre, Tasks: len(a.tasks), Worker: a.worker, Load: a.load})
	}
	return all
}
