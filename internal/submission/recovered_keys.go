package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// recoveredKey is what the agents recorded about a key of a departed entry. It is kept until every task has a recorded
// answer; the complete answer then becomes a finished entry.
type recoveredKey struct {
	digest [16]byte
	tasks  uint16
	// ended holds the records of the tasks that ended; of several records of a task, one with an answer. They are kept
	// regardless of later answers of the agents, because agents drop their records earlier than this table.
	ended map[uint16]wire.TaskRecord
	// openTasks holds the tasks that were queued or running, for each agent that listed them. A queued task can still be
	// refused, and for a running one it can turn out that the upstream was not reached.
	openTasks map[openTaskAt]struct{}
	bytes     int
	expires   int64 // Unix milliseconds
	// openUntil bounds the time during which a task that was queued or running can still get a result.
	openUntil time.Time
	// inconsistent is true when records disagree about the number of tasks or the digest of the job. Such a key never
	// gets an answer, even if one of the records is withdrawn later.
	inconsistent bool
}

// openTaskAt is an open task of a key at one agent.
type openTaskAt struct {
	source recordSource
	task   uint16
}

// recoveredKeys holds the recovered keys until they expire or become finished entries.
type recoveredKeys struct {
	keys map[wire.KeyHash]*recoveredKey
	// openBySource holds the open tasks of all keys by the agent and departed entry for which they were listed.
	openBySource map[recordSource]map[openTask]struct{}
	queue        []keyExpiry
	bytes        int
}

func (r *recoveredKeys) init() {
	r.keys = make(map[wire.KeyHash]*recoveredKey)
	r.openBySource = make(map[recordSource]map[openTask]struct{})
}

func (r *recoveredKeys) getOrAdd(key wire.KeyHash, record *wire.KeyRecord, expires time.Time) *recoveredKey {
	found := r.keys[key]
	if found == nil {
		found = &recoveredKey{
			digest: record.Digest, tasks: record.Tasks,
			ended: make(map[uint16]wire.TaskRecord), openTasks: make(map[openTaskAt]struct{}),
		}
		r.keys[key] = found
	}
	if found.tasks != record.Tasks || !sameDigest(found.digest, record.Digest) {
		found.inconsistent = true
	}
	found.expires = expires.UnixMilli()
	r.queue = append(r.queue, keyExpiry{key, found.expires})
	return found
}

func (r *recoveredKeys) remove(key wire.KeyHash) {
	found := r.keys[key]
	if found == nil {
		return
	}
	for o := range found.openTasks {
		r.unindex(o.source, openTask{key, o.task})
	}
	r.bytes -= found.bytes
	delete(r.keys, key)
}

// addOpen records that an agent listed a task of a key as queued or running.
func (r *recoveredKeys) addOpen(source recordSource, task openTask) {
	r.keys[task.key].openTasks[openTaskAt{source, task.task}] = struct{}{}
	tasks := r.openBySource[source]
	if tasks == nil {
		tasks = make(map[openTask]struct{})
		r.openBySource[source] = tasks
	}
	tasks[task] = struct{}{}
}

// withdraw removes an open task of one agent, and the key if nothing else is known about it.
func (r *recoveredKeys) withdraw(source recordSource, task openTask) {
	r.closeTask(source, task)
	r.removeIfEmpty(task.key)
}

// closeTask records that a task is no longer open at one agent.
func (r *recoveredKeys) closeTask(source recordSource, task openTask) {
	r.unindex(source, task)
	delete(r.keys[task.key].openTasks, openTaskAt{source, task.task})
}

func (r *recoveredKeys) removeIfEmpty(key wire.KeyHash) {
	if k := r.keys[key]; len(k.openTasks) == 0 && len(k.ended) == 0 {
		r.remove(key)
	}
}

func (r *recoveredKeys) unindex(source recordSource, task openTask) {
	delete(r.openBySource[source], task)
	if len(r.openBySource[source]) == 0 {
		delete(r.openBySource, source)
	}
}

func (r *recoveredKeys) expire(now time.Time) {
	limit := now.UnixMilli()
	n := 0
	for n < len(r.queue) && r.queue[n].expires <= limit {
		if found := r.keys[r.queue[n].key]; found != nil && found.expires <= limit {
			r.remove(r.queue[n].key)
		}
		n++
	}
	r.queue = r.queue[n:]
}

// addEnded adds the record of an ended task. If the task has two records, one with an answer is kept. It returns the
// change of the stored size in bytes.
func (k *recoveredKey) addEnded(record wire.TaskRecord) (addedBytes int) {
	previous, ok := k.ended[record.Task]
	if ok && (hasAnswer(previous) || !hasAnswer(record)) {
		return 0
	}
	added := contentSize(record.Headers, record.Body) - contentSize(previous.Headers, previous.Body)
	k.ended[record.Task] = record
	k.bytes += added
	return added
}

func hasAnswer(r wire.TaskRecord) bool { return r.State == wire.AttemptDone && !r.AnswerDropped }

// mayGetAnswer reports whether an open task without a recorded answer can still get one.
func (k *recoveredKey) mayGetAnswer() bool {
	for o := range k.openTasks {
		if !hasAnswer(k.ended[o.task]) {
			return true
		}
	}
	return false
}

// completeAnswer returns the answer of the job, or nil unless every task has a recorded answer.
func (k *recoveredKey) completeAnswer() *wire.Answer {
	if k.inconsistent || k.tasks == 0 || len(k.ended) != int(k.tasks) {
		return nil
	}
	a := &wire.Answer{Outcome: wire.OutcomeComplete, Tasks: make([]wire.TaskAnswer, k.tasks)}
	for i := range a.Tasks {
		r := k.ended[uint16(i)]
		if !hasAnswer(r) {
			return nil
		}
		a.Tasks[i] = wire.TaskAnswer{Outcome: wire.OutcomeComplete, Status: r.Status, Headers: r.Headers, Body: r.Body}
	}
	return a
}

// decideFromRecovered decides on a submission of a key of which some tasks have started or can still start.
func (t *Table) decideFromRecovered(now time.Time, k *recoveredKey, s Submission) Decision {
	if d, waiting := t.awaitAnswers(now, s.Deadline); waiting {
		return d
	}
	if !k.inconsistent && !sameDigest(k.digest, s.Digest) {
		return Decision{Kind: Conflict}
	}
	if now.Before(k.openUntil) && k.mayGetAnswer() {
		return refuseRecovering(t.retryAfterOpenTasks(now, k))
	}
	return refuse(wire.OutcomeUnknown, wire.ReasonUpstreamLost, "tasks of the job may have started, and not all results are known", 0)
}

// retryAfterOpenTasks returns the retry delay for a key with open tasks. Connected agents are asked every second. The
// delay ends at openUntil, because the key is no longer recovering then.
func (t *Table) retryAfterOpenTasks(now time.Time, k *recoveredKey) time.Duration {
	retry := minRetryAfter
	for o := range k.openTasks {
		if a := t.roster.agents[o.source.agent]; a != nil && !a.connected {
			retry = max(retry, retryAfterSilence(now, a.lastSeen))
		}
	}
	return min(retry, max(k.openUntil.Sub(now), minRetryAfter))
}
