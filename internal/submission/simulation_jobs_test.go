package submission_test

import (
	"fmt"

	"github.com/coltsfootspur/coltsfootspur/internal/agent/records"
	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// submit passes a request to an entry. r.origin is the entry that forwarded it; nil if there is none.
func (sim *simulation) submit(h *home, r request) {
	if !h.alive {
		return
	}
	d := h.table.Submit(sim.now, r.s)
	sim.counts[fmt.Sprint("decision ", d.Kind)]++
	sim.t.Logf("%s list %d: key %x: decision %d job %x", h.name(), placement.Version(h.table.List()), r.s.Key[:2], d.Kind, d.Job)
	switch d.Kind {
	case submission.Run:
		sim.startJob(h, r, d.Job)
	case submission.Stored, submission.Refuse:
		sim.checkAnswer(r.key, r.s.Digest, d.Answer)
	case submission.Wait:
		h.waiting = append(h.waiting, r)
	case submission.NotHome:
		sim.forwardToHome(h, r)
	case submission.ForwardToHolder:
		sim.forwardToHolder(h, r, d.Holder)
	}
}

func (sim *simulation) forwardToHome(h *home, r request) {
	if r.origin != nil {
		sim.sendList(h, r.origin)
		return
	}
	target, ok := h.table.Home(r.s.Region, r.s.Key)
	if to := sim.homeOf(target); ok && to != nil {
		list := h.table.List()
		r.s.ListVersion = list.Version
		r.origin = h
		sim.send(h.name(), to.name(), func() {
			sim.adoptList(to, list)
			sim.submit(to, r)
		})
	}
}

func (sim *simulation) forwardToHolder(h *home, r request, holder wire.Member) {
	to := sim.homeOf(holder)
	if to == nil {
		return
	}
	sim.t.Logf("%s forwards key %x to its holder %s", h.name(), r.s.Key[:2], to.name())
	forHeldKey := r.s
	forHeldKey.ForHeldKey = true
	sim.send(h.name(), to.name(), func() {
		d := to.table.Submit(sim.now, forHeldKey)
		switch d.Kind {
		case submission.Missing:
			sim.send(to.name(), h.name(), func() {
				h.table.HolderMissing(r.s.Key, holder)
				sim.submit(h, r)
			})
		case submission.Stored, submission.Refuse:
			sim.checkAnswer(r.key, r.s.Digest, d.Answer)
		case submission.Run:
			sim.t.Fatalf("a holder ran a key for another home")
		}
	})
}

func (sim *simulation) resubmitWaiting(h *home) {
	waiting := h.waiting
	h.waiting = nil
	for _, r := range waiting {
		sim.submit(h, r)
	}
}

func (sim *simulation) startJob(h *home, r request, id submission.Job) {
	sim.checkRun(h, r.key)
	h.jobs[id] = &job{home: h, member: h.self, id: id, key: r.key, digest: r.s.Digest, deadline: sim.now.Add(jobDeadline)}
}

// dispatchTask sends a Start for one task that has no open attempt.
func (sim *simulation) dispatchTask(j *job, i int, a *agent) {
	tk := &j.tasks[i]
	if tk.attempt != 0 || tk.result != nil || sim.now.After(j.deadline) || !j.home.table.MayStart(j.id) || sim.cutLinks[[2]string{j.home.name(), a.name()}] {
		return
	}
	s := &wire.Start{
		Attempt: sim.nextID(), Home: j.member.ID, HomeIncarnation: j.member.Incarnation, ListVersion: j.home.table.List().Version,
		Key: j.key.hash, Task: uint16(i), Tasks: tasksPerJob, Digest: j.digest, Expires: j.deadline,
		Body: []byte(bodyOf(j.key, j.digest, i)),
	}
	tk.attempt, tk.agent = s.Attempt, a
	sim.jobByAttempt[s.Attempt] = j
	sim.send(j.home.name(), a.name(), func() { sim.receiveStart(j.home, a, s) })
}

func bodyOf(k *key, digest [16]byte, i int) string {
	return fmt.Sprintf("%x %d %d", k.hash, digest[0], i)
}

func (sim *simulation) receiveStart(h *home, a *agent, s *wire.Start) {
	switch ad := a.table.Admit(sim.now, s, wire.RefusedNone); ad.Decision {
	case records.Run:
		a.queued = append(a.queued, s)
	case records.Reply:
		sim.sendResult(a, h, ad.Result)
	}
}

func (sim *simulation) sendResult(a *agent, h *home, result *wire.Result) {
	sim.send(a.name(), h.name(), func() { sim.receiveResult(h, result) })
}

func (sim *simulation) receiveResult(h *home, r *wire.Result) {
	if r.List != nil {
		sim.adoptList(h, r.List)
	}
	j := sim.jobByAttempt[r.Attempt]
	sim.t.Logf("%s: result of attempt %d: state %d reason %d recorded %d", h.name(), r.Attempt, r.State, r.Reason, r.Recorded)
	for i := range j.tasks {
		tk := &j.tasks[i]
		if tk.attempt != r.Attempt {
			continue
		}
		if r.State == wire.AttemptRefused && r.Reason == wire.RefusedDuplicate {
			recorded := *r
			recorded.State = r.Recorded
			tk.result = &recorded
		} else if r.State == wire.AttemptDone || r.State == wire.AttemptUnknown {
			tk.result = r
		}
		tk.attempt = 0
	}
	sim.finishJob(j, false)
}

// finishJob completes a job if all its tasks have a result, or in any case if giveUp is true.
func (sim *simulation) finishJob(j *job, giveUp bool) {
	if j.home.jobs[j.id] != j {
		return
	}
	results, open, allFinished := 0, 0, true
	answer := &wire.Answer{Outcome: wire.OutcomeComplete}
	for i := range j.tasks {
		tk := &j.tasks[i]
		if tk.attempt != 0 {
			open++
		}
		if tk.result == nil {
			allFinished = false
			continue
		}
		results++
		if tk.result.State != wire.AttemptDone {
			answer.Outcome = wire.OutcomeUnknown
		}
		answer.Tasks = append(answer.Tasks, wire.TaskAnswer{Outcome: wire.OutcomeComplete, Body: tk.result.Body})
	}
	if !allFinished && !giveUp {
		return
	}
	if !allFinished {
		answer = &wire.Answer{Outcome: wire.OutcomeUnknown}
		if open == 0 && results == 0 {
			answer.Outcome = wire.OutcomeNotRun
			j.notRun = true
		}
	}
	delete(j.home.jobs, j.id)
	final := j.home.table.Complete(sim.now, j.id, answer)
	sim.checkAnswer(j.key, j.digest, final)
	if final.Outcome == wire.OutcomeNotRun {
		sim.checkNotRun(j)
	}
}
