package submission_test

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

func (w *world) startAgent(id string) {
	w.now = w.now.Add(time.Millisecond)
	a := &agent{
		ref: submission.AgentRef{ID: id, Incarnation: w.next()}, started: w.now, alive: true,
		table: records.New(records.Config{Retention: retention}),
	}
	w.agents = append(w.agents, a)
	for _, h := range w.homes {
		w.connectAgent(h, a)
	}
}

func (w *world) connectAgent(h *home, a *agent) {
	if !h.alive || !a.alive {
		return
	}
	// What the agent has not read from the old link may still be read after the first messages of the new one.
	old, unread := [2]string{h.name(), a.name()}, [2]string{h.name(), a.name() + " old"}
	if left := w.queues[old]; len(left) > 0 {
		w.queues[unread] = append(w.queues[unread], left...)
	}
	w.cut(h.name(), a.name())
	w.restore(h.name(), a.name())
	list := h.table.List()
	w.send(h.name(), a.name(), func() { a.table.Adopt(list) })
	w.apply(h, h.table.AgentConnected(w.now, a.ref, a.started))
	w.query(h, a)
}

// query asks a new link for the open attempts; those of a former run of the agent are lost.
func (w *world) query(h *home, a *agent) {
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
		w.send(h.name(), a.name(), func() {
			_, results := a.table.Query(w.now, incarnation, attempts)
			for _, r := range results {
				w.sendResult(a, h, r)
			}
		})
	}
}

func (w *world) stopAgent(a *agent, graceful bool) {
	a.alive = false
	for _, h := range w.homes {
		if !w.down[[2]string{h.name(), a.name()}] && h.alive {
			if graceful {
				w.apply(h, h.table.AgentGone(w.now, a.ref))
			} else {
				w.apply(h, h.table.AgentDisconnected(w.now, a.ref))
			}
		}
		w.cut(h.name(), a.name())
	}
}

// stateGone lets an operator state at an entry that a crashed agent is gone. It is replaced by a later step.
func (w *world) stateGone(a *agent) {
	a.stated = true
	h := pick(w, w.homes, "told")
	if !h.alive {
		return
	}
	if actions, err := h.table.AgentStatedGone(w.now, a.ref.ID); err == nil {
		w.apply(h, actions)
	}
}

func (w *world) replaceStated(a *agent) {
	if a.stated {
		a.stated = false
		w.startAgent(a.ref.ID)
	}
}

// advance starts the oldest queued task of an agent, or ends its oldest running one. With fails set, the answer of a
// running task is lost, and a queued one is refused.
func (w *world) advance(a *agent, fails bool) {
	if !a.alive {
		return
	}
	if len(a.running) > 0 && (len(a.queued) == 0 || fails) {
		s := a.running[0]
		a.running = a.running[1:]
		r := &wire.Result{Attempt: s.Attempt, State: wire.AttemptDone, Body: s.Body}
		if fails {
			r = &wire.Result{Attempt: s.Attempt, State: wire.AttemptUnknown}
		}
		a.table.Finish(w.now, records.RefOf(s), r)
		w.sendResult(a, w.owner[s.Attempt].home, r)
		return
	}
	if len(a.queued) == 0 {
		return
	}
	s := a.queued[0]
	a.queued = a.queued[1:]
	if w.now.After(s.Expires) || fails {
		w.sendResult(a, w.owner[s.Attempt].home, a.table.Refuse(w.now, records.RefOf(s), wire.RefusedExpired))
	} else if a.table.Running(records.RefOf(s)) {
		w.checkStart(s)
		a.running = append(a.running, s)
	}
}
