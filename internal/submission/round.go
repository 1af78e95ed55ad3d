package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// round is the search for what former homes started, since the last change that made this entry inherit keys.
type round struct {
	// number counts the searches. Answers to a search before required do not count, because whoever answered may not
	// have known of an entry that stopped without the store, whose keys belong to this one since.
	number, required uint64
	// version is the list under which the search began; answers under an older list do not count.
	version uint64
	started time.Time
	// members are the members that have not told what they hold.
	members map[holderRef]struct{}
	// answered has the agents that sent all their records, by departed entry.
	answered map[reporter]struct{}
	// blind has the time at which an expelled entry was first seen whose agents are not known completely.
	blind map[uint64]time.Time
	// reports are the answers of agents of which not all parts have arrived.
	reports map[reporter]*report
	reasks  []reask
	dirty   bool
	last    verdict
}

// reask is a further question to an agent whose tasks have no result yet.
type reask struct {
	source reporter
	at     time.Time
}

// restart asks everyone again. Former answers told only about the keys of that time.
func (t *Table) restart(now time.Time) {
	blind := t.round.blind
	number, required := t.round.number+1, t.round.required
	if len(t.received.Stopped) > 0 {
		required = number
	}
	t.round = round{
		number:   number,
		required: required,
		version:  t.list.Version,
		started:  now,
		members:  make(map[holderRef]struct{}),
		answered: make(map[reporter]struct{}),
		blind:    make(map[uint64]time.Time),
		reports:  make(map[reporter]*report),
	}
	for _, m := range t.list.Members {
		if !placement.SameRun(m, t.self) {
			t.round.members[holderOf(m)] = struct{}{}
		}
	}
	for _, d := range t.list.Departed {
		since, ok := blind[d.Incarnation]
		if !ok {
			since = now
		}
		t.round.blind[d.Incarnation] = since
	}
}

// keepMembers stops waiting for members that departed clean: they have handed everything over.
func (r *round) keepMembers(list *wire.EntryList) {
	for ref := range r.members {
		if _, ok := placement.Find(list, ref.id, ref.incarnation); !ok {
			delete(r.members, ref)
		}
	}
}

// current tells whether an answer under this list version to this search counts. A higher version than the own one does
// not: under it fewer keys may belong to this entry than it believes.
func (t *Table) current(version, round uint64) bool {
	return round >= t.round.required && version >= t.round.version && version <= placement.Version(t.list)
}

// Inherit returns the question to each of the members in Actions.Inherit.
func (t *Table) Inherit() *wire.Inherit {
	return &wire.Inherit{List: t.received, Round: t.round.number}
}

// InheritedReceived takes over the keys that another member holds.
func (t *Table) InheritedReceived(now time.Time, from wire.Member, m *wire.Inherited) Actions {
	t.expire(now)
	ref := holderOf(from)
	if !t.current(m.ListVersion, m.Round) {
		return Actions{}
	}
	// An entry of this table comes before a pointer, but it can be a job of a former incarnation that ends as not_run
	// and is forgotten. The pointer counts then.
	for _, key := range m.Keys {
		t.pointers.add(key, ref, now.Add(t.cfg.Retention+wire.RetentionSlack))
	}
	if !m.Last {
		return Actions{}
	}
	delete(t.round.members, ref)
	t.round.dirty = true
	t.settle(now)
	return Actions{Recheck: true}
}

// mayRun decides on a key without records, entry or holder.
func (t *Table) mayRun(now time.Time, s Submission) (Decision, bool) {
	if t.isOwned(s) && !t.pointers.holderLost(t.list, s.Key) {
		return Decision{}, true
	}
	if d, waiting := t.awaitAnswers(now, s.Deadline); waiting {
		return d, false
	}
	v := t.verdict(now)
	if v.horizon.IsZero() || youngerThan(v.horizon, s.CreatedAt, now) {
		return Decision{}, true
	}
	return recovering(v.horizonEnd.Sub(now)), false
}

// awaitAnswers returns Wait or a refusal while members or agents have not answered.
func (t *Table) awaitAnswers(now, deadline time.Time) (Decision, bool) {
	if len(t.round.members) > 0 {
		if now.Before(deadline) {
			return Decision{Kind: Wait, Until: deadline}, true
		}
		return recovering(retryAfterSilence(now, t.round.started)), true
	}
	v := t.verdict(now)
	if v.agents == 0 {
		return Decision{}, false
	}
	until := v.waitUntil
	if deadline.Before(until) {
		until = deadline
	}
	if now.Before(until) {
		return Decision{Kind: Wait, Until: until}, true
	}
	return recovering(retryAfterSilence(now, v.silentSince)), true
}

// youngerThan tells whether a key was provably created after the horizon. A key whose time lies in the future proves
// nothing.
func youngerThan(horizon, created, now time.Time) bool {
	return !created.IsZero() && created.After(horizon.Add(clockSkew)) && !created.After(now.Add(clockSkew))
}

// settle ends the search when nothing is missing: every key of this entry is owned from then on.
func (t *Table) settle(now time.Time) {
	if t.list == nil || !t.isActive() || len(t.round.members) > 0 {
		return
	}
	if v := t.verdict(now); v.agents == 0 && v.horizon.IsZero() {
		t.owned = append(t.owned[:0:0], t.list)
	}
}

func (t *Table) isActive() bool {
	m, ok := placement.Find(t.list, t.self.ID, t.self.Incarnation)
	return ok && m.State == wire.MemberActive
}
