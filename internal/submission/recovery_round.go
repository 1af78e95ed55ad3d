package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// recoveryRound collects what previous homes started. A new round begins with each change that makes this entry inherit
// keys.
type recoveryRound struct {
	// number counts the rounds. Answers to a round before minNumber are ignored: the sender may not have known of an
	// entry that stopped without the store and whose keys have belonged to this entry since.
	number, minNumber uint64
	// minListVersion is the version of the list under which the round began; answers under an older list are ignored.
	minListVersion uint64
	startedAt      time.Time
	// pendingMembers are the members that have not yet reported the keys they hold.
	pendingMembers map[holderRef]struct{}
	// answeredSources holds the agents that sent all their records, by departed entry.
	answeredSources map[recordSource]struct{}
	// departedSeenAt holds, by incarnation, the time at which this entry first saw each departed entry in the list. If the
	// roster of a departed entry was never merged, records of agents unknown here may have been lost up to that time.
	departedSeenAt map[uint64]time.Time
	// reports are the answers of agents of which some parts are still missing.
	reports           map[recordSource]*report
	scheduledCollects []scheduledCollect
	statusOutdated    bool
	lastStatus        recoveryStatus
}

// scheduledCollect is a repeated request to an agent that has tasks without a result.
type scheduledCollect struct {
	source recordSource
	dueAt  time.Time
}

// startRecovery begins a new round, in which all members and agents are asked. Earlier answers covered only the keys
// that belonged to this entry at that time.
func (t *Table) startRecovery(now time.Time) {
	departedSeenAt := t.round.departedSeenAt
	number, minNumber := t.round.number+1, t.round.minNumber
	if len(t.receivedList.Stopped) > 0 {
		minNumber = number
	}
	t.round = recoveryRound{
		number:          number,
		minNumber:       minNumber,
		minListVersion:  t.effectiveList.Version,
		startedAt:       now,
		pendingMembers:  make(map[holderRef]struct{}),
		answeredSources: make(map[recordSource]struct{}),
		departedSeenAt:  make(map[uint64]time.Time),
		reports:         make(map[recordSource]*report),
	}
	for _, m := range t.effectiveList.Members {
		if !placement.SameIncarnation(m, t.self) {
			t.round.pendingMembers[holderOf(m)] = struct{}{}
		}
	}
	for _, d := range t.effectiveList.Departed {
		since, ok := departedSeenAt[d.Incarnation]
		if !ok {
			since = now
		}
		t.round.departedSeenAt[d.Incarnation] = since
	}
}

// dropDepartedMembers stops waiting for members that departed cleanly, because they have handed over all their keys.
func (r *recoveryRound) dropDepartedMembers(list *wire.EntryList) {
	for ref := range r.pendingMembers {
		if _, ok := placement.Find(list, ref.id, ref.incarnation); !ok {
			delete(r.pendingMembers, ref)
		}
	}
}

// isCurrentAnswer reports whether an answer under this list version to this round is valid. A version above that of the
// own list is not: under that list fewer keys may belong to this entry than it assumes.
func (t *Table) isCurrentAnswer(version, round uint64) bool {
	return round >= t.round.minNumber && version >= t.round.minListVersion && version <= placement.Version(t.effectiveList)
}

// NewInheritRequest returns the request to send to each of the members in Actions.InheritTargets.
func (t *Table) NewInheritRequest() *wire.InheritRequest {
	return &wire.InheritRequest{List: t.receivedList, Round: t.round.number}
}

// InheritReplyReceived stores which keys another member holds.
func (t *Table) InheritReplyReceived(now time.Time, from wire.Member, m *wire.InheritReply) Actions {
	t.expire(now)
	ref := holderOf(from)
	if !t.isCurrentAnswer(m.ListVersion, m.Round) {
		return Actions{}
	}
	// An entry in the table takes precedence over a pointer. But the entry can be a job of a previous incarnation that
	// ends as not_run and is removed, and then the pointer is needed.
	for _, key := range m.Keys {
		t.pointers.add(key, ref, now.Add(t.cfg.Retention+wire.RetentionSlack))
	}
	if !m.Last {
		return Actions{}
	}
	delete(t.round.pendingMembers, ref)
	t.round.statusOutdated = true
	t.finishRecoveryIfComplete(now)
	return Actions{ResubmitWaiting: true}
}

// mayRun decides whether a key without an entry, records or a holder may run. If not, it returns the Decision to give.
func (t *Table) mayRun(now time.Time, s Submission) (Decision, bool) {
	if t.isContinuouslyOwned(s) && !t.pointers.hasLostHolder(t.effectiveList, s.Key) {
		return Decision{}, true
	}
	if d, waiting := t.awaitAnswers(now, s.Deadline); waiting {
		return d, false
	}
	status := t.recoveryStatus(now)
	if status.recordsLostAt.IsZero() || provablyCreatedAfter(status.recordsLostAt, s.CreatedAt, now) {
		return Decision{}, true
	}
	return refuseRecovering(status.lostRecordsExpireAt.Sub(now)), false
}

// awaitAnswers returns Wait or a refusal while answers of members or agents are missing.
func (t *Table) awaitAnswers(now, deadline time.Time) (Decision, bool) {
	if len(t.round.pendingMembers) > 0 {
		if now.Before(deadline) {
			return Decision{Kind: Wait, Until: deadline}, true
		}
		return refuseRecovering(retryAfterSilence(now, t.round.startedAt)), true
	}
	status := t.recoveryStatus(now)
	if status.pendingAgents == 0 {
		return Decision{}, false
	}
	until := status.waitUntil
	if deadline.Before(until) {
		until = deadline
	}
	if now.Before(until) {
		return Decision{Kind: Wait, Until: until}, true
	}
	return refuseRecovering(retryAfterSilence(now, status.silentSince)), true
}

// provablyCreatedAfter reports whether a key was created after the given time. A creation time in the future proves
// nothing, because the caller's clock is wrong then.
func provablyCreatedAfter(at, created, now time.Time) bool {
	return !created.IsZero() && created.After(at.Add(maxClockSkew)) && !created.After(now.Add(maxClockSkew))
}

// finishRecoveryIfComplete ends the round if no answers are missing. From then on every key of this entry counts as
// owned.
func (t *Table) finishRecoveryIfComplete(now time.Time) {
	if t.effectiveList == nil || !t.isActive() || len(t.round.pendingMembers) > 0 {
		return
	}
	if status := t.recoveryStatus(now); status.pendingAgents == 0 && status.recordsLostAt.IsZero() {
		t.ownedLists = append(t.ownedLists[:0:0], t.effectiveList)
	}
}

func (t *Table) isActive() bool {
	m, ok := placement.Find(t.effectiveList, t.self.ID, t.self.Incarnation)
	return ok && m.State == wire.MemberActive
}
