package submission_test

import (
	"fmt"
	"maps"
	"slices"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/submission"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// startEntry starts an entry. During an outage of the store it is not a member and receives the list from the others.
func (sim *simulation) startEntry(id string) {
	h := &home{alive: true, jobs: map[submission.Job]*job{}, self: wire.Member{
		ID: id, Incarnation: sim.nextID(), Address: id, Region: []string{"north", "south"}[sim.draw(2, "region")],
	}}
	h.table = submission.New(submission.Config{Retention: retention, SilentAgentTimeout: silentAgentTimeout}, h.self)
	sim.homes = append(sim.homes, h)
	if !sim.storeOutage {
		sim.list, _ = placement.Add(sim.list, h.self, sim.now)
		sim.adoptList(h, sim.list)
	}
	for _, other := range sim.homes {
		if other != h {
			sim.connectHomes(h, other)
		}
	}
	for _, a := range sim.agents {
		sim.connectAgent(h, a)
	}
}

func (sim *simulation) connectHomes(a, b *home) {
	if !a.alive || !b.alive {
		return
	}
	sim.cutLink(a.name(), b.name())
	sim.restoreLink(a.name(), b.name())
	for _, pair := range [][2]*home{{a, b}, {b, a}} {
		from, to, sender := pair[0], pair[1], pair[0].self
		sim.sendList(from, to)
		roster := from.table.FullRoster(sim.now)
		sim.send(from.name(), to.name(), func() { sim.applyActions(to, to.table.RosterReceived(sim.now, sender, roster)) })
		sim.applyActions(from, from.table.MemberConnected(to.self))
	}
}

func (sim *simulation) sendList(from, to *home) {
	list := from.table.List()
	sim.send(from.name(), to.name(), func() { sim.adoptList(to, list) })
}

func (sim *simulation) adoptList(h *home, list *wire.EntryList) {
	if h.alive && list != nil {
		if list.Version > placement.Version(h.table.List()) {
			sim.t.Logf("%s adopts %+v", h.name(), *list)
		}
		sim.applyActions(h, h.table.Adopt(sim.now, list))
	}
}

// homeOf returns the home with the incarnation of m, or nil if that is a previous incarnation of an entry that joined
// again.
func (sim *simulation) homeOf(m wire.Member) *home {
	for _, h := range sim.homes {
		if placement.SameIncarnation(h.self, m) {
			return h
		}
	}
	return nil
}

func (sim *simulation) applyActions(h *home, a submission.Actions) {
	if !h.alive {
		return
	}
	if a.Adopted {
		sim.broadcastList(h)
	}
	for _, m := range a.InheritTargets {
		sim.sendInheritRequest(h, m)
	}
	for _, c := range a.CollectRequests {
		sim.sendCollect(h, c)
	}
	if a.Roster != nil {
		sender := h.self
		for _, other := range sim.homes {
			sim.send(h.name(), other.name(), func() { sim.applyActions(other, other.table.RosterReceived(sim.now, sender, a.Roster)) })
		}
	}
	if a.ResubmitWaiting {
		sim.resubmitWaiting(h)
	}
}

func (sim *simulation) broadcastList(h *home) {
	list := h.table.List()
	for _, other := range sim.homes {
		sim.sendList(h, other)
	}
	for _, a := range sim.agents {
		sim.send(h.name(), a.name(), func() { a.table.Adopt(list) })
	}
}

func (sim *simulation) sendInheritRequest(h *home, m wire.Member) {
	to, requester, request := sim.homeOf(m), h.self, h.table.NewInheritRequest()
	if to == nil {
		return
	}
	sim.send(h.name(), to.name(), func() {
		answer, actions := to.table.InheritRequestReceived(sim.now, requester, request)
		holder := to.self
		if answer.Newer != nil {
			sim.sendList(to, h)
		} else {
			sim.send(to.name(), h.name(), func() { sim.applyActions(h, h.table.RosterReceived(sim.now, holder, answer.Roster)) })
		}
		for _, part := range answer.Parts {
			sim.send(to.name(), h.name(), func() { sim.applyActions(h, h.table.InheritReplyReceived(sim.now, holder, part)) })
		}
		sim.applyActions(to, actions)
	})
}

func (sim *simulation) sendCollect(h *home, c submission.CollectRequest) {
	requester := h.self
	for _, a := range sim.agents {
		if a.ref != c.Agent {
			continue
		}
		sim.send(h.name(), a.name(), func() {
			parts, newer := a.table.Collect(sim.now, c.Message, requester.ID, requester.Incarnation)
			if newer != nil {
				sim.send(a.name(), h.name(), func() { sim.adoptList(h, newer) })
			}
			for _, part := range splitParts(parts) {
				sim.send(a.name(), h.name(), func() { sim.applyActions(h, h.table.RecordsReceived(sim.now, a.ref, part)) })
			}
		})
	}
}

// splitParts puts each key into a part of its own, as happens with a large table of records.
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

// stepHandover performs the steps of a leaving entry up to its removal from the list.
func (sim *simulation) stepHandover(h *home) {
	for _, o := range h.table.HandoverNext(sim.now) {
		to, sender := sim.homeOf(o.To), h.self
		if to == nil {
			continue
		}
		sim.send(h.name(), to.name(), func() {
			accepted, newer := to.table.HandoverReceived(sim.now, o.Message)
			if newer != nil {
				sim.sendList(to, h)
			}
			if accepted {
				ack, receiver := &wire.HandoverAck{Sequence: o.Message.Sequence}, to.self
				sim.send(to.name(), sender.ID+fmt.Sprintf("/%d", sender.Incarnation), func() { h.table.HandoverAcked(receiver, ack) })
			}
		})
	}
	done, clean := h.table.HandoverDone()
	m, _ := placement.Find(h.table.List(), h.self.ID, h.self.Incarnation)
	if done && clean && (sim.storeOutage || m.State == wire.MemberActive || sim.draw(2, "without the store") == 0) {
		sim.applyActions(h, h.table.FinishStop(sim.now))
		sim.counts["done without the store"]++
		return
	}
	if m.ID != "" && !h.table.IsMember() {
		sim.killEntry(h) // it has announced that it is done
	}
	if !done || sim.storeOutage || h.table.List().Version != sim.list.Version {
		return
	}
	if clean {
		sim.list, _ = placement.RemoveClean(sim.list, h.self.ID, h.self.Incarnation, sim.now)
		sim.counts["clean"]++
	} else {
		sim.list, _ = placement.Expel(sim.list, h.self.ID, h.self.Incarnation, sim.now)
	}
	sim.killEntry(h)
}

// removeStopped removes the members from the list that, as h knows, have stopped without the store.
func (sim *simulation) removeStopped(h *home) {
	if sim.storeOutage || h.table.List() == nil {
		return
	}
	for _, s := range h.table.List().Stopped {
		if next, err := placement.RemoveStopped(sim.list, s); err == nil {
			sim.list = next
			sim.counts["removed as stopped"]++
		}
	}
}

// stopInOutage stops an entry during an outage of the store while others stay connected to it. It may start the entry
// again.
func (sim *simulation) stopInOutage(h *home) {
	active := 0
	if h.alive && h.table.IsMember() {
		for _, m := range placement.ApplyStopNotices(h.table.List()).Members {
			if m.State == wire.MemberActive {
				active++
			}
		}
	}
	if active < 2 {
		return
	}
	sim.storeOutage = true
	sim.applyActions(h, h.table.Stop(sim.now))
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		sim.finishJob(h.jobs[id], true)
	}
	for range 3 {
		sim.stepHandover(h)
		for len(sim.messages) > 0 && sim.draw(40, "stop halfway") > 0 {
			sim.deliver()
		}
	}
	if sim.draw(2, "start again") == 0 && !h.alive && len(sim.homes) < 9 {
		sim.startEntry(h.self.ID)
	}
}

func (sim *simulation) killEntry(h *home) {
	h.alive = false
	for _, other := range sim.homes {
		sim.cutLink(h.name(), other.name())
	}
	for _, a := range sim.agents {
		sim.cutLink(h.name(), a.name())
	}
}
