package submission_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/submission"
)

// Searches for an interleaving of messages and faults in which a task starts twice, two homes run a key at the same
// time, a not_run is false, an answer is partial or belongs to another job, or an unexpired key is forgotten.
func TestInterleavings(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range 100 + sim.draw(256, "steps") {
			sim.step()
		}
		for k, n := range sim.counts {
			total[k] += n
		}
	})
	for _, k := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%s: %d", k, total[k])
	}
}

func (sim *simulation) step() {
	switch n := sim.draw(100, "action"); {
	case n < 30:
		for range 1 + sim.draw(8, "messages") {
			sim.deliver()
		}
	case n < 32:
		for len(sim.messages) > 0 {
			sim.deliver()
		}
	case n < 51:
		sim.stepAgent()
	case n < 69:
		sim.stepJob()
	case n < 80:
		sim.stepCaller()
	case n < 84:
		sim.stepLink()
	case n < 92:
		sim.stepEntry()
	case n < 97:
		sim.stepList()
	case n < 98:
		sim.stepAgentFault()
	default:
		sim.stepTime()
	}
}

func pick[T any](sim *simulation, all []T, label string) T { return all[sim.draw(len(all), label)] }

func (sim *simulation) stepCaller() {
	k := sim.drawKey()
	s := submission.Submission{Key: k.hash, Region: k.region, CreatedAt: k.created, Deadline: sim.now.Add(jobDeadline)}
	s.Digest[0] = 1
	if sim.draw(10, "other body") == 9 {
		s.Digest[0] = 2
	}
	sim.submit(pick(sim, sim.homes, "entry"), request{key: k, s: s})
}

func (sim *simulation) drawKey() *key {
	if len(sim.keys) > 0 && sim.draw(3, "new key") < 2 {
		return pick(sim, sim.keys, "key")
	}
	k := &key{hash: placement.HashKey("s", fmt.Sprint(sim.nextID())), region: []string{"", "", "north"}[sim.draw(3, "home region")]}
	if sim.draw(2, "uuid") == 1 {
		k.created = sim.now.Add(time.Duration(rapid.IntRange(-1999, 1999).Draw(sim.t, "skew")) * time.Millisecond)
	}
	sim.keys = append(sim.keys, k)
	return k
}

func (sim *simulation) stepJob() {
	var open []*job
	for _, h := range sim.homes {
		for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
			if h.alive {
				open = append(open, h.jobs[id])
			}
		}
	}
	if len(open) == 0 {
		return
	}
	j := pick(sim, open, "job")
	if sim.draw(8, "give up") == 0 {
		sim.finishJob(j, true)
		return
	}
	for i := range j.tasks {
		sim.dispatchTask(j, i, pick(sim, sim.agents, "agent"))
	}
}

func (sim *simulation) stepAgent() {
	var busy []*agent
	for _, a := range sim.agents {
		if a.alive && len(a.queued)+len(a.running) > 0 {
			busy = append(busy, a)
		}
	}
	if len(busy) > 0 {
		sim.advanceAgent(pick(sim, busy, "agent"), sim.draw(16, "fails") == 0)
	}
}

// stepLink cuts or restores a link.
func (sim *simulation) stepLink() {
	h := pick(sim, sim.homes, "entry")
	if sim.draw(2, "to agent") == 0 {
		a := pick(sim, sim.agents, "agent")
		if sim.draw(2, "cut") == 0 {
			sim.cutLink(h.name(), a.name())
			sim.applyActions(h, h.table.AgentDisconnected(sim.now, a.ref))
		} else {
			sim.connectAgent(h, a)
		}
		return
	}
	other := pick(sim, sim.homes, "other")
	if other == h {
		return
	}
	if sim.draw(2, "cut") == 0 {
		sim.cutLink(h.name(), other.name())
	} else {
		sim.connectHomes(h, other)
	}
}

// stepEntry performs an action that a live entry takes without an event.
func (sim *simulation) stepEntry() {
	h := pick(sim, sim.homes, "entry")
	if !h.alive {
		return
	}
	switch sim.draw(4, "entry action") {
	case 0:
		if !sim.storeOutage {
			sim.adoptList(h, sim.list)
		}
	case 1:
		sim.applyActions(h, h.table.Tick(sim.now))
		sim.resubmitWaiting(h)
	case 2:
		sim.stepHandover(h)
	case 3:
		sim.removeStopped(h)
	}
}

// stepList changes the list of entries or stops an entry. The affected entry need not agree, for example when it is
// expelled.
func (sim *simulation) stepList() {
	h := pick(sim, sim.homes, "entry")
	m, member := placement.Find(sim.list, h.self.ID, h.self.Incarnation)
	switch sim.draw(8, "list action") {
	case 0:
		if len(sim.homes) < 9 {
			sim.startEntry(fmt.Sprintf("entry-%d", sim.draw(5, "id")))
		}
	case 1:
		if member && h.alive && !sim.storeOutage {
			next, err := placement.MarkLeaving(sim.list, m.ID, m.Incarnation)
			if err != nil {
				return // it is already leaving
			}
			sim.list = next
			sim.adoptList(h, sim.list)
		}
	case 2:
		sim.killEntry(h)
	case 3:
		if member && !sim.storeOutage {
			sim.list, _ = placement.Expel(sim.list, m.ID, m.Incarnation, sim.now)
			sim.counts["expelled"]++
		}
	case 4:
		sim.rejoin(h, member)
	case 5:
		if h.alive {
			sim.applyActions(h, h.table.Stop(sim.now))
		}
	case 6:
		sim.storeOutage = !sim.storeOutage
	case 7:
		sim.stopInOutage(h)
	}
}

func (sim *simulation) rejoin(h *home, member bool) {
	if !h.alive || member || h.table.IsMember() || sim.storeOutage {
		return
	}
	previous := h.self
	h.self.Incarnation = sim.nextID()
	for _, other := range sim.homes {
		sim.cutLink(fmt.Sprintf("%s/%d", previous.ID, previous.Incarnation), other.name())
	}
	for _, a := range sim.agents {
		sim.cutLink(fmt.Sprintf("%s/%d", previous.ID, previous.Incarnation), a.name())
		h.table.AgentDisconnected(sim.now, a.ref)
	}
	h.table.Rejoin(h.self.Incarnation)
	sim.removeStopped(h)
	sim.list, _ = placement.Add(sim.list, h.self, sim.now)
	sim.counts["rejoined"]++
	sim.adoptList(h, sim.list)
	for _, other := range sim.homes {
		if other != h {
			sim.connectHomes(h, other)
		}
	}
	for _, a := range sim.agents {
		sim.connectAgent(h, a)
	}
}

func (sim *simulation) stepAgentFault() {
	a := pick(sim, sim.agents, "agent")
	if !a.alive {
		sim.replaceDeclaredGone(a)
		return
	}
	graceful := sim.draw(2, "graceful") == 0
	if graceful && len(a.queued)+len(a.running) > 0 {
		return
	}
	sim.stopAgent(a, graceful)
	if !graceful && sim.draw(3, "declared gone") == 0 {
		sim.declareGone(a)
		return
	}
	sim.startAgent(a.ref.ID)
}

func (sim *simulation) stepTime() {
	if sim.now.After(time.Unix(1_700_000_000, 0).Add(silentAgentTimeout - 20*time.Minute)) {
		return
	}
	steps := []time.Duration{
		10 * time.Millisecond, 10 * time.Millisecond, time.Second, time.Second, 5 * time.Second, 5 * time.Second,
		time.Minute, retention / 2, retention + 2*time.Minute,
	}
	sim.now = sim.now.Add(pick(sim, steps, "time"))
}
