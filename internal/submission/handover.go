package submission

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const (
	// maxHandoverBytes is the size in bytes past which a Handover is closed. One more answer fits the frame.
	maxHandoverBytes = 1 << 20
	// maxHandoverItems bounds the items of one Handover.
	maxHandoverItems = 4096
	// maxHandoversOpen bounds the messages without an acknowledgement.
	maxHandoversOpen = 4
)

// HandoverTo is one message to a new home.
type HandoverTo struct {
	To      wire.Member
	Message *wire.Handover
	bytes   int
}

type openHandover struct {
	to   holderRef
	keys []wire.KeyHash
}

// handover passes the finished submissions of a leaving entry to their new homes.
type handover struct {
	active   bool
	queue    []wire.KeyHash
	open     map[uint64]openHandover
	sequence uint64
	// orphans counts submissions for which no member can be the home.
	orphans int
}

// restart begins again under a new list: a home may have changed after it confirmed.
func (h *handover) restart(t *Table) {
	m, ok := placement.Find(t.list, t.self.ID, t.self.Incarnation)
	h.active = ok && m.State == wire.MemberLeaving
	h.queue = nil
	h.open = make(map[uint64]openHandover)
	h.orphans = 0
	if !h.active {
		return
	}
	for slot := t.store.head; slot != 0; slot = t.store.at(slot).next {
		if e := t.store.at(slot); e.state == stateFinished {
			h.queue = append(h.queue, e.key)
		}
	}
	for key := range t.recovered.keys {
		if t.store.find(key) == nil {
			h.queue = append(h.queue, key)
		}
	}
}

// push adds a submission that finished while the entry leaves.
func (h *handover) push(key wire.KeyHash) {
	if h.active {
		h.queue = append(h.queue, key)
	}
}

// resend queues what a member has not confirmed.
func (h *handover) resend(to holderRef) {
	for sequence, o := range h.open {
		if o.to == to {
			h.queue = append(h.queue, o.keys...)
			delete(h.open, sequence)
		}
	}
}

// HandoverNext returns messages of a leaving entry, up to a bound of unconfirmed ones. Call it again after each
// HandoverAcked, MemberConnected and Complete.
func (t *Table) HandoverNext(now time.Time) []HandoverTo {
	t.expire(now)
	h := &t.handover
	var out []HandoverTo
	for h.active && len(h.queue) > 0 && len(h.open) < maxHandoversOpen {
		out = append(out, t.handoverBatch()...)
	}
	return out
}

// handoverBatch takes keys from the queue until one message is full, and returns a message for each home of them.
func (t *Table) handoverBatch() []HandoverTo {
	h := &t.handover
	var messages []HandoverTo
	for full := false; len(h.queue) > 0 && !full; {
		key := h.queue[0]
		h.queue = h.queue[1:]
		item, homes, ok := t.handoverItem(key)
		if !ok {
			continue
		}
		if len(homes) == 0 {
			h.orphans++
		}
		for _, home := range homes {
			i := slices.IndexFunc(messages, func(m HandoverTo) bool { return placement.SameRun(m.To, home) })
			if i < 0 {
				i = len(messages)
				messages = append(messages, t.openHandover(home))
			}
			full = t.addItem(&messages[i], item) || full
		}
	}
	return messages
}

func (t *Table) openHandover(home wire.Member) HandoverTo {
	h := &t.handover
	h.sequence++
	h.open[h.sequence] = openHandover{to: holderOf(home)}
	return HandoverTo{To: home, Message: &wire.Handover{Sequence: h.sequence, ListVersion: t.list.Version}}
}

func (t *Table) addItem(to *HandoverTo, item wire.HandoverItem) (full bool) {
	m := to.Message
	m.Items = append(m.Items, item)
	o := t.handover.open[m.Sequence]
	o.keys = append(o.keys, item.Key)
	t.handover.open[m.Sequence] = o
	to.bytes += answerSize(item.Answer)
	return to.bytes >= maxHandoverBytes || len(m.Items) >= maxHandoverItems
}

// handoverItem returns a finished submission and the members that can be its home. A submission that came from
// another process has no known home region, so each region counts.
func (t *Table) handoverItem(key wire.KeyHash) (wire.HandoverItem, []wire.Member, bool) {
	e := t.store.find(key)
	if e != nil && e.state == stateFinished {
		item := wire.HandoverItem{Key: key, Digest: e.digest, Expires: time.UnixMilli(int64(e.number)), Answer: e.answer}
		return item, t.homesOf(key, e.region), true
	}
	if k := t.recovered.keys[key]; e == nil && k != nil {
		item := wire.HandoverItem{Key: key, Digest: k.digest, Expires: time.UnixMilli(k.expires)}
		return item, t.homesOf(key, regionUnknown), true
	}
	return wire.HandoverItem{}, nil, false
}

func (t *Table) homesOf(key wire.KeyHash, region uint16) []wire.Member {
	regions := t.regionsOfEntry(region, regionsOf(t.list))
	var homes []wire.Member
	for _, r := range regions {
		home, ok := placement.Home(t.list, r, key)
		known := slices.ContainsFunc(homes, func(h wire.Member) bool { return placement.SameRun(h, home) })
		if ok && !known {
			homes = append(homes, home)
		}
	}
	return homes
}

// HandoverAcked notes that a new home has taken over a message.
func (t *Table) HandoverAcked(from wire.Member, m *wire.HandoverAck) {
	if o, ok := t.handover.open[m.Sequence]; ok && o.to == holderOf(from) {
		delete(t.handover.open, m.Sequence)
	}
}

// HandoverDone tells whether a leaving entry has nothing left to do under the list in use. It may then remove itself
// from exactly this version of the list: as clean, or like an expulsion if clean is false, because some answers have
// no new home.
func (t *Table) HandoverDone() (done, clean bool) {
	h := &t.handover
	done = h.active && t.store.running == 0 && len(h.queue) == 0 && len(h.open) == 0
	return done, done && h.orphans == 0
}

// HandoverReceived takes over finished submissions of a leaving member. If the result is true, confirm with
// HandoverAck. If newer is set, send it to the sender, which starts again under it. If neither is set, the sender's
// list must be adopted first.
func (t *Table) HandoverReceived(now time.Time, m *wire.Handover) (accepted bool, newer *wire.EntryList) {
	t.expire(now)
	if own := placement.Version(t.list); m.ListVersion != own {
		if own > m.ListVersion {
			return false, t.received
		}
		return false, nil
	}
	if !t.isActive() {
		return false, t.received
	}
	for i := range m.Items {
		t.takeItem(now, &m.Items[i])
	}
	return true, nil
}

// takeItem adds an item beyond the bound of entries if need be, because an unexpired key must not be forgotten.
func (t *Table) takeItem(now time.Time, item *wire.HandoverItem) {
	if !now.Before(item.Expires) {
		return
	}
	e := t.store.find(item.Key)
	if e != nil && (e.state == stateRunning || e.answer != nil || item.Answer == nil) {
		return
	}
	t.store.insert(item.Key, item.Digest, item.Answer, now.Add(t.cfg.Retention))
	if complete(item.Answer) {
		t.recovered.remove(item.Key)
	}
}
