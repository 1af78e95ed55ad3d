package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/placement"
	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// Submit decides on a keyed submission from a caller or from a Forward. If the decision is Run, the key is recorded as
// running.
func (t *Table) Submit(now time.Time, s Submission) Decision {
	t.expire(now)
	if d, ok := t.decideKnown(now, s); ok {
		return d
	}
	if d, ok := t.decideElsewhere(s); ok {
		return d
	}
	if isKeyExpired(now, s.CreatedAt, t.cfg.Retention) {
		return refuse(wire.OutcomeUnknown, wire.ReasonKeyExpired, "the key is older than the retention window", 0)
	}
	if d, ok := t.mayRun(now, s); !ok {
		return d
	}
	if len(t.store.index) >= t.cfg.MaxSubmissions {
		return refuse(wire.OutcomeNotRun, wire.ReasonTableFull, "the table of submissions is full", tableFullRetryAfter)
	}
	return Decision{Kind: Run, Job: t.store.addRunning(s.Key, s.Digest, s.Region, t.epoch)}
}

// Lookup returns the state of a key without starting anything: Join, Stored, Conflict, ForwardToHolder, NotHome, Missing, or
// Refuse while a peer that has not answered yet may know the key. A zero Digest is not compared.
func (t *Table) Lookup(now time.Time, s Submission) Decision {
	t.expire(now)
	if d, ok := t.decideKnown(now, s); ok {
		return d
	}
	if d, ok := t.decideElsewhere(s); ok {
		return d
	}
	if d, ok := t.mayRun(now, s); !ok {
		if d.Kind == Wait {
			return refuseRecovering(minRetryAfter)
		}
		return d
	}
	return Decision{Kind: Missing}
}

// decideKnown decides from the entries and the recovered records of this table. It returns false if they do not suffice.
func (t *Table) decideKnown(now time.Time, s Submission) (Decision, bool) {
	if e := t.store.find(s.Key); e != nil {
		if !s.ForHeldKey && !t.isHome(s) && e.state == stateFinished && !isComplete(e.answer) {
			// The home may know more, for example after this entry was expelled and joined again.
			return Decision{}, false
		}
		return t.decideFromEntry(now, e, s), true
	}
	r := t.recovered.keys[s.Key]
	if r == nil || (!s.ForHeldKey && !t.isHome(s)) {
		return Decision{}, false
	}
	if t.promoteIfComplete(now, s.Key, r) {
		return t.decideFromEntry(now, t.store.find(s.Key), s), true
	}
	if !s.ForHeldKey {
		if holder, ok := t.pointers.findHolder(t.effectiveList, s.Key); ok {
			return Decision{Kind: ForwardToHolder, Holder: holder}, true
		}
	}
	return t.decideFromRecovered(now, r, s), true
}

func (t *Table) decideFromEntry(now time.Time, e *entry, s Submission) Decision {
	switch {
	case !sameDigest(e.digest, s.Digest):
		return t.decideConflict(now, e.region == regionUnknown, s)
	case e.state == stateRunning:
		return Decision{Kind: Join, Job: Job(e.jobOrExpiry)}
	case e.answer != nil:
		return Decision{Kind: Stored, Answer: e.answer}
	default:
		return Decision{Kind: Stored, Answer: &wire.Answer{
			Outcome: wire.OutcomeUnknown, Reason: wire.ReasonAnswerExpired,
			Message: "the job was finished, and its answer is no longer stored",
		}}
	}
}

// decideConflict decides on a submission whose body differs from the known one. While records of an expelled entry are
// missing, a recovered key can still turn out to have run with this body too.
func (t *Table) decideConflict(now time.Time, recovered bool, s Submission) Decision {
	if recovered {
		if d, waiting := t.awaitAnswers(now, s.Deadline); waiting {
			return d
		}
	}
	return Decision{Kind: Conflict}
}

// decideElsewhere decides on a submission that another entry has to handle. It returns false if this entry is the home
// and no other member holds the key.
func (t *Table) decideElsewhere(s Submission) (Decision, bool) {
	switch {
	case s.ForHeldKey:
		return Decision{Kind: Missing}, true
	case s.ListVersion != 0 && s.ListVersion != placement.Version(t.effectiveList):
		return Decision{Kind: NotHome}, true
	}
	home, ok := t.Home(s.Region, s.Key)
	if !ok {
		return refuse(wire.OutcomeUnknown, wire.ReasonHomeUnreachable, "no entry can be the home of this key", minRetryAfter), true
	}
	if !placement.SameIncarnation(home, t.self) {
		return Decision{Kind: NotHome}, true
	}
	if holder, ok := t.pointers.findHolder(t.effectiveList, s.Key); ok {
		return Decision{Kind: ForwardToHolder, Holder: holder}, true
	}
	return Decision{}, false
}

// HolderMissing removes the pointer of a key after its holder answered that it does not know the key. That happens when
// the job ended as not_run or when the retention window is over.
func (t *Table) HolderMissing(key wire.KeyHash, holder wire.Member) {
	t.pointers.remove(key, holderOf(holder))
}

// Complete stores the final answer of a running job and returns the answer to give to every joined submission. A not_run
// job is removed, so that the key can be submitted again. Complete returns nil if the job is not running.
//
// After the expulsion of this entry another one may run the key for another submission. The outcome not_run is therefore
// replaced by unknown, so that the caller asks the new home.
func (t *Table) Complete(now time.Time, job Job, answer *wire.Answer) *wire.Answer {
	t.expire(now)
	e := t.store.runningEntry(job)
	if e == nil {
		return nil
	}
	if answer.Outcome == wire.OutcomeNotRun {
		valid := t.MayStart(job)
		t.store.removeJob(job)
		if !valid {
			return refuse(wire.OutcomeUnknown, wire.ReasonExpelled, "the entry that had the job was removed", minRetryAfter).Answer
		}
		return answer
	}
	answer = limitAnswerSize(answer)
	t.store.finishJob(job, answer, now.Add(t.cfg.Retention))
	t.handover.enqueue(e.key)
	return answer
}

// limitAnswerSize replaces an answer that does not fit into a frame.
func limitAnswerSize(a *wire.Answer) *wire.Answer {
	total := 0
	for i := range a.Tasks {
		total += contentSize(a.Tasks[i].Headers, a.Tasks[i].Body)
	}
	if total <= wire.MaxJobAnswer {
		return a
	}
	failed := &wire.Answer{
		Outcome: wire.OutcomeUnknown, Reason: wire.ReasonAnswerTooLarge,
		Message: "the answers of the tasks exceed the limit together", Tasks: make([]wire.TaskAnswer, len(a.Tasks)),
	}
	for i := range a.Tasks {
		failed.Tasks[i].Outcome = a.Tasks[i].Outcome
	}
	return failed
}

func (t *Table) isHome(s Submission) bool {
	home, ok := t.Home(s.Region, s.Key)
	return ok && placement.SameIncarnation(home, t.self)
}

// isKeyExpired reports whether a UUIDv7 key is so old that a table may have forgotten it.
func isKeyExpired(now, created time.Time, retention time.Duration) bool {
	return !created.IsZero() && now.Sub(created) > retention-maxClockSkew
}

// sameDigest compares two digests. The zero digest means unknown and matches any other.
func sameDigest(a, b [16]byte) bool {
	return a == b || a == [16]byte{} || b == [16]byte{}
}

func isComplete(a *wire.Answer) bool {
	return a != nil && a.Outcome == wire.OutcomeComplete
}
