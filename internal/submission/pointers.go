package submission

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// holderRef identifies one incarnation of a member.
type holderRef struct {
	id          string
	incarnation uint64
}

func holderOf(m wire.Member) holderRef { return holderRef{m.ID, m.Incarnation} }

// pointer refers to a member that holds a key. holder is an index into pointers.holders.
type pointer struct {
	holder  uint16
	expires int64 // Unix milliseconds
}

type keyExpiry struct {
	key     wire.KeyHash
	expires int64
}

// pointers maps inherited keys to the members that hold them. A key rarely has more than one holder; further holders are
// stored in more to keep first small.
type pointers struct {
	holders []holderRef
	first   map[wire.KeyHash]pointer
	more    map[wire.KeyHash][]pointer
	queue   []keyExpiry
}

func (p *pointers) init() {
	p.first = make(map[wire.KeyHash]pointer)
	p.more = make(map[wire.KeyHash][]pointer)
}

func (p *pointers) add(key wire.KeyHash, ref holderRef, expires time.Time) {
	added := pointer{p.holderIndex(ref), expires.UnixMilli()}
	p.queue = append(p.queue, keyExpiry{key, added.expires})
	previous, ok := p.first[key]
	if !ok || previous.holder == added.holder {
		p.first[key] = added
		return
	}
	more := slices.DeleteFunc(p.more[key], func(o pointer) bool { return o.holder == added.holder })
	p.more[key] = append(more, added)
}

// findHolder returns a holder of the key that is still a member. A holder that departed cleanly has handed over its
// answers, and the keys of any other departed holder are recovered from the agents.
func (p *pointers) findHolder(list *wire.EntryList, key wire.KeyHash) (wire.Member, bool) {
	first, ok := p.first[key]
	if !ok {
		return wire.Member{}, false
	}
	if m, ok := p.findMember(list, first); ok {
		return m, true
	}
	for _, o := range p.more[key] {
		if m, ok := p.findMember(list, o); ok {
			return m, true
		}
	}
	return wire.Member{}, false
}

func (p *pointers) findMember(list *wire.EntryList, o pointer) (wire.Member, bool) {
	ref := p.holders[o.holder]
	return placement.Find(list, ref.id, ref.incarnation)
}

// hasLostHolder reports whether a holder of the key departed without a handover. What that holder started is then known
// only to the agents, even if the key has always belonged to this entry.
func (p *pointers) hasLostHolder(list *wire.EntryList, key wire.KeyHash) bool {
	first, ok := p.first[key]
	if !ok {
		return false
	}
	lost := p.isHolderLost(list, first)
	for _, o := range p.more[key] {
		lost = lost || p.isHolderLost(list, o)
	}
	return lost
}

func (p *pointers) isHolderLost(list *wire.EntryList, o pointer) bool {
	if _, ok := p.findMember(list, o); ok {
		return false
	}
	return !slices.ContainsFunc(list.Departed, func(d wire.Departed) bool {
		return d.Clean && d.Incarnation == p.holders[o.holder].incarnation
	})
}

func (p *pointers) remove(key wire.KeyHash, ref holderRef) {
	p.removeIf(key, func(o pointer) bool { return p.holders[o.holder] == ref })
}

func (p *pointers) expire(now time.Time) {
	limit := now.UnixMilli()
	n := 0
	for n < len(p.queue) && p.queue[n].expires <= limit {
		p.removeIf(p.queue[n].key, func(o pointer) bool { return o.expires <= limit })
		n++
	}
	p.queue = p.queue[n:]
}

// removeIf removes the pointers of a key for which drop returns true.
func (p *pointers) removeIf(key wire.KeyHash, drop func(pointer) bool) {
	more := slices.DeleteFunc(p.more[key], drop)
	if first, ok := p.first[key]; ok && drop(first) {
		delete(p.first, key)
		if len(more) > 0 {
			p.first[key] = more[0]
			more = more[1:]
		}
	}
	if len(more) == 0 {
		delete(p.more, key)
		return
	}
	p.more[key] = more
}

func (p *pointers) holderIndex(ref holderRef) uint16 {
	if i := slices.Index(p.holders, ref); i >= 0 {
		return uint16(i)
	}
	if len(p.first) == 0 {
		p.holders = p.holders[:0]
	}
	p.holders = append(p.holders, ref)
	return uint16(len(p.holders) - 1)
}
