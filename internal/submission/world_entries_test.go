package submission_test

import (
	"fmt"
	"maps"
	"slices"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// join starts an entry. In an outage of the store it is no member and learns the list from the others.
func (w *world) join(id string) {
	h := &home{alive: true, jobs: map[submission.Job]*job{}, self: wire.Member{
		ID: id, Incarnation: w.next(), Address: id, Region: []string{"north", "south"}[w.draw(2, "region")],
	}}
	h.table = submission.New(submission.Config{Retention: retention, AgentMemory: agentMemory}, h.self)
	w.homes = append(w.homes, h)
	if !w.outage {
		w.list, _ = placement.Add(w.list, h.self, w.now)
		w.adopt(h, w.list)
	}
	for _, other := range w.homes {
		if other != h {
			w.connectHomes(h, other)
		}
	}
	for _, a := range w.agents {
		w.connectAgent(h, a)
	}
}

func (w *world) connectHomes(a, b *home) {
	if !a.alive || !b.alive {
		return
	}
	w.cut(a.name(), b.name())
	w.restore(a.name(), b.name())
	for _, pair := range [][2]*home{{a, b}, {b, a}} {
		from, to, sender := pair[0], pair[1], pair[0].self
		w.sendList(from, to)
		roster := from.table.FullRoster(w.now)
		w.send(from.name(), to.name(), func() { w.apply(to, to.table.RosterReceived(w.now, sender, roster)) })
		w.apply(from, from.table.MemberConnected(to.self))
	}
}

func (w *world) sendList(from, to *home) {
	list := from.table.List()
	w.send(from.name(), to.name(), func() { w.adopt(to, list) })
}

func (w *world) adopt(h *home, list *wire.EntryList) {
	if h.alive && list != nil {
		if list.Version > placement.Version(h.table.List()) {
			w.t.Logf("%s adopts %+v", h.name(), *list)
		}
		w.apply(h, h.table.Adopt(w.now, list))
	}
}

// homeOf returns nil for a former incarnation of an entry that joined again.
func (w *world) homeOf(m wire.Member) *home {
	for _, h := range w.homes {
		if placement.SameRun(h.self, m) {
			return h
		}
	}
	return nil
}

func (w *world) apply(h *home, a submission.Actions) {
	if !h.alive {
		return
	}
	if a.Adopted {
		w.announce(h)
	}
	for _, m := range a.Inherit {
		w.askMember(h, m)
	}
	for _, c := range a.Collect {
		w.askAgent(h, c)
	}
	if a.Roster != nil {
		sender := h.self
		for _, other := range w.homes {
			w.send(h.name(), other.name(), func() { w.apply(other, other.table.RosterReceived(w.now, sender, a.Roster)) })
		}
	}
	if a.Recheck {
		w.recheck(h)
	}
}

func (w *world) announce(h *home) {
	list := h.table.List()
	for _, other := range w.homes {
		w.sendList(h, other)
	}
	for _, a := range w.agents {
		w.send(h.name(), a.name(), func() { a.table.Adopt(list) })
	}
}

func (w *world) askMember(h *home, m wire.Member) {
	to, asker, question := w.homeOf(m), h.self, h.table.Inherit()
	if to == nil {
		return
	}
	w.send(h.name(), to.name(), func() {
		answer, actions := to.table.InheritReceived(w.now, asker, question)
		holder := to.self
		if answer.Newer != nil {
			w.sendList(to, h)
		} else {
			w.send(to.name(), h.name(), func() { w.apply(h, h.table.RosterReceived(w.now, holder, answer.Roster)) })
		}
		for _, part := range answer.Parts {
			w.send(to.name(), h.name(), func() { w.apply(h, h.table.InheritedReceived(w.now, holder, part)) })
		}
		w.apply(to, actions)
	})
}

func (w *world) askAgent(h *home, c submission.CollectFrom) {
	asker := h.self
	for _, a := range w.agents {
		if a.ref != c.Agent {
			continue
		}
		w.send(h.name(), a.name(), func() {
			parts, newer := a.table.Collect(w.now, c.Message, asker.ID, asker.Incarnation)
			if newer != nil {
				w.send(a.name(), h.name(), func() { w.adopt(h, newer) })
			}
			for _, part := range splitParts(parts) {
				w.send(a.name(), h.name(), func() { w.apply(h, h.table.RecordsReceived(w.now, a.ref, part)) })
			}
		})
	}
}

// splitParts makes a part of its own for each key, as a large table of records would.
func splitParts(parts []*wire.Records) []*wire.Records {
	var all []*wire.Records
	for _, part := range parts {
		for i := range max(len(part.Keys), 1) {
			one := *part
			one.Keys = part.Keys[min(i, len(part.Keys)):min(i+1, len(part.Keys))]
			one.Part = uint16(len(all))
			one.Last = false
			all = append(all, &one)
		}
	}
	if len(all) > 0 {
		all[len(all)-1].Last = true
	}
	return all
}

// handover does what a leaving entry has to do, up to its removal from the list.
func (w *world) handover(h *home) {
	for _, o := range h.table.HandoverNext(w.now) {
		to, sender := w.homeOf(o.To), h.self
		if to == nil {
			continue
		}
		w.send(h.name(), to.name(), func() {
			accepted, newer := to.table.HandoverReceived(w.now, o.Message)
			if newer != nil {
				w.sendList(to, h)
			}
			if accepted {
				ack, receiver := &wire.HandoverAck{Sequence: o.Message.Sequence}, to.self
				w.send(to.name(), sender.ID+fmt.Sprintf("/%d", sender.Incarnation), func() { h.table.HandoverAcked(receiver, ack) })
			}
		})
	}
	done, clean := h.table.HandoverDone()
	m, _ := placement.Find(h.table.List(), h.self.ID, h.self.Incarnation)
	if done && clean && (w.outage || m.State == wire.MemberActive || w.draw(2, "without the store") == 0) {
		w.apply(h, h.table.StopDone(w.now))
		w.counts["done without the store"]++
		return
	}
	if m.ID != "" && !h.table.IsMember() {
		w.kill(h) // it has stated that it is done
	}
	if !done || w.outage || h.table.List().Version != w.list.Version {
		return
	}
	if clean {
		w.list, _ = placement.RemoveClean(w.list, h.self.ID, h.self.Incarnation, w.now)
		w.counts["clean"]++
	} else {
		w.list, _ = placement.Expel(w.list, h.self.ID, h.self.Incarnation, w.now)
	}
	w.kill(h)
}

// removeStopped removes the entries from the list of which h knows that they stopped without the store.
func (w *world) removeStopped(h *home) {
	if w.outage || h.table.List() == nil {
		return
	}
	for _, s := range h.table.List().Stopped {
		if next, err := placement.RemoveStopped(w.list, s); err == nil {
			w.list = next
			w.counts["removed as stopped"]++
		}
	}
}

// stopInOutage stops an entry without the store up to the end, while others stay connected to it, and may start it again.
func (w *world) stopInOutage(h *home) {
	active := 0
	if h.alive && h.table.IsMember() {
		for _, m := range placement.Effective(h.table.List()).Members {
			if m.State == wire.MemberActive {
				active++
			}
		}
	}
	if active < 2 {
		return
	}
	w.outage = true
	w.apply(h, h.table.Stop(w.now))
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		w.finish(h.jobs[id], true)
	}
	for range 3 {
		w.handover(h)
		for len(w.queues) > 0 && w.draw(40, "stop halfway") > 0 {
			w.deliver()
		}
	}
	if w.draw(2, "start again") == 0 && !h.alive && len(w.homes) < 9 {
		w.join(h.self.ID)
	}
}

func (w *world) kill(h *home) {
	h.alive = false
	for _, other := range w.homes {
		w.cut(h.name(), other.name())
	}
	for _, a := range w.agents {
		w.cut(h.name(), a.name())
	}
}
