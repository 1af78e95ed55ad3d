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

// Guards against every interleaving in which a task starts twice, two homes run a key at a time, a not_run is false,
// an answer is partial or belongs to another job, or an unexpired key is forgotten.
func TestInterleavings(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 100 + w.draw(256, "steps") {
			w.step()
		}
		for k, n := range w.counts {
			total[k] += n
		}
	})
	for _, k := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%s: %d", k, total[k])
	}
}

func (w *world) step() {
	switch n := w.draw(100, "action"); {
	case n < 30:
		for range 1 + w.draw(8, "messages") {
			w.deliver()
		}
	case n < 32:
		for len(w.queues) > 0 {
			w.deliver()
		}
	case n < 51:
		w.stepAgent()
	case n < 69:
		w.stepJob()
	case n < 80:
		w.stepCaller()
	case n < 84:
		w.stepLink()
	case n < 92:
		w.stepEntry()
	case n < 97:
		w.stepList()
	case n < 98:
		w.stepAgentFault()
	default:
		w.stepTime()
	}
}

func pick[T any](w *world, all []T, label string) T { return all[w.draw(len(all), label)] }

func (w *world) stepCaller() {
	k := w.drawKey()
	s := submission.Submission{Key: k.hash, Region: k.region, CreatedAt: k.created, Deadline: w.now.Add(jobDeadline)}
	s.Digest[0] = 1
	if w.draw(10, "other body") == 9 {
		s.Digest[0] = 2
	}
	w.submit(pick(w, w.homes, "entry"), request{key: k, s: s})
}

func (w *world) drawKey() *key {
	if len(w.keys) > 0 && w.draw(3, "new key") < 2 {
		return pick(w, w.keys, "key")
	}
	k := &key{hash: placement.HashKey("s", fmt.Sprint(w.next())), region: []string{"", "", "north"}[w.draw(3, "home region")]}
	if w.draw(2, "uuid") == 1 {
		k.created = w.now.Add(time.Duration(rapid.IntRange(-1999, 1999).Draw(w.t, "skew")) * time.Millisecond)
	}
	w.keys = append(w.keys, k)
	return k
}

func (w *world) stepJob() {
	var open []*job
	for _, h := range w.homes {
		for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
			if h.alive {
				open = append(open, h.jobs[id])
			}
		}
	}
	if len(open) == 0 {
		return
	}
	j := pick(w, open, "job")
	if w.draw(8, "give up") == 0 {
		w.finish(j, true)
		return
	}
	for i := range j.tasks {
		w.dispatch(j, i, pick(w, w.agents, "agent"))
	}
}

func (w *world) stepAgent() {
	var busy []*agent
	for _, a := range w.agents {
		if a.alive && len(a.queued)+len(a.running) > 0 {
			busy = append(busy, a)
		}
	}
	if len(busy) > 0 {
		w.advance(pick(w, busy, "agent"), w.draw(16, "fails") == 0)
	}
}

// stepLink cuts or restores a link.
func (w *world) stepLink() {
	h := pick(w, w.homes, "entry")
	if w.draw(2, "to agent") == 0 {
		a := pick(w, w.agents, "agent")
		if w.draw(2, "cut") == 0 {
			w.cut(h.name(), a.name())
			w.apply(h, h.table.AgentDisconnected(w.now, a.ref))
		} else {
			w.connectAgent(h, a)
		}
		return
	}
	other := pick(w, w.homes, "other")
	if other == h {
		return
	}
	if w.draw(2, "cut") == 0 {
		w.cut(h.name(), other.name())
	} else {
		w.connectHomes(h, other)
	}
}

// stepEntry does something that a live entry does by itself.
func (w *world) stepEntry() {
	h := pick(w, w.homes, "entry")
	if !h.alive {
		return
	}
	switch w.draw(4, "entry action") {
	case 0:
		if !w.outage {
			w.adopt(h, w.list)
		}
	case 1:
		w.apply(h, h.table.Tick(w.now))
		w.recheck(h)
	case 2:
		w.handover(h)
	case 3:
		w.removeStopped(h)
	}
}

// stepList changes the list of entries, also against the will of the entry concerned.
func (w *world) stepList() {
	h := pick(w, w.homes, "entry")
	m, member := placement.Find(w.list, h.self.ID, h.self.Incarnation)
	switch w.draw(8, "list action") {
	case 0:
		if len(w.homes) < 9 {
			w.join(fmt.Sprintf("entry-%d", w.draw(5, "id")))
		}
	case 1:
		if member && h.alive && !w.outage {
			next, err := placement.MarkLeaving(w.list, m.ID, m.Incarnation)
			if err != nil {
				return // it is leaving already
			}
			w.list = next
			w.adopt(h, w.list)
		}
	case 2:
		w.kill(h)
	case 3:
		if member && !w.outage {
			w.list, _ = placement.Expel(w.list, m.ID, m.Incarnation, w.now)
			w.counts["expelled"]++
		}
	case 4:
		w.rejoin(h, member)
	case 5:
		if h.alive {
			w.apply(h, h.table.Stop(w.now))
		}
	case 6:
		w.outage = !w.outage
	case 7:
		w.stopInOutage(h)
	}
}

func (w *world) rejoin(h *home, member bool) {
	if !h.alive || member || h.table.IsMember() || w.outage {
		return
	}
	former := h.self
	h.self.Incarnation = w.next()
	for _, other := range w.homes {
		w.cut(fmt.Sprintf("%s/%d", former.ID, former.Incarnation), other.name())
	}
	for _, a := range w.agents {
		w.cut(fmt.Sprintf("%s/%d", former.ID, former.Incarnation), a.name())
		h.table.AgentDisconnected(w.now, a.ref)
	}
	h.table.Rejoin(h.self.Incarnation)
	w.removeStopped(h)
	w.list, _ = placement.Add(w.list, h.self, w.now)
	w.counts["rejoined"]++
	w.adopt(h, w.list)
	for _, other := range w.homes {
		if other != h {
			w.connectHomes(h, other)
		}
	}
	for _, a := range w.agents {
		w.connectAgent(h, a)
	}
}

func (w *world) stepAgentFault() {
	a := pick(w, w.agents, "agent")
	if !a.alive {
		w.replaceStated(a)
		return
	}
	graceful := w.draw(2, "graceful") == 0
	if graceful && len(a.queued)+len(a.running) > 0 {
		return
	}
	w.stopAgent(a, graceful)
	if !graceful && w.draw(3, "stated") == 0 {
		w.stateGone(a)
		return
	}
	w.startAgent(a.ref.ID)
}

func (w *world) stepTime() {
	if w.now.After(time.Unix(1_700_000_000, 0).Add(agentMemory - 20*time.Minute)) {
		return
	}
	steps := []time.Duration{
		10 * time.Millisecond, 10 * time.Millisecond, time.Second, time.Second, 5 * time.Second, 5 * time.Second,
		time.Minute, retention / 2, retention + 2*time.Minute,
	}
	w.now = w.now.Add(pick(w, steps, "time"))
}
