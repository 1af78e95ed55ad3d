package submission

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

const (
	// maxHandoverBytes is the size of the answers in bytes at which a Handover message is closed. It leaves room in the
	// frame for one more answer.
	maxHandoverBytes = 1 << 20
	// maxHandoverItems bounds the number of items in one Handover message.
	maxHandoverItems = 4096
	// maxUnackedHandovers bounds the number of messages that wait for an acknowledgement.
	maxUnackedHandovers = 4
)

// OutgoingHandover is one Handover message to a new home.
type OutgoingHandover struct {
	To      wire.Member
	Message *wire.Handover
	bytes   int
}

// unackedHandover is a message that its receiver has not acknowledged.
type unackedHandover struct {
	to   holderRef
	keys []wire.KeyHash
}

// handover is the transfer of the finished submissions of a leaving entry to their new homes.
type handover struct {
	active   bool
	queue    []wire.KeyHash
	unacked  map[uint64]unackedHandover
	sequence uint64
	// orphans counts submissions for which no member can be the home.
	orphans int
}

// restart queues all finished submissions again after a change of the list, because a home that sent an acknowledgement
// may no longer be the home.
func (h *handover) restart(t *Table) {
	m, ok := placement.Find(t.effectiveList, t.self.ID, t.self.Incarnation)
	h.active = ok && m.State == wire.MemberLeaving
	h.queue = nil
	h.unacked = make(map[uint64]unackedHandover)
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

// enqueue adds a submission that finished while the entry is leaving.
func (h *handover) enqueue(key wire.KeyHash) {
	if h.active {
		h.queue = append(h.queue, key)
	}
}

// requeueUnacked queues again what a member has not acknowledged.
func (h *handover) requeueUnacked(to holderRef) {
	for sequence, o := range h.unacked {
		if o.to == to {
			h.queue = append(h.queue, o.keys...)
			delete(h.unacked, sequence)
		}
	}
}

// HandoverNext returns the next messages of a leaving entry, up to the limit of unacknowledged messages. Call it again
// after each HandoverAcked, MemberConnected and Complete.
func (t *Table) HandoverNext(now time.Time) []OutgoingHandover {
	t.expire(now)
	h := &t.handover
	var out []OutgoingHandover
	for h.active && len(h.queue) > 0 && len(h.unacked) < maxUnackedHandovers {
		out = append(out, t.handoverBatch()...)
	}
	return out
}

// handoverBatch takes keys from the queue until one message is full, and returns one message for each of their homes.
func (t *Table) handoverBatch() []OutgoingHandover {
	h := &t.handover
	var messages []OutgoingHandover
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
			i := slices.IndexFunc(messages, func(m OutgoingHandover) bool { return placement.SameIncarnation(m.To, home) })
			if i < 0 {
				i = len(messages)
				messages = append(messages, t.newHandover(home))
			}
			full = t.addItem(&messages[i], item) || full
		}
	}
	return messages
}

func (t *Table) newHandover(home wire.Member) OutgoingHandover {
	h := &t.handover
	h.sequence++
	h.unacked[h.sequence] = unackedHandover{to: holderOf(home)}
	return OutgoingHandover{To: home, Message: &wire.Handover{Sequence: h.sequence, ListVersion: t.effectiveList.Version}}
}

func (t *Table) addItem(to *OutgoingHandover, item wire.HandoverItem) (full bool) {
	m := to.Message
	m.Items = append(m.Items, item)
	o := t.handover.unacked[m.Sequence]
	o.keys = append(o.keys, item.Key)
	t.handover.unacked[m.Sequence] = o
	to.bytes += answerSize(item.Answer)
	return to.bytes >= maxHandoverBytes || len(m.Items) >= maxHandoverItems
}

// handoverItem returns a finished submission and the members that can be its home. The home region of a submission that
// came from another process is not known, so its home in each region is included.
func (t *Table) handoverItem(key wire.KeyHash) (wire.HandoverItem, []wire.Member, bool) {
	e := t.store.find(key)
	if e != nil && e.state == stateFinished {
		item := wire.HandoverItem{Key: key, Digest: e.digest, Expires: time.UnixMilli(int64(e.jobOrExpiry)), Answer: e.answer}
		return item, t.possibleHomes(key, e.region), true
	}
	if k := t.recovered.keys[key]; e == nil && k != nil {
		item := wire.HandoverItem{Key: key, Digest: k.digest, Expires: time.UnixMilli(k.expires)}
		return item, t.possibleHomes(key, regionUnknown), true
	}
	return wire.HandoverItem{}, nil, false
}

func (t *Table) possibleHomes(key wire.KeyHash, region uint16) []wire.Member {
	regions := t.possibleRegions(region, allRegions(t.effectiveList))
	var homes []wire.Member
	for _, r := range regions {
		home, ok := placement.Home(t.effectiveList, r, key)
		known := slices.ContainsFunc(homes, func(h wire.Member) bool { return placement.SameIncarnation(h, home) })
		if ok && !known {
			homes = append(homes, home)
		}
	}
	return homes
}

// HandoverAcked records that a new home has acknowledged a message.
func (t *Table) HandoverAcked(from wire.Member, m *wire.HandoverAck) {
	if o, ok := t.handover.unacked[m.Sequence]; ok && o.to == holderOf(from) {
		delete(t.handover.unacked, m.Sequence)
	}
}

// HandoverDone reports whether a leaving entry has nothing left to do under the list in use. If so, the entry may remove
// itself from exactly this version of the list: as departed cleanly if clean is true, otherwise as expelled, because
// some answers have no new home.
func (t *Table) HandoverDone() (done, clean bool) {
	h := &t.handover
	done = h.active && t.store.running == 0 && len(h.queue) == 0 && len(h.unacked) == 0
	return done, done && h.orphans == 0
}

// HandoverReceived stores finished submissions of a leaving member. If accepted is true, the caller answers with
// HandoverAck. If newer is set, the caller sends it to the sender, which starts its handover again under that list. If
// neither is set, the caller must first adopt the sender's list.
func (t *Table) HandoverReceived(now time.Time, m *wire.Handover) (accepted bool, newer *wire.EntryList) {
	t.expire(now)
	if own := placement.Version(t.effectiveList); m.ListVersion != own {
		if own > m.ListVersion {
			return false, t.receivedList
		}
		return false, nil
	}
	if !t.isActive() {
		return false, t.receivedList
	}
	for i := range m.Items {
		t.storeItem(now, &m.Items[i])
	}
	return true, nil
}

// storeItem stores an item even if that exceeds MaxSubmissions, because an unexpired key must not be forgotten.
func (t *Table) storeItem(now time.Time, item *wire.HandoverItem) {
	if !now.Before(item.Expires) {
		return
	}
	e := t.store.find(item.Key)
	if e != nil && (e.state == stateRunning || e.answer != nil || item.Answer == nil) {
		return
	}
	t.store.insert(item.Key, item.Digest, item.Answer, now.Add(t.cfg.Retention))
	if isComplete(item.Answer) {
		t.recovered.remove(item.Key)
	}
}
