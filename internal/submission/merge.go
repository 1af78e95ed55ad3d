package submission

import (
	"time"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"
)

// checkDigest gives up a recovered answer when another body ran under the same key: the key expired and was used
// again shortly before its home was lost. Neither body can be answered then.
func (t *Table) checkDigest(now time.Time, e *entry, record *wire.KeyRecord) {
	if e.region == regionUnknown && !sameDigest(e.digest, record.Digest) {
		t.store.insert(record.Key, [16]byte{}, nil, now.Add(t.cfg.Retention))
	}
}

// mergeKey takes over the records of one key. The open tasks are added to the report, if it has no gap.
func (t *Table) mergeKey(now time.Time, source reporter, record *wire.KeyRecord, r *report) {
	e := t.store.find(record.Key)
	running := e != nil && e.state == stateRunning
	if running && e.epoch == t.epoch {
		t.late++
	}
	if e != nil && complete(e.answer) {
		t.checkDigest(now, e, record)
		return
	}
	k := t.recovered.get(record.Key, record, now.Add(t.cfg.Retention+wire.RetentionSlack))
	for _, task := range record.Done {
		id := openTask{record.Key, task.Task}
		switch task.State {
		case wire.AttemptQueued, wire.AttemptRunning:
			t.mergeOpen(now, source, id, r)
		case wire.AttemptDone, wire.AttemptUnknown:
			t.mergeEnded(k, task)
			t.recovered.closeTask(source, id)
		}
	}
	t.recovered.removeIfEmpty(record.Key)
	if !running {
		t.promote(now, record.Key, k)
	}
}

func (t *Table) mergeOpen(now time.Time, source reporter, task openTask, r *report) {
	t.recovered.addOpen(source, task)
	t.recovered.keys[task.key].openUntil = now.Add(wire.RetentionSlack)
	if r != nil {
		r.listed[task] = struct{}{}
	}
}

// mergeEnded adds the record of a task that ended, without its answer if that exceeds the byte budget.
func (t *Table) mergeEnded(k *recoveredKey, task wire.TaskRecord) {
	if t.recovered.bytes+t.store.bytes+len(task.Body) > t.cfg.MaxAnswerBytes && task.State == wire.AttemptDone {
		task = wire.TaskRecord{Task: task.Task, State: task.State, Dropped: true}
	}
	t.recovered.bytes += k.merge(task)
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
