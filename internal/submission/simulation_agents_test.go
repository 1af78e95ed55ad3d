package submission_test

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

func (sim *simulation) startAgent(id string) {
	sim.now = sim.now.Add(time.Millisecond)
	a := &agent{
		ref: submission.AgentRef{ID: id, Incarnation: sim.nextID()}, started: sim.now, alive: true,
		table: records.New(records.Config{Retention: retention}),
	}
	sim.agents = append(sim.agents, a)
	for _, h := range sim.homes {
		sim.connectAgent(h, a)
	}
}

func (sim *simulation) connectAgent(h *home, a *agent) {
	if !h.alive || !a.alive {
		return
	}
	// Messages that the agent has not read from the old link may still be delivered after the first messages of the new
	// one.
	old, unread := [2]string{h.name(), a.name()}, [2]string{h.name(), a.name() + " old"}
	if left := sim.messages[old]; len(left) > 0 {
		sim.messages[unread] = append(sim.messages[unread], left...)
	}
	sim.cutLink(h.name(), a.name())
	sim.restoreLink(h.name(), a.name())
	list := h.table.List()
	sim.send(h.name(), a.name(), func() { a.table.Adopt(list) })
	sim.applyActions(h, h.table.AgentConnected(sim.now, a.ref, a.started))
	sim.queryAttempts(h, a)
}

// queryAttempts asks for the open attempts on a new link. Attempts at a previous incarnation of the agent are lost.
func (sim *simulation) queryAttempts(h *home, a *agent) {
	open := map[uint64][]uint64{}
	for _, j := range h.jobs {
		for i := range j.tasks {
			tk := &j.tasks[i]
			switch {
			case tk.attempt == 0 || tk.agent.ref.ID != a.ref.ID:
			case tk.agent == a:
				open[j.member.Incarnation] = append(open[j.member.Incarnation], tk.attempt)
			default:
				tk.result = &wire.Result{State: wire.AttemptUnknown}
				tk.attempt = 0
			}
		}
	}
	for incarnation, attempts := range open {
		slices.Sort(attempts)
		sim.send(h.name(), a.name(), func() {
			_, results := a.table.Query(sim.now, incarnation, attempts)
			for _, r := range results {
				sim.sendResult(a, h, r)
			}
		})
	}
}

func (sim *simulation) stopAgent(a *agent, graceful bool) {
	a.alive = false
	for _, h := range sim.homes {
		if !sim.cutLinks[[2]string{h.name(), a.name()}] && h.alive {
			if graceful {
				sim.applyActions(h, h.table.AgentGone(sim.now, a.ref))
			} else {
				sim.applyActions(h, h.table.AgentDisconnected(sim.now, a.ref))
			}
		}
		sim.cutLink(h.name(), a.name())
	}
}

// declareGone lets an operator declare at an entry that a crashed agent is gone. A later step replaces the agent.
func (sim *simulation) declareGone(a *agent) {
	a.declaredGone = true
	h := pick(sim, sim.homes, "entry of the declaration")
	if !h.alive {
		return
	}
	if actions, err := h.table.DeclareAgentGone(sim.now, a.ref.ID); err == nil {
		sim.applyActions(h, actions)
	}
}

func (sim *simulation) replaceDeclaredGone(a *agent) {
	if a.declaredGone {
		a.declaredGone = false
		sim.startAgent(a.ref.ID)
	}
}

// advanceAgent starts the oldest queued task of an agent, or ends its oldest running one. If fail is true, the answer of
// a running task is lost, and a queued task is refused.
func (sim *simulation) advanceAgent(a *agent, fail bool) {
	if !a.alive {
		return
	}
	if len(a.running) > 0 && (len(a.queued) == 0 || fail) {
		s := a.running[0]
		a.running = a.running[1:]
		r := &wire.Result{Attempt: s.Attempt, State: wire.AttemptDone, Body: s.Body}
		if fail {
			r = &wire.Result{Attempt: s.Attempt, State: wire.AttemptUnknown}
		}
		a.table.Finish(sim.now, records.RefOf(s), r)
		sim.sendResult(a, sim.jobByAttempt[s.Attempt].home, r)
		return
	}
	if len(a.queued) == 0 {
		return
	}
	s := a.queued[0]
	a.queued = a.queued[1:]
	if sim.now.After(s.Expires) || fail {
		sim.sendResult(a, sim.jobByAttempt[s.Attempt].home, a.table.Refuse(sim.now, records.RefOf(s), wire.RefusedExpired))
	} else if a.table.MarkRunning(records.RefOf(s)) {
		sim.checkStart(s)
		a.running = append(a.running, s)
	}
}
