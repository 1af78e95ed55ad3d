package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// recoveredKey is what the agents recorded about a key of an expelled entry. It stays here until every task has a
// recorded answer; then the whole answer becomes a finished entry.
type recoveredKey struct {
	digest  [16]byte
	tasks   uint16
	records map[uint16]wire.TaskRecord
	bytes   int
	expires int64 // Unix milliseconds
	// openUntil bounds the time in which a task that was queued or running can still get a result.
	openUntil time.Time
	// inconsistent is set when records disagree on the job; such a key never gets an answer.
	inconsistent bool
}

type recoveredKeys struct {
	keys  map[wire.KeyHash]*recoveredKey
	queue []keyExpiry
	bytes int
}

func (r *recoveredKeys) init() { r.keys = make(map[wire.KeyHash]*recoveredKey) }

func (r *recoveredKeys) get(key wire.KeyHash, k *wire.KeyRecord, expires time.Time) *recoveredKey {
	found := r.keys[key]
	if found == nil {
		found = &recoveredKey{digest: k.Digest, tasks: k.Tasks, records: make(map[uint16]wire.TaskRecord)}
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
	if found := r.keys[key]; found != nil {
		r.bytes -= found.bytes
		delete(r.keys, key)
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

// merge adds a record of a task. Of two records of the same task the one that tells more is kept.
func (k *recoveredKey) merge(record wire.TaskRecord) (addedBytes int) {
	former, ok := k.records[record.Task]
	if ok && rank(former) >= rank(record) {
		return 0
	}
	added := contentSize(record.Headers, record.Body) - contentSize(former.Headers, former.Body)
	k.records[record.Task] = record
	k.bytes += added
	return added
}

func rank(r wire.TaskRecord) int {
	switch {
	case r.State == wire.AttemptDone && !r.Dropped:
		return 3
	case r.State == wire.AttemptUnknown, r.State == wire.AttemptDone:
		return 2
	default:
		return 1
	}
}

func (k *recoveredKey) hasOpen() bool {
	for _, r := range k.records {
		if rank(r) == 1 {
			return true
		}
	}
	return false
}

// answer returns the whole answer, or nil unless every task has a recorded answer.
func (k *recoveredKey) answer() *wire.Answer {
	if k.inconsistent || k.tasks == 0 || len(k.records) != int(k.tasks) {
		return nil
	}
	a := &wire.Answer{Outcome: wire.OutcomeComplete, Tasks: make([]wire.TaskAnswer, k.tasks)}
	for i := range a.Tasks {
		r, ok := k.records[uint16(i)]
		if !ok || rank(r) < 3 {
			return nil
		}
		a.Tasks[i] = wire.TaskAnswer{Outcome: wire.OutcomeComplete, Status: r.Status, Headers: r.Headers, Body: r.Body}
	}
	return a
}

// fromRecovered answers a submission of a key of which some tasks are known to have started.
func (t *Table) fromRecovered(now time.Time, k *recoveredKey, s Submission) Decision {
	if d, waiting := t.awaitAnswers(now, s.Deadline); waiting {
		return d
	}
	if !k.inconsistent && !sameDigest(k.digest, s.Digest) {
		return Decision{Kind: Conflict}
	}
	if now.Before(k.openUntil) && k.hasOpen() {
		return recovering(retryShort)
	}
	return refuse(wire.OutcomeUnknown, wire.ReasonUpstreamLost, "tasks of the job were started, and not all results are known", 0)
}

// checkDigest gives up a recovered answer when another body ran under the same key: the key expired and was used
// again shortly before its home was lost. Neither body can be answered then.
func (t *Table) checkDigest(now time.Time, e *entry, record *wire.KeyRecord) {
	if e.region == regionUnknown && !sameDigest(e.digest, record.Digest) {
		t.store.insert(record.Key, [16]byte{}, nil, now.Add(t.cfg.Retention))
	}
}

// mergeKey takes over the records of one key.
func (t *Table) mergeKey(now time.Time, record *wire.KeyRecord) {
	e := t.store.find(record.Key)
	running := e != nil && e.state == stateRunning
	if running && e.epoch == t.epoch {
		t.late++
	}
	if e != nil && complete(e.answer) {
		t.checkDigest(now, e, record)
		return
	}
	k := t.recovered.get(record.Key, record, now.Add(t.cfg.Retention+slack))
	for _, task := range record.Done {
		if t.recovered.bytes+t.store.bytes+len(task.Body) > t.cfg.MaxAnswerBytes && task.State == wire.AttemptDone {
			task = wire.TaskRecord{Task: task.Task, State: task.State, Dropped: true}
		}
		t.recovered.bytes += k.merge(task)
		if rank(task) == 1 {
			k.openUntil = now.Add(slack)
		}
	}
	if !running {
		t.promote(now, record.Key, k)
	}
}

// promote turns the records of a key into a finished entry if they make a whole answer. A job that still runs here
// comes first: its records are kept, because it may end as not_run and be forgotten.
func (t *Table) promote(now time.Time, key wire.KeyHash, k *recoveredKey) bool {
	answer := k.answer()
	if answer == nil {
		return false
	}
	t.recovered.remove(key)
	t.store.insert(key, k.digest, bounded(answer), now.Add(t.cfg.Retention))
	t.handover.push(key)
	return true
}
