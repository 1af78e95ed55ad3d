package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// recoveredKey is what the agents recorded about a key of an expelled entry. It stays here until every task has a
// recorded answer; then the whole answer becomes a finished entry.
type recoveredKey struct {
	digest [16]byte
	tasks  uint16
	// ended has the records of the tasks that ended, with the agent that tells most about each. They are kept
	// whatever the agents answer later, because agents forget them earlier than this table.
	ended map[uint16]wire.TaskRecord
	// open has the tasks that were queued or running, for each agent that listed them. A queued one can still be
	// refused, and the upstream of a running one can turn out not to have been reached.
	open    map[openAt]struct{}
	bytes   int
	expires int64 // Unix milliseconds
	// openUntil bounds the time in which a task that was queued or running can still get a result.
	openUntil time.Time
	// inconsistent is set when records disagree on the job; such a key never gets an answer, even if one of the
	// records is withdrawn later.
	inconsistent bool
}

// openAt is an open task of a key at one agent.
type openAt struct {
	source reporter
	task   uint16
}

type recoveredKeys struct {
	keys map[wire.KeyHash]*recoveredKey
	// open has the open tasks of all keys by the agent that listed them.
	open  map[reporter]map[openTask]struct{}
	queue []keyExpiry
	bytes int
}

func (r *recoveredKeys) init() {
	r.keys = make(map[wire.KeyHash]*recoveredKey)
	r.open = make(map[reporter]map[openTask]struct{})
}

func (r *recoveredKeys) get(key wire.KeyHash, k *wire.KeyRecord, expires time.Time) *recoveredKey {
	found := r.keys[key]
	if found == nil {
		found = &recoveredKey{
			digest: k.Digest, tasks: k.Tasks,
			ended: make(map[uint16]wire.TaskRecord), open: make(map[openAt]struct{}),
		}
		r.keys[key] = found
	}
	if found.tasks != k.Tasks || !sameDigest(found.digest, k.Digest) {
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
	for o := range found.open {
		r.unindex(o.source, openTask{key, o.task})
	}
	r.bytes -= found.bytes
	delete(r.keys, key)
}

// addOpen notes that an agent listed a task of a key as queued or running.
func (r *recoveredKeys) addOpen(source reporter, task openTask) {
	r.keys[task.key].open[openAt{source, task.task}] = struct{}{}
	tasks := r.open[source]
	if tasks == nil {
		tasks = make(map[openTask]struct{})
		r.open[source] = tasks
	}
	tasks[task] = struct{}{}
}

// withdraw drops an open task of one agent, and the key if nothing else is known about it.
func (r *recoveredKeys) withdraw(source reporter, task openTask) {
	r.closeTask(source, task)
	r.removeIfEmpty(task.key)
}

// closeTask notes that a task is not open any more at one agent.
func (r *recoveredKeys) closeTask(source reporter, task openTask) {
	r.unindex(source, task)
	delete(r.keys[task.key].open, openAt{source, task.task})
}

func (r *recoveredKeys) removeIfEmpty(key wire.KeyHash) {
	if k := r.keys[key]; len(k.open) == 0 && len(k.ended) == 0 {
		r.remove(key)
	}
}

func (r *recoveredKeys) unindex(source reporter, task openTask) {
	delete(r.open[source], task)
	if len(r.open[source]) == 0 {
		delete(r.open, source)
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

// merge adds the record of a task that ended. Of two records of the same task one with an answer is kept.
func (k *recoveredKey) merge(record wire.TaskRecord) (addedBytes int) {
	former, ok := k.ended[record.Task]
	if ok && (hasAnswer(former) || !hasAnswer(record)) {
		return 0
	}
	added := contentSize(record.Headers, record.Body) - contentSize(former.Headers, former.Body)
	k.ended[record.Task] = record
	k.bytes += added
	return added
}

func hasAnswer(r wire.TaskRecord) bool { return r.State == wire.AttemptDone && !r.Dropped }

// hasOpen tells whether a task without a recorded answer can still get one.
func (k *recoveredKey) hasOpen() bool {
	for o := range k.open {
		if !hasAnswer(k.ended[o.task]) {
			return true
		}
	}
	return false
}

// answer returns the whole answer, or nil unless every task has a recorded answer.
func (k *recoveredKey) answer() *wire.Answer {
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

// fromRecovered answers a submission of a key of which some tasks have started or can still start.
func (t *Table) fromRecovered(now time.Time, k *recoveredKey, s Submission) Decision {
	if d, waiting := t.awaitAnswers(now, s.Deadline); waiting {
		return d
	}
	if !k.inconsistent && !sameDigest(k.digest, s.Digest) {
		return Decision{Kind: Conflict}
	}
	if now.Before(k.openUntil) && k.hasOpen() {
		return recovering(t.retryOpen(now, k))
	}
	return refuse(wire.OutcomeUnknown, wire.ReasonUpstreamLost, "tasks of the job may have started, and not all results are known", 0)
}

// retryOpen returns the advice to callers for a key with open tasks: agents with a link are asked every second. After
// openUntil the key is not recovering any more.
func (t *Table) retryOpen(now time.Time, k *recoveredKey) time.Duration {
	retry := retryShort
	for o := range k.open {
		if a := t.roster.agents[o.source.agent]; a != nil && !a.connected {
			retry = max(retry, retryAfterSilence(now, a.lastSeen))
		}
	}
	return min(retry, max(k.openUntil.Sub(now), retryShort))
}
