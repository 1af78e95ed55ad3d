package submission

import (
	"slices"
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

type holderRef struct {
	id          string
	incarnation uint64
}

func holderOf(m wire.Member) holderRef { return holderRef{m.ID, m.Incarnation} }

type pointer struct {
	holder  uint16
	expires int64 // Unix milliseconds
}

type keyExpiry struct {
	key     wire.KeyHash
	expires int64
}

// pointers maps inherited keys to the members that hold them. A key seldom has more than one holder; the further
// ones are kept apart.
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
	added := pointer{p.indexOf(ref), expires.UnixMilli()}
	p.queue = append(p.queue, keyExpiry{key, added.expires})
	former, ok := p.first[key]
	if !ok || former.holder == added.holder {
		p.first[key] = added
		return
	}
	more := slices.DeleteFunc(p.more[key], func(o pointer) bool { return o.holder == added.holder })
	p.more[key] = append(more, added)
}

// holder returns a holder of the key that is still a member. One that departed clean has handed its answers over,
// and the keys of any other one are recovered from the agents.
func (p *pointers) holder(list *wire.EntryList, key wire.KeyHash) (wire.Member, bool) {
	first, ok := p.first[key]
	if !ok {
		return wire.Member{}, false
	}
	if m, ok := p.member(list, first); ok {
		return m, true
	}
	for _, o := range p.more[key] {
		if m, ok := p.member(list, o); ok {
			return m, true
		}
	}
	return wire.Member{}, false
}

func (p *pointers) member(list *wire.EntryList, o pointer) (wire.Member, bool) {
	ref := p.holders[o.holder]
	return placement.Find(list, ref.id, ref.incarnation)
}

// holderLost tells whether the key was held by an entry that is gone without a handover. What it started is known
// only from the agents then, even if the key has belonged to this entry all the time.
func (p *pointers) holderLost(list *wire.EntryList, key wire.KeyHash) bool {
	first, ok := p.first[key]
	if !ok {
		return false
	}
	lost := p.lost(list, first)
	for _, o := range p.more[key] {
		lost = lost || p.lost(list, o)
	}
	return lost
}

func (p *pointers) lost(list *wire.EntryList, o pointer) bool {
	if _, ok := p.member(list, o); ok {
		return false
	}
	return !slices.ContainsFunc(list.Departed, func(d wire.Departed) bool {
		return d.Clean && d.Incarnation == p.holders[o.holder].incarnation
	})
}

func (p *pointers) remove(key wire.KeyHash, ref holderRef) {
	p.filter(key, func(o pointer) bool { return p.holders[o.holder] == ref })
}

func (p *pointers) expire(now time.Time) {
	limit := now.UnixMilli()
	n := 0
	for n < len(p.queue) && p.queue[n].expires <= limit {
		p.filter(p.queue[n].key, func(o pointer) bool { return o.expires <= limit })
		n++
	}
	p.queue = p.queue[n:]
}

// filter removes the pointers of a key for which drop returns true.
func (p *pointers) filter(key wire.KeyHash, drop func(pointer) bool) {
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

func (p *pointers) indexOf(ref holderRef) uint16 {
	if i := slices.Index(p.holders, ref); i >= 0 {
		return uint16(i)
	}
	if len(p.first) == 0 {
		p.holders = p.holders[:0]
	}
	p.holders = append(p.holders, ref)
	return uint16(len(p.holders) - 1)
}
